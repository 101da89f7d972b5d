package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// maxHints bounds the engines that hints are kept of.
const maxHints = 4096

// hint is what was last heard of an engine's load, streams over slots.
type hint struct {
	load  float64
	heard time.Time
	// open counts the streams of this gateway that were opened since.
	open int
}

// loadHints keeps the loads that engines' owners told with their events. A hint decays, so that an engine that was avoided
// for its load is tried again.
type loadHints struct {
	mu    sync.Mutex
	hints map[string]hint
}

func newLoadHints() *loadHints {
	return &loadHints{hints: make(map[string]hint)}
}

// loads estimates the engines' streams over slots now, in their order.
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
	if h.heard.IsZero() {
		return 0
	}
	halvings := float64(now.Sub(h.heard)) / float64(hintHalfLife)
	return h.load * math.Exp2(-max(0, halvings))
}

// heard takes a load told by the engine's owner.
func (h *loadHints) heard(engine string, load float64, now time.Time) {
	h.update(engine, func(known *hint) {
		known.load = load
		known.heard = now
	})
}

// failed makes an engine look busy for a while.
func (h *loadHints) failed(engine string, now time.Time) {
	h.heard(engine, failurePenalty, now)
}

func (h *loadHints) sent(engine string) {
	h.update(engine, func(known *hint) { known.open++ })
}

func (h *loadHints) ended(engine string) {
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
