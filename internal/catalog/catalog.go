// Package catalog is the operator's configuration as the product sees it: routes that lead requests to pools, the pools,
// the limits on what callers may send, and the weight versions that trainers have named. It is pure data with pure
// look-ups; whoever follows the store replaces it whole.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/tenant"
)

// Kind says how requests of a route may be treated.
type Kind int

// Kinds of routes.
const (
	// KindOnce marks requests that run at most once.
	KindOnce Kind = iota
	// KindRepeatable marks requests that may run more than once.
	KindRepeatable
	// KindStream marks streamed answers. They run at most once unless the route is resumable.
	KindStream
	// KindJobs marks a route on which batch jobs are submitted.
	KindJobs
)

// Target is one part of a route's traffic.
type Target struct {
	Pool string
	// Weight is the part's share relative to the sum of all.
	Weight float64
}

// Route leads requests of a host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request may be held, 0 for no bound.
	Timeout time.Duration
	// Aim is the time within which an answer earns its full credit.
	Aim      time.Duration
	Priority int
	Targets  []Target
	// MaxAttempts is the most engines that one request of a caller may be sent to.
	MaxAttempts int
	Resumable   bool
	// SingleVersion says that a result may hold events of one weight version only.
	SingleVersion bool
	// MaxWait is the time after submission at which an item of a job may be given up.
	MaxWait time.Duration
	// RunDeadline is the time after submission by which all results of a job are due.
	RunDeadline time.Duration
	// Public says that requests need no key.
	Public bool
	// Regions are those whose engines may run the route's requests, nil for all.
	Regions []string
}

// MayRepeat tells whether a request of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindJobs || r.Kind == KindStream && r.Resumable
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Pool is a group of engines of one kind.
type Pool struct {
	Name string
	// MaxConnections is what each engine accepts from all callers together.
	MaxConnections int
	// ColdRate is how many requests a second an engine bears while it is cold, from all processes together; 0 for no bound.
	ColdRate float64
	// Models are the models that the pool's engines can hold; empty for application servers.
	Models []string
	// Scaling says how many engines may be ordered, nil if none can be.
	Scaling *Scaling
}

// Scaling is what can be ordered of a pool's engines.
type Scaling struct {
	// Most bounds the engines of one zone, regular and preemptible ones together.
	Most int
	// ZonePrices are what a second of a regular engine costs by zone, relative to each other.
	ZonePrices map[string]float64
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Routes  []Route
	Pools   map[string]Pool
	Limits  Limits
	// Tenants are those whose requests are taken; nil says that requests need no key.
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

// Match returns the route of the host with the longest prefix that begins the path.
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

// Named returns the route of a name.
func (c *Catalog) Named(name string) (Route, bool) {
	for _, route := range c.Routes {
		if route.Name == name {
			return route, true
		}
	}
	return Route{}, false
}

// Priority ranks the work of a tenant on a route, 0 first: the tenant's own priority goes before the route's.
func (c *Catalog) Priority(route Route, tenantName string) int {
	if known, ok := c.Tenants.Named(tenantName); ok && known.Ranked {
		return known.Priority
	}
	return route.Priority
}

// Regions returns the regions whose engines may run the work of a tenant on a route, nil for all: both the route and the tenant bind.
func (c *Catalog) Regions(route Route, tenantName string) []string {
	known, ok := c.Tenants.Named(tenantName)
	switch {
	case !ok || known.Regions == nil:
		return route.Regions
	case route.Regions == nil:
		return known.Regions
	}
	common := []string{}
	for _, region := range route.Regions {
		if slices.Contains(known.Regions, region) {
			common = append(common, region)
		}
	}
	return common
}

// RequestedPools returns the pools that callers' requests are sent to, unlike those that only run items of jobs.
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
