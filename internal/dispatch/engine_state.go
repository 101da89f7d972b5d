package dispatch

import (
	"maps"
	"sync"

	"github.com/hillfork/hillfork/internal/platform"
)

// States of an engine, as reported in EngineInfo.State.
const (
	StateUnknown     = "unknown"
	StateServing     = "serving"
	StateLoading     = "loading"
	StateQuarantined = "quarantined"
	StateLeaving     = "leaving"
	StateDown        = "down"
)

// maxStatusFailures is the number of consecutive failed status reads after which an engine counts as down.
const maxStatusFailures = 3

// engineState holds what is known of an engine from its status and its tokens.
type engineState struct {
	notify *notifier

	mutex       sync.Mutex
	hasStatus   bool
	incarnation uint64
	served      map[string]uint64
	leaving     bool
	failures    int
	loading     bool
	quarantined map[string]bool
}

func newEngineState() *engineState {
	return &engineState{
		notify:      newNotifier(),
		served:      map[string]uint64{},
		quarantined: map[string]bool{},
	}
}

func (e *engineState) update(change func()) {
	e.mutex.Lock()
	change()
	e.mutex.Unlock()
	e.notify.notify()
}

// observeStatus records a status. It reports whether the engine is a new process, which has lost all its streams.
func (e *engineState) observeStatus(status platform.EngineStatus) (restarted bool) {
	e.update(func() {
		restarted = e.hasStatus && status.Incarnation != e.incarnation
		if restarted {
			clear(e.quarantined)
		}
		e.hasStatus = true
		e.failures = 0
		e.incarnation = status.Incarnation
		e.served = maps.Clone(status.Served)
		e.leaving = status.Leaving
	})
	return restarted
}

// observeFailure counts a failed status read and reports whether it is the one that marks the engine as down.
func (e *engineState) observeFailure() (down bool) {
	e.update(func() {
		e.failures++
		down = e.failures == maxStatusFailures
	})
	return down
}

// differsFromServed reports whether a version differs from the one that the engine is assumed to serve.
func (e *engineState) differsFromServed(model string, version uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.served[model] != version
}

// quarantine marks a model as receiving no new work until a load order is verified. It reports whether the model was
// not quarantined before.
func (e *engineState) quarantine(model string) (added bool) {
	e.update(func() {
		added = !e.quarantined[model]
		e.quarantined[model] = true
	})
	return added
}

// recordVerified records that the engine's status showed the version of a load order.
func (e *engineState) recordVerified(model string, version uint64) {
	e.update(func() {
		e.served[model] = version
		delete(e.quarantined, model)
	})
}

func (e *engineState) setLoading(loading bool) {
	e.update(func() { e.loading = loading })
}

// engineView is a copy of an engineState.
type engineView struct {
	hasStatus   bool
	down        bool
	leaving     bool
	loading     bool
	incarnation uint64
	served      map[string]uint64
	quarantined map[string]bool
}

func (e *engineState) view() engineView {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return engineView{
		hasStatus:   e.hasStatus,
		down:        e.failures >= maxStatusFailures,
		leaving:     e.leaving,
		loading:     e.loading,
		incarnation: e.incarnation,
		served:      maps.Clone(e.served),
		quarantined: maps.Clone(e.quarantined),
	}
}

// reachable reports whether the engine's status is known and the engine is not down.
func (v engineView) reachable() bool {
	return v.hasStatus && !v.down
}

// stateName returns the state for EngineInfo.
func (v engineView) stateName() string {
	switch {
	case !v.hasStatus:
		return StateUnknown
	case v.down:
		return StateDown
	case v.leaving:
		return StateLeaving
	case len(v.quarantined) > 0:
		return StateQuarantined
	case v.loading:
		return StateLoading
	default:
		return StateServing
	}
}
