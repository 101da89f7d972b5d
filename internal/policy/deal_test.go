package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawLoads draws loads of some models, from a tenth of a pool to more than its capacity.
func drawLoads(t *rapid.T, models int) []policy.StepLoad {
	loads := make([]policy.StepLoad, models)
	for i := range loads {
		loads[i] = policy.StepLoad{
			Work:     time.Duration(rapid.IntRange(0, 200_000).Draw(t, "work")) * time.Millisecond,
			Longest:  time.Duration(rapid.IntRange(0, 8_000).Draw(t, "longest")) * time.Millisecond,
			Interval: time.Duration(rapid.SampledFrom([]int{0, 2_000, 4_000, 8_000}).Draw(t, "interval")) * time.Millisecond,
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		}
	}
	return loads
}

// evenAssignment assigns engines so that the numbers differ by one at most.
func evenAssignment(engines, models int) []int {
	assigned := make([]int, models)
	for i := range engines {
		assigned[i%models]++
	}
	return assigned
}

// minCost returns the lowest cost over all assignments with at least one engine for each model.
func minCost(engines int, slots float64, loads []policy.StepLoad) float64 {
	assigned := make([]int, len(loads))
	lowest := -1.0
	var assign func(model, left int)
	assign = func(model, left int) {
		if model == len(loads)-1 {
			assigned[model] = left
			if cost := policy.AssignmentCost(assigned, slots, loads); lowest < 0 || cost < lowest {
				lowest = cost
			}
			return
		}
		for count := 1; count <= left-(len(loads)-1-model); count++ {
			assigned[model] = count
			assign(model+1, left-count)
		}
	}
	assign(0, engines)
	return lowest
}

// TestAssignmentIsTheCheapest checks on small pools that no other assignment costs less, and on pools of any size that
// the even one doesn't.
func TestAssignmentIsTheCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 4).Draw(t, "models")
		loads := drawLoads(t, models)
		slots := float64(rapid.IntRange(1, 12).Draw(t, "slots"))
		engines := rapid.IntRange(models, 14).Draw(t, "engines")
		assigned := policy.AssignEngines(engines, slots, loads)
		total := 0
		for _, count := range assigned {
			if count < 1 {
				t.Fatalf("a model has no engine: %v", assigned)
			}
			total += count
		}
		if total != engines {
			t.Fatalf("%d engines assigned as %v", engines, assigned)
		}
		const rounding = 1 + 1e-9
		if lowest := minCost(engines, slots, loads); policy.AssignmentCost(assigned, slots, loads) > rounding*lowest {
			t.Fatalf("%v costs %v, the cheapest %v", assigned, policy.AssignmentCost(assigned, slots, loads), lowest)
		}
		many := rapid.IntRange(models, 500).Draw(t, "many")
		if policy.AssignmentCost(policy.AssignEngines(many, slots, loads), slots, loads) > rounding*policy.AssignmentCost(evenAssignment(many, models), slots, loads) {
			t.Fatalf("the even assignment of %d engines costs less", many)
		}
	})
}

// TestFewerEnginesThanModels checks that the models with the highest priority and load get the engines.
func TestFewerEnginesThanModels(t *testing.T) {
	is := is.New(t)
	loads := []policy.StepLoad{
		{Work: time.Second}, {Work: 3 * time.Second, Priority: 1}, {Work: 2 * time.Second}, {Work: 4 * time.Second, Priority: 1},
	}
	is.Equal(policy.AssignEngines(3, 6, loads), []int{1, 0, 1, 1})
	is.Equal(policy.AssignEngines(0, 6, loads), []int{0, 0, 0, 0})
}

// TestHeavyModelsGetMoreEngines uses loads measured in a large pool: light models must keep enough engines to keep up,
// and heavy models must gain.
func TestHeavyModelsGetMoreEngines(t *testing.T) {
	is := is.New(t)
	heavy := policy.StepLoad{Work: 100 * time.Second, Longest: 4500 * time.Millisecond, Interval: 4 * time.Second}
	light := policy.StepLoad{Work: 40 * time.Second, Longest: 2500 * time.Millisecond, Interval: 4 * time.Second}
	loads := []policy.StepLoad{heavy, heavy, heavy, heavy, heavy, light, light, light}
	const engines, slots = 77, 6
	assigned := policy.AssignEngines(engines, slots, loads)
	even := evenAssignment(engines, len(loads))
	for i, load := range loads {
		now, before := policy.StepTime(load, assigned[i], slots), policy.StepTime(load, even[i], slots)
		if load == heavy {
			is.True(now < before-300*time.Millisecond)
		} else {
			is.True(now < 6*time.Second)
		}
	}
	is.True(policy.WorthReassigning(even, assigned, slots, loads, time.Second))
	is.True(!policy.WorthReassigning(assigned, assigned, slots, loads, time.Second))

	// Moving one engine between heavy models gains nothing, whatever a load costs.
	other := append([]int(nil), assigned...)
	other[0]++
	other[1]--
	is.True(!policy.WorthReassigning(other, assigned, slots, loads, time.Second))
}

// TestAssignmentIsEvenWithoutLoads checks that models without any load, or without a known one, share the engines
// evenly.
func TestAssignmentIsEvenWithoutLoads(t *testing.T) {
	is := is.New(t)
	is.Equal(policy.AssignEngines(8, 6, make([]policy.StepLoad, 3)), []int{3, 3, 2})
	is.True(!policy.WorthReassigning([]int{3, 3, 2}, []int{2, 3, 3}, 6, make([]policy.StepLoad, 3), time.Second))
}

func BenchmarkAssignEngines(b *testing.B) {
	for _, engines := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			loads := make([]policy.StepLoad, 8)
			for i := range loads {
				loads[i] = policy.StepLoad{
					Work: time.Duration(20+10*i) * time.Second, Longest: 4 * time.Second, Interval: 4 * time.Second,
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				policy.AssignEngines(engines, 6, loads)
			}
		})
	}
}

// TestLateTrainerGetsMoreEngines compares two equal trainers of which one has lost three seconds to an outage. It must
// get some engines of the other, which must keep most of its own, since it would be the next to fall behind.
func TestLateTrainerGetsMoreEngines(t *testing.T) {
	is := is.New(t)
	load := policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: 4 * time.Second}
	late := load
	late.Behind = 3 * time.Second
	is.Equal(policy.AssignEngines(12, 8, []policy.StepLoad{load, load}), []int{6, 6})
	assigned := policy.AssignEngines(12, 8, []policy.StepLoad{load, late})
	is.True(assigned[1] > assigned[0])
	is.True(assigned[0] >= 4)

	// The number of engines wanted does not depend on lateness.
	is.Equal(policy.EnginesWanted(8, []policy.StepLoad{load, late}, 2, 100), policy.EnginesWanted(8, []policy.StepLoad{load, load}, 2, 100))
	is.Equal(policy.EnginesKept(8, []policy.StepLoad{load, late}, 100, 0), policy.EnginesKept(8, []policy.StepLoad{load, load}, 100, 0))
}
