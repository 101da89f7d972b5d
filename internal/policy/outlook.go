package policy

import "time"

// Forecast is the expected pace of an engine. The zero value means that the pace is unknown.
type Forecast struct {
	// Current and Usual are times between two events; Current is at least as long as Usual.
	Current, Usual time.Duration
	// SlowedFor is the time for which the engine has been slower than usual.
	SlowedFor time.Duration
}

// ConstantPace returns the forecast for an engine with a constant pace.
func ConstantPace(pace time.Duration) Forecast {
	return Forecast{Current: pace, Usual: pace}
}

// Known reports whether the engine's pace is known.
func (o Forecast) Known() bool {
	return o.Usual > 0
}

// Time returns the expected duration of a number of events. A slowdown is expected to last as long again as it has
// lasted; the remaining events take the usual pace.
func (o Forecast) Time(events float64) time.Duration {
	slow := 0.0
	if o.Current > o.Usual {
		slow = min(events, float64(o.SlowedFor)/float64(o.Current))
	}
	return time.Duration(slow*float64(o.Current) + (events-slow)*float64(o.Usual))
}

// Delay returns by how much work with a number of events left ends later at an engine than both its slack and the
// fastest pace allow, 0 if either pace is unknown.
func Delay(events float64, engine Forecast, fastest, slack time.Duration) time.Duration {
	if !engine.Known() || fastest <= 0 {
		return 0
	}
	return max(0, engine.Time(events)-max(slack, ConstantPace(fastest).Time(events)))
}

// KeepsWaiting reports whether work that has waited for some time keeps waiting for a faster engine instead of starting
// on one that delays it. It waits no longer than that delay, so that it ends at most the delay after the best possible
// time, however long faster engines stay full (the ski rental rule: at most twice the optimal cost), and never longer
// than maxFastEngineWait.
func KeepsWaiting(waited, delay time.Duration) bool {
	return waited < min(delay, maxFastEngineWait)
}

// maxFastEngineWait is the longest time for which work waits for a faster engine. Callers allow 5 s without an engine
// while others are free, of which placement takes some tenths of a second; work that starts on a slow engine moves once
// a faster one has a free slot.
const maxFastEngineWait = 3 * time.Second

const (
	// minMoveGain is the forecast time that a move must save. A move opens a stream and prefills the prompt and the
	// output so far again, some tens of milliseconds at each of two engines. Short slowdowns by other load on the
	// engine's machine cost less than that and pass.
	minMoveGain = 400 * time.Millisecond
	// minMoveSpeedup is how many times faster the other engine must be, so that noise in the paces moves nothing.
	minMoveSpeedup = 1.15
)

// WorthMoving reports whether work with a number of events left should continue at another engine. Time saved within its
// slack does not count.
func WorthMoving(events float64, engine, other Forecast, slack time.Duration) bool {
	if !engine.Known() || !other.Known() {
		return false
	}
	stayTime, moveTime := engine.Time(events), max(slack, other.Time(events))
	return float64(stayTime) > minMoveSpeedup*float64(moveTime) && stayTime-moveTime >= minMoveGain
}
