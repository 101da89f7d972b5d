package policy

import "time"

// Pace measures the time between two events of a stream on one engine. It is the median of the last gaps, so that one load of
// weights or one long prompt, at which all streams of the engine pause together, does not pass for slowness. The zero value
// has measured nothing. It is not safe for concurrent use.
type Pace struct {
	gaps   [paceGaps]time.Duration
	count  int
	median time.Duration
	stale  bool
}

// paceGaps is how many gaps count: more than twice the streams of an engine that all pause once.
const paceGaps = 32

// Add takes a gap.
func (p *Pace) Add(gap time.Duration) {
	p.gaps[p.count%paceGaps] = gap
	p.count++
	p.stale = true
}

// Value returns the pace, 0 if nothing was measured.
func (p *Pace) Value() time.Duration {
	if p.stale {
		p.median, p.stale = median(p.gaps[:min(p.count, paceGaps)]), false
	}
	return p.median
}

// Delay is how much later work of so many events ends at one pace than at another, 0 if either is not known.
func Delay(events float64, pace, quickest time.Duration) time.Duration {
	if pace <= 0 || quickest <= 0 || pace <= quickest {
		return 0
	}
	return time.Duration(events * float64(pace-quickest))
}

// Declines tells whether work that has waited so long waits on for a quicker engine rather than begin on one that delays it.
// It waits no longer than the delay, so that it ends no later than the delay after the best time, however long quicker
// engines stay full (the ski rental rule: at most twice what knowing would have cost), and never longer than declinesMost.
func Declines(waited, delay time.Duration) bool {
	return waited < min(delay, declinesMost)
}

// declinesMost is how long work declines slow engines at most. Callers allow 5 s at no engine beside free ones, of which placing takes
// some tenths; work that begins on a slow engine moves on once a quicker one has room.
const declinesMost = 3 * time.Second

const (
	// moveGainLeast is what a move must save: it reads the prompt and the text again and opens a stream, which takes some tens
	// of milliseconds of two engines.
	moveGainLeast = 300 * time.Millisecond
	// moveFactor is how much quicker the other engine must be, so that noise in paces moves nothing.
	moveFactor = 1.15
)

// WorthMoving tells whether work of which so many events are left should go on at another engine.
func WorthMoving(events float64, pace, other time.Duration) bool {
	return other > 0 && float64(pace) > moveFactor*float64(other) && Delay(events, pace, other) >= moveGainLeast
}

// LatestStart orders work of jobs that are all due the same time after they were accepted: the one that must begin first is
// the one whose remaining events take longest.
func LatestStart(accepted time.Time, events float64, pace time.Duration) time.Time {
	return accepted.Add(-time.Duration(events * float64(pace)))
}

const (
	// yieldMargin is how much later a run may begin than the work that it yields to: it waits for another place and reads its
	// prompt again, which takes some tenths of a second.
	yieldMargin = time.Second
	// yieldsMost is how often one item yields.
	yieldsMost = 2
	// holdingShare is the part of a step's critical events from which on an item may hold its step. Estimates are off by a half
	// and more, so it is well below 1.
	holdingShare = 0.75
)

// MayHold tells whether an item may be the one that holds its step.
func MayHold(events, critical float64) bool {
	return events > 0 && events >= holdingShare*critical
}

// Yields tells whether a run gives its place up to an item that may hold its step, by the latest starts of both as of now and how
// often the run's item has yielded before.
func Yields(running, waiting time.Time, yielded int) bool {
	return yielded < yieldsMost && running.Sub(waiting) >= yieldMargin
}
