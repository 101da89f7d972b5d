package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/hillfork/hillfork/internal/lab/replay"
)

// Spread is the median and the extremes of a figure over seeds.
type Spread struct {
	Median float64 `json:"median"`
	Least  float64 `json:"least"`
	Most   float64 `json:"most"`
	Count  int     `json:"count"`
}

// SpreadOf sums figures up; the zero Spread for none.
func SpreadOf(figures []float64) Spread {
	if len(figures) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(figures))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Least: sorted[0], Most: sorted[len(sorted)-1], Count: len(sorted)}
}

// String writes "12.3 [10.1–15.0]".
func (s Spread) String() string {
	if s.Count == 0 {
		return "–"
	}
	return fmt.Sprintf("%.3g [%.3g–%.3g]", s.Median, s.Least, s.Most)
}

// figure is one column of the table.
type figure struct {
	title string
	// of picks the figure of a workload from a result; false where it has none.
	of func(result Result, workload string) (float64, bool)
}

// Titles of columns that plots use.
const (
	columnIdle   = "idle s"
	columnBehind = "versions behind"
)

var figures = []figure{
	{"steps", trained(func(m replay.Measures) float64 { return float64(m.Steps) })},
	{columnIdle, trained(func(m replay.Measures) float64 { return m.IdleSeconds })},
	{"bound s", func(r Result, workload string) (float64, bool) {
		bound, found := r.IdleBounds[workload]
		return bound, found
	}},
	{"idle / bound", func(r Result, workload string) (float64, bool) {
		bound := r.IdleBounds[workload]
		return r.Measures[workload].IdleSeconds / max(bound, 1e-9), bound > 0
	}},
	{columnBehind, trained(func(m replay.Measures) float64 { return m.MeanVersionsBehind })},
	{"age s", trained(func(m replay.Measures) float64 { return m.MeanAgeSeconds })},
	{"share", func(r Result, workload string) (float64, bool) {
		share, found := r.Shares[workload]
		return share, found
	}},
	{"p50 s", requested(func(m replay.Measures) float64 { return m.LatencyP50 })},
	{"p99 s", requested(func(m replay.Measures) float64 { return m.LatencyP99 })},
	{"not run", requested(func(m replay.Measures) float64 { return float64(m.Outcomes["not run"]) / float64(m.Requests) })},
}

func trained(of func(replay.Measures) float64) func(Result, string) (float64, bool) {
	return func(r Result, workload string) (float64, bool) {
		measures := r.Measures[workload]
		return of(measures), measures.Samples > 0
	}
}

func requested(of func(replay.Measures) float64) func(Result, string) (float64, bool) {
	return func(r Result, workload string) (float64, bool) {
		measures := r.Measures[workload]
		return of(measures), measures.Requests > 0
	}
}

// Row is what one policy came to for one workload of a trace.
type Row struct {
	Trace    string            `json:"trace"`
	Load     float64           `json:"load"`
	Workload string            `json:"workload"`
	Policy   string            `json:"policy"`
	Figures  map[string]Spread `json:"figures"`
	Broken   int               `json:"broken_runs"`
}

// Summarize sums results up over seeds, by trace, load, workload and policy.
func Summarize(spec *Spec, results []Result) []Row {
	var rows []Row
	for _, group := range groupsOf(results) {
		for _, chosen := range spec.Policies {
			var picked []Result
			for _, result := range results {
				if result.Trace == group.trace && result.Load == group.load && result.Policy == chosen.Name {
					picked = append(picked, result)
				}
			}
			if row, any := summarizeRow(group, chosen.Name, picked); any {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// group is what rows are grouped by.
type group struct {
	trace    string
	load     float64
	workload string
}

func groupsOf(results []Result) []group {
	var groups []group
	for _, result := range results {
		for _, workload := range slices.Sorted(maps.Keys(result.Measures)) {
			found := group{trace: result.Trace, load: result.Load, workload: workload}
			if !slices.Contains(groups, found) {
				groups = append(groups, found)
			}
		}
	}
	return groups
}

func summarizeRow(group group, chosen string, results []Result) (Row, bool) {
	row := Row{Trace: group.trace, Load: group.load, Workload: group.workload, Policy: chosen, Figures: make(map[string]Spread)}
	for _, column := range figures {
		var values []float64
		for _, result := range results {
			if value, found := column.of(result, group.workload); found {
				values = append(values, value)
			}
		}
		if len(values) > 0 {
			row.Figures[column.title] = SpreadOf(values)
		}
	}
	for _, result := range results {
		if len(result.Broken) > 0 {
			row.Broken++
		}
	}
	return row, len(row.Figures) > 0
}

// WriteMarkdown writes one table a trace, load and workload: a row a policy, median and range over the seeds.
func WriteMarkdown(out io.Writer, spec *Spec, rows []Row) error {
	if _, err := fmt.Fprintf(out, "# %s\n\nMedian [least–most] over %d seeds from %d.\n", spec.Name, spec.Seeds, spec.FirstSeed); err != nil {
		return err
	}
	last := group{}
	var titles []string
	for _, row := range rows {
		current := group{trace: row.Trace, load: row.Load, workload: row.Workload}
		if current != last {
			titles = titlesOf(rows, current)
			writeHead(out, current, titles)
			last = current
		}
		fmt.Fprintf(out, "| %s |", row.Policy)
		for _, title := range titles {
			fmt.Fprintf(out, " %s |", row.Figures[title])
		}
		fmt.Fprintf(out, " %d |\n", row.Broken)
	}
	return nil
}

// titlesOf lists the columns that some row of a group has.
func titlesOf(rows []Row, wanted group) []string {
	var titles []string
	for _, column := range figures {
		for _, row := range rows {
			_, found := row.Figures[column.title]
			if found && (group{row.Trace, row.Load, row.Workload}) == wanted {
				titles = append(titles, column.title)
				break
			}
		}
	}
	return titles
}

func writeHead(out io.Writer, current group, titles []string) {
	fmt.Fprintf(out, "\n## %s, load %g: %s\n\n| policy |", current.trace, current.load, current.workload)
	for _, title := range titles {
		fmt.Fprintf(out, " %s |", title)
	}
	fmt.Fprint(out, " broken runs |\n| --- |")
	for range titles {
		fmt.Fprint(out, " --- |")
	}
	fmt.Fprint(out, " --- |\n")
}
