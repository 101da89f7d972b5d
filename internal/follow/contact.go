package follow

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/uptime"
)

// setConnected records whether the last call to the store succeeded, and logs changes.
func (f *Follower) setConnected(ctx context.Context, connected bool, err error) {
	f.mutex.Lock()
	changed := f.connected != connected
	firstCall := !f.contacted
	f.connected = connected
	f.contacted = true
	if connected && changed && !firstCall && f.inOutage() {
		f.reconnectedAt = time.Now()
	}
	if !connected && changed {
		f.lostFrom = f.confirmed
	}
	lostFrom := f.lostFrom
	f.mutex.Unlock()
	if !changed || ctx.Err() != nil {
		return
	}
	if connected {
		if firstCall {
			f.config.Logger.Debug("following store partition", "partition", f.config.Partition)
			return
		}
		f.config.Logger.Info("store partition regained", "partition", f.config.Partition, "unconfirmed_for", ago(lostFrom))
		return
	}
	errorlog.Warn(f.config.Logger, "store partition lost", err, "partition", f.config.Partition, "confirmed_ago", ago(lostFrom))
}

// ago returns how long ago a moment was, or "never" for the zero value.
func ago(moment uptime.Mark) string {
	if moment.IsZero() {
		return "never"
	}
	return moment.Age().Round(time.Millisecond).String()
}

// ReconnectedAt returns when the store last answered again after an outage of at least MinOutage. During an outage, and until the
// records of the first answer after it have been applied, it returns the current time; the zero time if there was none.
func (f *Follower) ReconnectedAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.contacted && !f.connected && f.inOutage() {
		return time.Now()
	}
	return f.reconnectedAt
}

// inOutage reports whether the failed calls up to now are an outage of the store: nothing was confirmed for at least MinOutage. The
// mutex must be held.
func (f *Follower) inOutage() bool {
	return f.lostFrom.IsZero() || f.lostFrom.Age() >= f.config.MinOutage
}

// Connected reports whether the last call to the store succeeded; true before the first call.
func (f *Follower) Connected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected || !f.contacted
}

// inSync reports whether the last call succeeded and the follower has caught up at least once.
func (f *Follower) inSync() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp && f.connected
}

// CaughtUp reports whether, at some moment, everything in the partition had been applied.
func (f *Follower) CaughtUp() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp
}

// Confirmed returns when the store last reported that there were no further records, or, where the newest records were read
// since, when they were requested. The time is shifted so that its age by the monotonic clock includes time in suspension.
func (f *Follower) Confirmed() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.confirmed.At()
}
