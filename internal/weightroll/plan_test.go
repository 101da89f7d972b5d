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

func TestPlanLimitsConcurrentLoadsAcrossModels(t *testing.T) {
	is := is.New(t)
	old := map[string]int64{"a": 1, "b": 1}
	targets := map[string]int64{"a": 2, "b": 2}
	pool := engines(6, old)
	assignment := Assign(pool, targets, nil, map[string]int{"a": 3, "b": 3}, nonePinned)
	steps, _ := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: assignment, MaxLoads: 2})
	is.Equal(len(steps), 2)
	is.True(steps[0].Model != steps[1].Model)
	is.True(steps[0].Engine.ID != steps[1].Engine.ID)

	loading := map[string]string{steps[0].Engine.ID: steps[0].Model, steps[1].Engine.ID: steps[1].Model}
	steps, waiting := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: assignment, Loading: loading, MaxLoads: 2})
	is.Equal(len(steps), 0)
	is.True(waiting > 0)
}

// TestPlanOrdersMostOutdatedEnginesFirst guards against a fault seen on platform_down days: engines that the running
// step could use were loaded while others, too old for it, waited.
func TestPlanOrdersMostOutdatedEnginesFirst(t *testing.T) {
	is := is.New(t)
	pool := engines(4, map[string]int64{"a": 3})
	pool[2].Versions = map[string]int64{"a": 1}
	pool[3].Versions = map[string]int64{"a": 2}
	targets := map[string]int64{"a": 4}
	steps, _ := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: Assign(pool, targets, nil, map[string]int{"a": len(pool)}, nonePinned), MaxLoads: 2})
	is.Equal(steps[0].Engine.ID, pool[2].ID)
	is.Equal(steps[1].Engine.ID, pool[3].ID)
}

func TestPlanSkipsUpToDateAndDrainingEngines(t *testing.T) {
	is := is.New(t)
	pool := engines(3, map[string]int64{"a": 2})
	pool[1].Draining = true
	pool[1].Versions = map[string]int64{"a": 1}
	targets := map[string]int64{"a": 2}
	steps, waiting := Plan(PlanInput{Engines: pool, Targets: targets, Assignment: Assign(pool, targets, nil, map[string]int{"a": len(pool)}, nonePinned), MaxLoads: 9})
	is.Equal(len(steps), 0)
	is.Equal(waiting, 0)
}

// TestLoadMode checks that the handling of running streams and jobs during a load depends only on the routes of the
// pool. In one deployment, every load had cut off streams that no other engine may continue.
func TestLoadMode(t *testing.T) {
	to := func(pool string) []catalog.Target { return []catalog.Target{{Pool: pool, Weight: 1}} }
	jobs := catalog.Route{Kind: catalog.KindJobs, Targets: to("p")}
	singleVersion := catalog.Route{Kind: catalog.KindJobs, SingleVersion: true, Targets: to("p")}
	stream := catalog.Route{Kind: catalog.KindStream, Targets: to("p")}
	otherPool := catalog.Route{Kind: catalog.KindJobs, SingleVersion: true, Targets: to("q")}
	tests := []struct {
		name   string
		routes []catalog.Route
		want   engineapi.LoadMode
	}{
		{"runs continue", []catalog.Route{jobs, stream}, engineapi.LoadKeeps},
		{"routes of other pools are ignored", []catalog.Route{jobs, otherPool}, engineapi.LoadKeeps},
		{"single-version runs finish first", []catalog.Route{stream, singleVersion}, engineapi.LoadWaits},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(loadMode(catalog.New(1, test.routes, nil, catalog.Limits{}), "p"), test.want)
		})
	}
}

// nonePinned allows every engine to change its model.
func nonePinned(fleet.Engine, string) bool { return false }

// TestAssignFollowsSharesAndMovesFew checks for random pools and changes of shares that models have as many engines as
// their shares, that no more engines change their model than necessary, and that pinned engines keep theirs.
func TestAssignFollowsSharesAndMovesFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 4).Draw(t, "models")
		targets := make(map[string]int64)
		for i := range models {
			targets[fmt.Sprint("m", i)] = int64(rapid.IntRange(1, 5).Draw(t, "target"))
		}
		pool := engines(rapid.IntRange(models, 12).Draw(t, "engines"), nil)
		shares := drawShares(t, len(pool), models)
		first := Assign(pool, targets, nil, shares, nonePinned)
		checkShares(t, first, shares)

		remaining := pool[rapid.IntRange(0, len(pool)-models).Draw(t, "gone"):]
		next := drawShares(t, len(remaining), models)
		second := Assign(remaining, targets, first, next, nonePinned)
		checkShares(t, second, next)
		previousCounts := make(map[string]int)
		for _, engine := range remaining {
			previousCounts[first[engine.ID]]++
		}
		excess := 0
		for model, count := range previousCounts {
			excess += max(0, count-next[model])
		}
		if count := countMoved(first, second); count != excess {
			t.Fatalf("%d engines moved, want %d", count, excess)
		}
		pinnedID := remaining[rapid.IntRange(0, len(remaining)-1).Draw(t, "kept")].ID
		third := Assign(remaining, targets, second, drawShares(t, len(remaining), models), func(engine fleet.Engine, _ string) bool {
			return engine.ID == pinnedID
		})
		if third[pinnedID] != second[pinnedID] || len(third) != len(remaining) {
			t.Fatalf("pinned engine %s moved from model %s to %s; %d engines are assigned", pinnedID, second[pinnedID], third[pinnedID], len(third))
		}
	})
}

// drawShares draws the number of engines of each model, at least one each.
func drawShares(t *rapid.T, engines, models int) map[string]int {
	shares := make(map[string]int, models)
	remaining := engines - models
	for i := range models {
		extra := remaining
		if i < models-1 {
			extra = rapid.IntRange(0, remaining).Draw(t, "share")
		}
		shares[fmt.Sprint("m", i)] = 1 + extra
		remaining -= extra
	}
	return shares
}

func checkShares(t *rapid.T, assignment Assignment, shares map[string]int) {
	if !maps.Equal(assignment.counts(), shares) {
		t.Fatalf("assignment has counts %v, want shares %v", assignment.counts(), shares)
	}
}

// TestModelWithLeastWorkHasFewestEngines guards against a fault seen on the archive: when an engine left, the model
// with the most work was reduced to two engines, while the one with the least kept three.
func TestModelWithLeastWorkHasFewestEngines(t *testing.T) {
	is := is.New(t)
	targets := map[string]int64{"large": 2, "middle": 2, "small": 2}
	loads := []policy.StepLoad{{Work: 12 * time.Second}, {Work: 11 * time.Second}, {Work: 8 * time.Second}}
	share := func(engines int) map[string]int {
		assigned := policy.AssignEngines(engines, 8, loads)
		return map[string]int{"large": assigned[0], "middle": assigned[1], "small": assigned[2]}
	}
	nine := engines(9, nil)
	before := Assign(nine, targets, nil, share(9), nonePinned)
	for i := range nine {
		remaining := slices.Delete(slices.Clone(nine), i, i+1)
		is.Equal(Assign(remaining, targets, before, share(8), nonePinned).counts(), map[string]int{"large": 3, "middle": 3, "small": 2})
	}

	// Priority takes precedence over work.
	loads[0].Priority, loads[2].Priority = 1, 1
	is.Equal(Assign(nine[:7], targets, before, share(7), nonePinned).counts(), map[string]int{"middle": 3, "large": 2, "small": 2})
}
