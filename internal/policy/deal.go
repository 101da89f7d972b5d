package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// StepLoad is the load that the steps of one model put on the engines assigned to it.
type StepLoad struct {
	// Work is the total time for which the items of one step hold slots.
	Work time.Duration
	// Longest is the time for which the longest item that the trainer waits for holds its slot. More engines don't
	// shorten it.
	Longest time.Duration
	// Item is the mean time for which an item holds its slot, 0 if it is not known.
	Item time.Duration
	// Interval is the time between two steps, 0 if it is not known.
	Interval time.Duration
	// Priority is the rank of the model's jobs, 0 first.
	Priority int
	// Behind is how late the trainer requested its last step, at most one interval.
	Behind time.Duration
}

const (
	// maxUtilization is the utilization above which engines count as overloaded. The wait in a queue that is never empty
	// is unbounded, and overloaded models must still be comparable.
	maxUtilization = 0.95
	// stepCostExponent is the exponent of the step time in the cost of a step. A slightly shorter step is worth nothing
	// to a trainer that keeps up and a whole step to one that does not, so the longest steps must dominate. A power
	// keeps the gain of each engine in the sum, whereas the maximum alone would assign all engines to a model whose time
	// is limited by its longest item.
	stepCostExponent = 4
	// priorityFactor is the factor by which a step costs more for each rank that it is more urgent. With the exponent
	// above, one rank makes steps about 10% shorter: enough to decide among equals, and too little to starve the others.
	priorityFactor = 1.5
)

// StepTime returns the expected duration of a step on a number of engines with a number of slots each: the time of its
// longest item, plus the time for which slots are taken by the step's other items and, with rising utilization, by those
// of earlier steps. It falls with the number of engines, with diminishing returns.
func StepTime(load StepLoad, engines int, slots float64) time.Duration {
	if engines <= 0 || slots <= 0 {
		return math.MaxInt64
	}
	count := float64(engines)
	alone := float64(load.Work) / slots
	if load.Interval <= 0 {
		return load.Longest + time.Duration(alone/count)
	}
	// needed is the number of engines at full utilization, enough the number at maxUtilization.
	needed := alone / float64(load.Interval)
	enough := needed / maxUtilization
	if count >= enough {
		return load.Longest + time.Duration(alone/(count-needed))
	}
	// Below enough engines, the curve is extrapolated linearly with its slope there.
	spare := enough - needed
	return load.Longest + time.Duration(alone/spare+(enough-count)*alone/(spare*spare))
}

// AssignEngines returns how many of a pool's engines, with a number of slots each, are assigned to each model. Every
// model gets one before any gets two, by priority and then by work. Each further engine goes where it saves most of the
// cost of steps, which rises with a power of their time. The cost of a model is convex in its engines, so that no other
// assignment costs less in total.
func AssignEngines(engines int, slots float64, loads []StepLoad) []int {
	assigned := make([]int, len(loads))
	byNeed := make([]int, len(loads))
	for i := range byNeed {
		byNeed[i] = i
	}
	slices.SortStableFunc(byNeed, func(a, b int) int {
		return cmp.Or(cmp.Compare(loads[a].Priority, loads[b].Priority), cmp.Compare(loads[b].Work, loads[a].Work))
	})
	for _, i := range byNeed[:min(engines, len(byNeed))] {
		assigned[i] = 1
	}
	if engines <= len(loads) {
		return assigned
	}
	gain := func(i int) float64 {
		return stepCost(loads[i], assigned[i], slots) - stepCost(loads[i], assigned[i]+1, slots)
	}
	gains := make([]float64, len(loads))
	for i := range gains {
		gains[i] = gain(i)
	}
	for range engines - len(loads) {
		best := byNeed[0]
		for _, i := range byNeed {
			if gains[i] > gains[best] || gains[i] == gains[best] && assigned[i] < assigned[best] {
				best = i
			}
		}
		assigned[best]++
		gains[best] = gain(best)
	}
	return assigned
}

// AssignmentCost returns the total cost of the steps of all models with these numbers of engines, in seconds to the
// power of stepCostExponent.
func AssignmentCost(assigned []int, slots float64, loads []StepLoad) float64 {
	total := 0.0
	for i, load := range loads {
		total += stepCost(load, assigned[i], slots)
	}
	return total
}

// stepCost returns the cost of a step. The lateness of its trainer counts as part of the step's time: the weights are
// that much later for their consumers, and while steps are requested one ahead only shorter steps let the trainer catch
// up.
func stepCost(load StepLoad, engines int, slots float64) float64 {
	late := StepTime(load, engines, slots).Seconds() + load.Behind.Seconds()
	return math.Pow(late, stepCostExponent) * math.Pow(priorityFactor, -float64(load.Priority))
}

// WorthReassigning reports whether replacing the current assignment by the proposed one pays. Each engine that changes
// its model rereads all prompts and may load weights once more than otherwise, so that its model is one engine short for
// the time of a load. The gain of the typical step must exceed that.
func WorthReassigning(current, proposed []int, slots float64, loads []StepLoad, load time.Duration) bool {
	moved := 0
	for i := range current {
		moved += max(0, proposed[i]-current[i])
	}
	if moved == 0 {
		return false
	}
	before, after := TypicalStep(current, slots, loads), TypicalStep(proposed, slots, loads)
	engines := 0
	for _, count := range current {
		engines += count
	}
	return before-after > load*time.Duration(moved)/time.Duration(max(1, engines))
}

// TypicalStep returns the duration of a step whose cost is the mean over all models, lateness included.
func TypicalStep(assigned []int, slots float64, loads []StepLoad) time.Duration {
	weights := 0.0
	for _, load := range loads {
		weights += math.Pow(priorityFactor, -float64(load.Priority))
	}
	if weights == 0 {
		return 0
	}
	mean := AssignmentCost(assigned, slots, loads) / weights
	return time.Duration(math.Pow(mean, 1.0/stepCostExponent) * float64(time.Second))
}
