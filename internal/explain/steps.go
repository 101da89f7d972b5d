package explain

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Step is one job of a trainer as log lines tell it.
type Step struct {
	Job string `json:"job"`
	// Number is the step's number in its model's training, Model the model.
	Number int64  `json:"step"`
	Model  string `json:"model"`
	// Submitted is when the job was acknowledged, Ended when its end was; zero if no line tells.
	Submitted time.Time `json:"submitted"`
	Ended     time.Time `json:"ended,omitzero"`
	// Items were handed in, Listed are listed, Wanted is how many whole groups the trainer waits for, 0 if no line tells.
	Items  int `json:"items"`
	Listed int `json:"listed"`
	Wanted int `json:"wanted"`
	// Bound is the least time in which the wanted groups could have been whole, 0 if it can't be told.
	Bound time.Duration `json:"bound_ns"`
	// Path is the way of the item that the trainer waited for last, nil if it can't be told.
	Path *Path `json:"path,omitempty"`

	items map[string]*item
	// carried holds the items that an earlier step had: the trainer waits for their groups whatever others are whole.
	carried map[string]bool
}

// Took is the time from submission to end, 0 if the step has not ended.
func (s *Step) Took() time.Duration {
	if s.Ended.IsZero() || s.Submitted.IsZero() {
		return 0
	}
	return s.Ended.Sub(s.Submitted)
}

// Path divides the time of a step by what the item did that completed the last group the trainer needed.
type Path struct {
	Item  string `json:"item"`
	Group string `json:"group"`
	// Events is how many the item came to.
	Events int `json:"events"`
	// Waiting is time without an engine, between the runs as well.
	Waiting time.Duration `json:"waiting_ns"`
	// Working is what the events take at the pace of the quickest engine, Slow what the runs took beyond that.
	Working time.Duration `json:"working_ns"`
	Slow    time.Duration `json:"slow_ns"`
	// Lost is time of runs whose events were made again.
	Lost time.Duration `json:"lost_ns"`
	// Listing is from the last event to the durable listing, the scorer's call included; Reading from there to the step's end.
	Listing time.Duration `json:"listing_ns"`
	Reading time.Duration `json:"reading_ns"`
	Runs    []Run         `json:"runs"`
}

// Run is one run of an item.
type Run struct {
	Engine string    `json:"engine"`
	Began  time.Time `json:"began"`
	// Until is when it ended, or when the item was placed again if no line tells the end: its owner died.
	Until time.Time `json:"until"`
	// After counts the events that were there when it began, Kept those when the next run did.
	After int `json:"after"`
	Kept  int `json:"kept"`
	// Orphaned says that no line tells its end though another run followed: its owner died.
	Orphaned bool `json:"orphaned"`
}

// item is one item of a step as lines tell it.
type item struct {
	id, group string
	events    int
	dead      bool
	listed    time.Time
	// late is how long before its listing the last event came.
	late time.Duration
	runs []Run
}

// Day is what lines tell of all steps.
type Day struct {
	// Steps are in order of their submission.
	Steps []*Step `json:"steps"`
	// Quickest is the time between two events on the quickest engine, 0 if no run tells.
	Quickest time.Duration `json:"quickest_ns"`
	// Gaps says what is missing in the lines.
	Gaps []string `json:"gaps,omitempty"`
}

// stepMessages are the messages that tell of steps.
var stepMessages = []string{
	"job submitted", "job is known already", "job started", "job settled", "job ended", "item placed", "run ended early", "item listed",
}

// stepKeys are the keys that are read of them.
var stepKeys = []string{
	"job", "items", "wanted", "step", "model", "item", "group", "engine", "resume_after", "events", "dead", "after_last_event",
}

// ReadDay reads the steps from log lines. Lines that are no log lines are passed over.
func ReadDay(input io.Reader) (*Day, error) {
	reading := dayReader{steps: make(map[string]*Step)}
	lines, err := readLines(input, stepKeys, func(head lineHead) bool { return slices.Contains(stepMessages, head.Message) })
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
		if line.Fields["job"] != "" {
			reading.take(line)
		}
	}
	return reading.day(), err
}

// dayReader gathers steps from lines in order of time.
type dayReader struct {
	steps map[string]*Step
}

func (r *dayReader) take(line Line) {
	step := r.step(line.Fields["job"])
	switch line.Message {
	case "job submitted", "job is known already":
		r.submitted(step, line)
	case "job ended":
		if step.Ended.IsZero() {
			step.Ended = line.Time
		}
	case "item placed":
		found := step.item(line.Fields["item"])
		found.group = line.Fields["group"]
		found.runs = append(found.runs, Run{Engine: line.Fields["engine"], Began: line.Time, After: number(line, "resume_after")})
	case "run ended early":
		if runs := step.item(line.Fields["item"]).runs; len(runs) > 0 {
			runs[len(runs)-1].Until = line.Time
		}
	case "item listed":
		found := step.item(line.Fields["item"])
		found.listed, found.events, found.group = line.Time, number(line, "events"), line.Fields["group"]
		found.dead = line.Fields["dead"] == "true"
		found.late, _ = time.ParseDuration(line.Fields["after_last_event"])
	}
}

func (r *dayReader) step(job string) *Step {
	found, ok := r.steps[job]
	if !ok {
		found = &Step{Job: job, items: make(map[string]*item)}
		r.steps[job] = found
	}
	return found
}

func (r *dayReader) submitted(step *Step, line Line) {
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

// number reads a field that holds a whole number, 0 if there is none.
func number(line Line, field string) int {
	value, _ := strconv.Atoi(line.Fields[field])
	return value
}

// day works out what the lines tell.
func (r *dayReader) day() *Day {
	day := &Day{}
	unsubmitted := 0
	for _, step := range r.steps {
		if step.Submitted.IsZero() {
			unsubmitted++
			continue
		}
		day.Steps = append(day.Steps, step)
	}
	slices.SortFunc(day.Steps, func(a, b *Step) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), strings.Compare(a.Job, b.Job))
	})
	noteCarried(day.Steps)
	day.Quickest = quickestPace(day.Steps)
	for _, step := range day.Steps {
		step.finish()
	}
	places := placesSeen(day.Steps)
	for _, step := range day.Steps {
		step.Path = criticalPath(step, day.Quickest)
		step.Bound = bound(step, day.Quickest, places)
	}
	day.noteGaps(unsubmitted)
	return day
}

// noteCarried tells which items of a step an earlier one had.
func noteCarried(steps []*Step) {
	seen := make(map[string]bool)
	for _, step := range steps {
		step.carried = make(map[string]bool)
		for id := range step.items {
			step.carried[id] = seen[id]
			seen[id] = true
		}
	}
}

// noteGaps says what of the steps no line tells, as in logs of a part of the replicas.
func (d *Day) noteGaps(unsubmitted int) {
	note := func(count int, text string) {
		if count > 0 {
			d.Gaps = append(d.Gaps, strconv.Itoa(count)+" "+text)
		}
	}
	unended, unlisted, unwanted := 0, 0, 0
	for _, step := range d.Steps {
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

// finish closes the runs of a step's items and counts the listed ones.
func (s *Step) finish() {
	for _, found := range s.items {
		if !found.listed.IsZero() {
			s.Listed++
		}
		for i := range found.runs {
			run := &found.runs[i]
			last := i == len(found.runs)-1
			switch {
			case last && !found.listed.IsZero():
				run.Until, run.Kept = found.listed.Add(-found.late), found.events
			case last:
				run.Kept = run.After
			default:
				run.Kept = found.runs[i+1].After
				if run.Until.IsZero() {
					run.Until, run.Orphaned = found.runs[i+1].Began, true
				}
			}
		}
	}
}

// paceEvents is how many events a run has at least of which the pace is taken: the reading of the prompt hardly counts then.
const paceEvents = 30

// quickestPace returns the median pace of the engine of which it is least.
func quickestPace(steps []*Step) time.Duration {
	paces := make(map[string][]time.Duration)
	for _, step := range steps {
		for _, found := range step.items {
			if found.listed.IsZero() || len(found.runs) == 0 {
				continue
			}
			run := found.runs[len(found.runs)-1]
			if events := found.events - run.After; events >= paceEvents {
				took := found.listed.Add(-found.late).Sub(run.Began)
				paces[run.Engine] = append(paces[run.Engine], took/time.Duration(events))
			}
		}
	}
	var quickest time.Duration
	for _, measured := range paces {
		slices.Sort(measured)
		if median := measured[(len(measured)-1)/2]; quickest == 0 || median < quickest {
			quickest = median
		}
	}
	return quickest
}

// group is the items of one group of a step.
type group struct {
	name string
	// carried says that an item of it was in an earlier step, whole that all of its items are listed.
	carried bool
	whole   bool
	// done is when its last item was listed, last that item.
	done time.Time
	last *item
	// longest is the events of its longest item, work those of all.
	longest int
	work    int
}

// needed returns the groups that a trainer waits for, given all in the order that suits it best: those that were carried over,
// and of the others the first ones. It returns nil if there are not as many as it wants.
func needed(groups []*group, wanted int) []*group {
	if wanted == 0 || len(groups) < wanted {
		return nil
	}
	var chosen, others []*group
	for _, known := range groups {
		if known.carried {
			chosen = append(chosen, known)
		} else {
			others = append(others, known)
		}
	}
	return append(chosen, others[:min(len(others), max(0, wanted-len(chosen)))]...)
}

// groups returns a step's whole groups in the order in which they were listed.
func (s *Step) groups() []*group {
	byName := make(map[string]*group)
	for _, found := range s.items {
		known, ok := byName[found.group]
		if !ok {
			known = &group{name: found.group, whole: true}
			byName[found.group] = known
		}
		known.whole = known.whole && !found.listed.IsZero()
		known.carried = known.carried || s.carried[found.id]
		known.longest = max(known.longest, found.events)
		known.work += found.events
		if found.listed.After(known.done) {
			known.done, known.last = found.listed, found
		}
	}
	ordered := make([]*group, 0, len(byName))
	for _, known := range byName {
		if known.whole {
			ordered = append(ordered, known)
		}
	}
	slices.SortFunc(ordered, func(a, b *group) int {
		return cmp.Or(a.done.Compare(b.done), strings.Compare(a.name, b.name))
	})
	return ordered
}

// criticalPath follows the item that completed the last group the trainer needed.
func criticalPath(step *Step, quickest time.Duration) *Path {
	waited := needed(step.groups(), step.Wanted)
	if step.Took() == 0 || len(waited) == 0 || quickest == 0 {
		return nil
	}
	critical := slices.MaxFunc(waited, func(a, b *group) int { return a.done.Compare(b.done) })
	path := &Path{Item: critical.last.id, Group: critical.name, Events: critical.last.events, Runs: critical.last.runs}
	at := step.Submitted
	for _, run := range critical.last.runs {
		path.Waiting += max(0, run.Began.Sub(at))
		path.account(run, quickest)
		at = run.Until
	}
	path.Listing = critical.last.late
	path.Reading = max(0, step.Ended.Sub(critical.last.listed))
	return path
}

// account divides the time of one run.
func (p *Path) account(run Run, quickest time.Duration) {
	took := run.Until.Sub(run.Began)
	useful := min(took, time.Duration(run.Kept-run.After)*quickest)
	p.Working += useful
	if run.Orphaned || run.Kept == run.After {
		// Its owner died, or it brought nothing that was kept. A run at an engine of less than half the quickest pace is slow, however
		// much of its time that takes.
		p.Lost += took - useful
		return
	}
	p.Slow += took - useful
}
