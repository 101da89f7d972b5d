package policy

import "math"

// Demand is one workload's demand for slots of an engine.
type Demand struct {
	Workload    string
	Interactive bool
	// Share is the guaranteed part of the slots, 0 to 1.
	Share float64
	// Running is the number of streams that hold a slot now.
	Running int
	// Waiting is the number of streams that wait for a slot.
	Waiting int
	// Headroom is the number of streams expected soon. Slots for them are not lent to other workloads, but no stream is
	// preempted for them.
	Headroom int
	// Used is the mean number of slots that the workload held recently. It decides between interactive workloads, which
	// keep their slots until their streams end.
	Used float64
}

func (d Demand) total() int { return d.Running + d.Waiting + d.Headroom }

// present is the demand that exists now.
func (d Demand) present() int { return d.Running + d.Waiting }

// Allocation is the allocation of one workload.
type Allocation struct {
	Workload string
	// Guaranteed is the number of slots that no other workload may withhold.
	Guaranteed int
	// Target is the number of streams that may run, borrowed slots included.
	Target int
	// Preempt is the number of running streams that must release their slots at once.
	Preempt int
}

// Allocate divides the slots of one engine. Every workload first gets its guaranteed slots, as far as it has demand. The
// rest is lent: to present interactive work, then to expected interactive work, then to training, each by weighted
// max-min fairness; interactive workloads that held slots recently come later, so that few slots rotate. Lent slots are
// reclaimed by preemption of training when a workload below its guarantee, or interactive work below its target, finds
// no free slot; other workloads get theirs as streams end.
//
// offset, from 0 to below 1, distributes the rounding of shares: over engines with evenly spread offsets (see
// ShareOffset) each workload gets its exact share. Allocations have the order of the demands; the sum of targets never
// exceeds the slots.
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

// ShareOffset returns the offset of the engine at a rank of its pool. The fractional parts of multiples of the golden
// ratio stay evenly spread, however many engines there are.
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

// snap removes rounding errors from a sum that is a whole number of slots beyond the offset.
func snap(cumulated, offset float64) float64 {
	const tolerance = 1e-9
	whole := math.Round(cumulated - offset)
	if math.Abs(cumulated-offset-whole) < tolerance {
		return whole + offset
	}
	return cumulated
}

// trimGuarantees keeps the sum within the slots when the shares add up to more than 1.
func trimGuarantees(slots int, allocations []Allocation) []Allocation {
	left := slots
	for i := range allocations {
		allocations[i].Guaranteed = min(allocations[i].Guaranteed, left)
		left -= allocations[i].Guaranteed
	}
	return allocations
}

// interactivePresent, interactiveTotal and trainingTotal are the classes of demand to which slots are lent. Each returns
// how many slots of a demand are in its class.
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

// lend gives the remaining slots, one by one, to the workload of the class with the lowest weighted use, and returns how
// many are left.
func lend(left int, demands []Demand, allocations []Allocation, wanted func(Demand) int) int {
	for left > 0 {
		chosen := -1
		for i, demand := range demands {
			if allocations[i].Target >= wanted(demand) {
				continue
			}
			if chosen < 0 || weightedUse(demand, allocations[i]) < weightedUse(demands[chosen], allocations[chosen]) {
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

// weightedUse returns the use of a workload with one more slot, divided by its weight. Recent use of interactive work
// counts for more than current slots: where these are fewer than the workloads, only time can be shared.
func weightedUse(demand Demand, allocation Allocation) float64 {
	const (
		minWeight  = 0.01
		usedWeight = 8
	)
	slots := float64(allocation.Target + 1)
	if demand.Interactive {
		slots += usedWeight * demand.Used
	}
	return slots / math.Max(demand.Share, minWeight)
}

// reclaim sets the number of streams that each workload must release.
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

// mostOverTarget returns the index of the training workload furthest above its target, -1 if there is none.
func mostOverTarget(demands []Demand, allocations []Allocation) int {
	victim, maxOver := -1, 0
	for i, demand := range demands {
		over := demand.Running - allocations[i].Preempt - allocations[i].Target
		if !demand.Interactive && over > maxOver {
			victim, maxOver = i, over
		}
	}
	return victim
}
