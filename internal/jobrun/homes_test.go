package jobrun_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
)

// placeEngines puts the first engine of each pool into the region east, the second into the region west.
func (n *node) placeEngines() {
	n.directory.SetRegions(map[string]string{"east": "east", "west": "west"})
	for i, zone := range []string{"east", "west"} {
		model, scorer := n.world.models[i], n.world.scorers[i]
		model.Zone, scorer.Zone = zone, zone
		n.directory.Upsert(model)
		n.directory.Upsert(scorer)
	}
}

// bind sets a catalog in which the tenant "bound" is bound to a region.
func (n *node) bind(version int64, region string) {
	current := n.routes.Current()
	next := catalog.New(version, current.Routes, current.Pools, current.Limits)
	next.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "bound", Regions: []string{region}}})
	n.routes.Set(next)
}

// TestItemsAndScorersFollowTheRegionsInForce runs jobs of a tenant whose region changes. It guards against texts that are scored outside the
// region of their tenant, since only the regions of the scorer's own route counted, and against items that go on in a region that the
// configuration has taken away.
func TestItemsAndScorersFollowTheRegionsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		owner.placeEngines()
		owner.bind(2, "west")
		owner.own(1)
		one, two := spec("one", 12), spec("two", 12)
		one.Tenant, two.Tenant = "bound", "bound"
		w.submit(one)
		time.Sleep(4 * eventCount * pace)
		owner.checkComplete(one)
		owner.bind(3, "east")
		w.submit(two)
		time.Sleep(4 * eventCount * pace)
		owner.checkComplete(two)
		for _, run := range w.engines.Runs() {
			isSecond := strings.Contains(run.RequestID, "two")
			isEast := strings.HasSuffix(run.Engine, "0")
			is.Equal(isEast, isSecond)
		}
		owner.release()
	})
}
