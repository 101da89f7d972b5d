package jobs_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/tenant"
	"github.com/matryer/is"
)

// engineRegions are the regions with an engine of every pool.
type engineRegions []string

func (r engineRegions) MayServe(_ string, regions []string) bool {
	return slices.ContainsFunc(regions, func(region string) bool { return slices.Contains(r, region) })
}

// bind puts a node into a fleet of the regions a, b and c, with engines in a and b. Jobs are bound to a and c, scorers to a and b.
func bind(config *jobs.Config) {
	target := []catalog.Target{{Pool: "pool", Weight: 1}}
	current := catalog.New(1, []catalog.Route{
		{Name: "jobs", Host: "h", Prefix: "/p", Kind: catalog.KindJobs, Regions: []string{"a", "c"}, Targets: target},
		{Name: "free", Host: "free", Prefix: "/", Kind: catalog.KindJobs, Targets: target},
		{Name: "score", Host: "h", Prefix: "/score", Kind: catalog.KindRepeatable, Regions: []string{"b", "a"}, Targets: target},
	}, nil, catalog.Limits{})
	current.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "b-only", Regions: []string{"b"}}, {Name: "c-only", Regions: []string{"c"}}})
	config.Catalog, config.Regions, config.Engines = catalog.NewHolder(), []string{"a", "b", "c"}, engineRegions{"a", "b"}
	config.Catalog.Set(current)
}

// TestSubmissionsOfHomes guards against a submission that is accepted where its homes cannot run it, or stored outside of them, and against a
// read of owners for each submission. Refused submissions leave nothing in the store.
func TestSubmissionsOfHomes(t *testing.T) {
	for name, test := range map[string]struct {
		host, route, tenant, scorer string
		owned                       []string
		outcome                     jobs.Outcome
		homes                       []string
	}{
		"two homes":                   {"h", "jobs", "", "", []string{"a", "c"}, jobs.Done, []string{"a", "c"}},
		"homes without an owner":      {"h", "jobs", "", "", []string{"a"}, jobs.NoHome, nil},
		"scorer's route narrows them": {"h", "jobs", "", "/score/x", []string{"a"}, jobs.Done, []string{"a"}},
		"nothing in common":           {"h", "jobs", "b-only", "", []string{"b"}, jobs.NoHome, nil},
		"no engine":                   {"h", "jobs", "c-only", "", []string{"c"}, jobs.NoHome, nil},
		"no homes":                    {"free", "free", "", "", []string{"a"}, jobs.Done, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				owned := keyedlog.NewHomeSet(test.owned)
				_, err := store.For("owner").Join(t.Context(), keyedlog.JoinRequest{
					Group: job.GroupOf(owned), Member: "owner", Topics: []keyedlog.Topic{owned.Topic()}, Lifetime: time.Hour,
				})
				is.NoErr(err)
				reads := 0
				store.SetRule(func(call memorylog.Call) memorylog.Fault {
					if call.Operation == "owners" {
						reads++
					}
					return memorylog.None
				})
				n := newNodeWithConfig(t, store.For("node"), bind)
				for _, id := range []string{"one", "two"} {
					submitted := spec(id)
					submitted.Host, submitted.Route, submitted.Tenant = test.host, test.route, test.tenant
					if test.scorer != "" {
						submitted.Items[1].Scorer = &job.Scorer{ID: "s", Host: "h", Path: test.scorer}
					}
					is.Equal(n.service.Submit(t.Context(), submitted), test.outcome)
				}
				is.True(reads <= 1)
				if test.outcome != jobs.Done {
					is.Equal(store.Appends(), 0)
					return
				}
				time.Sleep(time.Second)
				status, _ := n.index.Job("two")
				is.Equal(status.Entry.StorePartition().Topic, keyedlog.NewHomeSet(test.homes).Topic())
				body, _ := n.service.Body(t.Context(), "two", "i2")
				is.Equal(len(body), 500)
			})
		})
	}
}
