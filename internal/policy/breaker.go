package policy

import "time"

// Breaker is a circuit breaker for one engine. It is closed while the engine takes work. Failures eject the engine: the breaker is open for
// a time, then half open for one trial, whose end closes or opens it again. The zero value is closed. It is not safe for concurrent use.
type Breaker struct {
	// strikes counts failures, less successCounts for each whole answer since; struckAt is when the last failure was counted.
	strikes  float64
	struckAt time.Time
	// ejections counts those less than ejectionMemory apart; until is when the last one is over, zero while the breaker is closed; closedAt
	// is when it was closed last.
	ejections int
	until     time.Time
	closedAt  time.Time
	// trialAt is when the last trial was sent, triedAt when the first since the ejection was; zero if there was none.
	trialAt time.Time
	triedAt time.Time
}

// BreakerState is the state of a breaker.
type BreakerState int

// States of a breaker.
const (
	// BreakerClosed lets all work through.
	BreakerClosed BreakerState = iota
	// BreakerHalfOpen lets one piece of work through, as a trial.
	BreakerHalfOpen
	// BreakerOpen lets none through.
	BreakerOpen
)

// Failure is a kind of failure of an engine.
type Failure int

// Failures of engines.
const (
	// FailureInWork says that the engine may have begun the work: it broke off, fell silent or answered with an error of its own.
	FailureInWork Failure = iota
	// FailureToConnect says that no connection was made: nothing was run, and other work would not get a connection either.
	FailureToConnect
)

const (
	// strikesMost is how many failures in work eject an engine. One or two happen to engines in order: a link breaks, or a request crashes
	// the engine, of which each engine sees one.
	strikesMost = 3
	// successCounts is the part of a strike that a whole answer takes off. An engine that fails more than a third of its work for long is
	// ejected: a caller's request, which is sent three times, would fail more often than once in 27.
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
	// trialMost is how long a trial without an answer holds off the next one, in case its caller has gone: somewhat longer than a run may be
	// silent.
	trialMost = 1500 * time.Millisecond
	// trialOverdue is how long only work that may be repeated is sent as a trial; then any work is, since there may be no such work.
	trialOverdue = 4 * time.Second
)

// State returns the breaker's state.
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

// TrialOverdue tells whether the engine has waited for a trial for trialOverdue, so that any work may be one.
func (b *Breaker) TrialOverdue(now time.Time) bool {
	return b.State(now) == BreakerHalfOpen && now.Sub(b.until) >= trialOverdue
}

// Begin records that work is sent to the engine, and returns whether it is the trial. Work that is sent while the breaker is open, since no
// other engine is left, decides as a trial does.
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

// Fail records a failure, and returns for how long it ejects the engine, 0 if it does not. Failures of work that was sent before the engine
// was ejected don't count.
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

// Succeed records a whole answer.
func (b *Breaker) Succeed() {
	b.strikes = max(0, b.strikes-successCounts)
}

// Answer records that the engine began to answer work that was sent at sentAt, or turned it away, and returns whether that closes the
// breaker. Answers to work from before the first trial don't: an engine that begins nothing new may go on with older work. Later trials
// don't take an answer's meaning away. One failure in work ejects the engine again until whole answers have taken strikes off.
func (b *Breaker) Answer(sentAt, now time.Time) bool {
	if b.until.IsZero() || b.triedAt.IsZero() || sentAt.Before(b.triedAt) {
		return false
	}
	b.until, b.trialAt, b.triedAt = time.Time{}, time.Time{}, time.Time{}
	b.closedAt = now
	b.strikes, b.struckAt = strikesMost-1, now
	return true
}

// ejectedMost is the share of the engines fit for some work above which ejections are ignored. Where more than a half fail at once, most
// likely this process's link or a zone fails rather than each engine.
const ejectedMost = 0.5

// IgnoreEjections tells whether work ignores ejections, by how many of the engines fit for it are ejected.
func IgnoreEjections(ejected, fit int) bool {
	return float64(ejected) > ejectedMost*float64(fit)
}
