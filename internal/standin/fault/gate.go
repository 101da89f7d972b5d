// Package fault holds the ways to fail that the stand-ins of platform services have in common.
package fault

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/pause"
)

// ErrUnavailable is what a service answers while it is down. It says nothing about whether the call took effect.
var ErrUnavailable = errors.New("service is unavailable")

// forever is how long a service stays down when no end is set.
const forever = 100 * 365 * 24 * time.Hour

// Gate makes a service unavailable or slow. The zero value lets every call through at once. It is safe for concurrent
// use.
type Gate struct {
	mutex     sync.Mutex
	downUntil time.Time
	delay     time.Duration
	changed   chan struct{}
}

// Down makes the service unavailable until Up.
func (g *Gate) Down() {
	g.DownFor(forever)
}

// DownFor makes the service unavailable for duration from now on. Calls that are waiting in the service fail at once.
func (g *Gate) DownFor(duration time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.downUntil = time.Now().Add(duration)
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// Up ends Down and DownFor.
func (g *Gate) Up() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.downUntil = time.Time{}
}

// SetDelay adds delay to every call: half before its effect and half after. 0 ends it.
func (g *Gate) SetDelay(delay time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.delay = delay
}

// Pass waits for half of the delay, then says whether the service is available. Services call it before and after the
// effect of a call.
func (g *Gate) Pass(ctx context.Context) error {
	if err := g.check(); err != nil {
		return err
	}
	if err := Sleep(ctx, g.halfDelay()); err != nil {
		return err
	}
	return g.check()
}

// WentDown returns a channel that is closed when the service next goes down.
func (g *Gate) WentDown() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

func (g *Gate) check() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if time.Now().Before(g.downUntil) {
		return ErrUnavailable
	}
	return nil
}

func (g *Gate) halfDelay() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.delay / 2
}

// Sleep waits for duration or until ctx ends, in which case it returns the context's error.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	if !pause.For(ctx, duration) {
		return ctx.Err()
	}
	return nil
}
