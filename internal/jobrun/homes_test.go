package jobrun_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/tenant"
)

// TestItemsAndScorersFollowTheRegionsInForce runs jobs of a tenant whose region changes. It guards against texts that are scored outside the
// region of their tenant, since only the regions of the scorer's own route counted, and against items that go on in a region that the
// configuration has taken away.
func TestItemsAndScorersFollowTheRegionsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		owner.directory.SetRegions(map[string]string{"zone0": "0", "zone1": "1"})
		for i := range 2 {
			for _, engine := range []fleet.Engine{w.models[i], w.scorers[i]} {
				engine.Zone = fmt.Sprint("zone", i)
				owner.directory.Upsert(engine)
			}
		}
		owner.own(1)
		for version, region := range []string{"0", "1"} {
			next := catalog.New(int64(version+2), owner.routes.Current().Routes, nil, catalog.Limits{})
			next.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "bound", Regions: []string{region}}})
			owner.routes.Set(next)
			bound := spec("job"+region, 12)
			bound.Tenant = "bound"
			w.submit(bound)
			time.Sleep(4 * eventCount * pace)
			owner.checkComplete(bound)
		}
		for _, run := range w.engines.Runs() {
			if region := run.Engine[len(run.Engine)-1:]; !strings.Contains(run.RequestID, "job"+region) {
				t.Errorf("%s ran at %s", run.RequestID, run.Engine)
			}
		}
		owner.release()
	})
}
