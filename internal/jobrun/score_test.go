package jobrun_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/matryer/is"
)

// setRoutes gives the node a newer catalog. Its jobs' route has targets if withTargets is set, and the scorers' route is there if
// withScorer is set.
func (n *node) setRoutes(version int64, withTargets, withScorer bool) {
	items := catalog.Route{Name: "items", Host: "h", Prefix: "/items/", Kind: catalog.KindJobs, MaxAttempts: attempts, MaxWait: maxWait}
	if withTargets {
		items.Targets = []catalog.Target{{Pool: "models", Weight: 1}}
	}
	routes := []catalog.Route{items}
	if withScorer {
		routes = append(routes, catalog.Route{
			Name: "score", Host: "h", Prefix: "/score/", Kind: catalog.KindRepeatable, MaxAttempts: 4, Aim: 150 * time.Millisecond,
			Targets: []catalog.Target{{Pool: "scorers", Weight: 1}},
		})
	}
	n.routes.Set(catalog.New(version, routes, nil, catalog.Limits{}))
}

// TestItemsWaitForTheirScorersRoute guards against items that are listed as dead at once because a catalog lacks the route of their
// scorer for a time: catalogs add and remove routes, and an item may be given up only for its own route, or once its time is over.
func TestItemsWaitForTheirScorersRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		owner.own(1)
		one := spec("one", 8)
		w.submit(one)
		time.Sleep(100 * time.Millisecond)
		owner.setRoutes(2, true, false)
		time.Sleep(3 * time.Second)
		is.Equal(len(owner.results("one")), 0)
		owner.setRoutes(3, true, true)
		time.Sleep(time.Second)
		is.Equal(len(owner.results("one")), len(one.Items))
		owner.checkComplete(one)
		owner.release()
	})
}

// TestItemsWithoutTheirScorersRouteEndInTime guards against items that are never listed since their scorer's route does not come back:
// they are given up once the time of their own route is over, or once that route is removed too.
func TestItemsWithoutTheirScorersRouteEndInTime(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2)
			owner := w.newNode("owner")
			owner.own(1)
			one := spec("one", 4)
			w.submit(one)
			time.Sleep(100 * time.Millisecond)
			owner.setRoutes(2, true, false)
			time.Sleep(maxWait - 500*time.Millisecond)
			is.Equal(len(owner.results("one")), 0)
			if removed {
				owner.routes.Set(catalog.New(3, nil, nil, catalog.Limits{}))
				time.Sleep(350 * time.Millisecond)
			} else {
				time.Sleep(time.Second)
			}
			results := owner.results("one")
			is.Equal(len(results), len(one.Items))
			for _, result := range results {
				is.True(result.Dead)
			}
			owner.release()
		})
	}
}

// TestItemsWaitForTargetsOfTheirRoute guards against items that are listed as dead because their route has no target for a time, which
// is not its end.
func TestItemsWaitForTargetsOfTheirRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		owner.setRoutes(2, false, true)
		owner.own(1)
		one := spec("one", 8)
		w.submit(one)
		time.Sleep(3 * time.Second)
		is.Equal(len(owner.results("one")), 0)
		owner.setRoutes(3, true, true)
		time.Sleep(3 * time.Second)
		owner.checkComplete(one)
		is.Equal(len(owner.results("one")), len(one.Items))
		owner.release()
	})
}

// TestItemsFollowTheTargetsOfTheirScorersRoute guards against items that are listed as dead, or that wait for the end of a call of 6 s, because
// the route of their scorer has no target for a time, or one without engines.
func TestItemsFollowTheTargetsOfTheirScorersRoute(t *testing.T) {
	for name, targets := range map[string][]catalog.Target{"none": nil, "without engines": {{Pool: "empty", Weight: 1}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				owner := w.newNode("owner")
				owner.own(1)
				defer owner.release()
				one := spec("one", 8)
				w.submit(one)
				time.Sleep(100 * time.Millisecond)
				routes := slices.Clone(owner.routes.Current().Routes)
				for i := range routes {
					if routes[i].Name == "score" {
						routes[i].Targets = targets
					}
				}
				owner.routes.Set(catalog.New(2, routes, nil, catalog.Limits{}))
				time.Sleep(3 * time.Second)
				if listed := len(owner.results("one")); listed > 0 {
					t.Errorf("%d items are listed without their score", listed)
				}
				owner.setRoutes(3, true, true)
				time.Sleep(2 * time.Second)
				owner.checkComplete(one)
			})
		})
	}
}
