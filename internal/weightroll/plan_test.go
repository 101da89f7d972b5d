package weightroll

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func engines(count int, versions map[string]int64) []fleet.Engine {
	var engines []fleet.Engine
	for i := range count {
		engines = append(engines, fleet.Engine{
			ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%3), Slots: 8, Versions: versions,
		})
	}
	return engines
}

func TestPlanLoadsAFewAtOnceOfEveryModel(t *testing.T) {
	is := is.New(t)
	old := map[string]int64{"a": 1, "b": 1}
	targets := map[string]int64{"a": 2, "b": 2}
	pool := engines(6, old)
	assignment := Assign(pool, targets, nil, map[string]int{"a": 3, "b": 3}, movable)
	steps, _ := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: assignment, AtOnce: 2})
	is.Equal(len(steps), 2)
	is.True(steps[0].Model != steps[1].Model)
	is.True(steps[0].Engine.ID != steps[1].Engine.ID)

	loading := map[string]string{steps[0].Engine.ID: steps[0].Model, steps[1].Engine.ID: steps[1].Model}
	steps, waiting := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: assignment, Loading: loading, AtOnce: 2})
	is.Equal(len(steps), 0)
	is.True(waiting > 0)
}

// TestPlanTakesTheEnginesFurthestBehindFirst is the fault found on platform_down days: engines that the running step could
// use were loaded while others, too old for it, waited.
func TestPlanTakesTheEnginesFurthestBehindFirst(t *testing.T) {
	is := is.New(t)
	pool := engines(4, map[string]int64{"a": 3})
	pool[2].Versions = map[string]int64{"a": 1}
	pool[3].Versions = map[string]int64{"a": 2}
	targets := map[string]int64{"a": 4}
	steps, _ := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: Assign(pool, targets, nil, map[string]int{"a": len(pool)}, movable), AtOnce: 2})
	is.Equal(steps[0].Engine.ID, pool[2].ID)
	is.Equal(steps[1].Engine.ID, pool[3].ID)
}

func TestPlanLeavesEnginesThatAreUpToDateOrLeaving(t *testing.T) {
	is := is.New(t)
	pool := engines(3, map[string]int64{"a": 2})
	pool[1].Draining = true
	pool[1].Versions = map[string]int64{"a": 1}
	targets := map[string]int64{"a": 2}
	steps, waiting := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: Assign(pool, targets, nil, map[string]int{"a": len(pool)}, movable), AtOnce: 9})
	is.Equal(len(steps), 0)
	is.Equal(waiting, 0)
}

// TestLoadMode checks what becomes of runs by the routes of the pool alone. Streams that nobody may take up were cut by every
// load on a site of our own.
func TestLoadMode(t *testing.T) {
	to := func(pool string) []catalog.Target { return []catalog.Target{{Pool: pool, Weight: 1}} }
	items := catalog.Route{Kind: catalog.KindJobs, Targets: to("p")}
	pure := catalog.Route{Kind: catalog.KindJobs, SingleVersion: true, Targets: to("p")}
	once := catalog.Route{Kind: catalog.KindStream, Targets: to("p")}
	elsewhere := catalog.Route{Kind: catalog.KindJobs, SingleVersion: true, Targets: to("q")}
	tests := []struct {
		name   string
		routes []catalog.Route
		want   engineapi.LoadMode
	}{
		{"runs go on", []catalog.Route{items, once}, engineapi.LoadKeeps},
		{"routes of other pools don't count", []catalog.Route{items, elsewhere}, engineapi.LoadKeeps},
		{"texts of one version end first", []catalog.Route{once, pure}, engineapi.LoadWaits},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(loadMode(catalog.New(1, test.routes, nil, catalog.Limits{}), "p"), test.want)
		})
	}
}

// movable lets every engine change its model.
func movable(fleet.Engine, string) bool { return false }

// TestAssignFollowsSharesAndMovesFew checks, for any pool, shares and change of them, that models have as many engines as their
// shares say, that no more engines change their model than that asks, and that engines which are kept stay.
func TestAssignFollowsSharesAndMovesFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 4).Draw(t, "models")
		targets := make(map[string]int64)
		for i := range models {
			targets[fmt.Sprint("m", i)] = int64(rapid.IntRange(1, 5).Draw(t, "target"))
		}
		pool := engines(rapid.IntRange(models, 12).Draw(t, "engines"), nil)
		shares := drawShares(t, len(pool), models)
		first := Assign(pool, targets, nil, shares, movable)
		checkShares(t, first, shares)

		left := pool[rapid.IntRange(0, len(pool)-models).Draw(t, "gone"):]
		next := drawShares(t, len(left), models)
		second := Assign(left, targets, first, next, movable)
		checkShares(t, second, next)
		had := make(map[string]int)
		for _, engine := range left {
			had[first[engine.ID]]++
		}
		over := 0
		for model, count := range had {
			over += max(0, count-next[model])
		}
		if count := moved(first, second); count != over {
			t.Fatalf("%d engines moved, %d were too many", count, over)
		}
		stays := left[rapid.IntRange(0, len(left)-1).Draw(t, "kept")].ID
		third := Assign(left, targets, second, drawShares(t, len(left), models), func(engine fleet.Engine, _ string) bool {
			return engine.ID == stays
		})
		if third[stays] != second[stays] || len(third) != len(left) {
			t.Fatalf("%s was kept as %s, and is now %s of %d", stays, second[stays], third[stays], len(third))
		}
	})
}

// drawShares draws how many of some engines each model is to have, one at least.
func drawShares(t *rapid.T, engines, models int) map[string]int {
	shares := make(map[string]int, models)
	left := engines - models
	for i := range models {
		more := left
		if i < models-1 {
			more = rapid.IntRange(0, left).Draw(t, "share")
		}
		shares[fmt.Sprint("m", i)] = 1 + more
		left -= more
	}
	return shares
}

func checkShares(t *rapid.T, assignment Assignment, shares map[string]int) {
	if !maps.Equal(assignment.counts(), shares) {
		t.Fatalf("dealt as %v, shares are %v", assignment.counts(), shares)
	}
}

// TestTheModelWithLessWorkHasOneEngineLess is the incident of the archive: when an engine left, the model with the most work
// was left with two, the one with the least kept three.
func TestTheModelWithLessWorkHasOneEngineLess(t *testing.T) {
	is := is.New(t)
	targets := map[string]int64{"large": 2, "middle": 2, "small": 2}
	loads := []policy.StepLoad{{Work: 12 * time.Second}, {Work: 11 * time.Second}, {Work: 8 * time.Second}}
	share := func(engines int) map[string]int {
		dealt := policy.AssignEngines(engines, 8, loads)
		return map[string]int{"large": dealt[0], "middle": dealt[1], "small": dealt[2]}
	}
	nine := engines(9, nil)
	before := Assign(nine, targets, nil, share(9), movable)
	for i := range nine {
		left := slices.Delete(slices.Clone(nine), i, i+1)
		is.Equal(Assign(left, targets, before, share(8), movable).counts(), map[string]int{"large": 3, "middle": 3, "small": 2})
	}

	// The more urgent model goes before the one with more work.
	loads[0].Priority, loads[2].Priority = 1, 1
	is.Equal(Assign(nine[:7], targets, before, share(7), movable).counts(), map[string]int{"middle": 3, "large": 2, "small": 2})
}
