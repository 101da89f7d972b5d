package policy

import (
	"slices"
	"time"
)

// Step is one step of a model: its size when it was requested, and its engine time once that is known.
type Step struct {
	// At is when it was requested.
	At time.Time
	// Tokens is the estimated output of all its items.
	Tokens float64
	// Items is the total time for which its items held slots, Longest the time of the longest one; 0 if not known.
	Items   time.Duration
	Longest time.Duration
	// Count is the number of its items.
	Count int
	// Open means that it has not ended.
	Open bool
}

const (
	// recentSteps is the number of a model's last steps that determine its load: few enough to follow a shift of load
	// within some steps, and enough for one outlier not to decide alone.
	recentSteps = 4
	// initialTokenTime is the assumed slot time per token of estimated output before any step has been measured. Only
	// the ratio between models depends on it; it fits engines of a hundred billion parameters.
	initialTokenTime = time.Millisecond
	// idleIntervals is the number of intervals after its last step from which a model without an open step counts as
	// idle.
	idleIntervals = 5
)

// StepLoads returns the expected load of each model's next steps, from its last steps in order of time. Load is the slot
// time of a step, not its rate: a model that falls behind requests fewer steps and must not lose engines for that. A
// model without measurements gets the mean of the others, and one whose trainer is idle has no load.
func StepLoads(steps map[string][]Step, now time.Time) map[string]StepLoad {
	all := stepTotals{}
	own := make(map[string]stepTotals, len(steps))
	var intervals []time.Duration
	for model, recorded := range steps {
		totals := sumSteps(recorded[max(0, len(recorded)-recentSteps):])
		own[model] = totals
		all.add(totals)
		if gap := meanGap(recorded); gap > 0 {
			intervals = append(intervals, gap)
		}
	}
	usual := Median(intervals)
	loads := make(map[string]StepLoad, len(steps))
	for model, recorded := range steps {
		interval := usual
		if gap := meanGap(recorded); gap > 0 {
			interval = min(gap, usual)
		}
		if isIdle(recorded, interval, now) {
			loads[model] = StepLoad{}
			continue
		}
		load := own[model].load(all, interval)
		load.Behind = min(lateness(recorded), interval)
		loads[model] = load
	}
	return loads
}

// latenessWindow is the number of a model's last steps from which the lateness of its trainer is computed. At steps of a
// few seconds it reaches back before an outage of some tens of seconds, and a trainer that changes its interval has a
// new schedule within about a minute.
const latenessWindow = 16

// lateness returns how late the last step was requested. Trainers request steps at even times, or later where they wait
// for earlier steps. The shortest mean interval from the first step to any other one is therefore the trainer's
// interval, if any step was on time.
func lateness(steps []Step) time.Duration {
	steps = steps[max(0, len(steps)-latenessWindow):]
	if len(steps) < 2 {
		return 0
	}
	first := steps[0].At
	interval := steps[1].At.Sub(first)
	for i, step := range steps[2:] {
		interval = min(interval, step.At.Sub(first)/time.Duration(i+2))
	}
	lastIndex := len(steps) - 1
	return steps[lastIndex].At.Sub(first) - time.Duration(lastIndex)*interval
}

// isIdle reports whether the trainer of a model has requested nothing for idleIntervals.
func isIdle(steps []Step, interval time.Duration, now time.Time) bool {
	if len(steps) == 0 || interval == 0 {
		return false
	}
	for _, step := range steps {
		if step.Open {
			return false
		}
	}
	return now.Sub(steps[len(steps)-1].At) > idleIntervals*interval
}

// stepTotals sums up steps; the measured fields cover those whose times are known.
type stepTotals struct {
	steps  int
	tokens float64

	measured       int
	measuredTokens float64
	itemTime       time.Duration
	longest        time.Duration
	measuredItems  int
}

func sumSteps(steps []Step) stepTotals {
	var totals stepTotals
	for _, step := range steps {
		totals.steps++
		totals.tokens += step.Tokens
		if step.Items > 0 && step.Tokens > 0 {
			totals.measured++
			totals.measuredTokens += step.Tokens
			totals.itemTime += step.Items
			totals.longest += step.Longest
			totals.measuredItems += step.Count
		}
	}
	return totals
}

func (o *stepTotals) add(other stepTotals) {
	o.steps += other.steps
	o.tokens += other.tokens
	o.measured += other.measured
	o.measuredTokens += other.measuredTokens
	o.itemTime += other.itemTime
	o.longest += other.longest
	o.measuredItems += other.measuredItems
}

// load returns the expected load of a step. Where the model's own steps were not measured it is based on those of all
// models.
func (o stepTotals) load(all stepTotals, interval time.Duration) StepLoad {
	load := StepLoad{Interval: interval}
	tokens := all.tokens / float64(max(1, all.steps))
	if o.steps > 0 {
		tokens = o.tokens / float64(o.steps)
	}
	known := o
	if known.measured == 0 {
		known = all
	}
	if known.measured == 0 {
		load.Work = time.Duration(tokens * float64(initialTokenTime))
		return load
	}
	load.Work = time.Duration(tokens * float64(known.itemTime) / known.measuredTokens)
	load.Longest = known.longest / time.Duration(known.measured)
	if known.measuredItems > 0 {
		load.Item = known.itemTime / time.Duration(known.measuredItems)
	}
	return load
}

// meanGap returns the mean time between the last steps, 0 if there are fewer than two. A step whose submission was
// delayed arrives late and the next one soon after it. The mean over the gaps is not affected, while a single gap may be
// far off.
func meanGap(steps []Step) time.Duration {
	last := steps[max(0, len(steps)-recentSteps-1):]
	if len(last) < 2 {
		return 0
	}
	return last[len(last)-1].At.Sub(last[0].At) / time.Duration(len(last)-1)
}

// Median returns the median of some durations, the lower one of two, 0 if there are none. The slice is not changed.
func Median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
