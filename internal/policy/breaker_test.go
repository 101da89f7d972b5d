package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBreaker plays what work tells of one engine, each word at its moment, and checks how the engine stands then. Load: owners with tens
// of items for which the engine is the only one with a free place. Thresholds: a refused connection needs no second word; three failures
// in work without success are not met by chance; callers allow 5 s at no engine beside a free one.
func TestBreaker(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at   time.Duration
		does func(b *Breaker, now time.Time)
		then BreakerState
	}
	look := func(*Breaker, time.Time) {}
	begin := func(b *Breaker, now time.Time) { b.Begin(now) }
	refused := func(b *Breaker, now time.Time) { b.Fail(FailureToConnect, now) }
	broken := func(b *Breaker, now time.Time) { b.Fail(FailureInWork, now) }
	whole := func(b *Breaker, now time.Time) { b.Succeed() }
	event := func(b *Breaker, now time.Time) { b.Answer(now, now) }
	// older is the first event of a run that was sent a while ago.
	older := func(b *Breaker, now time.Time) { b.Answer(now.Add(-100*ms), now) }
	tests := []struct {
		name  string
		steps []step
	}{
		{"new engines take work", []step{{0, look, BreakerClosed}, {0, begin, BreakerClosed}}},
		{"one refused connection ejects", []step{{0, refused, BreakerOpen}, {299 * ms, look, BreakerOpen}, {300 * ms, look, BreakerHalfOpen}}},
		{"one trial at a time", []step{{0, refused, BreakerOpen}, {300 * ms, begin, BreakerOpen}, {1700 * ms, look, BreakerOpen}}},
		{"a trial without a word makes room for the next", []step{{0, refused, BreakerOpen}, {300 * ms, begin, BreakerOpen}, {1800 * ms, look, BreakerHalfOpen}}},
		{"an event of the trial takes back", []step{{0, refused, BreakerOpen}, {300 * ms, begin, BreakerOpen}, {340 * ms, event, BreakerClosed}}},
		{"a run that was sent before the trial takes nothing back", []step{
			{0, broken, BreakerClosed},
			{0, broken, BreakerClosed},
			{0, broken, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{310 * ms, older, BreakerOpen},
			{320 * ms, whole, BreakerOpen},
			{400 * ms, older, BreakerClosed},
		}},
		{"work that is sent after the trial takes nothing from its answer", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{350 * ms, begin, BreakerOpen},
			{400 * ms, older, BreakerClosed},
		}},
		{"a failed trial ejects for longer", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{301 * ms, refused, BreakerOpen},
			{900 * ms, look, BreakerOpen},
			{901 * ms, look, BreakerHalfOpen},
		}},
		{"what was sent before the ejection says nothing new", []step{
			{0, refused, BreakerOpen},
			{100 * ms, broken, BreakerOpen},
			{200 * ms, whole, BreakerOpen},
			{300 * ms, look, BreakerHalfOpen},
			{310 * ms, refused, BreakerHalfOpen},
		}},
		{"success without any other engine takes back", []step{{0, refused, BreakerOpen}, {10 * ms, begin, BreakerOpen}, {50 * ms, event, BreakerClosed}}},
		{"two broken runs are chance", []step{{0, broken, BreakerClosed}, {ms, broken, BreakerClosed}}},
		{"three broken runs are none", []step{{0, broken, BreakerClosed}, {ms, broken, BreakerClosed}, {2 * ms, broken, BreakerOpen}}},
		{"successes between take strikes off", []step{
			{0, broken, BreakerClosed},
			{1 * ms, whole, BreakerClosed},
			{2 * ms, whole, BreakerClosed},
			{3 * ms, broken, BreakerClosed},
			{4 * ms, broken, BreakerClosed},
		}},
		{"strikes of separate incidents don't add up", []step{
			{0, broken, BreakerClosed},
			{1 * ms, broken, BreakerClosed},
			{5001 * ms, broken, BreakerClosed},
		}},
		{"one more failure ejects an engine that has just been taken back", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{400 * ms, event, BreakerClosed},
			{500 * ms, broken, BreakerOpen},
			{1099 * ms, look, BreakerOpen},
			{1100 * ms, look, BreakerHalfOpen},
		}},
		{"after a quiet time an ejection is a first one", []step{
			{0, refused, BreakerOpen},
			{300 * ms, begin, BreakerOpen},
			{400 * ms, event, BreakerClosed},
			{10400 * ms, refused, BreakerOpen},
			{10700 * ms, look, BreakerHalfOpen},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var breaker Breaker
			start := time.Unix(1000, 0)
			for _, step := range test.steps {
				now := start.Add(step.at)
				step.does(&breaker, now)
				is.Equal(breaker.State(now), step.then) // at step.at
			}
		})
	}
}

// TestEjectionsStayShort checks that an engine that is gone for long is still asked every 2 s: with a silent trial of 1.2 s it takes work
// again well within the 5 s that callers allow.
func TestEjectionsStayShort(t *testing.T) {
	is := is.New(t)
	var breaker Breaker
	now := time.Unix(1000, 0)
	var lasted []time.Duration
	for range 6 {
		breaker.Begin(now)
		lasts := breaker.Fail(FailureToConnect, now)
		lasted = append(lasted, lasts)
		now = now.Add(lasts)
	}
	const ms = time.Millisecond
	is.Equal(lasted, []time.Duration{300 * ms, 600 * ms, 1200 * ms, 2000 * ms, 2000 * ms, 2000 * ms})
	is.True(!breaker.TrialOverdue(now.Add(3 * time.Second)))
	is.True(breaker.TrialOverdue(now.Add(4 * time.Second)))
}

// TestEnginesThatFailAPartOfTheirWork checks from which share on an engine is ejected: not at a quarter, but at a half. Load: grey engines,
// that fail some of their work while they look well; callers repeat what fails, three times at most.
func TestEnginesThatFailAPartOfTheirWork(t *testing.T) {
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
