package dispatch

import (
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// stabilityTracker decides whether the membership view has been unchanged for long enough to claim engines by it. While
// a cluster starts or a zone fails, every node's view changes for some seconds. If each node claimed engines by its
// momentary view, every engine would be claimed by many nodes in turn: nodes times engines claims.
type stabilityTracker struct {
	// quietPeriod is how long the membership must be unchanged. maxWait limits the wait while the view keeps changing,
	// and maxJoinWait limits it while the process does not know most of the other members.
	quietPeriod time.Duration
	maxWait     time.Duration
	maxJoinWait time.Duration

	// changed is closed at the next change of the membership.
	changed    <-chan struct{}
	lastChange time.Time
	// unstableSince is the start of the current series of changes; zero while the view is stable.
	unstableSince time.Time
}

// newStabilityTracker starts unstable, because a process that has just started knows no other members.
func newStabilityTracker(timing Timing, now time.Time) *stabilityTracker {
	return &stabilityTracker{
		quietPeriod: timing.MembershipQuiet, maxWait: timing.MaxQuietWait, maxJoinWait: timing.MaxJoinWait, lastChange: now, unstableSince: now,
	}
}

// observe checks whether the membership has changed since the last call. changed is closed at the next change, and
// joined says that most of the other members are known. It returns how long to wait before engines may be claimed; 0
// means no wait.
func (s *stabilityTracker) observe(changed <-chan struct{}, joined bool, now time.Time) time.Duration {
	if s.changed != nil && broadcast.Closed(s.changed) {
		s.lastChange = now
		if s.unstableSince.IsZero() {
			s.unstableSince = now
		}
	}
	s.changed = changed
	if !joined {
		if s.unstableSince.IsZero() {
			s.unstableSince = now
		}
		return max(0, min(s.quietPeriod, s.maxJoinWait-now.Sub(s.unstableSince)))
	}
	wait := s.quietPeriod - now.Sub(s.lastChange)
	if wait <= 0 {
		s.unstableSince = time.Time{}
		return 0
	}
	return max(0, min(wait, s.maxWait-now.Sub(s.unstableSince)))
}
