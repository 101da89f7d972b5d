package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// EngineDirectory reports which pools can serve work in which regions.
type EngineDirectory interface {
	// MayServe reports whether a pool has an engine in some regions that does not leave. It also returns true while the engines of
	// the pool are not known.
	MayServe(pool string, regions []string) bool
}

// Causes for which a submission is refused because of its homes.
const (
	causeNoRegion = "its routes and tenant have no region of the fleet in common"
	causeNoEngine = "its regions have no engine that stays"
	causeNoOwner  = "no replica of its regions owns jobs"
	causeNoTenant = "its tenant was removed while it was read"
)

// homesOf returns the home set of a submission by the current catalog, and why it can't be accepted now, empty if it can.
func (s *Service) homesOf(ctx context.Context, spec job.Spec) (homes keyedlog.HomeSet, cause string) {
	if s.config.Catalog == nil {
		return "", ""
	}
	current := s.config.Catalog.Current()
	if current == nil {
		return "", ""
	}
	if !current.HasTenant(spec.Tenant) {
		return "", causeNoTenant
	}
	if !current.BindsRegions() {
		return "", ""
	}
	routes := routesOf(current, spec)
	homes, possible := catalog.Homes(current.JobRegions(routes, spec.Tenant), s.config.Regions)
	switch {
	case !possible:
		return "", causeNoRegion
	case !s.enginesServe(current, routes, spec.Tenant):
		return homes, causeNoEngine
	case homes != "" && !s.owners.owned(ctx, homes):
		return homes, causeNoOwner
	}
	return homes, ""
}

// routesOf returns the routes that a submission uses, each once: its own, and those of its items and their scorers. Requests
// without a route are left out.
func routesOf(current *catalog.Catalog, spec job.Spec) []catalog.Route {
	var routes []catalog.Route
	seen := make(map[string]bool)
	add := func(route catalog.Route, found bool) {
		if found && !seen[route.Name] {
			seen[route.Name] = true
			routes = append(routes, route)
		}
	}
	add(current.Named(spec.Route))
	for _, item := range spec.Items {
		add(current.Match(spec.Host, item.Path))
		if item.Scorer != nil {
			add(current.Match(item.Scorer.Host, item.Scorer.Path))
		}
	}
	return routes
}

// enginesServe reports whether each route that is bound to regions has an engine there.
func (s *Service) enginesServe(current *catalog.Catalog, routes []catalog.Route, tenantName string) bool {
	for _, route := range routes {
		regions := current.Regions(route, tenantName)
		if regions != nil && len(route.Targets) > 0 && !route.Served(regions, s.config.Engines.MayServe) {
			return false
		}
	}
	return true
}

// ownersLifetime is how long the result of a read of owners is used.
const ownersLifetime = time.Second

// owners caches which home sets have an owner. It is safe for concurrent use; its lock is not held during calls.
type owners struct {
	config *Config
	mutex  sync.Mutex
	known  map[keyedlog.HomeSet]ownersRead
}

// ownersRead is the result of a read of the owners of a home set, and when the read was sent.
type ownersRead struct {
	owned  bool
	sentAt time.Time
}

// owned reports whether a process owns a partition of a home set. If the store does not answer, it returns true, and the append
// of the submission decides the outcome.
func (o *owners) owned(ctx context.Context, homes keyedlog.HomeSet) bool {
	o.mutex.Lock()
	known := o.known[homes]
	o.mutex.Unlock()
	if !known.sentAt.IsZero() && time.Since(known.sentAt) < ownersLifetime {
		return known.owned
	}
	sentAt := time.Now()
	list, err := o.config.Log.Owners(ctx, job.GroupOf(homes))
	if err != nil {
		errorlog.Debug(o.config.Logger, "owners of a home set not read", err, "homes", homes)
		return true
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.known[homes] = ownersRead{owned: len(list) > 0, sentAt: sentAt}
	return len(list) > 0
}
