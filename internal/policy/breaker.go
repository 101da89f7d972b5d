package policy

import "time"

// Breaker tells whether work is sent to an engine that failed. It is closed while the engine takes work. Failures eject the engine: nothing
// is sent there for a time, then one trial, on whose end it depends whether the engine is taken back. The zero value is closed. It is not
// safe for concurrent use.
type Breaker struct {
	// strikes are the failures that count, less what successes have taken off; struckAt is when the last one was counted.
	strikes  float64
	struckAt time.Time
	// ejections counts those without a quiet time between; until is when the last one is over, zero while closed; closedAt when the
	// engine was taken back last.
	ejections int
	until     time.Time
	closedAt  time.Time
	// trialAt is when work was sent there last that tells how the engine stands, triedAt when the first such was since it was ejected;
	// zero if there is none.
	trialAt time.Time
	triedAt time.Time
}

// BreakerState is how an engine stands.
type BreakerState int

// States of an engine.
const (
	// BreakerClosed lets all work through.
	BreakerClosed BreakerState = iota
	// BreakerHalfOpen lets one piece of work through, as a trial.
	BreakerHalfOpen
	// BreakerOpen lets none through.
	BreakerOpen
)

// Failure is what a failed piece of work shows of its engine.
type Failure int

// Failures of engines.
const (
	// FailureInWork says that the engine may have begun the work: it broke off, fell silent or answered with an error of its own.
	FailureInWork Failure = iota
	// FailureToConnect says that no connection came about: nothing was run, and nobody else gets through either.
	FailureToConnect
)

const (
	// strikesMost is how many failures in work eject an engine. One or two are met by chance: by a stream cut with its machine's link,
	// or by a request that engines end under, of which each engine sees one.
	strikesMost = 3
	// successCounts is how much of a strike a whole answer takes off. An engine is ejected if it fails more than a third of its work
	// for long: a caller's request, that is sent three times, then fails oftener than once in 27.
	successCounts = 0.5
	// strikeMemory is how long strikes count after the last one: the length of a long run, so that failures of runs that stood side by
	// side add up and those of separate incidents don't.
	strikeMemory = 5 * time.Second
	// ejectionLeast is how long a first ejection lasts. It costs a caller that needs this very engine no more than a pause between
	// two of his own attempts.
	ejectionLeast = 300 * time.Millisecond
	// ejectionMost bounds the doubling. Callers allow work 5 s at no engine beside a free one: an engine that has come back is asked
	// again within 2 s, which leaves room for a trial that fails by silence.
	ejectionMost = 2 * time.Second
	// ejectionMemory is how long an engine must stay taken back for its next ejection to be a first one: it has ended some long runs
	// by then.
	ejectionMemory = 10 * time.Second
	// trialMost is how long a trial without a word keeps others away, such as one whose caller has gone: somewhat longer than a run may be
	// silent.
	trialMost = 1500 * time.Millisecond
	// trialOverdue is how long an engine waits for a trial by work that may be repeated, where there may be none.
	trialOverdue = 4 * time.Second
)

// State tells how the engine stands.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case b.until.IsZero():
		return BreakerClosed
	case now.Before(b.until), !b.trialAt.IsZero() && now.Sub(b.trialAt) < trialMost:
		return BreakerOpen
	default:
		return BreakerHalfOpen
	}
}

// TrialOverdue tells whether the engine has waited for a trial for so long that any work may be one.
func (b *Breaker) TrialOverdue(now time.Time) bool {
	return b.State(now) == BreakerHalfOpen && now.Sub(b.until) >= trialOverdue
}

// Begin takes that work is sent to the engine, and returns whether that is the one trial. Work that is sent although the engine is
// ejected, since there was no other, tells as much as a trial.
func (b *Breaker) Begin(now time.Time) bool {
	if b.until.IsZero() {
		return false
	}
	trial := b.State(now) == BreakerHalfOpen
	b.trialAt = now
	if b.triedAt.IsZero() {
		b.triedAt = now
	}
	return trial
}

// Fail takes a failure, and returns for how long it ejects the engine, 0 if it does not. Work that was sent before the engine was
// ejected says nothing new.
func (b *Breaker) Fail(failure Failure, now time.Time) time.Duration {
	if !b.until.IsZero() {
		if b.trialAt.IsZero() {
			return 0
		}
		return b.eject(now)
	}
	if now.Sub(b.struckAt) >= strikeMemory {
		b.strikes = 0
	}
	b.strikes++
	b.struckAt = now
	if failure == FailureToConnect || b.strikes >= strikesMost {
		return b.eject(now)
	}
	return 0
}

func (b *Breaker) eject(now time.Time) time.Duration {
	if b.until.IsZero() && now.Sub(b.closedAt) >= ejectionMemory {
		b.ejections = 0
	}
	lasts := min(ejectionMost, ejectionLeast<<min(b.ejections, 8))
	b.ejections++
	b.until = now.Add(lasts)
	b.trialAt, b.triedAt = time.Time{}, time.Time{}
	return lasts
}

// Succeed takes a whole answer.
func (b *Breaker) Succeed() {
	b.strikes = max(0, b.strikes-successCounts)
}

// Answer takes that the engine began to answer work that was sent at a moment, be it to turn it away, and returns whether that takes the
// engine back: an engine that begins nothing new may go on with what it began before. What was sent meanwhile takes nothing from that.
// One failure in work ejects it again until it has shown more.
func (b *Breaker) Answer(sentAt, now time.Time) bool {
	if b.until.IsZero() || b.triedAt.IsZero() || sentAt.Before(b.triedAt) {
		return false
	}
	b.until, b.trialAt, b.triedAt = time.Time{}, time.Time{}, time.Time{}
	b.closedAt = now
	b.strikes, b.struckAt = strikesMost-1, now
	return true
}

// ejectedMost is the share of the engines fit for some work from which on ejections are ignored: where more than a half fail at once, what
// they have in common, most likely the link of whoever asks or a zone, fails rather than each of them.
const ejectedMost = 0.5

// IgnoreEjections tells whether work goes by no ejections, where so many of the engines fit for it are ejected.
func IgnoreEjections(ejected, fit int) bool {
	return float64(ejected) > ejectedMost*float64(fit)
}
