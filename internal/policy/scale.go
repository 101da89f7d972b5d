package policy

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// maxWaitShare is the part of its longest item's time by which the typical step may be longer for lack of engines.
	// The rest of the time allowed for a step covers steps that arrive while others are late, and lost engines.
	maxWaitShare = 0.5
	// keptWaitShare is the same for engines that exist anyway: keeping one up to date costs no more than one load per
	// version.
	keptWaitShare = 0.1
	// keptSlack is the share by which the engines kept up to date may exceed the need before any is dropped.
	keptSlack = 0.34
	// unmeasuredStepLimit is the allowed slot time of the typical step while the time of its longest item is unknown;
	// some items wait at most that long for their first slot. It limits what is loaded and ordered before the first step
	// has ended.
	unmeasuredStepLimit = time.Second
	// minShrinkShare is the share of the engines that must be surplus before any are released. One step more or less
	// changes the measured load by less.
	minShrinkShare = 0.25
)

// EnginesWanted returns how many engines with a number of slots each the steps of some models need: the smallest number
// between lower and upper with which the typical step exceeds its longest item by no more than maxWaitShare. It is upper
// if no number suffices, and lower if no load is known.
func EnginesWanted(slots float64, loads []StepLoad, lower, upper int) int {
	return minEngines(slots, loads, lower, upper, maxWaitShare)
}

// EnginesKept returns how many of a pool's engines are kept up to date, given the previous number: all while no load is
// known, and otherwise enough to bring steps within keptWaitShare of their shortest time. A pool that is much larger
// than its load would make most of its weight loads for nothing.
func EnginesKept(slots float64, loads []StepLoad, engines, previous int) int {
	if !slices.ContainsFunc(loads, func(load StepLoad) bool { return load.Work > 0 }) {
		return engines
	}
	wanted := minEngines(slots, loads, min(engines, len(loads)), engines, keptWaitShare)
	if previous >= wanted && float64(previous) <= (1+keptSlack)*float64(wanted)+1 {
		wanted = previous
	}
	return min(wanted, engines)
}

// minEngines returns the smallest number of engines with which the typical step exceeds its longest item by no more than
// a share.
func minEngines(slots float64, loads []StepLoad, lower, upper int, share float64) int {
	var busy []StepLoad
	for _, load := range loads {
		if load.Work > 0 {
			// Lateness affects the division of engines between models. The total depends on step times only.
			load.Behind = 0
			busy = append(busy, load)
		}
	}
	if len(busy) == 0 {
		return lower
	}
	unlimited := make([]int, len(busy))
	for i := range unlimited {
		unlimited[i] = 1 << 20
	}
	allowed := time.Duration((1 + share) * float64(TypicalStep(unlimited, slots, busy)))
	if !slices.ContainsFunc(busy, func(load StepLoad) bool { return load.Longest > 0 }) {
		allowed = unmeasuredStepLimit
	}
	// More engines never make a step longer.
	above := sort.Search(upper-lower, func(above int) bool {
		return TypicalStep(AssignEngines(lower+above, slots, busy), slots, busy) <= allowed
	})
	return lower + above
}

// ZoneEngines describes the engines of a pool that are available in a zone.
type ZoneEngines struct {
	Zone string
	// Regular is the number of regular engines that exist and are not leaving.
	Regular int
	// Preemptible is the number of preemptible engines in the last order.
	Preemptible int
	// Price is the cost of a preemptible engine, relative to other zones.
	Price float64
	// Refused means that the zone recently had no further preemptible engines.
	Refused bool
}

// Reclaimed returns how many of the preemptible engines ordered in a zone the provider takes away, given how many were present,
// are present now and have announced that they leave. Engines that are missing without an announcement are booting or being
// replaced by the provider.
func Reclaimed(ordered, before, present, leaving int) int {
	if leaving == 0 {
		return 0
	}
	return max(0, min(ordered, before)-present)
}

// ScaleOrders returns how many preemptible engines to order in each zone, in the order of zones, so that a pool reaches
// the wanted number together with its regular engines. zoneLimit is the maximum number of engines in a zone. Orders are
// distributed evenly, the cheapest zone first, since a zone loses all its preemptible engines at once. A zone without
// further engines keeps its last order. Engines are released only if many are surplus: they cost little compared with a
// late step, and each one that returns has to boot.
func ScaleOrders(wanted, zoneLimit int, zones []ZoneEngines) []int {
	orders := make([]int, len(zones))
	regular, ordered := 0, 0
	for _, zone := range zones {
		regular += zone.Regular
		ordered += zone.Preemptible
	}
	missing := max(0, wanted-regular)
	if missing < ordered && float64(ordered-missing) < minShrinkShare*float64(regular+ordered) {
		missing = ordered
	}
	byPrice := make([]int, len(zones))
	for i := range byPrice {
		byPrice[i] = i
	}
	slices.SortStableFunc(byPrice, func(a, b int) int {
		return cmp.Or(cmp.Compare(zones[a].Price, zones[b].Price), cmp.Compare(zones[a].Zone, zones[b].Zone))
	})
	for missing > 0 {
		next := -1
		for _, i := range byPrice {
			available := zoneLimit - zones[i].Regular
			if zones[i].Refused {
				available = min(available, zones[i].Preemptible)
			}
			if orders[i] < available && (next < 0 || orders[i] < orders[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		orders[next]++
		missing--
	}
	return orders
}
