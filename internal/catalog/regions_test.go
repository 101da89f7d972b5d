package catalog_test

import (
	"testing"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
)

// TestRouteAndTenantBothBindRegions checks which regions the work of a tenant on a route may run in.
func TestRouteAndTenantBothBindRegions(t *testing.T) {
	is := is.New(t)
	c := catalog.New(1, nil, nil, catalog.Limits{})
	free, bound := catalog.Route{}, catalog.Route{Regions: []string{"recife", "fortaleza"}}
	is.Equal(c.Regions(free, ""), nil)
	is.Equal(c.Regions(bound, "anybody"), bound.Regions)

	c.Tenants = tenant.NewDirectory([]tenant.Tenant{
		{Name: "free"}, {Name: "home", Regions: []string{"fortaleza"}}, {Name: "abroad", Regions: []string{"rabat"}},
	})
	is.Equal(c.Regions(bound, "free"), bound.Regions)
	is.Equal(c.Regions(free, "home"), []string{"fortaleza"})
	is.Equal(c.Regions(bound, "home"), []string{"fortaleza"})
	nowhere := c.Regions(bound, "abroad")
	is.True(nowhere != nil)
	is.Equal(len(nowhere), 0)
}
