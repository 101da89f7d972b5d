package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEnginesAreClaimedOnceTheMembersAreSteady(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	steady := newSteadiness(Timing{SteadyQuiet: time.Second, SteadyLimit: 10 * time.Second, JoinLimit: time.Minute}, start)
	changed := make(chan struct{})
	change := func() chan struct{} {
		close(changed)
		changed = make(chan struct{})
		return changed
	}
	is.Equal(steady.observe(changed, true, at(0)), time.Second)            // just started
	is.Equal(steady.observe(changed, true, at(1)), time.Duration(0))       // nothing changed for a second
	is.Equal(steady.observe(change(), true, at(5)), time.Second)           // a change
	is.Equal(steady.observe(changed, true, at(5.5)), 500*time.Millisecond) // half of the wait is over
	is.Equal(steady.observe(change(), true, at(5.5)), time.Second)         // another begins it anew
	for seconds := 6.0; seconds < 15; seconds += 0.5 {                     // one change after the other
		is.True(steady.observe(change(), true, at(seconds)) > 0)
	}
	is.Equal(steady.observe(change(), true, at(15)), time.Duration(0))   // the limit since the first of them
	is.Equal(steady.observe(change(), true, at(15.5)), time.Duration(0)) // still the same unsteadiness
	is.Equal(steady.observe(changed, true, at(17)), time.Duration(0))    // quiet again
	is.Equal(steady.observe(change(), true, at(18)), time.Second)        // and a new change counts anew
	is.Equal(steady.observe(changed, true, at(20)), time.Duration(0))    // steady
	is.Equal(steady.observe(changed, false, at(30)), time.Second)        // most of the others are unknown
	is.Equal(steady.observe(changed, false, at(89.5)), 500*time.Millisecond)
	is.Equal(steady.observe(changed, false, at(90)), time.Duration(0)) // there may be no others any more
}
