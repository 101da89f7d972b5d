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
	// heard is set by the reader whenever bytes arrive.
	heard atomic.Bool
	ping  func()
	lost  func()
	idle  func()

	mu          sync.Mutex
	timer       *time.Timer
	stopped     bool
	outstanding int
	missed      int
	idleSince   time.Time
	// waitsForIdle says that the timer runs for the idle time, not for the ping interval.
	waitsForIdle bool
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
	k.timer.Reset(k.settings.Interval)
	if k.heard.Swap(false) {
		k.missed = 0
		return nil
	}
	if k.missed >= k.settings.Misses {
		return k.lost
	}
	k.missed++
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
