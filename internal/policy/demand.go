package policy

import (
	"slices"
	"time"
)

// Step is one step of a model: as it was asked, and what it took of engines once that is known.
type Step struct {
	// At is when it was asked.
	At time.Time
	// Tokens is the estimated output of all its items.
	Tokens float64
	// Items is how long its items held places, all taken together, Longest how long the longest one did; 0 if not known.
	Items   time.Duration
	Longest time.Duration
	// Open says that it has not ended.
	Open bool
}

const (
	// stepsKept is how many of a model's last steps count: few enough to follow a shift of work within some steps, and enough for
	// one that went badly not to decide alone.
	stepsKept = 4
	// tokenTimeAtFirst is how long a token of estimated output holds a place before any step has told. Only the ratio of models
	// hangs on it; it is what engines of a hundred billion parameters take.
	tokenTimeAtFirst = time.Millisecond
	// idleIntervals is how many intervals after its last step a model without an open one is taken to rest.
	idleIntervals = 5
)

// StepLoads returns what the next steps of each model ask of engines, from their last ones in order of time. A step counts by what
// it took, not by when it came: a model that is behind asks for fewer steps, and is to have no fewer engines for that. A
// model of which nothing is known is taken for one like the others, and one whose trainer rests asks nothing.
func StepLoads(steps map[string][]Step, now time.Time) map[string]StepLoad {
	all := observed{}
	own := make(map[string]observed, len(steps))
	var intervals []time.Duration
	for model, asked := range steps {
		seen := observe(asked[max(0, len(asked)-stepsKept):])
		own[model] = seen
		all.add(seen)
		if gap := meanGap(asked); gap > 0 {
			intervals = append(intervals, gap)
		}
	}
	usual := Median(intervals)
	loads := make(map[string]StepLoad, len(steps))
	for model, asked := range steps {
		interval := usual
		if gap := meanGap(asked); gap > 0 {
			interval = min(gap, usual)
		}
		if rests(asked, interval, now) {
			loads[model] = StepLoad{}
			continue
		}
		load := own[model].load(all, interval)
		load.Behind = min(behind(asked), interval)
		loads[model] = load
	}
	return loads
}

// behindKept is how many of a model's last steps show how far its trainer is behind. At steps of a few seconds they reach back before an
// outage of some tens of seconds, and a trainer that changes its interval has a new schedule within a minute or so.
const behindKept = 16

// behind returns how late the last step was asked. Trainers ask for steps at even times, or later where they wait for earlier ones, so
// that the shortest mean time from the first step to another one is the trainer's interval if any step was in time.
func behind(asked []Step) time.Duration {
	asked = asked[max(0, len(asked)-behindKept):]
	if len(asked) < 2 {
		return 0
	}
	first := asked[0].At
	interval := asked[1].At.Sub(first)
	for i, step := range asked[2:] {
		interval = min(interval, step.At.Sub(first)/time.Duration(i+2))
	}
	last := len(asked) - 1
	return asked[last].At.Sub(first) - time.Duration(last)*interval
}

// rests tells whether the trainer of a model has asked for nothing for long.
func rests(asked []Step, interval time.Duration, now time.Time) bool {
	if len(asked) == 0 || interval == 0 {
		return false
	}
	for _, step := range asked {
		if step.Open {
			return false
		}
	}
	return now.Sub(asked[len(asked)-1].At) > idleIntervals*interval
}

// observed sums up steps. Those whose times are known are told apart.
type observed struct {
	steps  int
	tokens float64

	measured       int
	measuredTokens float64
	items          time.Duration
	longest        time.Duration
}

func observe(steps []Step) observed {
	var seen observed
	for _, step := range steps {
		seen.steps++
		seen.tokens += step.Tokens
		if step.Items > 0 && step.Tokens > 0 {
			seen.measured++
			seen.measuredTokens += step.Tokens
			seen.items += step.Items
			seen.longest += step.Longest
		}
	}
	return seen
}

func (o *observed) add(other observed) {
	o.steps += other.steps
	o.tokens += other.tokens
	o.measured += other.measured
	o.measuredTokens += other.measuredTokens
	o.items += other.items
	o.longest += other.longest
}

// load returns what a step asks, with what is known of all models where the model's own steps tell nothing.
func (o observed) load(all observed, interval time.Duration) StepLoad {
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
		load.Work = time.Duration(tokens * float64(tokenTimeAtFirst))
		return load
	}
	load.Work = time.Duration(tokens * float64(known.items) / known.measuredTokens)
	load.Longest = known.longest / time.Duration(known.measured)
	return load
}

// meanGap returns the mean time between the last steps, 0 if there are fewer than two. A step that could not be handed in for a while
// comes late and the next one soon after it; the mean of the gaps is as before, where any one of them may be far off.
func meanGap(steps []Step) time.Duration {
	last := steps[max(0, len(steps)-stepsKept-1):]
	if len(last) < 2 {
		return 0
	}
	return last[len(last)-1].At.Sub(last[0].At) / time.Duration(len(last)-1)
}

// Median returns the middle of some times, the lower one of two, 0 if there are none. The slice is not changed.
func Median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
