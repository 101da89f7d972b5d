package policy

import "time"

// Breaker is a circuit breaker for one engine. It is closed while the engine takes work. Failures eject the engine: the
// breaker is open for a period, then half-open for a single trial, whose result closes or reopens it. The zero value is
// closed. A Breaker is not safe for concurrent use.
type Breaker struct {
	// failures counts recent failures; each complete response subtracts successCredit. lastFailureAt is when the last
	// failure was counted.
	failures      float64
	lastFailureAt time.Time
	// ejections counts consecutive ejections that are less than ejectionResetAfter apart. openUntil is the end of the
	// last ejection, zero while the breaker is closed. closedAt is when the breaker last closed.
	ejections int
	openUntil time.Time
	closedAt  time.Time
	// lastTrialAt is when the last trial was sent, firstTrialAt when the first one since the ejection was; zero if there
	// was none.
	lastTrialAt  time.Time
	firstTrialAt time.Time
}

// BreakerState determines whether a breaker lets work through.
type BreakerState int

const (
	// BreakerClosed lets all work through.
	BreakerClosed BreakerState = iota
	// BreakerHalfOpen lets one request through, as a trial.
	BreakerHalfOpen
	// BreakerOpen lets no work through.
	BreakerOpen
)

// Failure is a kind of failure of an engine.
type Failure int

// Kinds of failure.
const (
	// FailureInWork means that the engine may have begun the work: the stream broke off, fell silent or ended with an
	// error of the engine.
	FailureInWork Failure = iota
	// FailureToConnect means that no connection was made: nothing ran, and other work would not get a connection either.
	FailureToConnect
)

const (
	// maxFailures is the number of failures in work that eject an engine. A healthy engine can have one or two: a
	// connection breaks, or a request crashes the engine, and each engine sees one such crash.
	maxFailures = 3
	// successCredit is the part of a failure that a complete response cancels. An engine that keeps failing more than a
	// third of its work is ejected: a caller's request, which is sent three times, would otherwise fail more often than
	// once in 27.
	successCredit = 0.5
	// failureWindow is the time after the last failure for which failures count. It is the length of a long run, so that
	// failures of concurrent runs add up and those of separate incidents don't.
	failureWindow = 5 * time.Second
	// minEjection is the duration of a first ejection. It delays a caller that needs this particular engine by no more
	// than the pause between two of its own attempts.
	minEjection = 300 * time.Millisecond
	// maxEjection limits the exponential growth of ejections. Callers allow work 5 s without an engine while another one
	// is free: an engine that has recovered is tried again within 2 s, which leaves time for a trial that fails by
	// silence.
	maxEjection = 2 * time.Second
	// ejectionResetAfter is the time for which an engine must stay readmitted for its next ejection to have the minimum
	// duration again. It has completed some long runs by then.
	ejectionResetAfter = 10 * time.Second
	// trialTimeout is the time for which a trial without a response blocks the next one, in case the sender of the trial
	// has died. It is somewhat longer than a run may be silent.
	trialTimeout = 1500 * time.Millisecond
	// trialOverdueAfter is the time for which only work that may be repeated is sent as a trial. After that any work is,
	// since there may be no repeatable work.
	trialOverdueAfter = 4 * time.Second
)

// State returns the state of the breaker at a time. A breaker whose ejection is over is open again while a trial is in
// progress.
func (b *Breaker) State(now time.Time) BreakerState {
	switch {
	case b.openUntil.IsZero():
		return BreakerClosed
	case now.Before(b.openUntil), !b.lastTrialAt.IsZero() && now.Sub(b.lastTrialAt) < trialTimeout:
		return BreakerOpen
	default:
		return BreakerHalfOpen
	}
}

// TrialOverdue reports whether the engine has waited for a trial for trialOverdueAfter, so that any work may be sent as
// one.
func (b *Breaker) TrialOverdue(now time.Time) bool {
	return b.State(now) == BreakerHalfOpen && now.Sub(b.openUntil) >= trialOverdueAfter
}

// Begin records that work is sent to the engine, and reports whether it is a trial. Work that is sent while the breaker
// is open, because no other engine is left, decides as a trial does.
func (b *Breaker) Begin(now time.Time) bool {
	if b.openUntil.IsZero() {
		return false
	}
	trial := b.State(now) == BreakerHalfOpen
	b.lastTrialAt = now
	if b.firstTrialAt.IsZero() {
		b.firstTrialAt = now
	}
	return trial
}

// Fail records a failure and returns the duration of the ejection that it causes, 0 for none. Failures of work that was
// sent before the engine was ejected are ignored.
func (b *Breaker) Fail(failure Failure, now time.Time) time.Duration {
	if !b.openUntil.IsZero() {
		if b.lastTrialAt.IsZero() {
			return 0
		}
		return b.eject(now)
	}
	if now.Sub(b.lastFailureAt) >= failureWindow {
		b.failures = 0
	}
	b.failures++
	b.lastFailureAt = now
	if failure == FailureToConnect || b.failures >= maxFailures {
		return b.eject(now)
	}
	return 0
}

func (b *Breaker) eject(now time.Time) time.Duration {
	if b.openUntil.IsZero() && now.Sub(b.closedAt) >= ejectionResetAfter {
		b.ejections = 0
	}
	duration := min(maxEjection, minEjection<<min(b.ejections, 8))
	b.ejections++
	b.openUntil = now.Add(duration)
	b.lastTrialAt, b.firstTrialAt = time.Time{}, time.Time{}
	return duration
}

// Succeed records a complete response.
func (b *Breaker) Succeed() {
	b.failures = max(0, b.failures-successCredit)
}

// Answer records that the engine began to respond to work that was sent at sentAt, or rejected it, and reports whether
// that closes the breaker. Responses to work that was sent before the first trial don't: an engine that begins nothing
// new may still continue older work. A later trial does not invalidate the response to an earlier one. After closing,
// one failure in work ejects the engine again until complete responses have reduced the failure count.
func (b *Breaker) Answer(sentAt, now time.Time) bool {
	if b.openUntil.IsZero() || b.firstTrialAt.IsZero() || sentAt.Before(b.firstTrialAt) {
		return false
	}
	b.openUntil, b.lastTrialAt, b.firstTrialAt = time.Time{}, time.Time{}, time.Time{}
	b.closedAt = now
	b.failures, b.lastFailureAt = maxFailures-1, now
	return true
}

// maxEjectedShare is the share of the suitable engines above which ejections are ignored. Where more than half fail at
// once, the fault is more likely this process's link or a zone than each engine.
const maxEjectedShare = 0.5

// IgnoreEjections reports whether work ignores ejections, given how many of the engines that fit it are ejected.
func IgnoreEjections(ejected, fit int) bool {
	return float64(ejected) > maxEjectedShare*float64(fit)
}
