package explain

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one job of a trainer according to the log lines.
type Step struct {
	Job string `json:"job"`
	// Number is the step's number in the training of Model.
	Number int64  `json:"step"`
	Model  string `json:"model"`
	// Submitted is when the job was acknowledged, Ended when its end was acknowledged; zero if no line shows it.
	Submitted time.Time `json:"submitted"`
	Ended     time.Time `json:"ended,omitzero"`
	// Items is how many items were submitted, Listed how many are listed, Wanted how many complete groups the trainer waits for, 0 if
	// no line shows it.
	Items  int `json:"items"`
	Listed int `json:"listed"`
	Wanted int `json:"wanted"`
	// LowerBound is the minimum time in which the wanted groups could have been complete, 0 if unknown.
	LowerBound time.Duration `json:"bound_ns"`
	// Path is the critical path: the history of the item that the trainer waited for last. It is nil if unknown.
	Path *Path `json:"path,omitempty"`

	items map[string]*item
	// carried contains the items that an earlier step had too. The trainer waits for their groups regardless of how many others are
	// complete.
	carried map[string]bool
}

// Duration is the time from submission to end, 0 if the step has not ended.
func (s *Step) Duration() time.Duration {
	if s.Ended.IsZero() || s.Submitted.IsZero() {
		return 0
	}
	return s.Ended.Sub(s.Submitted)
}

// Path splits the time of a step by the activities of the item that completed the last group the trainer needed.
type Path struct {
	Item  string `json:"item"`
	Group string `json:"group"`
	// Events is the item's total number of events.
	Events int `json:"events"`
	// Waiting is time without an engine, including the time between runs.
	Waiting time.Duration `json:"waiting_ns"`
	// Working is the time that the events take at the pace of the fastest engine, Slow the time of the runs beyond that.
	Working time.Duration `json:"working_ns"`
	Slow    time.Duration `json:"slow_ns"`
	// Lost is the time of runs whose events had to be generated again.
	Lost time.Duration `json:"lost_ns"`
	// Listing is the time from the last event to the durable listing, including the scorer's call. Reading is the time from there to
	// the step's end.
	Listing time.Duration `json:"listing_ns"`
	Reading time.Duration `json:"reading_ns"`
	Runs    []Run         `json:"runs"`
}

// Run is one run of an item on an engine.
type Run struct {
	Engine    string    `json:"engine"`
	StartedAt time.Time `json:"began"`
	// EndedAt is when the run ended. If its owner died, so that no line shows the end, it is when the item was placed again.
	EndedAt time.Time `json:"until"`
	// ResumeAfter is the number of events that existed when the run started, KeptEvents the number when the next run started.
	ResumeAfter int `json:"after"`
	KeptEvents  int `json:"kept"`
	// Orphaned reports that no line shows the run's end although another run followed, which means that its owner died.
	Orphaned bool `json:"orphaned"`
}

// item is one item of a step according to the log lines.
type item struct {
	id, group string
	events    int
	dead      bool
	listed    time.Time
	// listingDelay is the time from the item's last event to its listing.
	listingDelay time.Duration
	runs         []Run
}

// StepReport is the steps found in log lines.
type StepReport struct {
	// Steps are sorted by their submission.
	Steps []*Step `json:"steps"`
	// FastestPace is the time per event of the fastest engine, 0 if no run shows it.
	FastestPace time.Duration `json:"quickest_ns"`
	// Gaps describes which lines are missing.
	Gaps []string `json:"gaps,omitempty"`
}

// stepMessages are the messages about steps.
var stepMessages = []string{
	"job submitted", "job is known already", "job started", "job settled", "job ended", "item placed", "run ended early", "item listed",
}

// stepKeys are the keys that are read from these messages.
var stepKeys = []string{
	"job", "items", "wanted", "step", "model", "item", "group", "engine", "resume_after", "events", "dead", "after_last_event",
}

// ReadSteps reads the steps from log lines. It skips lines that are not log lines.
func ReadSteps(input io.Reader) (*StepReport, error) {
	reader := stepReader{steps: make(map[string]*Step)}
	lines, err := readLines(input, stepKeys, func(head lineHead) bool { return slices.Contains(stepMessages, head.Message) })
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
		if line.Fields["job"] != "" {
			reader.apply(line)
		}
	}
	return reader.report(), err
}

// stepReader collects steps from lines in order of time.
type stepReader struct {
	steps map[string]*Step
}

func (r *stepReader) apply(line Line) {
	step := r.step(line.Fields["job"])
	switch line.Message {
	case "job submitted", "job is known already":
		r.recordSubmission(step, line)
	case "job ended":
		if step.Ended.IsZero() {
			step.Ended = line.Time
		}
	case "item placed":
		found := step.item(line.Fields["item"])
		found.group = line.Fields["group"]
		found.runs = append(found.runs, Run{Engine: line.Fields["engine"], StartedAt: line.Time, ResumeAfter: number(line, "resume_after")})
	case "run ended early":
		if runs := step.item(line.Fields["item"]).runs; len(runs) > 0 {
			runs[len(runs)-1].EndedAt = line.Time
		}
	case "item listed":
		found := step.item(line.Fields["item"])
		found.listed, found.events, found.group = line.Time, number(line, "events"), line.Fields["group"]
		found.dead = line.Fields["dead"] == "true"
		found.listingDelay, _ = time.ParseDuration(line.Fields["after_last_event"])
	}
}

func (r *stepReader) step(job string) *Step {
	found, ok := r.steps[job]
	if !ok {
		found = &Step{Job: job, items: make(map[string]*item)}
		r.steps[job] = found
	}
	return found
}

func (r *stepReader) recordSubmission(step *Step, line Line) {
	if step.Submitted.IsZero() {
		step.Submitted = line.Time
	}
	if line.Message != "job submitted" {
		return
	}
	step.Items, step.Wanted = number(line, "items"), number(line, "wanted")
	step.Number, step.Model = int64(number(line, "step")), line.Fields["model"]
}

func (s *Step) item(id string) *item {
	found, ok := s.items[id]
	if !ok {
		found = &item{id: id}
		s.items[id] = found
	}
	return found
}

// number returns the value of an integer field, 0 if it is missing or invalid.
func number(line Line, field string) int {
	value, _ := strconv.Atoi(line.Fields[field])
	return value
}

// report computes the report from the lines that were read.
func (r *stepReader) report() *StepReport {
	report := &StepReport{}
	unsubmitted := 0
	for _, step := range r.steps {
		if step.Submitted.IsZero() {
			unsubmitted++
			continue
		}
		report.Steps = append(report.Steps, step)
	}
	slices.SortFunc(report.Steps, func(a, b *Step) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), strings.Compare(a.Job, b.Job))
	})
	markCarriedItems(report.Steps)
	report.FastestPace = fastestPace(report.Steps)
	for _, step := range report.Steps {
		step.closeRuns()
	}
	slots := maxConcurrentRuns(report.Steps)
	for _, step := range report.Steps {
		step.Path = criticalPath(step, report.FastestPace)
		step.LowerBound = lowerBound(step, report.FastestPace, slots)
	}
	report.addGaps(unsubmitted)
	return report
}

// markCarriedItems marks the items of each step that an earlier step had too.
func markCarriedItems(steps []*Step) {
	seen := make(map[string]bool)
	for _, step := range steps {
		step.carried = make(map[string]bool)
		for id := range step.items {
			step.carried[id] = seen[id]
			seen[id] = true
		}
	}
}

// addGaps describes the lines that are missing, for example because the logs are those of some of the replicas only.
func (r *StepReport) addGaps(unsubmitted int) {
	note := func(count int, text string) {
		if count > 0 {
			r.Gaps = append(r.Gaps, strconv.Itoa(count)+" "+text)
		}
	}
	unended, unlisted, unwanted := 0, 0, 0
	for _, step := range r.Steps {
		switch {
		case step.Ended.IsZero():
			unended++
		case step.Listed == 0:
			unlisted++
		case step.Wanted == 0:
			unwanted++
		}
	}
	note(unsubmitted, "jobs were submitted where no line tells")
	note(unended, "steps have no end in these lines")
	note(unlisted, "steps ended without a line of a listed item: lines of their owner are missing")
	note(unwanted, "steps don't tell how many groups the trainer waited for: lines of the node that took them are missing")
}

// closeRuns sets the ends of the runs of the step's items and counts the listed items.
func (s *Step) closeRuns() {
	for _, it := range s.items {
		if !it.listed.IsZero() {
			s.Listed++
		}
		for i := range it.runs {
			run := &it.runs[i]
			last := i == len(it.runs)-1
			switch {
			case last && !it.listed.IsZero():
				run.EndedAt, run.KeptEvents = it.listed.Add(-it.listingDelay), it.events
			case last:
				run.KeptEvents = run.ResumeAfter
			default:
				run.KeptEvents = it.runs[i+1].ResumeAfter
				if run.EndedAt.IsZero() {
					run.EndedAt, run.Orphaned = it.runs[i+1].StartedAt, true
				}
			}
		}
	}
}

// minPaceEvents is the minimum number of events of a run that counts for an engine's pace. With this many, the time for reading the
// prompt hardly matters.
const minPaceEvents = 30

// fastestPace returns the lowest median time per event of any engine.
func fastestPace(steps []*Step) time.Duration {
	paces := make(map[string][]time.Duration)
	for _, step := range steps {
		for _, it := range step.items {
			if it.listed.IsZero() || len(it.runs) == 0 {
				continue
			}
			run := it.runs[len(it.runs)-1]
			if events := it.events - run.ResumeAfter; events >= minPaceEvents {
				elapsed := it.listed.Add(-it.listingDelay).Sub(run.StartedAt)
				paces[run.Engine] = append(paces[run.Engine], elapsed/time.Duration(events))
			}
		}
	}
	var fastest time.Duration
	for _, measured := range paces {
		slices.Sort(measured)
		if median := measured[(len(measured)-1)/2]; fastest == 0 || median < fastest {
			fastest = median
		}
	}
	return fastest
}

// group is the items of one group of a step.
type group struct {
	name string
	// carried means that an earlier step had an item of the group too, complete that all of its items are listed.
	carried  bool
	complete bool
	// completedAt is when the last item was listed, lastItem that item.
	completedAt time.Time
	lastItem    *item
	// maxEvents is the number of events of the longest item, totalEvents that of all items.
	maxEvents   int
	totalEvents int
}

// requiredGroups returns the groups that a trainer waits for: all that were carried over from an earlier step, and the first of the
// others in the given order, up to the wanted number. It returns nil if there are fewer groups than wanted.
func requiredGroups(groups []*group, wanted int) []*group {
	if wanted == 0 || len(groups) < wanted {
		return nil
	}
	var chosen, others []*group
	for _, g := range groups {
		if g.carried {
			chosen = append(chosen, g)
		} else {
			others = append(others, g)
		}
	}
	return append(chosen, others[:min(len(others), max(0, wanted-len(chosen)))]...)
}

// completeGroups returns the step's complete groups in the order in which they were completed.
func (s *Step) completeGroups() []*group {
	byName := make(map[string]*group)
	for _, it := range s.items {
		g, ok := byName[it.group]
		if !ok {
			g = &group{name: it.group, complete: true}
			byName[it.group] = g
		}
		g.complete = g.complete && !it.listed.IsZero()
		g.carried = g.carried || s.carried[it.id]
		g.maxEvents = max(g.maxEvents, it.events)
		g.totalEvents += it.events
		if it.listed.After(g.completedAt) {
			g.completedAt, g.lastItem = it.listed, it
		}
	}
	ordered := make([]*group, 0, len(byName))
	for _, g := range byName {
		if g.complete {
			ordered = append(ordered, g)
		}
	}
	slices.SortFunc(ordered, func(a, b *group) int {
		return cmp.Or(a.completedAt.Compare(b.completedAt), strings.Compare(a.name, b.name))
	})
	return ordered
}

// criticalPath returns the path of the item that completed the last group the trainer needed.
func criticalPath(step *Step, fastest time.Duration) *Path {
	required := requiredGroups(step.completeGroups(), step.Wanted)
	if step.Duration() == 0 || len(required) == 0 || fastest == 0 {
		return nil
	}
	critical := slices.MaxFunc(required, func(a, b *group) int { return a.completedAt.Compare(b.completedAt) })
	path := &Path{Item: critical.lastItem.id, Group: critical.name, Events: critical.lastItem.events, Runs: critical.lastItem.runs}
	at := step.Submitted
	for _, run := range critical.lastItem.runs {
		path.Waiting += max(0, run.StartedAt.Sub(at))
		path.addRun(run, fastest)
		at = run.EndedAt
	}
	path.Listing = critical.lastItem.listingDelay
	path.Reading = max(0, step.Ended.Sub(critical.lastItem.listed))
	return path
}

// addRun adds the time of one run to the parts of the path.
func (p *Path) addRun(run Run, fastest time.Duration) {
	elapsed := run.EndedAt.Sub(run.StartedAt)
	useful := min(elapsed, time.Duration(run.KeptEvents-run.ResumeAfter)*fastest)
	p.Working += useful
	if run.Orphaned || run.KeptEvents == run.ResumeAfter {
		// The owner died, or no event of the run was kept. A run on an engine that is slower than half the fastest pace counts as slow,
		// no matter how much of its time that is.
		p.Lost += elapsed - useful
		return
	}
	p.Slow += elapsed - useful
}
