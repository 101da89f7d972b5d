// Package catalog holds the operator's configuration as the rest of the program uses it: routes that map requests to pools, the
// pools, the limits on what callers may send, and the published weight versions. A Catalog is immutable data with look-up
// functions; the code that follows the store replaces it as a whole.
package catalog

import (
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/tenant"
)

// Kind is how requests of a route may be executed.
type Kind int

const (
	// KindOnce marks requests that run at most once.
	KindOnce Kind = iota
	// KindRepeatable marks requests that may run more than once.
	KindRepeatable
	// KindStream marks requests with streamed answers. They run at most once unless the route is resumable.
	KindStream
	// KindJobs marks a route on which batch jobs are submitted.
	KindJobs
)

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool string
	// Weight is the target's share relative to the sum of all weights of the route.
	Weight float64
}

// Route maps requests of a host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may take, 0 for no limit.
	Timeout time.Duration
	// Aim is the target latency: the time within which an answer earns its full credit.
	Aim      time.Duration
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of engines that one request of a caller may be sent to.
	MaxAttempts int
	Resumable   bool
	// SingleVersion requires that all events of a result come from one weight version.
	SingleVersion bool
	// MaxWait is the time after submission at which an item of a job may be abandoned.
	MaxWait time.Duration
	// RunDeadline is the time after submission by which all results of a job are expected.
	RunDeadline time.Duration
	// Public allows requests without an API key.
	Public bool
	// Regions are the regions whose engines may run the route's requests, nil for all.
	Regions []string
}

// MayRepeat reports whether a request of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindJobs || r.Kind == KindStream && r.Resumable
}

// Limits are the limits on what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Pool is a group of engines of one kind.
type Pool struct {
	Name string
	// MaxConnections is the maximum number of connections that each engine accepts from all callers together.
	MaxConnections int
	// ColdRate is the number of requests per second that an engine can process while it is cold, from all processes together; 0
	// for no limit.
	ColdRate float64
	// ColdDuration is how long an engine is cold after its start.
	ColdDuration time.Duration
	// HealthPath is the path of the engines' health responses, empty if there are none.
	HealthPath string
	// Models are the models that the pool's engines can load; empty for application servers.
	Models []string
	// Scaling limits how many engines may be ordered, nil if none can be.
	Scaling *Scaling
}

// Scaling describes which engines can be ordered for a pool.
type Scaling struct {
	// MaxPerZone is the maximum number of engines in one zone, regular and preemptible ones together.
	MaxPerZone int
	// ZonePrices are the prices of a second of a regular engine by zone, relative to each other.
	ZonePrices map[string]float64
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Routes  []Route
	Pools   map[string]Pool
	Limits  Limits
	// Tenants are the tenants whose requests are accepted; nil means that requests need no API key.
	Tenants *tenant.Directory
	byHost  map[string][]int
}

// New returns a catalog with its routes indexed by host.
func New(version int64, routes []Route, pools map[string]Pool, limits Limits) *Catalog {
	c := &Catalog{Version: version, Routes: routes, Pools: pools, Limits: limits, byHost: make(map[string][]int)}
	for i, route := range routes {
		host := strings.ToLower(route.Host)
		c.byHost[host] = append(c.byHost[host], i)
	}
	return c
}

// Match returns the host's route with the longest prefix that matches the path.
func (c *Catalog) Match(host, path string) (Route, bool) {
	best := -1
	for _, i := range c.byHost[strings.ToLower(host)] {
		if !strings.HasPrefix(path, c.Routes[i].Prefix) {
			continue
		}
		if best < 0 || len(c.Routes[i].Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Named returns the route with the given name.
func (c *Catalog) Named(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// Priority returns the priority of a tenant's work on a route, 0 being the highest. The tenant's own priority overrides the
// route's.
func (c *Catalog) Priority(route Route, tenantName string) int {
	if known, ok := c.Tenants.Named(tenantName); ok && known.HasPriority {
		return known.Priority
	}
	return route.Priority
}

// Regions returns the regions whose engines may run a tenant's work on a route, nil for all. If both the route and the tenant
// limit regions, the result is the intersection, which may be empty but is not nil.
func (c *Catalog) Regions(route Route, tenantName string) []string {
	known, _ := c.Tenants.Named(tenantName)
	return commonRegions(route.Regions, known.Regions)
}

// HasTenant reports whether the catalog has a tenant of the given name. It is true for an empty name.
func (c *Catalog) HasTenant(name string) bool {
	_, known := c.Tenants.Named(name)
	return known || name == ""
}

// RequestedPools returns the pools that receive requests of callers, without the pools that only run items of jobs.
func (c *Catalog) RequestedPools() map[string]bool {
	pools := make(map[string]bool)
	for _, route := range c.Routes {
		if route.Kind == KindJobs {
			continue
		}
		for _, target := range route.Targets {
			pools[target.Pool] = true
		}
	}
	return pools
}
