package weightroll

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
)

// largePool returns a directory with a pool of many engines, and their ids.
func largePool(engines, models int) (*fleet.Directory, []string) {
	directory := fleet.NewDirectory()
	versions := make(map[string]int64)
	for i := range models {
		versions[fmt.Sprint("model", i)] = 1
	}
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprintf("i-%08x", uint32(i)*2654435761))
		directory.Upsert(fleet.Engine{ID: ids[i], Pool: "p", Zone: fmt.Sprint("zone-", i%5), Slots: 6, Versions: versions})
	}
	return directory, ids
}

// BenchmarkPlanLargePool plans for 7,777 engines, of which eight models need 90 each, after a change of one engine. A
// plan takes 74 ms when every step examines all engines, and 6.8 ms with candidateEngines.
func BenchmarkPlanLargePool(b *testing.B) {
	directory, ids := largePool(7777, 8)
	targets, shares := make(map[string]int64), make(map[string]int)
	for i := range 8 {
		targets[fmt.Sprint("model", i)], shares[fmt.Sprint("model", i)] = 3, 90
	}
	var previous Assignment
	pinned := func(fleet.Engine, string) bool { return false }
	version := int64(1)
	for b.Loop() {
		version++
		directory.SetServedVersion(ids[version%7777], "model1", version)
		engines := candidateEngines(directory.Pool("p"), previous, shares)
		previous = Assign(engines, targets, previous, shares, pinned)
		Plan(PlanInput{Engines: engines, Targets: targets, Assignment: previous, MaxLoads: 600})
	}
}

// BenchmarkPlaceInLargePool assigns an engine of such a pool to one item: 24 ms when all engines are considered, 0.8 ms
// with some hundreds.
func BenchmarkPlaceInLargePool(b *testing.B) {
	directory, ids := largePool(7777, 8)
	assigned := make(map[string]string)
	for i := range 720 {
		assigned[ids[i]] = fmt.Sprint("model", i%8)
	}
	directory.SetAssignedModels("p", assigned)
	want := fleet.Want{Pool: "p", Model: "model1", MinVersion: 1, Share: 1, Events: 10, Zone: "zone-1", Affinity: "x", Since: time.Now()}
	for b.Loop() {
		for _, engine := range directory.Assign([]fleet.Want{want}) {
			directory.Release(engine.ID)
		}
	}
}

// TestPlanIsLimitedToCandidateEngines assigns a large pool. Models get their share, spread over zones, the number of
// engines in a plan does not grow with the pool, and an engine that leaves is replaced.
func TestPlanIsLimitedToCandidateEngines(t *testing.T) {
	is := is.New(t)
	directory, ids := largePool(5000, 4)
	targets, shares := make(map[string]int64), make(map[string]int)
	for i := range 4 {
		targets[fmt.Sprint("model", i)], shares[fmt.Sprint("model", i)] = 2, 25
	}
	pinned := func(fleet.Engine, string) bool { return true }
	var assigned Assignment
	reassign := func(maxEngines int) {
		t.Helper()
		engines := candidateEngines(directory.Pool("p"), assigned, shares)
		is.True(len(engines) <= maxEngines)
		assigned = Assign(engines, targets, assigned, shares, pinned)
		is.Equal(assigned.counts(), shares)
	}
	reassign(100)
	zones := make(map[string]int)
	for id := range assigned {
		engine, _ := directory.Engine(id)
		zones[engine.Zone]++
	}
	is.Equal(len(zones), 5)
	for _, count := range zones {
		is.Equal(count, 20)
	}
	for _, id := range ids {
		if assigned[id] != "" {
			directory.Remove(id)
			break
		}
	}
	reassign(100)
	shares["model0"] = 30
	reassign(105)
}

// TestTakeoverKeepsAssignmentWhileEnginesAreMissing takes ownership over while half of the engines are not known yet.
// The new owner must at once order the known engines that its predecessor had assigned, and must not replace the
// unknown ones.
func TestTakeoverKeepsAssignmentWhileEnginesAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 8)
		next := env.node("next")
		directory := next.holder.config.Directory
		assigned := make(Assignment)
		for _, engine := range []fleet.Engine{env.pool[0], env.pool[1], env.pool[6], env.pool[7]} {
			assigned[engine.ID] = model
		}
		directory.SetAssignedModels(poolName, assigned)
		directory.SetPartial(true)
		for _, engine := range env.pool[4:] {
			directory.Remove(engine.ID)
		}
		next.becomeOwner(1)
		next.catalog.SetVersion(model, 2)
		time.Sleep(4 * loadTime)
		is.Equal(env.versions(), []int64{2, 2, 1, 1, 1, 1, 1, 1})

		for _, engine := range env.pool[4:] {
			directory.Upsert(engine)
		}
		directory.SetPartial(false)
		time.Sleep(8 * loadTime)
		is.Equal(len(env.engines.Orders()), 8)
		next.release()
	})
}

// TestTakeoverKeepsAssignmentWhileJobsAreUnknown takes ownership over when all engines are known but the list of jobs
// was not read yet. The new owner must not assign and load engines for steps that it does not know.
func TestTakeoverKeepsAssignmentWhileJobsAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 8)
		next := env.node("next")
		var known atomic.Bool
		next.holder.config.JobsKnown = known.Load
		assigned := Assignment{env.pool[0].ID: model, env.pool[6].ID: model}
		next.holder.config.Directory.SetAssignedModels(poolName, assigned)
		next.becomeOwner(1)
		next.catalog.SetVersion(model, 2)
		time.Sleep(4 * loadTime)
		is.Equal(env.versions(), []int64{2, 1, 1, 1, 1, 1, 2, 1})

		known.Store(true)
		time.Sleep(8 * loadTime)
		is.Equal(len(env.engines.Orders()), 8)
		next.release()
	})
}
