// Package engine is a stand-in for a model engine: continuous batching with priorities, a prefix cache, fenced orders,
// and answers that are a known function of the prompt. It fails on request: see docs/STANDINS.md.
//
// Progress is worked out from elapsed time, piecewise between changes of the batch, so that an engine costs one timer
// tick per chunk interval and nothing while it is idle. All state is under one lock, never held while blocking.
package engine

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/lag"
)

// Errors of an engine, besides those of package platform.
var (
	// ErrCrashed says that the engine crashed; on the wire the connection breaks.
	ErrCrashed = errors.New("engine crashed")
	// ErrCanceled ends a stream that was cancelled.
	ErrCanceled = errors.New("stream was cancelled")
	// ErrExported ends a stream whose cache was exported.
	ErrExported = errors.New("stream was exported")
	// ErrUnknownStream says that there is no such stream.
	ErrUnknownStream = errors.New("no such stream")
	// ErrLoadFailed says that a load failed, and nothing of what the engine serves now.
	ErrLoadFailed = errors.New("load failed")
)

// Engine is one model engine. It fills platform.Engine directly, and serves it through Handler.
type Engine struct {
	config Config

	mutex       sync.Mutex
	random      *rand.Rand
	incarnation uint64
	// life ends when the incarnation crashes or the engine is closed; while it is over, every call fails.
	life    context.Context
	endLife context.CancelFunc

	served  map[string]uint64
	pool    string
	fence   platform.Fence
	loading map[string]platform.Fence

	running []*stream
	waiting []*stream
	streams map[streamKey]*stream
	arrived uint64
	cache   *prefixCache
	imports *importTable

	// advancedTo is the time up to which progress is worked out; pausedUntil stops it for a swap of weights.
	advancedTo  time.Time
	pausedUntil time.Time
	tick        *time.Timer
	nextTick    time.Time

	faults  faults
	history *lag.History[platform.EngineStatus]
}

var _ platform.Engine = (*Engine)(nil)

// New returns a running engine. Close ends it.
func New(config Config) *Engine {
	e := &Engine{
		config: config.withDefaults(),
		random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
	e.cache = newPrefixCache(e.config, e.random)
	e.faults.slowness = 1
	e.start()
	return e
}

// start begins an incarnation with nothing but what the configuration says. The caller holds the lock, or is New.
func (e *Engine) start() {
	e.incarnation++
	e.life, e.endLife = context.WithCancel(context.Background())
	e.served = maps.Clone(e.config.Served)
	if e.served == nil {
		e.served = make(map[string]uint64)
	}
	e.pool = e.config.Pool
	e.fence = platform.Fence{}
	e.loading = make(map[string]platform.Fence)
	e.running = nil
	e.waiting = nil
	e.streams = make(map[streamKey]*stream)
	e.cache.clear()
	e.imports = newImportTable()
	e.advancedTo = time.Now()
	e.pausedUntil = time.Time{}
	e.nextTick = time.Time{}
	e.faults.leavingSince = time.Time{}
	e.history = lag.NewHistory(e.config.StatusLag, e.status())
}

// Close ends the engine as Crash does.
func (e *Engine) Close() {
	e.Crash()
}

// enter waits while the engine hangs and fails once it has crashed.
func (e *Engine) enter(ctx context.Context) error {
	for {
		e.mutex.Lock()
		hang, life := e.faults.hang, e.life
		e.mutex.Unlock()
		if life.Err() != nil {
			return ErrCrashed
		}
		if hang == nil {
			return ctx.Err()
		}
		select {
		case <-hang:
		case <-life.Done():
			return ErrCrashed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
