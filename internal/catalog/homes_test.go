package catalog_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestHomesWithinTheFleet checks which homes allowed regions amount to, including that regions which no zone is in bind nothing and
// allow nothing, and that work allowed everywhere is stored with the work of no home.
func TestHomesWithinTheFleet(t *testing.T) {
	is := is.New(t)
	fleet := []string{"a", "b", "c"}
	for _, test := range []struct {
		allowed  []string
		homes    []string
		possible bool
	}{
		{nil, nil, true},
		{[]string{}, nil, false},
		{[]string{"elsewhere"}, nil, false},
		{[]string{"b", "elsewhere", "b"}, []string{"b"}, true},
		{[]string{"c", "a"}, []string{"a", "c"}, true},
		{[]string{"c", "a", "elsewhere", "b"}, nil, true},
	} {
		homes, possible := catalog.Homes(test.allowed, fleet)
		is.Equal(possible, test.possible)
		is.Equal(homes.Regions(), test.homes)
	}
	_, possible := catalog.Homes([]string{"a"}, nil)
	is.True(!possible) // a fleet whose regions are not known runs no bound work
}

// TestEveryHomeSetIsNamed guards against a job whose homes have a group that nobody joins, so that it is refused for ever: whatever route,
// tenant and scorers a job has, the configuration names its homes.
func TestEveryHomeSetIsNamed(t *testing.T) {
	fleet := []string{"a", "b", "c", "d"}
	regions := rapid.Custom(func(t *rapid.T) []string {
		if rapid.Bool().Draw(t, "unbound") {
			return nil
		}
		return rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "elsewhere"}), 1, 4).Draw(t, "regions")
	})
	rapid.Check(t, func(t *rapid.T) {
		var routes []catalog.Route
		for i, kind := range []catalog.Kind{catalog.KindJobs, catalog.KindJobs, catalog.KindOnce, catalog.KindRepeatable, catalog.KindStream} {
			routes = append(routes, catalog.Route{Name: fmt.Sprint(i), Kind: kind, Regions: regions.Draw(t, "route")})
		}
		c := catalog.New(1, routes, nil, catalog.Limits{})
		c.Tenants = tenant.NewDirectory([]tenant.Tenant{
			{Name: "one", Regions: regions.Draw(t, "one")}, {Name: "two", Regions: regions.Draw(t, "two")},
		})
		named := c.HomeSets(fleet)
		for _, tenantName := range []string{"", "one", "two"} {
			for _, used := range [][]catalog.Route{routes[:1], routes[1:2], {routes[0], routes[2]}, {routes[1], routes[3], routes[2]}} {
				homes, possible := catalog.Homes(c.JobRegions(used, tenantName), fleet)
				if possible && homes != "" && !slices.Contains(named, homes) {
					t.Fatalf("homes %q of tenant %q are not among %q", homes, tenantName, named)
				}
			}
		}
		if !c.BindsRegions() && len(named) > 0 {
			t.Fatalf("a configuration without regions names %q", named)
		}
	})
}

// TestListedPoolsIncludeThoseOfBoundJobs checks that all processes know the engines of jobs only where regions matter.
func TestListedPoolsIncludeThoseOfBoundJobs(t *testing.T) {
	is := is.New(t)
	jobsRoute := catalog.Route{Name: "jobs", Kind: catalog.KindJobs, Targets: []catalog.Target{{Pool: "models"}}}
	is.Equal(len(catalog.New(1, []catalog.Route{jobsRoute}, nil, catalog.Limits{}).ListedPools()), 0)
	jobsRoute.Regions = []string{"a"}
	is.Equal(catalog.New(1, []catalog.Route{jobsRoute}, nil, catalog.Limits{}).ListedPools(), map[string]bool{"models": true})
	is.Equal(keyedlog.NewHomeSet(nil), keyedlog.HomeSet(""))
}
