package peer

import (
	"sync"
	"sync/atomic"
	"time"
)

// keepAlive monitors one connection. While calls are outstanding and no bytes arrive, it sends pings; after too many
// pings without a response, it reports the connection as lost. If there are no calls for the idle timeout, it reports
// the connection as idle.
type keepAlive struct {
	settings KeepAlive
	// created is the time that lastActivity is relative to.
	created time.Time
	// lastActivity is the time at which bytes last arrived, in nanoseconds since created; the reader sets it.
	lastActivity atomic.Int64
	ping         func()
	onLost       func()
	onIdle       func()

	mu          sync.Mutex
	timer       *time.Timer
	stopped     bool
	outstanding int
	// missedPings is the number of pings sent since bytes last arrived; pingedAt is the time of the last ping.
	missedPings int
	pingedAt    time.Time
	idleSince   time.Time
	// idleTimer reports that the timer runs for the idle timeout and not for the ping interval.
	idleTimer bool
}

// recordActivity records that bytes arrived.
func (k *keepAlive) recordActivity() {
	k.lastActivity.Store(int64(time.Since(k.created)))
}

func (k *keepAlive) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idleSince = time.Now()
	k.idleTimer = true
	k.timer = time.AfterFunc(k.settings.IdleTimeout, k.tick)
}

func (k *keepAlive) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	if k.timer != nil {
		k.timer.Stop()
	}
}

// begin counts a call as outstanding.
func (k *keepAlive) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outstanding++
	if k.idleTimer && !k.stopped {
		k.idleTimer = false
		k.timer.Reset(k.settings.Interval)
	}
}

// end counts a call as finished.
func (k *keepAlive) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outstanding--
	if k.outstanding == 0 {
		k.idleSince = time.Now()
	}
}

func (k *keepAlive) tick() {
	if action := k.nextAction(); action != nil {
		action()
	}
}

// nextAction schedules the next tick and returns the function to call now, or nil.
func (k *keepAlive) nextAction() func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil
	}
	if k.outstanding == 0 {
		return k.nextIdleAction()
	}
	k.idleTimer = false
	lastActivity := k.created.Add(time.Duration(k.lastActivity.Load()))
	if lastActivity.After(k.pingedAt) {
		k.missedPings = 0
	}
	if remaining := k.settings.Interval - time.Since(lastActivity); remaining > 0 {
		k.timer.Reset(remaining)
		return nil
	}
	k.timer.Reset(k.settings.Interval)
	if k.missedPings >= k.settings.Misses {
		return k.onLost
	}
	k.missedPings++
	k.pingedAt = time.Now()
	return k.ping
}

func (k *keepAlive) nextIdleAction() func() {
	k.missedPings = 0
	k.idleTimer = true
	remaining := k.settings.IdleTimeout - time.Since(k.idleSince)
	if remaining <= 0 {
		k.timer.Reset(k.settings.IdleTimeout)
		return k.onIdle
	}
	k.timer.Reset(remaining)
	return nil
}
