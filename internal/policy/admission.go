package policy

import (
	"math"
	"time"
)

// Verdict is what becomes of a request that arrives at an engine.
type Verdict uint8

// Verdicts of admission.
const (
	// VerdictQueue lets the request wait for a slot, which may be free at once.
	VerdictQueue Verdict = iota + 1
	// VerdictRefuse sends the request away before anything ran.
	VerdictRefuse
)

// AdmissionState is what admission looks at.
type AdmissionState struct {
	// InFlight counts the workload's requests that run, Queued those that wait, at this engine.
	InFlight int
	Queued   int
	// MaxInFlight and MaxQueue are the workload's limits; 0 is none.
	MaxInFlight int
	MaxQueue    int
	// Slots is how many streams the engine runs at once.
	Slots int
	// TypicalDuration is how long a request holds its slot.
	TypicalDuration time.Duration
	// Remaining is what is left of the request's deadline; 0 is no deadline.
	Remaining time.Duration
}

// queuePerSlot bounds the queue of a workload that sets no limit, by the engine's slots.
const queuePerSlot = 4

// shortest and longest time that a refused caller is told to stay away.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Admit decides whether a request may wait for a slot. A refusal tells when it pays to come back. A request that would
// pass its deadline in the queue is refused now, while that is still cheap for everybody.
func Admit(state AdmissionState) (verdict Verdict, retryAfter time.Duration) {
	limit := state.MaxQueue
	if limit <= 0 {
		limit = queuePerSlot * max(1, state.Slots)
	}
	wait := expectedWait(state)
	switch {
	case state.MaxInFlight > 0 && state.InFlight+state.Queued >= state.MaxInFlight+limit:
		return VerdictRefuse, clampRetryAfter(wait)
	case state.Queued >= limit:
		return VerdictRefuse, clampRetryAfter(wait)
	case state.Remaining > 0 && wait > state.Remaining:
		return VerdictRefuse, clampRetryAfter(wait)
	}
	return VerdictQueue, 0
}

// expectedWait is how long a request at the end of the queue waits: nothing while slots are free.
func expectedWait(state AdmissionState) time.Duration {
	slots := max(1, state.Slots)
	if state.MaxInFlight > 0 {
		slots = min(slots, state.MaxInFlight)
	}
	ahead := state.InFlight + state.Queued + 1 - slots
	if ahead <= 0 {
		return 0
	}
	turns := math.Ceil(float64(ahead) / float64(slots))
	return time.Duration(turns * float64(state.TypicalDuration))
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
