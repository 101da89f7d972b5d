package jobs_test

import (
	"context"
	"errors"
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

// staffedRegions are the regions with an engine of every pool.
type staffedRegions []string

func (r staffedRegions) MayServe(_ string, regions []string) bool {
	return slices.ContainsFunc(regions, func(region string) bool { return slices.Contains(r, region) })
}

// newBoundNode returns a node in a fleet of the regions a, b and c, with engines in a and b. Jobs are bound to a and c, scorers to a and b.
func newBoundNode(t *testing.T, log keyedlog.Log) *node {
	target := []catalog.Target{{Pool: "pool", Weight: 1}}
	current := catalog.New(1, []catalog.Route{
		{Name: "jobs", Host: "h", Prefix: "/p", Kind: catalog.KindJobs, Regions: []string{"a", "c"}, Targets: target},
		{Name: "free", Host: "free", Prefix: "/", Kind: catalog.KindJobs, Targets: target},
		{Name: "score", Host: "h", Prefix: "/score", Kind: catalog.KindRepeatable, Regions: []string{"b", "a"}, Targets: target},
	}, nil, catalog.Limits{})
	current.Tenants = tenant.NewDirectory([]tenant.Tenant{{Name: "b-only", Regions: []string{"b"}}, {Name: "c-only", Regions: []string{"c"}}})
	holder := catalog.NewHolder()
	holder.Set(current)
	return newNodeWithConfig(t, log, func(config *jobs.Config) {
		config.Catalog, config.Regions, config.Engines = holder, []string{"a", "b", "c"}, staffedRegions{"a", "b"}
	})
}

// own makes a process the owner of the partitions of some homes for as long as the test runs.
func own(t *testing.T, store *memorylog.Store, regions ...string) {
	homes := keyedlog.NewHomeSet(regions)
	_, err := store.For("owner").Join(t.Context(), keyedlog.JoinRequest{
		Group: job.GroupOf(homes), Member: "owner", Topics: []keyedlog.Topic{homes.Topic()}, Lifetime: time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestSubmissionsOfHomes guards against a submission that is accepted where its homes cannot run it, or stored outside of them: refused
// submissions leave nothing in the store.
func TestSubmissionsOfHomes(t *testing.T) {
	withScorer := spec("scored")
	withScorer.Route, withScorer.Items[1].Scorer = "jobs", &job.Scorer{ID: "s", Host: "h", Path: "/score/x"}
	elsewhere := spec("elsewhere")
	elsewhere.Route, elsewhere.Host = "free", "free"
	of := func(id, route, tenantName string) job.Spec {
		made := spec(id)
		made.Route, made.Tenant = route, tenantName
		return made
	}
	for _, test := range []struct {
		name    string
		spec    job.Spec
		owned   []string
		outcome jobs.Outcome
		homes   []string
	}{
		{"two homes", of("j", "jobs", ""), []string{"a", "c"}, jobs.Done, []string{"a", "c"}},
		{"homes without an owner", of("j", "jobs", ""), []string{"a"}, jobs.NoHome, nil},
		{"the scorer's route narrows the homes", withScorer, []string{"a"}, jobs.Done, []string{"a"}},
		{"nothing in common", of("j", "jobs", "b-only"), []string{"b"}, jobs.NoHome, nil},
		{"no engine", of("j", "jobs", "c-only"), []string{"c"}, jobs.NoHome, nil},
		{"no homes", elsewhere, nil, jobs.Done, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				n := newBoundNode(t, store.For("node"))
				time.Sleep(time.Second)
				if test.owned != nil {
					own(t, store, test.owned...)
				}
				before := store.Appends()
				is.Equal(n.service.Submit(t.Context(), test.spec), test.outcome)
				if test.outcome != jobs.Done {
					is.Equal(store.Appends(), before)
					return
				}
				time.Sleep(time.Second)
				status, known := n.index.Job(test.spec.ID)
				is.True(known)
				homes := keyedlog.NewHomeSet(test.homes)
				is.Equal(status.Entry.StorePartition().Topic, homes.Topic())
				is.True(len(store.Records(status.Entry.StorePartition())) > 3)
				body, outcome := n.service.Body(t.Context(), test.spec.ID, "i2")
				is.Equal(outcome, jobs.Done)
				is.Equal(len(body), 500)
			})
		})
	}
}

// ownersLog counts reads of owners, and fails them if told to.
type ownersLog struct {
	keyedlog.Log
	reads  int
	failed error
}

func (l *ownersLog) Owners(ctx context.Context, group string) ([]keyedlog.Owner, error) {
	l.reads++
	if l.failed != nil {
		return nil, l.failed
	}
	return l.Log.Owners(ctx, group)
}

// TestOwnersOfHomesAreReadOnceASecond guards against a read of owners for each submission, and against submissions that a store which does
// not list owners refuses although it takes them.
func TestOwnersOfHomesAreReadOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		own(t, store, "a", "c")
		counting := &ownersLog{Log: store.For("node")}
		n := newBoundNode(t, counting)
		for i := range 8 {
			bound := spec(string(rune('a' + i)))
			bound.Route = "jobs"
			is.Equal(n.service.Submit(t.Context(), bound), jobs.Done)
			time.Sleep(250 * time.Millisecond)
		}
		is.Equal(counting.reads, 2)
		counting.failed = errors.New("no answer")
		time.Sleep(time.Second)
		bound := spec("last")
		bound.Route = "jobs"
		is.Equal(n.service.Submit(t.Context(), bound), jobs.Done)
	})
}
