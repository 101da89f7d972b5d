package engine

import (
	"context"
	"maps"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// timedStatus is what was true from a time on.
type timedStatus struct {
	from   time.Time
	status platform.EngineStatus
}

// Status tells what was true StatusLag ago.
func (e *Engine) Status(ctx context.Context) (platform.EngineStatus, error) {
	if err := e.enter(ctx); err != nil {
		return platform.EngineStatus{}, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.forgetHistory()
	return e.history[0].status, nil
}

// recordStatus notes the state as of now. The caller holds the lock, or is New.
func (e *Engine) recordStatus() {
	now := time.Now()
	entry := timedStatus{from: now, status: e.status()}
	last := len(e.history) - 1
	if last > 0 && e.history[last].from.Equal(now) {
		e.history[last] = entry
		return
	}
	e.history = append(e.history, entry)
	e.forgetHistory()
}

// forgetHistory drops what no Status will tell any more; the first entry left is what Status tells.
func (e *Engine) forgetHistory() {
	horizon := time.Now().Add(-e.config.StatusLag)
	for len(e.history) > 1 && !e.history[1].from.After(horizon) {
		e.history = e.history[1:]
	}
}

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
