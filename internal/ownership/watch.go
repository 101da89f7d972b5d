package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// leaveIdleAfter and leaveHoldingAfter are how long larger members must have had capacity for all partitions before
	// a member that holds none or some partitions leaves. Moving a partition also moves its runs, so machines that come
	// and go must not cause it.
	leaveIdleAfter    = time.Second
	leaveHoldingAfter = 3 * time.Second
	// leaveJitter spreads the times at which several members leave, so that none hands its partitions to another one
	// that is about to leave.
	leaveJitter = time.Second
	// activePeriod is how long after a change a member reads the group every activeInterval: a larger member that was
	// assigned nothing requests partitions after its own first read.
	activePeriod = 5 * time.Second
	// activeInterval is the time between these reads. Each of them is two calls, so that 300 equal members make 300
	// calls/s.
	activeInterval = 2 * time.Second
	// quietInterval is the time between reads by a member while the group doesn't change: 300 members make 40 calls/s.
	quietInterval = 15 * time.Second
)

// watch reads the group while the machine is a member. It returns true once larger members have had capacity for all
// partitions for long enough, false if the context ended. While the member holds nothing and smaller ones do, it
// requests partitions.
func (m *Manager) watch(ctx context.Context) bool {
	requester := partitionRequester{manager: m}
	defer requester.withdraw()
	jitter := rand.N(leaveJitter)
	changed := time.Now()
	var dispensableSince time.Time
	moving := false
	for {
		wait := jittered(watchInterval(changed, !dispensableSince.IsZero() || requester.active, moving))
		if !dispensableSince.IsZero() {
			remaining := time.Until(dispensableSince.Add(m.leaveAfter() + jitter))
			wait = min(wait, max(recheckInterval, remaining))
		}
		notified, ok := m.awaitChange(ctx, wait)
		if !ok {
			return false
		}
		if notified {
			changed = time.Now()
		}
		group, err := m.readGroup(ctx)
		if err != nil {
			dispensableSince = time.Time{}
			changed = time.Now()
			continue
		}
		// While partitions move between members, the list of owners doesn't show whether the larger members have
		// capacity. The next read then follows soon; otherwise the members that wait to leave would leave only a few at
		// each read.
		moving = group.unowned > 0
		if !moving && sustained(&dispensableSince, group.dispensable, m.leaveAfter()+jitter) {
			m.config.Logger.Info("leaving partitions to larger members", "group", m.config.Group, "share", m.config.Share, "larger", group.largerShares,
				"held", m.heldCount.Load())
			return true
		}
		requester.update(ctx, !m.Holds() && policy.RequestsPartitions(group.members, m.config.Share))
	}
}

// leaveAfter returns how long larger members must have had capacity before this member leaves.
func (m *Manager) leaveAfter() time.Duration {
	if m.Holds() {
		return leaveHoldingAfter
	}
	return leaveIdleAfter
}

// watchInterval returns the time until the next read of a group that last changed at the given time. pending is set if
// the member may leave or requests partitions, moving if some partitions have no owner.
func watchInterval(changed time.Time, pending, moving bool) time.Duration {
	switch {
	case pending && moving:
		return recheckInterval
	case pending:
		return readInterval
	case time.Since(changed) < activePeriod:
		return activeInterval
	default:
		return quietInterval
	}
}

// awaitChange waits until the group has changed, for at most an interval, and reports whether it has; ok is false if
// the context ended. After a change it waits an additional random time, so that one read covers changes that follow
// each other closely and members don't read together, but not beyond the interval: a series of changes would postpone
// the read otherwise.
func (m *Manager) awaitChange(ctx context.Context, interval time.Duration) (changed, ok bool) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	var spreadTimer <-chan time.Time
	for {
		select {
		case <-m.changed:
			if !changed {
				changed, spreadTimer = true, time.After(activeInterval/2+rand.N(activeInterval))
			}
		case <-spreadTimer:
			return changed, true
		case <-timer.C:
			return changed, true
		case <-ctx.Done():
			return false, false
		}
	}
}
