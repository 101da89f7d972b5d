package catalog

import (
	"maps"
	"sync"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// Holder holds the newest catalog and the newest published weight version of each model. Versions of both only increase. It is
// safe for concurrent use.
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

// Set installs a catalog if it is newer than the current one, and reports whether it was installed.
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

// Current returns the current catalog, nil before the first Set.
func (h *Holder) Current() *Catalog {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.current
}

// Priority returns the priority of a tenant's work on a route by the current catalog, or the route's own priority if there is no
// catalog yet.
func (h *Holder) Priority(route Route, tenantName string) int {
	current := h.Current()
	if current == nil {
		return route.Priority
	}
	return current.Priority(route, tenantName)
}

// Regions returns the regions whose engines may run a tenant's work on a route by the current catalog, nil for all. If there is
// no catalog yet, the route's own regions apply.
func (h *Holder) Regions(route Route, tenantName string) []string {
	current := h.Current()
	if current == nil {
		return route.Regions
	}
	return current.Regions(route, tenantName)
}

// AdmittedRegions returns the regions whose engines may run work on a route that was admitted for a tenant under this catalog or an
// earlier one, nil for all. The regions of a tenant that was removed since, even for a short time, are not known any more: bound is used
// in their place, nil for all.
func (h *Holder) AdmittedRegions(route Route, tenantName string, bound []string) []string {
	if current := h.Current(); current != nil && !current.HasTenant(tenantName) {
		return commonRegions(route.Regions, bound)
	}
	return h.Regions(route, tenantName)
}

// SetVersion records a published weight version of a model, and reports whether it is newer than the recorded one.
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

// Versions returns the newest published weight version of each model.
func (h *Holder) Versions() map[string]int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return maps.Clone(h.versions)
}

// Changed returns a channel that is closed when the catalog or a weight version changes next.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed.Changed()
}
