package policy

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// waitShare is the part of its longest item's time by which the typical step may be longer for want of engines. Steps that come
	// while others are behind, and engines that are lost, take up the rest of what a step is allowed.
	waitShare = 0.5
	// keptShare is the same for engines that are there anyway: one that is kept up to date costs a load a version and no more.
	keptShare = 0.1
	// keptSlack is the part by which more engines than needed stay up to date before any is left behind.
	keptSlack = 0.34
	// unmeasuredStep is how long the items of a typical step may hold places while it is not known how long the longest of them takes:
	// some have to wait no longer than that for their first place. It bounds what is loaded and ordered before the first step has ended.
	unmeasuredStep = time.Second
	// shrinkShare is the part of the engines that must be needless before any are given back: a step more or less changes what the
	// last steps took by less.
	shrinkShare = 0.25
)

// EnginesWanted returns how many engines of so many places each the steps of some models ask for: the fewest with which the typical step
// is longer than its longest item by no more than waitShare, at least least and at most most. It is most if no number does, and least
// if nothing is known of any step.
func EnginesWanted(slots float64, loads []StepLoad, least, most int) int {
	return fewest(slots, loads, least, most, waitShare)
}

// EnginesKept returns how many of a pool's engines are kept up to date, of which so many were before: all while nothing is known of any
// step, and otherwise as many as bring steps within keptShare of their shortest. A pool that is much larger than its work would load
// most of its weights for nothing.
func EnginesKept(slots float64, loads []StepLoad, engines, before int) int {
	if !slices.ContainsFunc(loads, func(load StepLoad) bool { return load.Work > 0 }) {
		return engines
	}
	wanted := fewest(slots, loads, min(engines, len(loads)), engines, keptShare)
	if before >= wanted && float64(before) <= (1+keptSlack)*float64(wanted)+1 {
		wanted = before
	}
	return min(wanted, engines)
}

// fewest returns the least number of engines with which the typical step is longer than its longest item by no more than a share.
func fewest(slots float64, loads []StepLoad, least, most int, share float64) int {
	var busy []StepLoad
	for _, load := range loads {
		if load.Work > 0 {
			// Engines are shared by who is behind; how many there are to be is a matter of what steps take.
			load.Behind = 0
			busy = append(busy, load)
		}
	}
	if len(busy) == 0 {
		return least
	}
	endless := make([]int, len(busy))
	for i := range endless {
		endless[i] = 1 << 20
	}
	allowed := time.Duration((1 + share) * float64(TypicalStep(endless, slots, busy)))
	if !slices.ContainsFunc(busy, func(load StepLoad) bool { return load.Longest > 0 }) {
		allowed = unmeasuredStep
	}
	// More engines never make a step longer.
	above := sort.Search(most-least, func(above int) bool {
		return TypicalStep(Deal(least+above, slots, busy), slots, busy) <= allowed
	})
	return least + above
}

// ZoneEngines is what can be had of a pool's engines in a zone.
type ZoneEngines struct {
	Zone string
	// Regular counts the regular engines that are there and are to stay.
	Regular int
	// Preemptible is how many preemptible ones were ordered last.
	Preemptible int
	// Price is what a preemptible engine costs there, relative to other zones.
	Price float64
	// Refused says that no more preemptible engines were to be had there lately.
	Refused bool
}

// ScaleOrders returns how many preemptible engines to order in each zone, in the order given, so that a pool comes to so many engines with
// its regular ones. most bounds the engines of a zone. They are spread evenly, the cheapest zone first, since all of a zone are taken
// away at once. A zone that has no more keeps what was ordered. Engines are given back only if many are needless: what they cost is
// little beside a step that is late, and each that comes back has to boot.
func ScaleOrders(wanted, most int, zones []ZoneEngines) []int {
	orders := make([]int, len(zones))
	regular, ordered := 0, 0
	for _, zone := range zones {
		regular += zone.Regular
		ordered += zone.Preemptible
	}
	missing := max(0, wanted-regular)
	if missing < ordered && float64(ordered-missing) < shrinkShare*float64(regular+ordered) {
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
			room := most - zones[i].Regular
			if zones[i].Refused {
				room = min(room, zones[i].Preemptible)
			}
			if orders[i] < room && (next < 0 || orders[i] < orders[next]) {
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
