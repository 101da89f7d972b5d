package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEnginesAreClaimedOnceMembershipIsStable(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tracker := newStabilityTracker(Timing{MembershipQuiet: time.Second, MaxQuietWait: 10 * time.Second, MaxJoinWait: time.Minute}, start)
	changed := make(chan struct{})
	change := func() chan struct{} {
		close(changed)
		changed = make(chan struct{})
		return changed
	}
	is.Equal(tracker.observe(changed, true, at(0)), time.Second)            // just started
	is.Equal(tracker.observe(changed, true, at(1)), time.Duration(0))       // nothing changed for a second
	is.Equal(tracker.observe(change(), true, at(5)), time.Second)           // a change
	is.Equal(tracker.observe(changed, true, at(5.5)), 500*time.Millisecond) // half of the wait is over
	is.Equal(tracker.observe(change(), true, at(5.5)), time.Second)         // another change restarts the wait
	for seconds := 6.0; seconds < 15; seconds += 0.5 {                      // continual changes
		is.True(tracker.observe(change(), true, at(seconds)) > 0)
	}
	is.Equal(tracker.observe(change(), true, at(15)), time.Duration(0))   // the limit since the first of these changes
	is.Equal(tracker.observe(change(), true, at(15.5)), time.Duration(0)) // still the same unstable period
	is.Equal(tracker.observe(changed, true, at(17)), time.Duration(0))    // quiet again
	is.Equal(tracker.observe(change(), true, at(18)), time.Second)        // a new change starts a new unstable period
	is.Equal(tracker.observe(changed, true, at(20)), time.Duration(0))    // stable
	is.Equal(tracker.observe(changed, false, at(30)), time.Second)        // most of the other members are unknown
	is.Equal(tracker.observe(changed, false, at(89.5)), 500*time.Millisecond)
	is.Equal(tracker.observe(changed, false, at(90)), time.Duration(0)) // the limit: the other members may no longer exist
}
