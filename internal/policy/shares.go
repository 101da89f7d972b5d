package policy

import "math"

// Demand is what one workload asks of an engine.
type Demand struct {
	Workload    string
	Interactive bool
	// Share is the guaranteed part of the slots, 0 to 1.
	Share float64
	// Running is how many streams hold a slot now.
	Running int
	// Waiting is how many more would run if they could.
	Waiting int
	// Headroom is how many more are expected to come soon. Slots for them are not lent to others, but nobody has to give
	// way for them.
	Headroom int
	// Used is how many slots the workload held lately, in the mean. Between interactive workloads, which keep their slots
	// until their streams end, it tells whose turn it is.
	Used float64
}

func (d Demand) total() int { return d.Running + d.Waiting + d.Headroom }

// present is the demand that is there now.
func (d Demand) present() int { return d.Running + d.Waiting }

// Allocation is what one workload may have.
type Allocation struct {
	Workload string
	// Guaranteed is how many slots nobody else may keep from the workload.
	Guaranteed int
	// Target is how many streams may run, borrowed slots included.
	Target int
	// Preempt is how many running streams have to give their slots back at once.
	Preempt int
}

// Allocate shares the slots of one engine out. Every workload first gets its guaranteed slots, as far as it has demand.
// What is left is lent: to interactive work that is there, then to such as is expected, then to training, each by
// weighted max-min; interactive workloads that held slots lately come later, so that a few slots go round. Slots that were lent are
// reclaimed by preemption of training when a workload below its guarantee, or interactive work below its target, finds
// no free slot; other workloads get theirs as streams end.
//
// offset, from 0 to below 1, spreads the rounding of shares: over engines with evenly spread offsets (see ShareOffset)
// each workload gets its exact share.
// Allocations come in the order of the demands; the sum of targets never exceeds the slots.
func Allocate(slots int, offset float64, demands []Demand) []Allocation {
	allocations := guarantees(slots, offset, demands)
	left := slots
	for i := range allocations {
		allocations[i].Target = min(allocations[i].Guaranteed, demands[i].total())
		left -= allocations[i].Target
	}
	left = lend(left, demands, allocations, interactivePresent)
	left = lend(left, demands, allocations, interactiveTotal)
	lend(left, demands, allocations, trainingTotal)
	reclaim(slots, demands, allocations)
	return allocations
}

// ShareOffset is the offset of the engine at a rank of its pool. The multiples of the golden ratio stay evenly spread,
// however many engines there are.
func ShareOffset(rank int) float64 {
	_, fraction := math.Modf(float64(rank) / math.Phi)
	return fraction
}

// guarantees rounds the shares to whole slots by systematic rounding: each is within one of its exact part, the sum
// never exceeds the slots, and the mean over evenly spread offsets is exact.
func guarantees(slots int, offset float64, demands []Demand) []Allocation {
	allocations := make([]Allocation, len(demands))
	cumulated := offset
	for i, demand := range demands {
		before := math.Floor(cumulated)
		cumulated += math.Max(demand.Share, 0) * float64(slots)
		// The tolerance keeps sums such as 0.1+0.2+0.7 from losing a slot to binary fractions.
		cumulated = snap(cumulated, offset)
		whole := int(math.Floor(cumulated) - before)
		allocations[i] = Allocation{Workload: demand.Workload, Guaranteed: min(whole, slots)}
	}
	return trimGuarantees(slots, allocations)
}

// snap moves a sum that is a whole number of slots beyond the offset, but for rounding errors, onto it.
func snap(cumulated, offset float64) float64 {
	const tolerance = 1e-9
	whole := math.Round(cumulated - offset)
	if math.Abs(cumulated-offset-whole) < tolerance {
		return whole + offset
	}
	return cumulated
}

// trimGuarantees keeps the sum within the slots when the shares add up to more than the whole.
func trimGuarantees(slots int, allocations []Allocation) []Allocation {
	left := slots
	for i := range allocations {
		allocations[i].Guaranteed = min(allocations[i].Guaranteed, left)
		left -= allocations[i].Guaranteed
	}
	return allocations
}

// The classes of demand that slots are lent to. Each tells how many slots of a demand belong to it.
func interactivePresent(d Demand) int {
	if !d.Interactive {
		return 0
	}
	return d.present()
}

func interactiveTotal(d Demand) int {
	if !d.Interactive {
		return 0
	}
	return d.total()
}

func trainingTotal(d Demand) int {
	if d.Interactive {
		return 0
	}
	return d.total()
}

// lend gives the slots left, one by one, to the workload of the class that is worst off for its weight.
func lend(left int, demands []Demand, allocations []Allocation, wanted func(Demand) int) int {
	for left > 0 {
		chosen := -1
		for i, demand := range demands {
			if allocations[i].Target >= wanted(demand) {
				continue
			}
			if chosen < 0 || level(demand, allocations[i]) < level(demands[chosen], allocations[chosen]) {
				chosen = i
			}
		}
		if chosen < 0 {
			return left
		}
		allocations[chosen].Target++
		left--
	}
	return left
}

// level is how well off a workload would be with one slot more, for its weight. What interactive work used lately counts
// for more than the slots at hand: where these are fewer than the workloads, only time can be shared.
func level(demand Demand, allocation Allocation) float64 {
	const (
		leastWeight = 0.01
		usedWeight  = 8
	)
	slots := float64(allocation.Target + 1)
	if demand.Interactive {
		slots += usedWeight * demand.Used
	}
	return slots / math.Max(demand.Share, leastWeight)
}

// reclaim marks the streams that have to give way.
func reclaim(slots int, demands []Demand, allocations []Allocation) {
	free := slots
	urgent := 0
	for i, demand := range demands {
		free -= demand.Running
		entitled := allocations[i].Guaranteed
		if demand.Interactive {
			entitled = allocations[i].Target
		}
		entitled = min(entitled, demand.present())
		urgent += max(0, entitled-demand.Running)
	}
	for missing := urgent - max(free, 0); missing > 0; missing-- {
		victim := mostOverTarget(demands, allocations)
		if victim < 0 {
			return
		}
		allocations[victim].Preempt++
	}
}

// mostOverTarget finds the training workload furthest above its target; -1 where there is none.
func mostOverTarget(demands []Demand, allocations []Allocation) int {
	victim, most := -1, 0
	for i, demand := range demands {
		over := demand.Running - allocations[i].Preempt - allocations[i].Target
		if !demand.Interactive && over > most {
			victim, most = i, over
		}
	}
	return victim
}
