package catalog_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
)

// TestHomeProblems guards against a configuration whose requests are refused without a line that names the route or tenant, and against lines
// for what the configuration does right.
func TestHomeProblems(t *testing.T) {
	is := is.New(t)
	fleet := []string{"east", "west"}
	route := func(name string, regions ...string) catalog.Route {
		return catalog.Route{Name: name, Regions: regions, Targets: []catalog.Target{{Pool: "p", Weight: 1}, {Pool: "none"}}}
	}
	c := catalog.New(1, []catalog.Route{
		route("free"), route("east", "east"), route("partly", "west", "mars"), route("nowhere", "mars"),
	}, nil, catalog.Limits{})
	c.Tenants = tenant.NewDirectory([]tenant.Tenant{
		{Name: "any"}, {Name: "western", Regions: []string{"west"}}, {Name: "western too", Regions: []string{"west"}}, {Name: "lost", Regions: []string{"moon"}},
	})
	describe := func(problems []catalog.HomeProblem) []string {
		var lines []string
		for _, problem := range problems {
			lines = append(lines, fmt.Sprintf("%s/%s %s: %s, %v", problem.Route, problem.Tenant, strings.Join(problem.Regions, " "), problem.Cause, problem.Refused))
		}
		return lines
	}
	is.Equal(describe(c.HomeProblems(fleet)), []string{
		"partly/ mars: " + catalog.CauseUnknownRegion + ", false",
		"nowhere/ mars: " + catalog.CauseUnknownRegion + ", true",
		"/lost moon: " + catalog.CauseUnknownRegion + ", true",
		"east/western : " + catalog.CauseNoCommonRegion + ", true",
	})
	eastOnly := func(pool string, regions []string) bool { return pool == "none" || slices.Contains(regions, "east") }
	is.Equal(describe(c.UnservedHomes(fleet, eastOnly)), []string{
		"free/western west: " + catalog.CauseNoHomeEngine + ", true",
		"partly/ west mars: " + catalog.CauseNoHomeEngine + ", true",
		"partly/western west: " + catalog.CauseNoHomeEngine + ", true",
	})
	c.Tenants, c.Routes = nil, c.Routes[:1]
	is.Equal(len(c.HomeProblems(fleet))+len(c.UnservedHomes(fleet, eastOnly)), 0)
}
