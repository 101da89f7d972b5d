package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBreaker applies events of one engine at given times and checks the state of the breaker after each. The thresholds
// come from owners with tens of items for which the engine has the only free slot: one refused connection is enough,
// three failures in work without a success are unlikely to be chance, and callers allow 5 s without an engine while
// another one is free.
func TestBreaker(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at    time.Duration
		apply func(b *Breaker, now time.Time)
		want  BreakerState
	}
	noEvent := func(*Breaker, time.Time) {}
	begin := func(b *Breaker, now time.Time) { b.Begin(now) }
	refused := func(b *Breaker, now time.Time) { b.Fail(FailureToConnect, now) }
	failed := func(b *Breaker, now time.Time) { b.Fail(FailureInWork, now) }
	completed := func(b *Breaker, now time.Time) { b.Succeed() }
	answered := func(b *Breaker, now time.Time) { b.Answer(now, now) }
	// answeredEarlier is the first event of a run that was sent 100 ms ago.
	answeredEarlier := func(b *Breaker, now time.Time) { b.Answer(now.Add(-100*ms), now) }
	tests := []struct {
		name  string
		steps []step
	}{
		{"new engines take work", []step{{0, noEvent, BreakerClosed}, {0, begin, BreakerClosed}}},
		{"one refused connection ejects", []step{{0, refused, BreakerOpen}, {299 * ms, noEvent, BreakerOpen}, {300 * ms, noEvent, BreakerHalfOpen}}},
		{"one trial at a time", []step{{0, refused, BreakerOpen}, {300 * ms, begin, BreakerOpen}, {1700 * ms, noEvent, BreakerOpen}}},
		{"a trial without a response times out", []step{{0, refused, BreakerOpen}, {300 * ms, begin, BreakerOpen}, {1800 * ms, noEvent, BreakerHalfOpen}}},
		{"an event of the trial closes the breaker", []step{{0, refused, BreakerOpen}, {300 * ms, begin, BreakerOpen}, {340 * ms, answered, BreakerClosed}}},
		{"a run that was sent before the trial does not close the breaker", []step{
			{0, failed, BreakerClosed},
			{0, failed, BreakerClosed},
			{0, failed, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{310 * ms, answeredEarlier, BreakerOpen},
			{320 * ms, completed, BreakerOpen},
			{400 * ms, answeredEarlier, BreakerClosed},
		}},
		{"later work does not invalidate the response to the trial", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{350 * ms, begin, BreakerOpen},
			{400 * ms, answeredEarlier, BreakerClosed},
		}},
		{"a failed trial ejects for a longer time", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{301 * ms, refused, BreakerOpen},
			{900 * ms, noEvent, BreakerOpen},
			{901 * ms, noEvent, BreakerHalfOpen},
		}},
		{"results of work from before the ejection are ignored", []step{
			{0, refused, BreakerOpen},
			{100 * ms, failed, BreakerOpen},
			{200 * ms, completed, BreakerOpen},
			{300 * ms, noEvent, BreakerHalfOpen},
			{310 * ms, refused, BreakerHalfOpen},
		}},
		{"success of work sent while open closes the breaker", []step{{0, refused, BreakerOpen}, {10 * ms, begin, BreakerOpen}, {50 * ms, answered, BreakerClosed}}},
		{"two failed runs do not eject", []step{{0, failed, BreakerClosed}, {ms, failed, BreakerClosed}}},
		{"three failed runs eject", []step{{0, failed, BreakerClosed}, {ms, failed, BreakerClosed}, {2 * ms, failed, BreakerOpen}}},
		{"successes in between reduce the failure count", []step{
			{0, failed, BreakerClosed},
			{1 * ms, completed, BreakerClosed},
			{2 * ms, completed, BreakerClosed},
			{3 * ms, failed, BreakerClosed},
			{4 * ms, failed, BreakerClosed},
		}},
		{"failures of separate incidents don't add up", []step{
			{0, failed, BreakerClosed},
			{1 * ms, failed, BreakerClosed},
			{5001 * ms, failed, BreakerClosed},
		}},
		{"one more failure ejects an engine that was just readmitted", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{400 * ms, answered, BreakerClosed},
			{500 * ms, failed, BreakerOpen},
			{1099 * ms, noEvent, BreakerOpen},
			{1100 * ms, noEvent, BreakerHalfOpen},
		}},
		{"the ejection time is reset after a period without failures", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{400 * ms, answered, BreakerClosed},
			{10400 * ms, refused, BreakerOpen},
			{10700 * ms, noEvent, BreakerHalfOpen},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var breaker Breaker
			start := time.Unix(1000, 0)
			for _, step := range test.steps {
				now := start.Add(step.at)
				step.apply(&breaker, now)
				is.Equal(breaker.State(now), step.want) // at step.at
			}
		})
	}
}

// TestEjectionsStayShort checks that an engine that is down for long is still tried every 2 s: with a silent trial of
// 1.2 s it takes work again well within the 5 s that callers allow.
func TestEjectionsStayShort(t *testing.T) {
	is := is.New(t)
	var breaker Breaker
	now := time.Unix(1000, 0)
	var durations []time.Duration
	for range 6 {
		breaker.Begin(now)
		duration := breaker.Fail(FailureToConnect, now)
		durations = append(durations, duration)
		now = now.Add(duration)
	}
	const ms = time.Millisecond
	is.Equal(durations, []time.Duration{300 * ms, 600 * ms, 1200 * ms, 2000 * ms, 2000 * ms, 2000 * ms})
	is.True(!breaker.TrialOverdue(now.Add(3 * time.Second)))
	is.True(breaker.TrialOverdue(now.Add(4 * time.Second)))
}

// TestPartialFailuresEject checks the failure rate from which an engine is ejected: not at a quarter, but at a half. It
// guards against engines that look healthy and fail some of their work, while callers send a failed request three times
// at most.
func TestPartialFailuresEject(t *testing.T) {
	is := is.New(t)
	ejectedAfter := func(every int) int {
		var breaker Breaker
		now := time.Unix(1000, 0)
		for i := range 200 {
			now = now.Add(100 * time.Millisecond)
			if i%every != 0 {
				breaker.Succeed()
				continue
			}
			if breaker.Fail(FailureInWork, now) > 0 {
				return i + 1
			}
		}
		return 0
	}
	is.Equal(ejectedAfter(4), 0)
	is.True(ejectedAfter(2) > 0)
	is.True(ejectedAfter(2) <= 12)
}

func TestIgnoreEjections(t *testing.T) {
	is := is.New(t)
	is.True(!IgnoreEjections(0, 0))
	is.True(!IgnoreEjections(1, 2))
	is.True(IgnoreEjections(1, 1))
	is.True(!IgnoreEjections(8, 53))
	is.True(IgnoreEjections(27, 53))
}
