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

// BenchmarkPlanLargePool plans for 7,777 engines of which eight models need 90 each, after one has changed: 74 ms with all of them looked at
// in each step, 6.8 ms with those that models may have.
func BenchmarkPlanLargePool(b *testing.B) {
	directory, ids := largePool(7777, 8)
	targets, shares := make(map[string]int64), make(map[string]int)
	for i := range 8 {
		targets[fmt.Sprint("model", i)], shares[fmt.Sprint("model", i)] = 3, 90
	}
	var previous Assignment
	stays := func(fleet.Engine, string) bool { return false }
	version := int64(1)
	for b.Loop() {
		version++
		directory.SetServedVersion(ids[version%7777], "model1", version)
		engines := relevant(directory.Pool("p"), previous, shares)
		previous = Assign(engines, targets, previous, shares, stays)
		Plan(PlanInput{Engines: engines, Targets: targets, Assignment: previous, AtOnce: 600})
	}
}

// BenchmarkPlaceInLargePool gives an engine of such a pool to one item: 24 ms with all engines considered, 0.8 ms with some hundreds.
func BenchmarkPlaceInLargePool(b *testing.B) {
	directory, ids := largePool(7777, 8)
	dealt := make(map[string]string)
	for i := range 720 {
		dealt[ids[i]] = fmt.Sprint("model", i%8)
	}
	directory.SetAssignedModels("p", dealt)
	want := fleet.Want{Pool: "p", Model: "model1", MinVersion: 1, Share: 1, Events: 10, Zone: "zone-1", Affinity: "x", Since: time.Now()}
	for b.Loop() {
		for _, engine := range directory.Assign([]fleet.Want{want}) {
			directory.Release(engine.ID)
		}
	}
}

// TestAPlanLooksAtTheEnginesThatModelsMayHave deals a large pool: models have their share, spread over zones, what is planned with does not
// grow with the pool, and an engine that goes is replaced.
func TestAPlanLooksAtTheEnginesThatModelsMayHave(t *testing.T) {
	is := is.New(t)
	directory, ids := largePool(5000, 4)
	targets, shares := make(map[string]int64), make(map[string]int)
	for i := range 4 {
		targets[fmt.Sprint("model", i)], shares[fmt.Sprint("model", i)] = 2, 25
	}
	stays := func(fleet.Engine, string) bool { return true }
	var dealt Assignment
	deal := func(most int) {
		t.Helper()
		engines := relevant(directory.Pool("p"), dealt, shares)
		is.True(len(engines) <= most)
		dealt = Assign(engines, targets, dealt, shares, stays)
		is.Equal(dealt.counts(), shares)
	}
	deal(100)
	zones := make(map[string]int)
	for id := range dealt {
		engine, _ := directory.Engine(id)
		zones[engine.Zone]++
	}
	is.Equal(len(zones), 5)
	for _, count := range zones {
		is.Equal(count, 20)
	}
	for _, id := range ids {
		if dealt[id] != "" {
			directory.Remove(id)
			break
		}
	}
	deal(100)
	shares["model0"] = 30
	deal(105)
}

// TestATakeoverKeepsToTheDealingWhileEnginesAreMissing has an order giver take over that has met half of the engines so far. It must order
// those of them that its predecessor had dealt at once, and none in the place of those that it has not met.
func TestATakeoverKeepsToTheDealingWhileEnginesAreMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 8)
		next := w.node("next")
		directory := next.holder.config.Directory
		dealt := make(Assignment)
		for _, engine := range []fleet.Engine{w.pool[0], w.pool[1], w.pool[6], w.pool[7]} {
			dealt[engine.ID] = model
		}
		directory.SetAssignedModels(poolName, dealt)
		directory.SetPartial(true)
		for _, engine := range w.pool[4:] {
			directory.Remove(engine.ID)
		}
		next.own(1)
		next.catalog.SetVersion(model, 2)
		time.Sleep(4 * loadTime)
		is.Equal(w.versions(), []int64{2, 2, 1, 1, 1, 1, 1, 1})

		for _, engine := range w.pool[4:] {
			directory.Upsert(engine)
		}
		directory.SetPartial(false)
		time.Sleep(8 * loadTime)
		is.Equal(len(w.engines.Orders()), 8)
		next.release()
	})
}

// TestATakeoverKeepsToTheDealingWhileJobsAreUnknown has an order giver take over that knows all engines and has not read yet which jobs there are:
// it must not deal and load engines for steps that it merely doesn't know.
func TestATakeoverKeepsToTheDealingWhileJobsAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 8)
		next := w.node("next")
		var known atomic.Bool
		next.holder.config.JobsKnown = known.Load
		dealt := Assignment{w.pool[0].ID: model, w.pool[6].ID: model}
		next.holder.config.Directory.SetAssignedModels(poolName, dealt)
		next.own(1)
		next.catalog.SetVersion(model, 2)
		time.Sleep(4 * loadTime)
		is.Equal(w.versions(), []int64{2, 1, 1, 1, 1, 1, 2, 1})

		known.Store(true)
		time.Sleep(8 * loadTime)
		is.Equal(len(w.engines.Orders()), 8)
		next.release()
	})
}
