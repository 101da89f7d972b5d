package engine

import (
	"context"
	"maps"

	"github.com/hillfork/hillfork/internal/platform"
)

// Status tells what was true StatusLag ago.
func (e *Engine) Status(ctx context.Context) (platform.EngineStatus, error) {
	if err := e.enter(ctx); err != nil {
		return platform.EngineStatus{}, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.history.Lagging(), nil
}

// Serves returns the version that new tokens of a model come from, without lag; 0 for a model that is not loaded.
func (e *Engine) Serves(model string) uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.served[model]
}

// status is the state as of now. The caller holds the lock, or is New.
func (e *Engine) status() platform.EngineStatus {
	status := platform.EngineStatus{
		ID:          e.config.ID,
		Incarnation: e.incarnation,
		Served:      maps.Clone(e.served),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Slots:       e.config.Slots,
		Leaving:     !e.faults.leavingSince.IsZero(),
		Pool:        e.pool,
	}
	if len(e.running) > 0 {
		status.TokensPerSecond = float64(len(e.running)) / e.stepSeconds()
	}
	return status
}
