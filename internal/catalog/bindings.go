package catalog

import (
	"slices"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Binding states the regions in which the requests of some callers to a route may run. The callers are either a tenant that has
// regions of its own, or all callers without such a tenant.
type Binding struct {
	Route Route
	// Tenant is the first of the tenants with the same regions, empty for callers without a tenant that has regions.
	Tenant string
	// Regions are the allowed regions, nil for all.
	Regions []string
}

// bindings returns the bindings of a route: one for callers without a tenant that has regions, and one for each different list of
// regions of tenants.
func (c *Catalog) bindings(route Route) []Binding {
	all := []Binding{{Route: route, Regions: route.Regions}}
	seen := make(map[keyedlog.HomeSet]bool)
	for _, known := range c.Tenants.All() {
		if known.Regions == nil {
			continue
		}
		if key := keyedlog.NewHomeSet(known.Regions); !seen[key] {
			seen[key] = true
			all = append(all, Binding{Route: route, Tenant: known.Name, Regions: commonRegions(route.Regions, known.Regions)})
		}
	}
	return all
}

// Bindings returns the bindings of all routes that are limited to some regions.
func (c *Catalog) Bindings() []Binding {
	var limited []Binding
	for _, route := range c.Routes {
		for _, binding := range c.bindings(route) {
			if binding.Regions != nil {
				limited = append(limited, binding)
			}
		}
	}
	return limited
}

// HomeProblem is what is wrong with the regions of a route or tenant.
type HomeProblem struct {
	Route  string
	Tenant string
	// Regions are the regions that the problem is about.
	Regions []string
	Cause   string
	// Refused means that all requests of the binding are refused; otherwise the regions have no effect.
	Refused bool
}

// Causes of problems of homes.
const (
	CauseNoCommonRegion = "route and tenant have no region in common"
	CauseUnknownRegion  = "no zone of the fleet is in these regions"
	CauseNoHomeEngine   = "no engine stays in these regions"
)

// HomeProblems returns what is wrong with the regions that the configuration names, in a fleet of the given regions. A route
// whose own regions are wrong is reported without tenants.
func (c *Catalog) HomeProblems(fleet []string) []HomeProblem {
	var problems []HomeProblem
	for _, route := range c.Routes {
		if problem, found := unknownRegions(route.Regions, fleet); found {
			problem.Route = route.Name
			problems = append(problems, problem)
		}
	}
	for _, known := range c.Tenants.All() {
		if problem, found := unknownRegions(known.Regions, fleet); found {
			problem.Tenant = known.Name
			problems = append(problems, problem)
		}
	}
	for _, binding := range c.Bindings() {
		_, possible := Homes(binding.Regions, fleet)
		if binding.Tenant == "" || possible || !c.eachPossible(binding, fleet) {
			continue
		}
		problems = append(problems, HomeProblem{
			Route: binding.Route.Name, Tenant: binding.Tenant, Regions: binding.Regions, Cause: CauseNoCommonRegion, Refused: true,
		})
	}
	return problems
}

// eachPossible reports whether the route and the tenant of a binding each have a region of the fleet.
func (c *Catalog) eachPossible(binding Binding, fleet []string) bool {
	known, _ := c.Tenants.Named(binding.Tenant)
	_, ofRoute := Homes(binding.Route.Regions, fleet)
	_, ofTenant := Homes(known.Regions, fleet)
	return ofRoute && ofTenant
}

// unknownRegions returns the problem of regions that are not all in the fleet.
func unknownRegions(regions, fleet []string) (HomeProblem, bool) {
	unknown := slices.DeleteFunc(slices.Clone(regions), func(region string) bool { return slices.Contains(fleet, region) })
	return HomeProblem{Regions: unknown, Cause: CauseUnknownRegion, Refused: len(unknown) == len(regions)}, len(unknown) > 0
}

// UnservedHomes returns a problem for each binding whose requests no pool may serve. mayServe reports whether a pool may serve
// requests in some regions. Bindings without any region of the fleet are left out.
func (c *Catalog) UnservedHomes(fleet []string, mayServe func(pool string, regions []string) bool) []HomeProblem {
	var problems []HomeProblem
	for _, binding := range c.Bindings() {
		if _, possible := Homes(binding.Regions, fleet); !possible || len(binding.Route.Targets) == 0 {
			continue
		}
		if !binding.Route.Served(binding.Regions, mayServe) {
			problems = append(problems, HomeProblem{
				Route: binding.Route.Name, Tenant: binding.Tenant, Regions: binding.Regions, Cause: CauseNoHomeEngine, Refused: true,
			})
		}
	}
	return problems
}

// Served reports whether a pool of the route may serve requests in some regions.
func (r Route) Served(regions []string, mayServe func(pool string, regions []string) bool) bool {
	return slices.ContainsFunc(r.Targets, func(target Target) bool { return target.Weight > 0 && mayServe(target.Pool, regions) })
}
