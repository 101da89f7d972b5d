package peer

import (
	"sync"
	"sync/atomic"
	"time"
)

// keepAlive watches one connection. While calls are outstanding and nothing is heard it pings, and after too many pings
// without an answer it declares the connection lost. Without calls it declares the connection idle after a while.
type keepAlive struct {
	settings KeepAlive
	// created is the origin of heardAt.
	created time.Time
	// heardAt is when bytes arrived last, in nanoseconds since created; the reader sets it.
	heardAt atomic.Int64
	ping    func()
	lost    func()
	idle    func()

	mu          sync.Mutex
	timer       *time.Timer
	stopped     bool
	outstanding int
	// missed counts the pings since anything was heard, pingedAt is when the last one was sent.
	missed    int
	pingedAt  time.Time
	idleSince time.Time
	// waitsForIdle says that the timer runs for the idle time, not for the ping interval.
	waitsForIdle bool
}

// hear notes that bytes arrived.
func (k *keepAlive) hear() {
	k.heardAt.Store(int64(time.Since(k.created)))
}

func (k *keepAlive) start() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idleSince = time.Now()
	k.waitsForIdle = true
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
	if k.waitsForIdle && !k.stopped {
		k.waitsForIdle = false
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
	if act := k.decide(); act != nil {
		act()
	}
}

// decide sets the next tick and returns what is to be done now.
func (k *keepAlive) decide() func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil
	}
	if k.outstanding == 0 {
		return k.decideIdle()
	}
	k.waitsForIdle = false
	heardAt := k.created.Add(time.Duration(k.heardAt.Load()))
	if heardAt.After(k.pingedAt) {
		k.missed = 0
	}
	if left := k.settings.Interval - time.Since(heardAt); left > 0 {
		k.timer.Reset(left)
		return nil
	}
	k.timer.Reset(k.settings.Interval)
	if k.missed >= k.settings.Misses {
		return k.lost
	}
	k.missed++
	k.pingedAt = time.Now()
	return k.ping
}

func (k *keepAlive) decideIdle() func() {
	k.missed = 0
	k.waitsForIdle = true
	left := k.settings.IdleTimeout - time.Since(k.idleSince)
	if left <= 0 {
		k.timer.Reset(k.settings.IdleTimeout)
		return k.idle
	}
	k.timer.Reset(left)
	return nil
}
