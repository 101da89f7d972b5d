package policy

import "time"

// Outlook is the pace to expect of an engine. The zero value says that nothing is known.
type Outlook struct {
	// Now and Usual are times between two events; Now is the longer one or the same.
	Now, Usual time.Duration
	// Slowed is how long the engine has been slower than usual.
	Slowed time.Duration
}

// Steady returns the outlook of an engine that keeps one pace.
func Steady(pace time.Duration) Outlook {
	return Outlook{Now: pace, Usual: pace}
}

// Known tells whether the engine's pace is known.
func (o Outlook) Known() bool {
	return o.Usual > 0
}

// Time forecasts how long a number of events takes. A slowdown is expected to last as long again as it has lasted; the other events come
// at the usual pace.
func (o Outlook) Time(events float64) time.Duration {
	slow := 0.0
	if o.Now > o.Usual {
		slow = min(events, float64(o.Slowed)/float64(o.Now))
	}
	return time.Duration(slow*float64(o.Now) + (events-slow)*float64(o.Usual))
}

// Delay returns how much later work with a number of events left ends at an engine than both its slack and the quickest pace allow, 0 if
// either pace is not known.
func Delay(events float64, engine Outlook, quickest, slack time.Duration) time.Duration {
	if !engine.Known() || quickest <= 0 {
		return 0
	}
	return max(0, engine.Time(events)-max(slack, Steady(quickest).Time(events)))
}

// Declines tells whether work that has waited for a time waits on for a quicker engine rather than begin on one that delays it.
// It waits no longer than the delay, so that it ends no later than the delay after the best time, however long quicker
// engines stay full (the ski rental rule: at most twice what knowing would have cost), and never longer than declinesMost.
func Declines(waited, delay time.Duration) bool {
	return waited < min(delay, declinesMost)
}

// declinesMost is how long work declines slow engines at most. Callers allow 5 s at no engine beside free ones, of which placing takes
// some tenths; work that begins on a slow engine moves on once a quicker one has room.
const declinesMost = 3 * time.Second

const (
	// moveGainLeast is what a move must save by the forecast. A move opens a stream and reads the prompt and the text again, some tens of
	// milliseconds at each of two engines; short slowdowns by other work of the engine's machine cost less than that and pass.
	moveGainLeast = 400 * time.Millisecond
	// moveFactor is how much quicker the other engine must be, so that noise in paces moves nothing.
	moveFactor = 1.15
)

// WorthMoving tells whether work with a number of events left should go on at another engine. Time saved within its slack does not count.
func WorthMoving(events float64, engine, other Outlook, slack time.Duration) bool {
	if !engine.Known() || !other.Known() {
		return false
	}
	stays, moves := engine.Time(events), max(slack, other.Time(events))
	return float64(stays) > moveFactor*float64(moves) && stays-moves >= moveGainLeast
}
