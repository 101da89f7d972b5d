package policy

import (
	"math"
	"time"
)

// Verdict is the admission decision for a request that arrives at an engine.
type Verdict uint8

const (
	// VerdictQueue admits the request to the queue; a slot may be free at once.
	VerdictQueue Verdict = iota + 1
	// VerdictRefuse refuses the request before anything ran.
	VerdictRefuse
)

// AdmissionState is the input of an admission decision.
type AdmissionState struct {
	// InFlight is the number of the workload's requests that run on this engine, Queued the number that wait.
	InFlight int
	Queued   int
	// MaxInFlight and MaxQueue are the workload's limits; 0 means no limit.
	MaxInFlight int
	MaxQueue    int
	// Slots is the number of streams that the engine runs at once.
	Slots int
	// TypicalDuration is the time for which a request holds its slot.
	TypicalDuration time.Duration
	// Remaining is the time left until the request's deadline; 0 means no deadline.
	Remaining time.Duration
}

// queuePerSlot is the queue length per slot of the engine for a workload that sets no limit.
const queuePerSlot = 4

// Bounds of the retry delay that a refused caller gets.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Admit decides whether a request may wait for a slot. For a refused request it also returns the delay after which a
// retry is worthwhile. A request that would pass its deadline in the queue is refused at once, before it has cost the
// caller or the engine anything.
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

// expectedWait returns the expected wait of a request at the end of the queue, 0 while slots are free.
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
