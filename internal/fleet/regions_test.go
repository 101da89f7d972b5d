package fleet_test

import (
	"fmt"
	"testing"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
)

// TestWorkStaysInItsRegions places work that is bound to regions beside work that is not, in pools of different sizes:
// bound work must go to no engine elsewhere, even where the engines of its region are full, few among many, or not known
// to lie there.
func TestWorkStaysInItsRegions(t *testing.T) {
	for _, size := range []int{8, 2000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			directory := fleet.NewDirectory()
			directory.SetRegions(map[string]string{"recife-a": "recife", "fortaleza-a": "fortaleza"})
			assigned := make(map[string]string)
			for i := range size {
				zone := []string{"recife-a", "recife-a", "recife-a", "unknown"}[i%4]
				if i < 2 {
					zone = "fortaleza-a"
				}
				id := fmt.Sprint("engine", i)
				directory.Upsert(fleet.Engine{ID: id, Pool: "pool", Zone: zone, Slots: 4, Versions: map[string]int64{"tide": 1}})
				if i%2 == 0 {
					assigned[id] = "tide"
				}
			}
			directory.SetAssignedModels("pool", assigned)

			bound := fleet.Want{Pool: "pool", Regions: []string{"fortaleza"}, Share: 1}
			ofModel := bound
			ofModel.Model, ofModel.MinVersion = "tide", 1
			anywhere := bound
			anywhere.Regions = nil
			var wants []fleet.Want
			for range 20 {
				wants = append(wants, bound, ofModel, anywhere)
			}
			count := 0
			for i, engine := range directory.Assign(wants) {
				if wants[i].Regions == nil || engine.ID == "" {
					continue
				}
				count++
				is.Equal(engine.Region, "fortaleza")
			}
			is.True(count >= 4)
			for range 10 {
				if engine, found := directory.Acquire(bound); found {
					is.Equal(engine.Region, "fortaleza")
				}
			}

			nowhere := fleet.Want{Pool: "pool", Regions: []string{}}
			_, found := directory.Acquire(nowhere)
			is.True(!found)
			is.True(!directory.Exists(nowhere))
			// An empty region name matches no engine.
			_, found = directory.Acquire(fleet.Want{Pool: "pool", Regions: []string{""}})
			is.True(!found)
		})
	}
}

// TestMayServe guards against requests and jobs that wait for engines which never come, and against the refusal of those whose engines are
// only not known yet: leaving engines, evacuated zones and engines elsewhere don't count.
func TestMayServe(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	directory.SetRegions(map[string]string{"recife-a": "recife", "fortaleza-a": "fortaleza"})
	home := []string{"fortaleza"}
	is.True(directory.MayServe("pool", home)) // no engine of the pool is known
	directory.Upsert(fleet.Engine{ID: "elsewhere", Pool: "pool", Zone: "recife-a", Slots: 4})
	is.True(!directory.MayServe("pool", home))
	here := fleet.Engine{ID: "here", Pool: "pool", Zone: "fortaleza-a", Slots: 4}
	directory.Upsert(here)
	is.True(directory.MayServe("pool", home) && directory.MayServe("pool", nil) && !directory.MayServe("pool", []string{}))
	directory.SetEvacuated("fortaleza-a", true)
	is.True(!directory.MayServe("pool", home))
	directory.SetEvacuated("fortaleza-a", false)
	here.Draining = true
	directory.Upsert(here)
	is.True(!directory.MayServe("pool", home))
	directory.SetSynced()
	is.True(!directory.MayServe("other", nil)) // all engines are known
}

// TestOtherRegionsCostMoreThanOtherZones guards against work that crosses regions although engines near it are as idle, and against a cost so
// high that the engines of its own region fill up while those elsewhere are idle.
func TestOtherRegionsCostMoreThanOtherZones(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	directory.SetRegions(map[string]string{"recife-a": "recife", "recife-b": "recife", "fortaleza-a": "fortaleza"})
	for i := range 20 {
		directory.Upsert(fleet.Engine{ID: fmt.Sprint(i), Pool: "pool", Zone: []string{"recife-b", "fortaleza-a"}[i%2], Slots: 8})
	}
	counts := make(map[string]int)
	// The last round of ten engines is not full: the work that completes it stays near.
	for i := range 95 {
		engine, _ := directory.Acquire(fleet.Want{Pool: "pool", Zone: "recife-a", Share: 1})
		counts[engine.Region]++
		is.True(i >= 10 || engine.Region == "recife")
	}
	is.True(counts["fortaleza"] >= 30 && counts["recife"] > counts["fortaleza"])
}
