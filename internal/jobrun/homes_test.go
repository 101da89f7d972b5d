package jobrun_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/tenant"
)

// placeInRegions puts the first model engine and the first scorer into region "0", and the second ones into region "1".
func (n *node) placeInRegions() {
	n.directory.SetRegions(map[string]string{"zone0": "0", "zone1": "1"})
	for i := range 2 {
		for _, engine := range []fleet.Engine{n.world.models[i], n.world.scorers[i]} {
			engine.Zone = fmt.Sprint("zone", i)
			n.directory.Upsert(engine)
		}
	}
}

// TestItemsAndScorersFollowTheRegionsInForce runs jobs of a tenant whose region changes. It guards against texts that are scored outside the
// region of their tenant, since only the regions of the scorer's own route counted, and against items that go on in a region that the
// configuration has taken away.
func TestItemsAndScorersFollowTheRegionsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		owner.placeInRegions()
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

// TestItemsOfARemovedTenantStayInItsRegions guards against items that run, and texts that are scored, in any region while a catalog lacks
// the tenant of their job: the regions of a tenant that is not found were taken for none, though the job was accepted for some.
func TestItemsOfARemovedTenantStayInItsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		owner.placeInRegions()
		homes := jobsPartition()
		homes.Topic = keyedlog.NewHomeSet([]string{"0"}).Topic()
		work := owner.holder.Gained(w.ctx, homes, 1)
		next := catalog.New(2, owner.routes.Current().Routes, nil, catalog.Limits{})
		next.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "other"}})
		owner.routes.Set(next)

		bound := spec("one", 12)
		bound.Tenant = "bound"
		records, err := job.EncodeSpec(bound, 1<<18)
		items := w.append(homes, records, err)
		entry, err := job.EncodeEntry(job.NewEntry(bound, homes, items.Offset, items.End, 1000), "attempt")
		w.append(keyedlog.JobIndex, []keyedlog.Record{entry}, err)
		time.Sleep(6 * eventCount * pace)

		runs := w.engines.Runs()
		if len(runs) < 2*len(bound.Items) {
			t.Errorf("%d runs, want an item and a score for each of %d", len(runs), len(bound.Items))
		}
		for _, run := range runs {
			if !strings.HasSuffix(run.Engine, "0") {
				t.Errorf("%s ran at %s", run.RequestID, run.Engine)
			}
		}
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		defer cancel()
		work.Release(ctx)
	})
}
