package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// readInterval is the time between two reads of the group by a machine that stands by. A partition whose members
	// are all gone waits that much longer for an owner; 400 replicas make 400 reads/s, a few percent of what a store
	// accepts.
	readInterval = time.Second
	// readJitter is the fraction of an interval by which the time between reads varies, so that machines started
	// together don't read together.
	readJitter = 0.1
	// recheckInterval is the time between reads while a partition has no owner, or after a failed read.
	recheckInterval = 300 * time.Millisecond
	// unownedDelay is how long partitions must have been without an owner before a machine joins because of them:
	// members take over the partitions of a leaving member with their next join.
	unownedDelay = 250 * time.Millisecond
	// startDelay is how long a machine that has just started waits for larger ones that may be starting with it.
	startDelay = 2 * time.Second
	// returnDelay is how long a machine that stands by leaves the partitions to too few larger members. It exceeds the
	// time that one of them takes to stop and start again.
	returnDelay = 10 * time.Second
)

// standBy waits until the machine has to join the group, and returns false if the context ended before that. A machine
// that was just started and is still among the owners joins at once: no other member serves the partitions of its
// predecessor.
func (m *Manager) standBy(ctx context.Context, started bool) bool {
	if m.config.Share <= 0 {
		return ctx.Err() == nil
	}
	w := standbyWait{joinDelay: returnDelay, retryInterval: recheckInterval}
	if started {
		w.joinDelay, w.retryInterval = startDelay, m.config.Lifetime/joinsPerLifetime
	}
	for ctx.Err() == nil {
		group, err := m.readGroup(ctx)
		switch {
		case err != nil:
			// A store that doesn't answer reads, or rejects them because there are too many, doesn't answer joins
			// either. Machines that joined without a read would all be members once the store is back, before they have
			// seen that the larger ones still are.
			w.interval = w.retryInterval
		case started && group.isOwner, w.mustJoin(group):
			m.config.Logger.Info("taking part", "group", m.config.Group, "share", m.config.Share, "larger", group.largerShares,
				"unowned", group.unowned, "listed", group.isOwner)
			return true
		case !w.logged && group.dispensable:
			w.logged = true
			m.config.Logger.Info("standing by", "group", m.config.Group, "share", m.config.Share, "larger", group.largerShares)
		}
		if !pause.For(ctx, jittered(w.interval)) {
			return false
		}
	}
	return false
}

// standbyWait decides how long a machine stands by.
type standbyWait struct {
	// joinDelay is how long the partitions are left to too few larger members.
	joinDelay time.Duration
	// retryInterval is the time until the next read after a failed one. For a machine that has just started it is the
	// time between joins, because the machine may be needed as soon as the store is back.
	retryInterval time.Duration
	// logged is set once the log says that the machine stands by.
	logged bool
	// interval is the time until the next read.
	interval time.Duration
	// unownedSince is when a partition lost its owner, neededSince when the larger members became too few; zero if that
	// is not so.
	unownedSince, neededSince time.Time
}

// mustJoin reports whether the machine has to join, and sets the time until the next read. A machine without larger
// members joins at once.
func (w *standbyWait) mustJoin(group groupState) bool {
	w.interval = readInterval
	if group.unowned > 0 {
		w.interval = recheckInterval
	}
	if group.dispensable {
		w.joinDelay, w.retryInterval = returnDelay, recheckInterval
	}
	unowned := sustained(&w.unownedSince, group.unowned > 0, unownedDelay)
	needed := sustained(&w.neededSince, group.unowned == 0 && !group.dispensable, w.joinDelay)
	largest := group.largerShares == 0 && !group.dispensable
	return group.allUnowned || unowned || needed || largest
}

// sustained stores in since when a condition became true, and reports whether it has been true for the required time.
func sustained(since *time.Time, holds bool, required time.Duration) bool {
	if !holds {
		*since = time.Time{}
		return false
	}
	if since.IsZero() {
		*since = time.Now()
	}
	return time.Since(*since) >= required
}

// jittered varies an interval by up to readJitter in either direction.
func jittered(interval time.Duration) time.Duration {
	return time.Duration((1 - readJitter + 2*readJitter*rand.Float64()) * float64(interval))
}
