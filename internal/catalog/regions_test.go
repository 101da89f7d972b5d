package catalog_test

import (
	"testing"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
)

// TestRegionsIntersectsRouteAndTenant checks which regions may run a tenant's work on a route, including that regions without a
// common member yield an empty list and not nil, which would allow all regions.
func TestRegionsIntersectsRouteAndTenant(t *testing.T) {
	is := is.New(t)
	c := catalog.New(1, nil, nil, catalog.Limits{})
	unrestricted, restricted := catalog.Route{}, catalog.Route{Regions: []string{"recife", "fortaleza"}}
	is.Equal(c.Regions(unrestricted, ""), nil)
	is.Equal(c.Regions(restricted, "anybody"), restricted.Regions)

	c.Tenants = tenant.NewDirectory([]tenant.Tenant{
		{Name: "free"}, {Name: "home", Regions: []string{"fortaleza"}}, {Name: "abroad", Regions: []string{"rabat"}},
	})
	is.Equal(c.Regions(restricted, "free"), restricted.Regions)
	is.Equal(c.Regions(unrestricted, "home"), []string{"fortaleza"})
	is.Equal(c.Regions(restricted, "home"), []string{"fortaleza"})
	none := c.Regions(restricted, "abroad")
	is.True(none != nil)
	is.Equal(len(none), 0)
}

// TestAdmittedWorkKeepsItsRegions guards against work of a tenant that may run anywhere once the tenant is removed.
func TestAdmittedWorkKeepsItsRegions(t *testing.T) {
	is := is.New(t)
	holder := catalog.NewHolder()
	route := catalog.Route{Regions: []string{"recife", "fortaleza"}}
	is.Equal(holder.AdmittedRegions(route, "home", []string{"fortaleza"}), route.Regions)
	c := catalog.New(1, nil, nil, catalog.Limits{})
	c.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "home", Regions: []string{"recife"}}})
	holder.Set(c)
	is.Equal(holder.AdmittedRegions(route, "home", []string{"fortaleza"}), []string{"recife"})
	is.Equal(holder.AdmittedRegions(route, "", []string{"fortaleza"}), route.Regions)
	is.Equal(holder.AdmittedRegions(route, "removed", []string{"fortaleza"}), []string{"fortaleza"})
	is.Equal(holder.AdmittedRegions(route, "removed", nil), route.Regions)
	is.Equal(len(holder.AdmittedRegions(catalog.Route{}, "removed", []string{})), 0)
	is.True(holder.AdmittedRegions(catalog.Route{}, "removed", []string{}) != nil)
}
