package policy

import (
	"cmp"
	"slices"
	"time"
)

// LeavingRun is a run at an engine that has announced that it leaves.
type LeavingRun struct {
	// Events is the expected number of events left of the run, 0 if it is not known.
	Events float64
	// Pace is the time between two events at the engine, 0 if it is not known.
	Pace time.Duration
	// Slack is how long the run may take from now on without delaying its step, 0 if it has none or its slack is not known.
	Slack time.Duration
	// LeavesIn is the time until the engine ends; it is meaningful only if LeavesKnown is set.
	LeavesIn    time.Duration
	LeavesKnown bool
}

// remaining returns the expected time until the run ends at its engine, 0 if it is not known.
func (r LeavingRun) remaining() time.Duration {
	return time.Duration(r.Events * float64(r.Pace))
}

// endsInTime reports whether the run is expected to end before its engine. If the end of the engine is not known, only a run
// that ends within the cost of a move counts as ending in time.
func (r LeavingRun) endsInTime() bool {
	limit := minMoveGain
	if r.LeavesKnown {
		limit = r.LeavesIn
	}
	return r.remaining() > 0 && r.remaining() <= limit
}

// critical reports whether the run would delay its step if it broke off with its engine: its slack does not cover the rest of
// the run and a move.
func (r LeavingRun) critical() bool {
	return r.remaining() > 0 && r.Slack < r.remaining()+minMoveGain
}

// Departure is what happens to a run at a leaving engine.
type Departure int

// Departures of runs.
const (
	// DepartureStay means that the run stays where it is for now.
	DepartureStay Departure = iota
	// DepartureMove means that the run moves to a free slot.
	DepartureMove
	// DepartureRequest means that the run stays until it is assigned one of the next slots that other work releases.
	DepartureRequest
)

// Departures decides which runs of one kind move off leaving engines, given the number of free slots at engines that stay and
// the times after which further slots there are expected to be released. The runs with the longest remaining time move first;
// those of unknown remaining time come last. A run that ends in time stays.
//
// A run that finds no free slot requests one of the next slots if it is critical, or if a slot is expected to be released
// before its engine leaves. Each expected slot is counted for one run.
func Departures(runs []LeavingRun, free int, released []time.Duration) []Departure {
	departures := make([]Departure, len(runs))
	pending := slices.Sorted(slices.Values(released))
	for _, i := range longestFirst(runs) {
		run := runs[i]
		inTime := len(pending) > 0 && run.LeavesKnown && pending[0] < run.LeavesIn
		switch {
		case run.endsInTime():
		case free > 0:
			departures[i] = DepartureMove
			free--
		case run.critical() || inTime:
			departures[i] = DepartureRequest
			if inTime {
				pending = pending[1:]
			}
		}
	}
	return departures
}

// longestFirst returns the indices of runs in the order of their remaining time, the longest first.
func longestFirst(runs []LeavingRun) []int {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(runs[b].remaining(), runs[a].remaining()) })
	return order
}
