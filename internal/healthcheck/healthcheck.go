// Package healthcheck requests from engines how long they stay cold. The directory requests a check of an engine that
// returned together with its zone, is to be tried again after failures, or responds late. A check occupies a slot of the
// engine, and all processes may request one at the same time. So each process sends at most one per interval to each
// engine, and none to engines of pools without a cold rate.
package healthcheck

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// minInterval is the minimum time between two checks of an engine.
	minInterval = time.Second
	// lateInterval is the minimum time between two checks of an engine that responds late and was not cold at the first of
	// them: long prompts and weight loads delay responses too.
	lateInterval = 5 * time.Second
	// timeout limits a check. A cold engine responds to it like a warm one.
	timeout = 400 * time.Millisecond
	// maxPending limits the checks in progress, for zones of hundreds of engines that return at the same time.
	maxPending = 32
	// maxHistory is the number of entries from which the history of checks is pruned.
	maxHistory = 256
)

// Client sends health checks.
type Client interface {
	// Health returns the health that an engine states at a path. The response of another engine is an error.
	Health(ctx context.Context, engine fleet.Engine, path string) (engineapi.Health, error)
}

// Config configures a checker.
type Config struct {
	Client    Client
	Directory *fleet.Directory
	// Path returns the path of the health checks of a pool's engines, empty if there are none to be made.
	Path   func(pool string) string
	Logger *log.Logger
}

// Checker makes the health checks that a directory requests.
type Checker struct {
	config Config
	sent   atomic.Int64

	mutex   sync.Mutex
	history map[string]lastCheck
	pending int
}

// lastCheck is the last check of an engine. The zero value means that there was none.
type lastCheck struct {
	sentAt  time.Time
	pending bool
	// warm means that the engine responded that it is not cold.
	warm bool
}

// New returns a checker. Run starts it.
func New(config Config) *Checker {
	return &Checker{config: config, history: make(map[string]lastCheck)}
}

// Sent returns the number of checks sent.
func (c *Checker) Sent() int64 {
	return c.sent.Load()
}

// Run makes checks until the context ends.
func (c *Checker) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-c.config.Directory.HealthChecks():
		case <-ctx.Done():
			return
		}
		for _, check := range c.config.Directory.TakeHealthChecks() {
			path := c.config.Path(check.Engine.Pool)
			if path != "" && c.begin(check, time.Now()) {
				running.Go(func() { c.check(ctx, check, path) })
			}
		}
	}
}

// isDue reports whether an engine may be checked for a cause.
func isDue(last lastCheck, cause fleet.CheckCause, now time.Time) bool {
	interval := minInterval
	if cause == fleet.CheckLate && last.warm {
		interval = lateInterval
	}
	return !last.pending && (last.sentAt.IsZero() || now.Sub(last.sentAt) >= interval)
}

// begin records that a check is sent now, and returns false if it must not be sent.
func (c *Checker) begin(check fleet.HealthCheck, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending >= maxPending || !isDue(c.history[check.Engine.ID], check.Cause, now) {
		return false
	}
	if len(c.history) >= maxHistory {
		for id, last := range c.history {
			if !last.pending && now.Sub(last.sentAt) >= lateInterval {
				delete(c.history, id)
			}
		}
	}
	c.history[check.Engine.ID] = lastCheck{sentAt: now, pending: true}
	c.pending++
	return true
}

// end records how a check that was sent at sentAt ended.
func (c *Checker) end(id string, sentAt time.Time, warm bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.history[id] = lastCheck{sentAt: sentAt, warm: warm}
	c.pending--
}

// check sends a check and passes the response to the directory.
func (c *Checker) check(ctx context.Context, check fleet.HealthCheck, path string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	c.sent.Add(1)
	health, err := c.config.Client.Health(ctx, check.Engine, path)
	c.end(check.Engine.ID, sentAt, err == nil && health.ColdFor <= 0)
	if err != nil {
		errorlog.Debug(c.config.Logger, "health check failed", err, "engine", check.Engine.ID, "cause", check.Cause)
		return
	}
	c.config.Directory.RecordHealth(check.Engine, sentAt, health.ColdFor)
	if health.ColdFor > 0 {
		c.config.Logger.Info("engine is cold", "engine", check.Engine.ID, "pool", check.Engine.Pool, "cold_for", health.ColdFor,
			"cause", check.Cause)
	}
}
