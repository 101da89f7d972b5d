package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// StepLoad is what the steps of one model ask of the engines that are kept up to date for it.
type StepLoad struct {
	// Work is how long the items of one step hold places of engines, all taken together.
	Work time.Duration
	// Longest is how long the longest item that the trainer waits for holds its place. No further engine shortens it.
	Longest time.Duration
	// Interval is the time between two steps, 0 if it is not known.
	Interval time.Duration
	// Priority is the rank of the model's jobs, 0 first.
	Priority int
	// Behind is how late the trainer asked for its last step, at most one interval.
	Behind time.Duration
}

const (
	// busyMost is the part of their time beyond which engines are taken to be overloaded: the wait at a queue that is never
	// empty has no bound, and a model there is to be compared with others all the same.
	busyMost = 0.95
	// stepCostPower is the power of a step's time that it costs. A step that ends a little sooner is worth nothing to a trainer
	// that keeps up, and a whole step to one that does not, so that the longest steps are to count most; a power keeps what an
	// engine saves in the sum, where the maximum alone would give all engines to a model whose longest item decides.
	stepCostPower = 4
	// urgentWeight is how much more a step costs whose jobs are one rank more urgent. By the power above it makes their steps
	// some 10% shorter: enough to decide among equals, and too little to starve the others.
	urgentWeight = 1.5
)

// StepTime returns how long a step is expected to take on so many engines of so many places each: its longest item, and before
// that the time in which the places are taken by the step's other items and, the busier they are, by those of the steps before.
// It falls with engines, ever more slowly.
func StepTime(load StepLoad, engines int, slots float64) time.Duration {
	if engines <= 0 || slots <= 0 {
		return math.MaxInt64
	}
	count := float64(engines)
	alone := float64(load.Work) / slots
	if load.Interval <= 0 {
		return load.Longest + time.Duration(alone/count)
	}
	// needed engines would be busy all the time; with enough of them, busyMost of it.
	needed := alone / float64(load.Interval)
	enough := needed / busyMost
	if count >= enough {
		return load.Longest + time.Duration(alone/(count-needed))
	}
	// Below that the line goes on as steeply as it is there.
	spare := enough - needed
	return load.Longest + time.Duration(alone/spare+(enough-count)*alone/(spare*spare))
}

// Deal returns how many of a pool's engines, of so many places each, are kept up to date for each model. Every model has one
// before any has two, the most urgent and busiest ones first. Each further engine goes where it saves most of the cost of
// steps, which rises with a power of their time. The cost of a model falls ever more slowly with its engines, so that no other
// numbers come to less in all.
func Deal(engines int, slots float64, loads []StepLoad) []int {
	dealt := make([]int, len(loads))
	byNeed := make([]int, len(loads))
	for i := range byNeed {
		byNeed[i] = i
	}
	slices.SortStableFunc(byNeed, func(a, b int) int {
		return cmp.Or(cmp.Compare(loads[a].Priority, loads[b].Priority), cmp.Compare(loads[b].Work, loads[a].Work))
	})
	for _, i := range byNeed[:min(engines, len(byNeed))] {
		dealt[i] = 1
	}
	if engines <= len(loads) {
		return dealt
	}
	gain := func(i int) float64 {
		return stepCost(loads[i], dealt[i], slots) - stepCost(loads[i], dealt[i]+1, slots)
	}
	gains := make([]float64, len(loads))
	for i := range gains {
		gains[i] = gain(i)
	}
	for range engines - len(loads) {
		best := byNeed[0]
		for _, i := range byNeed {
			if gains[i] > gains[best] || gains[i] == gains[best] && dealt[i] < dealt[best] {
				best = i
			}
		}
		dealt[best]++
		gains[best] = gain(best)
	}
	return dealt
}

// DealCost returns what the steps of all models cost with these numbers of engines, in powers of seconds.
func DealCost(dealt []int, slots float64, loads []StepLoad) float64 {
	total := 0.0
	for i, load := range loads {
		total += stepCost(load, dealt[i], slots)
	}
	return total
}

// stepCost is what a step costs. One whose trainer is behind costs as though it took that much longer: it is later by so much for whoever
// waits for the weights, and while steps are asked one ahead only shorter ones bring the trainer back.
func stepCost(load StepLoad, engines int, slots float64) float64 {
	late := StepTime(load, engines, slots).Seconds() + load.Behind.Seconds()
	return math.Pow(late, stepCostPower) * math.Pow(urgentWeight, -float64(load.Priority))
}

// WorthDealing tells whether engines had better be dealt anew. Each engine that changes its model reads all prompts anew, and
// may have to load once more than it would have: for the time of a load its model is one engine short. That must be
// outweighed by what the typical step gains.
func WorthDealing(dealt, better []int, slots float64, loads []StepLoad, load time.Duration) bool {
	moved := 0
	for i := range dealt {
		moved += max(0, better[i]-dealt[i])
	}
	if moved == 0 {
		return false
	}
	before, after := TypicalStep(dealt, slots, loads), TypicalStep(better, slots, loads)
	engines := 0
	for _, count := range dealt {
		engines += count
	}
	return before-after > load*time.Duration(moved)/time.Duration(max(1, engines))
}

// TypicalStep returns the time of the step whose cost is the mean of all models', lateness included.
func TypicalStep(dealt []int, slots float64, loads []StepLoad) time.Duration {
	weights := 0.0
	for _, load := range loads {
		weights += math.Pow(urgentWeight, -float64(load.Priority))
	}
	if weights == 0 {
		return 0
	}
	mean := DealCost(dealt, slots, loads) / weights
	return time.Duration(math.Pow(mean, 1.0/stepCostPower) * float64(time.Second))
}
