package dispatch

import (
	"maps"
	"sync"

	"github.com/hillfork/hillfork/internal/platform"
)

// States of an engine, as EngineInfo.State tells them.
const (
	StateUnknown     = "unknown"
	StateServing     = "serving"
	StateLoading     = "loading"
	StateQuarantined = "quarantined"
	StateLeaving     = "leaving"
	StateDown        = "down"
)

// maxStatusFailures is how many status reads may fail in a row before the engine counts as down.
const maxStatusFailures = 3

// engineState is what is known of an engine, from its status and from its tokens.
type engineState struct {
	notify *notifier

	mutex       sync.Mutex
	seen        bool
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

// observeStatus takes a status in. It tells whether the engine is a new process, which has lost all its streams.
func (e *engineState) observeStatus(status platform.EngineStatus) (restarted bool) {
	e.update(func() {
		restarted = e.seen && status.Incarnation != e.incarnation
		if restarted {
			clear(e.quarantined)
		}
		e.seen = true
		e.failures = 0
		e.incarnation = status.Incarnation
		e.served = maps.Clone(status.Served)
		e.leaving = status.Leaving
	})
	return restarted
}

// observeFailure counts a status read that failed, and tells whether the engine counts as down from now on.
func (e *engineState) observeFailure() (down bool) {
	e.update(func() {
		e.failures++
		down = e.failures == maxStatusFailures
	})
	return down
}

// contradicts tells whether a version is another than the one that the engine is thought to serve.
func (e *engineState) contradicts(model string, version uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.served[model] != version
}

// quarantine keeps new work of a model away until a load order was seen to succeed. It tells whether that is news.
func (e *engineState) quarantine(model string) (isNews bool) {
	e.update(func() {
		isNews = !e.quarantined[model]
		e.quarantined[model] = true
	})
	return isNews
}

// verified notes that the engine was seen to serve what it was ordered to.
func (e *engineState) verified(model string, version uint64) {
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
	seen        bool
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
		seen:        e.seen,
		down:        e.failures >= maxStatusFailures,
		leaving:     e.leaving,
		loading:     e.loading,
		incarnation: e.incarnation,
		served:      maps.Clone(e.served),
		quarantined: maps.Clone(e.quarantined),
	}
}

// reachable tells whether the engine can be given anything.
func (v engineView) reachable() bool {
	return v.seen && !v.down
}

// name tells the state for EngineInfo.
func (v engineView) name() string {
	switch {
	case !v.seen:
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
