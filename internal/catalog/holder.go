package catalog

import (
	"maps"
	"sync"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// Holder holds the newest catalog and the newest named weight versions. Both only rise. It is safe for concurrent use.
type Holder struct {
	mutex    sync.Mutex
	current  *Catalog
	versions map[string]int64
	changed  broadcast.Signal
}

// NewHolder returns a holder without a catalog.
func NewHolder() *Holder {
	return &Holder{versions: make(map[string]int64), changed: broadcast.New()}
}

// Set installs a catalog if it is newer than the one held, and tells whether it was.
func (h *Holder) Set(next *Catalog) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.current != nil && next.Version <= h.current.Version {
		return false
	}
	h.current = next
	h.changed.Notify()
	return true
}

// Current returns the catalog in force, nil before the first.
func (h *Holder) Current() *Catalog {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.current
}

// Priority ranks the work of a tenant on a route by the catalog in force, by the route alone before the first.
func (h *Holder) Priority(route Route, tenantName string) int {
	current := h.Current()
	if current == nil {
		return route.Priority
	}
	return current.Priority(route, tenantName)
}

// Regions returns the regions whose engines may run the work of a tenant on a route, nil for all, by the catalog in force.
func (h *Holder) Regions(route Route, tenantName string) []string {
	current := h.Current()
	if current == nil {
		return route.Regions
	}
	return current.Regions(route, tenantName)
}

// SetVersion records that a version of a model was named, and tells whether it is newer.
func (h *Holder) SetVersion(model string, version int64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if version <= h.versions[model] {
		return false
	}
	h.versions[model] = version
	h.changed.Notify()
	return true
}

// Versions returns the newest named version of each model.
func (h *Holder) Versions() map[string]int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return maps.Clone(h.versions)
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed.Changed()
}
