package catalog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestHomesWithinTheFleet checks that regions which no zone is in bind nothing and allow nothing, and that work allowed everywhere is stored
// with the work of no home.
func TestHomesWithinTheFleet(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		allowed, homes []string
		possible       bool
	}{
		{nil, nil, true},
		{[]string{}, nil, false},
		{[]string{"elsewhere"}, nil, false},
		{[]string{"b", "elsewhere", "b"}, []string{"b"}, true},
		{[]string{"c", "a"}, []string{"a", "c"}, true},
		{[]string{"c", "a", "elsewhere", "b"}, nil, true},
	} {
		homes, possible := catalog.Homes(test.allowed, []string{"a", "b", "c"})
		is.Equal(possible, test.possible)
		is.Equal(homes.Regions(), test.homes)
	}
}

// TestEveryHomeSetIsNamed guards against a job whose home set has a group that no replica joins, so that it is always refused: HomeSets must
// contain the home set of each combination of route, tenant and scorers.
func TestEveryHomeSetIsNamed(t *testing.T) {
	fleet := []string{"a", "b", "c", "d"}
	regions := rapid.Custom(func(t *rapid.T) []string {
		drawn := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "elsewhere"}), 0, 4).Draw(t, "regions")
		return drawn[:len(drawn):len(drawn)]
	})
	rapid.Check(t, func(t *rapid.T) {
		var routes []catalog.Route
		for i, kind := range []catalog.Kind{catalog.KindJobs, catalog.KindJobs, catalog.KindOnce, catalog.KindStream} {
			routes = append(routes, catalog.Route{Name: fmt.Sprint(i), Kind: kind})
			if drawn := regions.Draw(t, "route"); len(drawn) > 0 {
				routes[i].Regions = drawn
			}
		}
		c := catalog.New(1, routes, nil, catalog.Limits{})
		c.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "one", Regions: regions.Draw(t, "one")}, {Name: "free"}})
		named := c.HomeSets(fleet)
		for _, tenantName := range []string{"", "one", "free"} {
			for _, used := range [][]catalog.Route{routes[:1], routes[1:2], {routes[0], routes[2]}, routes} {
				homes, possible := catalog.Homes(c.JobRegions(used, tenantName), fleet)
				if possible && homes != "" && !slices.Contains(named, homes) {
					t.Fatalf("homes %q of tenant %q are not among %q", homes, tenantName, named)
				}
			}
		}
	})
}

// TestTenantBindsJobsWithoutKnownRoute guards against a job of a bound tenant that is stored outside the tenant's regions because its route
// was removed from the configuration while the job was submitted.
func TestTenantBindsJobsWithoutKnownRoute(t *testing.T) {
	is := is.New(t)
	c := catalog.New(1, nil, nil, catalog.Limits{})
	c.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "one", Regions: []string{"a"}}})
	is.Equal(c.JobRegions(nil, "one"), []string{"a"})
	is.Equal(c.JobRegions(nil, ""), nil)
}

// TestHomeProblems guards against a configuration whose requests are refused without a line that names the route or tenant, and against lines
// for what the configuration does right.
func TestHomeProblems(t *testing.T) {
	is := is.New(t)
	fleet := []string{"east", "west"}
	route := func(name string, regions ...string) catalog.Route {
		return catalog.Route{Name: name, Regions: regions, Targets: []catalog.Target{{Pool: "p", Weight: 1}, {Pool: "none"}}}
	}
	c := catalog.New(1, []catalog.Route{route("free"), route("east", "east"), route("partly", "west", "mars"), route("nowhere", "mars")},
		nil, catalog.Limits{})
	c.Tenants = tenant.NewDirectory([]tenant.Tenant{
		{Name: "any"}, {Name: "western", Regions: []string{"west"}}, {Name: "too", Regions: []string{"west"}}, {Name: "lost", Regions: []string{"moon"}},
	})
	var lines []string
	eastOnly := func(pool string, regions []string) bool { return pool == "none" || slices.Contains(regions, "east") }
	for _, problem := range append(c.HomeProblems(fleet), c.UnservedHomes(fleet, eastOnly)...) {
		lines = append(lines, fmt.Sprintf("%s/%s %s: %s, %v", problem.Route, problem.Tenant, strings.Join(problem.Regions, " "), problem.Cause, problem.Refused))
	}
	is.Equal(lines, []string{
		"partly/ mars: " + catalog.CauseUnknownRegion + ", false",
		"nowhere/ mars: " + catalog.CauseUnknownRegion + ", true",
		"/lost moon: " + catalog.CauseUnknownRegion + ", true",
		"east/western : " + catalog.CauseNoCommonRegion + ", true",
		"free/western west: " + catalog.CauseNoHomeEngine + ", true",
		"partly/ west mars: " + catalog.CauseNoHomeEngine + ", true",
		"partly/western west: " + catalog.CauseNoHomeEngine + ", true",
	})
}
