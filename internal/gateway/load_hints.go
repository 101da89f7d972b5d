package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// maxHints limits the number of engines with a stored hint.
const maxHints = 4096

// hint is the last reported load of an engine, as the ratio of streams to slots.
type hint struct {
	load       float64
	reportedAt time.Time
	// open counts the streams that this gateway has open to the engine.
	open int
}

// loadHints stores the loads that the owners of engines report with their events. Hints decay, so that an engine that
// was avoided for its load is tried again.
type loadHints struct {
	mu    sync.Mutex
	hints map[string]hint
}

func newLoadHints() *loadHints {
	return &loadHints{hints: make(map[string]hint)}
}

// loads returns the estimated ratio of streams to slots of each engine, in the order of engines.
func (h *loadHints) loads(engines []platform.Machine, now time.Time) []float64 {
	estimates := make([]float64, len(engines))
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range engines {
		known, exists := h.hints[engines[i].ID]
		if exists {
			estimates[i] = known.decayed(now) + float64(known.open)/hintSlots
		}
	}
	return estimates
}

func (h hint) decayed(now time.Time) float64 {
	if h.reportedAt.IsZero() {
		return 0
	}
	halvings := float64(now.Sub(h.reportedAt)) / float64(hintHalfLife)
	return h.load * math.Exp2(-max(0, halvings))
}

// reported records a load reported by the engine's owner.
func (h *loadHints) reported(engine string, load float64, now time.Time) {
	h.update(engine, func(known *hint) {
		known.load = load
		known.reportedAt = now
	})
}

// failed records a failed attempt as a high load, so that the engine is avoided for a while.
func (h *loadHints) failed(engine string, now time.Time) {
	h.reported(engine, failurePenalty, now)
}

func (h *loadHints) streamOpened(engine string) {
	h.update(engine, func(known *hint) { known.open++ })
}

func (h *loadHints) streamClosed(engine string) {
	h.update(engine, func(known *hint) { known.open = max(0, known.open-1) })
}

func (h *loadHints) update(engine string, change func(*hint)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, exists := h.hints[engine]
	if !exists && len(h.hints) >= maxHints {
		clear(h.hints)
	}
	change(&known)
	h.hints[engine] = known
}
