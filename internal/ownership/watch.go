package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// leaveIdleAfter and leaveHoldingAfter are how long larger members must have had room for all partitions before a member leaves that
	// holds none or some. Runs move when partitions do, which must not happen for machines that come and go.
	leaveIdleAfter    = time.Second
	leaveHoldingAfter = 3 * time.Second
	// leaveJitter spreads the leaving of several members, so that none hands its partitions to another one that is about to leave.
	leaveJitter = time.Second
	// activeFor is how long a member reads the group every activeInterval after a change: a larger member that was dealt nothing asks for
	// partitions after its own first read.
	activeFor = 5 * time.Second
	// activeInterval is the time between these reads: each makes two, so that 300 equal members make 300 a second.
	activeInterval = 2 * time.Second
	// quietInterval is the time between reads of a member while the group doesn't change: 300 members make 40 a second.
	quietInterval = 15 * time.Second
)

// watch reads the group while the machine is a member. It returns true once larger members have had room for all partitions for long
// enough, false if the context ended. While the member holds nothing and smaller ones do, it asks for partitions.
func (m *Manager) watch(ctx context.Context) bool {
	asking := asker{manager: m}
	defer asking.end()
	later := rand.N(leaveJitter)
	changed := time.Now()
	var dispensableSince time.Time
	moving := false
	for {
		wait := jittered(watchInterval(changed, !dispensableSince.IsZero() || asking.active, moving))
		if !dispensableSince.IsZero() {
			due := time.Until(dispensableSince.Add(m.leaveAfter() + later))
			wait = min(wait, max(recheckInterval, due))
		}
		news, ok := m.await(ctx, wait)
		if !ok {
			return false
		}
		if news {
			changed = time.Now()
		}
		group, err := m.readGroup(ctx)
		if err != nil {
			dispensableSince = time.Time{}
			changed = time.Now()
			continue
		}
		// Partitions on their way from one member to another don't tell whether the larger ones have room. The next look comes soon, or
		// members that wait to leave would do so a few at each look.
		moving = group.unowned > 0
		if !moving && sustained(&dispensableSince, group.dispensable, m.leaveAfter()+later) {
			m.config.Logger.Info("leaving partitions to larger members", "group", m.config.Group, "share", m.config.Share, "larger", group.larger,
				"held", m.count.Load())
			return true
		}
		asking.update(ctx, !m.Holds() && policy.RequestsPartitions(group.members, m.config.Share))
	}
}

// leaveAfter is how long larger members must have had room before this member leaves.
func (m *Manager) leaveAfter() time.Duration {
	if m.Holds() {
		return leaveHoldingAfter
	}
	return leaveIdleAfter
}

// watchInterval returns the time until the next read of a group that last changed at a moment; pending says that the member may leave or
// asks for partitions, moving that some have no owner.
func watchInterval(changed time.Time, pending, moving bool) time.Duration {
	switch {
	case pending && moving:
		return recheckInterval
	case pending:
		return lookInterval
	case time.Since(changed) < activeFor:
		return activeInterval
	default:
		return quietInterval
	}
}

// await waits until the group has changed, at most for an interval, and tells whether it has; ok is false if the context ended.
// It waits a random time more after a change, so that one read sees changes that follow each other closely and members don't read together,
// but not beyond the interval: changes that go on would put the read off.
func (m *Manager) await(ctx context.Context, interval time.Duration) (changed, ok bool) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	var spread <-chan time.Time
	for {
		select {
		case <-m.changed:
			if !changed {
				changed, spread = true, time.After(activeInterval/2+rand.N(activeInterval))
			}
		case <-spread:
			return changed, true
		case <-timer.C:
			return changed, true
		case <-ctx.Done():
			return false, false
		}
	}
}
