package catalog

import (
	"maps"
	"slices"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// commonRegions returns the regions that two lists have in common, where nil stands for all regions. If both are limited, the
// result may be empty but is not nil.
func commonRegions(a, b []string) []string {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	common := []string{}
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}

// BindsRegions reports whether any route or tenant is bound to regions.
func (c *Catalog) BindsRegions() bool {
	return c.Tenants.BindsRegions() || slices.ContainsFunc(c.Routes, func(route Route) bool { return route.Regions != nil })
}

// JobRegions returns the regions in which a job of a tenant may be stored and run, nil for all. The routes are those of the job, its
// items and their scorers. An empty result that is not nil means that the routes and the tenant have no region in common.
func (c *Catalog) JobRegions(routes []Route, tenantName string) []string {
	known, _ := c.Tenants.Named(tenantName)
	regions := known.Regions
	for _, route := range routes {
		regions = commonRegions(regions, route.Regions)
	}
	return regions
}

// Homes returns the home set of work that is allowed in some regions, nil for all, in a fleet of the given regions. The set is
// empty if the work is allowed in the whole fleet. It returns false if the work is allowed nowhere in the fleet.
func Homes(allowed, fleet []string) (homes keyedlog.HomeSet, possible bool) {
	if allowed == nil {
		return "", true
	}
	within := slices.DeleteFunc(slices.Clone(fleet), func(region string) bool { return !slices.Contains(allowed, region) })
	switch len(within) {
	case 0:
		return "", false
	case len(fleet):
		return "", true
	default:
		return keyedlog.NewHomeSet(within), true
	}
}

// HomeSets returns the home sets that jobs may have in a fleet of the given regions: those of each route of jobs with each
// tenant, and their intersections with the regions of the routes that an item or scorer may use.
func (c *Catalog) HomeSets(fleet []string) []keyedlog.HomeSet {
	if !c.BindsRegions() {
		return nil
	}
	sets, bounds := make(map[keyedlog.HomeSet]bool), c.routeRegions()
	for _, route := range c.Routes {
		if route.Kind != KindJobs {
			continue
		}
		for _, binding := range c.bindings(route) {
			addHomeSets(sets, binding.Regions, bounds, fleet)
		}
	}
	delete(sets, "")
	return slices.Sorted(maps.Keys(sets))
}

// routeRegions returns the different lists of regions that routes are bound to.
func (c *Catalog) routeRegions() [][]string {
	lists := make(map[keyedlog.HomeSet][]string)
	for _, route := range c.Routes {
		if route.Regions != nil {
			lists[keyedlog.NewHomeSet(route.Regions)] = route.Regions
		}
	}
	return slices.Collect(maps.Values(lists))
}

// addHomeSets adds the home set of some allowed regions, and those to which bounds, the regions of the routes of items and
// scorers, narrow it. Sets that were added before are not narrowed again.
func addHomeSets(sets map[keyedlog.HomeSet]bool, allowed []string, bounds [][]string, fleet []string) {
	homes, possible := Homes(allowed, fleet)
	if !possible || sets[homes] {
		return
	}
	sets[homes] = true
	for _, bound := range bounds {
		addHomeSets(sets, commonRegions(allowed, bound), bounds, fleet)
	}
}

// ListedPools returns the pools whose engines every process has to know: those that receive requests of callers, and those
// that run jobs if any route or tenant is bound to regions, so that a job is refused at once if its homes have no engine.
func (c *Catalog) ListedPools() map[string]bool {
	pools := c.RequestedPools()
	if !c.BindsRegions() {
		return pools
	}
	for _, route := range c.Routes {
		for _, target := range route.Targets {
			pools[target.Pool] = true
		}
	}
	return pools
}
