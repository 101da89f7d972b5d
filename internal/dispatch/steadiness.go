package dispatch

import (
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// steadiness tells whether the view of the members has been the same for long enough to claim engines by it. While a
// cluster starts, or a zone dies, every node's view changes for some seconds; were each to claim at once what its view of
// the moment gives it, every engine would be claimed by many nodes one after the other: nodes times engines claims.
type steadiness struct {
	// quiet is how long the members must be the same; limit bounds the wait of a view that keeps changing, and joinLimit
	// that of a process that does not know most of the others.
	quiet     time.Duration
	limit     time.Duration
	joinLimit time.Duration

	// changed is closed at the next change of the members.
	changed    <-chan struct{}
	lastChange time.Time
	// unsteadySince is when the changes began; zero while the view is steady.
	unsteadySince time.Time
}

// newSteadiness begins unsteady: a process that has just started knows nobody.
func newSteadiness(timing Timing, now time.Time) *steadiness {
	return &steadiness{
		quiet: timing.SteadyQuiet, limit: timing.SteadyLimit, joinLimit: timing.JoinLimit, lastChange: now, unsteadySince: now,
	}
}

// observe notes whether the members have changed since it was last called; changed is closed at their next change, and
// joined says that most of the others are known. It returns how long to wait before engines may be claimed, 0 for no wait.
func (s *steadiness) observe(changed <-chan struct{}, joined bool, now time.Time) time.Duration {
	if s.changed != nil && broadcast.Closed(s.changed) {
		s.lastChange = now
		if s.unsteadySince.IsZero() {
			s.unsteadySince = now
		}
	}
	s.changed = changed
	if !joined {
		if s.unsteadySince.IsZero() {
			s.unsteadySince = now
		}
		return max(0, min(s.quiet, s.joinLimit-now.Sub(s.unsteadySince)))
	}
	wait := s.quiet - now.Sub(s.lastChange)
	if wait <= 0 {
		s.unsteadySince = time.Time{}
		return 0
	}
	return max(0, min(wait, s.limit-now.Sub(s.unsteadySince)))
}
