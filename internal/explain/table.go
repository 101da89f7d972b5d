package explain

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// ErrNoSteps reports that the log lines contain no step.
var ErrNoSteps = errors.New("no line tells of a job that was submitted")

// ErrNoStep reports that the log lines contain no step of this job.
var ErrNoStep = errors.New("no line tells of this job's submission")

// Step returns the step of a job. The error is ErrNoStep if there is none.
func (r *StepReport) Step(job string) (*Step, error) {
	for _, step := range r.Steps {
		if step.Job == job {
			return step, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrNoStep, job)
}

// WriteSteps prints a row per step, the means of each model if there are several, and the means of all steps.
func (r *StepReport) WriteSteps(output io.Writer) error {
	if len(r.Steps) == 0 {
		return ErrNoSteps
	}
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "job\tmodel\tstep\tsubmitted\ttook\tbound\twaiting\tworking\tslow\tlost\tlisting\treading\tevents\truns\t")
	start := r.Steps[0].Submitted
	var all total
	models := make(map[string]*total)
	for _, step := range r.Steps {
		fmt.Fprintf(table, "%s\t%s\t%d\t%+.2f\t%s\t%s\t", step.Job, step.Model, step.Number, step.Submitted.Sub(start).Seconds(),
			seconds(step.Duration()), seconds(step.LowerBound))
		path := step.Path
		if path == nil {
			fmt.Fprintln(table, strings.Repeat("-\t", 8))
			continue
		}
		fmt.Fprintf(table, "%s%d\t%d\t\n", path.columns(), path.Events, len(path.Runs))
		all.add(step)
		if models[step.Model] == nil {
			models[step.Model] = new(total)
		}
		models[step.Model].add(step)
	}
	if len(models) > 1 {
		for _, model := range slices.Sorted(maps.Keys(models)) {
			models[model].write(table, model)
		}
	}
	all.write(table, "")
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeGaps(output)
}

// total sums up steps whose critical path is known. The zero value is an empty sum.
type total struct {
	steps           int
	duration, bound time.Duration
	path            Path
}

func (t *total) add(step *Step) {
	t.steps++
	t.duration += step.Duration()
	t.bound += step.LowerBound
	t.path.add(step.Path)
}

// write prints the means in the columns of the steps.
func (t *total) write(table io.Writer, model string) {
	if t.steps == 0 {
		return
	}
	count := time.Duration(t.steps)
	fmt.Fprintf(table, "mean of %d\t%s\t\t\t%s\t%s\t%s\t\t\n", t.steps, model, seconds(t.duration/count), seconds(t.bound/count),
		t.path.over(t.steps).columns())
}

// WritePath prints the critical path of a step.
func (r *StepReport) WritePath(output io.Writer, step *Step) error {
	var text strings.Builder
	fmt.Fprintf(&text, "job %s, step %d of %s: took %s, bound %s\n", step.Job, step.Number, step.Model, seconds(step.Duration()), seconds(step.LowerBound))
	if step.Path == nil {
		fmt.Fprintf(&text, "%d of %d items are listed; its critical path can't be told\n", step.Listed, step.Items)
		if _, err := io.WriteString(output, text.String()); err != nil {
			return err
		}
		return r.writeGaps(output)
	}
	path := step.Path
	fmt.Fprintf(&text, "held to its end by item %s of group %s, %d events\n", path.Item, path.Group, path.Events)
	for _, run := range path.Runs {
		fmt.Fprintf(&text, "  %+9.3fs on %s for %s, from event %d on, %d kept\n", run.StartedAt.Sub(step.Submitted).Seconds(), run.Engine,
			seconds(run.EndedAt.Sub(run.StartedAt)), run.ResumeAfter+1, run.KeptEvents)
	}
	for _, part := range path.parts() {
		fmt.Fprintf(&text, "%8s  %s\n", seconds(part.duration), part.text)
	}
	if _, err := io.WriteString(output, text.String()); err != nil {
		return err
	}
	return r.writeGaps(output)
}

func (r *StepReport) writeGaps(output io.Writer) error {
	for _, gap := range r.Gaps {
		if _, err := fmt.Fprintln(output, "missing:", gap); err != nil {
			return err
		}
	}
	return nil
}

// part is one part of a path's time.
type part struct {
	duration time.Duration
	text     string
}

func (p *Path) parts() []part {
	return []part{
		{p.Waiting, "waiting for an engine"},
		{p.Working, "working, at the pace of the quickest engine"},
		{p.Slow, "beyond that: slower engines, pauses, reading prompts"},
		{p.Lost, "on runs that were cut off and not kept"},
		{p.Listing, "scoring and listing"},
		{p.Reading, "reading by the trainer"},
	}
}

// columns returns the parts as table cells.
func (p *Path) columns() string {
	var text strings.Builder
	for _, part := range p.parts() {
		text.WriteString(seconds(part.duration) + "\t")
	}
	return text.String()
}

func (p *Path) add(other *Path) {
	p.Waiting += other.Waiting
	p.Working += other.Working
	p.Slow += other.Slow
	p.Lost += other.Lost
	p.Listing += other.Listing
	p.Reading += other.Reading
}

func (p *Path) over(count int) *Path {
	n := time.Duration(count)
	return &Path{
		Waiting: p.Waiting / n, Working: p.Working / n, Slow: p.Slow / n, Lost: p.Lost / n, Listing: p.Listing / n, Reading: p.Reading / n,
	}
}

// seconds formats a duration for a table; a dash means unknown or zero.
func seconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", d.Seconds())
}
