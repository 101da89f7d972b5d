package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// lookInterval is the time between two reads of the group by a machine that stands by. A partition whose members are all gone waits
	// that much longer for an owner; 400 replicas make 400 reads a second, some percent of what a store takes.
	lookInterval = time.Second
	// lookJitter is the part of an interval by which the time between reads varies, so that machines started together don't read together.
	lookJitter = 0.1
	// recheckInterval is the time between reads while a partition has no owner, or after a read that failed.
	recheckInterval = 300 * time.Millisecond
	// unownedFor is how long some partitions have to be without an owner before a machine joins for them: members take over what a
	// leaving one held with their next join.
	unownedFor = 250 * time.Millisecond
	// startPatience is how long a machine that has just started waits for larger ones that may be starting with it.
	startPatience = 2 * time.Second
	// returnPatience is how long a machine that stands by leaves the partitions to too few larger members: longer than the stop and start
	// of one of these take.
	returnPatience = 10 * time.Second
)

// standBy waits until the machine has to take part in the group, and returns false if the context ended before. A machine that was just
// started and is among the owners still takes part at once: nobody else serves what its predecessor held.
func (m *Manager) standBy(ctx context.Context, started bool) bool {
	if m.config.Share <= 0 {
		return ctx.Err() == nil
	}
	w := standbyWait{patience: returnPatience, retry: recheckInterval}
	if started {
		w.patience, w.retry = startPatience, m.config.Lifetime/joinsPerLifetime
	}
	for ctx.Err() == nil {
		group, err := m.readGroup(ctx)
		switch {
		case err != nil:
			// A store that does not answer reads, or refuses them for being too many, does not answer joins either. Machines that
			// join blindly would all be members once it is back, before they have seen that the larger ones still are.
			w.interval = w.retry
		case started && group.listed, w.mustJoin(group):
			m.config.Logger.Info("taking part", "group", m.config.Group, "share", m.config.Share, "larger", group.larger,
				"unowned", group.unowned, "listed", group.listed)
			return true
		case !w.announced && group.dispensable:
			w.announced = true
			m.config.Logger.Info("standing by", "group", m.config.Group, "share", m.config.Share, "larger", group.larger)
		}
		if !pause.For(ctx, jittered(w.interval)) {
			return false
		}
	}
	return false
}

// standbyWait decides how long a machine stands by.
type standbyWait struct {
	// patience is how long the partitions are left to too few larger members.
	patience time.Duration
	// retry is the time until the next read after one that failed: that between joins for a machine that has just started, which may be
	// needed as soon as the store is back.
	retry time.Duration
	// announced says that it was logged that the machine stands by.
	announced bool
	// interval is the time until the next read.
	interval time.Duration
	// unownedSince is when a partition lost its owner, neededSince when the larger members became too few; zero where it is not so.
	unownedSince, neededSince time.Time
}

// mustJoin tells whether the machine has to take part, and sets the time until the next read. A machine without larger members takes part
// at once.
func (w *standbyWait) mustJoin(group groupState) bool {
	w.interval = lookInterval
	if group.unowned > 0 {
		w.interval = recheckInterval
	}
	if group.dispensable {
		w.patience, w.retry = returnPatience, recheckInterval
	}
	unowned := sustained(&w.unownedSince, group.unowned > 0, unownedFor)
	needed := sustained(&w.neededSince, group.unowned == 0 && !group.dispensable, w.patience)
	largest := group.larger == 0 && !group.dispensable
	return group.allUnowned || unowned || needed || largest
}

// sustained keeps in since when a condition began to hold, and tells whether it has held for as long as required.
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

// jittered varies an interval by lookJitter.
func jittered(interval time.Duration) time.Duration {
	return time.Duration((1 - lookJitter + 2*lookJitter*rand.Float64()) * float64(interval))
}
