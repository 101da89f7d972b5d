package policy

import "time"

// Pace measures the time between two events of a stream on one engine. The pace now is the median of the last gaps, so that one load
// of weights or one long prompt, at which all streams of the engine pause together, does not pass for slowness. The usual pace is the
// median of what the pace was over the last seconds, so that a slowdown by other work on the engine's machine shifts it only once it
// has lasted. The zero value has measured nothing. It is not safe for concurrent use.
type Pace struct {
	gaps   [paceGaps]time.Duration
	count  int
	median time.Duration
	stale  bool

	// samples are what the pace was, usual is their median.
	samples [paceSamples]time.Duration
	sampled int
	usual   time.Duration
	// sampledAt is when the last sample was taken, addedAt when the last gap came, slowedAt since when the engine has been slower than
	// usual, zero while it is not.
	sampledAt time.Time
	addedAt   time.Time
	slowedAt  time.Time
}

const (
	// paceGaps is how many gaps count: more than twice the streams of an engine that all pause once.
	paceGaps = 32
	// sampleEvery is how often the pace is sampled: well below the slowdowns of some tenths of a second that are to be told apart.
	sampleEvery = 100 * time.Millisecond
	// paceSamples is how many samples the usual pace rests on: 6 s of streaming, so that a slowdown of up to 3 s does not shift it.
	paceSamples = 60
	// slowedFactor is how many times its usual pace an engine takes while it is slowed. Paces differ by a tenth from one median to the
	// next.
	slowedFactor = 1.25
)

// Add takes a gap that ended now.
func (p *Pace) Add(gap time.Duration, now time.Time) {
	p.gaps[p.count%paceGaps] = gap
	p.count++
	p.stale = true
	if p.addedAt.IsZero() {
		p.sampledAt = now
	}
	p.addedAt = now
	if now.Sub(p.sampledAt) >= sampleEvery {
		p.sample(now)
	}
}

// sample notes the pace now, and whether the engine is slowed.
func (p *Pace) sample(now time.Time) {
	pace := p.Value()
	p.samples[p.sampled%paceSamples] = pace
	p.sampled++
	p.sampledAt = now
	p.usual = median(p.samples[:min(p.sampled, paceSamples)])
	switch {
	case float64(pace) < slowedFactor*float64(p.usual):
		p.slowedAt = time.Time{}
	case p.slowedAt.IsZero():
		p.slowedAt = now
	}
}

// Learn takes another's word on the usual pace. It counts until as much was measured here, and not at all once anything was.
func (p *Pace) Learn(usual time.Duration) {
	if p.count > 0 || usual <= 0 {
		return
	}
	for i := range p.samples {
		p.samples[i] = usual
	}
	p.sampled, p.usual = paceSamples, usual
}

// Value returns the pace now, 0 if nothing was measured.
func (p *Pace) Value() time.Duration {
	if p.stale {
		p.median, p.stale = median(p.gaps[:min(p.count, paceGaps)]), false
	}
	return p.median
}

// Usual returns the usual pace, 0 if nothing is known.
func (p *Pace) Usual() time.Duration {
	if p.usual == 0 {
		return p.Value()
	}
	return p.usual
}

// Outlook returns what is to be expected of the engine. One that is quicker than usual counts as usual: events that a reader left
// lying come at once. A slowdown of which nothing was heard for as long as it had lasted is over.
func (p *Pace) Outlook(now time.Time) Outlook {
	outlook := Steady(p.Usual())
	if p.slowedAt.IsZero() {
		return outlook
	}
	unheard := now.Sub(p.addedAt)
	if slowed := p.addedAt.Sub(p.slowedAt) - unheard; slowed > 0 {
		outlook.Now, outlook.Slowed = max(p.Value(), outlook.Usual), slowed
	}
	return outlook
}

// Outlook is what is to be expected of an engine. The zero value says that nothing is known.
type Outlook struct {
	// Now and Usual are paces; Now is never the lesser.
	Now, Usual time.Duration
	// Slowed is how long the engine has been slower than usual.
	Slowed time.Duration
}

// Steady returns the outlook of an engine that keeps one pace.
func Steady(pace time.Duration) Outlook {
	return Outlook{Now: pace, Usual: pace}
}

// Known tells whether anything is.
func (o Outlook) Known() bool {
	return o.Usual > 0
}

// Time forecasts how long so many events take. A slowdown is taken to last as long again as it has lasted, and the rest goes at the
// usual pace.
func (o Outlook) Time(events float64) time.Duration {
	slow := 0.0
	if o.Now > o.Usual {
		slow = min(events, float64(o.Slowed)/float64(o.Now))
	}
	return time.Duration(slow*float64(o.Now) + (events-slow)*float64(o.Usual))
}

// Delay is how much later work of so many events ends at an engine than its slack allows, and than at a steady pace if that is longer;
// 0 if either pace is not known.
func Delay(events float64, engine Outlook, quickest, slack time.Duration) time.Duration {
	if !engine.Known() || quickest <= 0 {
		return 0
	}
	return max(0, engine.Time(events)-max(slack, Steady(quickest).Time(events)))
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
	// moveGainLeast is what a move must save by the forecast: it reads the prompt and the text again and opens a stream, which takes
	// some tens of milliseconds of two engines, and a slowdown by other work of the engine's machine is over before it is worth that.
	moveGainLeast = 400 * time.Millisecond
	// moveFactor is how much quicker the other engine must be, so that noise in paces moves nothing.
	moveFactor = 1.15
)

// WorthMoving tells whether work of which so many events are left should go on at another engine. What it would end there before its
// slack is over saves nobody anything.
func WorthMoving(events float64, engine, other Outlook, slack time.Duration) bool {
	if !engine.Known() || !other.Known() {
		return false
	}
	stays, moves := engine.Time(events), max(slack, other.Time(events))
	return float64(stays) > moveFactor*float64(moves) && stays-moves >= moveGainLeast
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

// Slack returns how long one item of a step may take without being the one that holds it, 0 if the events that are left of the step
// or the quickest pace of its engines are not known. It is the same share of the step from which on an item may hold it: an item
// that turns out the longer of the two is seen to do so while it runs, and then goes on where it is quicker.
func Slack(critical float64, quickest time.Duration) time.Duration {
	return Steady(quickest).Time(holdingShare * critical)
}

// Yields tells whether a run gives its place up to an item that may hold its step, by the latest starts of both as of now and how
// often the run's item has yielded before.
func Yields(running, waiting time.Time, yielded int) bool {
	return yielded < yieldsMost && running.Sub(waiting) >= yieldMargin
}
