package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawLoads draws what some models ask, from a tenth of a pool to more than it has.
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

// evenDeal deals engines so that numbers differ by one at most.
func evenDeal(engines, models int) []int {
	dealt := make([]int, models)
	for i := range engines {
		dealt[i%models]++
	}
	return dealt
}

// cheapest returns the least cost of all ways to deal engines, one at least to each model.
func cheapest(engines int, slots float64, loads []policy.StepLoad) float64 {
	dealt := make([]int, len(loads))
	least := -1.0
	var try func(model, left int)
	try = func(model, left int) {
		if model == len(loads)-1 {
			dealt[model] = left
			if cost := policy.DealCost(dealt, slots, loads); least < 0 || cost < least {
				least = cost
			}
			return
		}
		for count := 1; count <= left-(len(loads)-1-model); count++ {
			dealt[model] = count
			try(model+1, left-count)
		}
	}
	try(0, engines)
	return least
}

// TestDealIsTheCheapest checks on small pools that no other numbers cost less, and on any that the even ones don't.
func TestDealIsTheCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 4).Draw(t, "models")
		loads := drawLoads(t, models)
		slots := float64(rapid.IntRange(1, 12).Draw(t, "slots"))
		engines := rapid.IntRange(models, 14).Draw(t, "engines")
		dealt := policy.Deal(engines, slots, loads)
		total := 0
		for _, count := range dealt {
			if count < 1 {
				t.Fatalf("a model has no engine: %v", dealt)
			}
			total += count
		}
		if total != engines {
			t.Fatalf("%d engines dealt as %v", engines, dealt)
		}
		const rounding = 1 + 1e-9
		if least := cheapest(engines, slots, loads); policy.DealCost(dealt, slots, loads) > rounding*least {
			t.Fatalf("%v costs %v, the cheapest %v", dealt, policy.DealCost(dealt, slots, loads), least)
		}
		many := rapid.IntRange(models, 500).Draw(t, "many")
		if policy.DealCost(policy.Deal(many, slots, loads), slots, loads) > rounding*policy.DealCost(evenDeal(many, models), slots, loads) {
			t.Fatalf("the even deal of %d engines costs less", many)
		}
	})
}

// TestDealWithFewerEnginesThanModels checks that the most urgent and busiest models have them.
func TestDealWithFewerEnginesThanModels(t *testing.T) {
	is := is.New(t)
	loads := []policy.StepLoad{
		{Work: time.Second}, {Work: 3 * time.Second, Priority: 1}, {Work: 2 * time.Second}, {Work: 4 * time.Second, Priority: 1},
	}
	is.Equal(policy.Deal(3, 6, loads), []int{1, 0, 1, 1})
	is.Equal(policy.Deal(0, 6, loads), []int{0, 0, 0, 0})
}

// TestHeavyModelsHaveMoreEngines takes the models of a large pool as measured: the light ones must keep enough of them to keep
// up, the heavy ones must gain.
func TestHeavyModelsHaveMoreEngines(t *testing.T) {
	is := is.New(t)
	heavy := policy.StepLoad{Work: 100 * time.Second, Longest: 4500 * time.Millisecond, Interval: 4 * time.Second}
	light := policy.StepLoad{Work: 40 * time.Second, Longest: 2500 * time.Millisecond, Interval: 4 * time.Second}
	loads := []policy.StepLoad{heavy, heavy, heavy, heavy, heavy, light, light, light}
	const engines, slots = 77, 6
	dealt := policy.Deal(engines, slots, loads)
	even := evenDeal(engines, len(loads))
	for i, load := range loads {
		now, before := policy.StepTime(load, dealt[i], slots), policy.StepTime(load, even[i], slots)
		if load == heavy {
			is.True(now < before-300*time.Millisecond)
		} else {
			is.True(now < 6*time.Second)
		}
	}
	is.True(policy.WorthDealing(even, dealt, slots, loads, time.Second))
	is.True(!policy.WorthDealing(dealt, dealt, slots, loads, time.Second))

	// One engine from a heavy model to another gains nothing, whatever a load costs.
	other := append([]int(nil), dealt...)
	other[0]++
	other[1]--
	is.True(!policy.WorthDealing(other, dealt, slots, loads, time.Second))
}

// TestDealIsEvenWhereNothingIsKnown checks that models which ask nothing, or of which nothing is known, share evenly.
func TestDealIsEvenWhereNothingIsKnown(t *testing.T) {
	is := is.New(t)
	is.Equal(policy.Deal(8, 6, make([]policy.StepLoad, 3)), []int{3, 3, 2})
	is.True(!policy.WorthDealing([]int{3, 3, 2}, []int{2, 3, 3}, 6, make([]policy.StepLoad, 3), time.Second))
}

func BenchmarkDeal(b *testing.B) {
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
				policy.Deal(engines, 6, loads)
			}
		})
	}
}

// TestEnginesGoToTheTrainerThatIsBehind answers two equal trainers of which one has lost three seconds to an outage: it gets some engines
// of the other, and the other keeps most of its own, since it would be the next to fall behind.
func TestEnginesGoToTheTrainerThatIsBehind(t *testing.T) {
	is := is.New(t)
	load := policy.StepLoad{Work: 80 * time.Second, Longest: 4 * time.Second, Interval: 4 * time.Second}
	late := load
	late.Behind = 3 * time.Second
	is.Equal(policy.Deal(12, 8, []policy.StepLoad{load, load}), []int{6, 6})
	dealt := policy.Deal(12, 8, []policy.StepLoad{load, late})
	is.True(dealt[1] > dealt[0])
	is.True(dealt[0] >= 4)

	// How many engines there are to be is no matter of who is behind.
	is.Equal(policy.EnginesWanted(8, []policy.StepLoad{load, late}, 2, 100), policy.EnginesWanted(8, []policy.StepLoad{load, load}, 2, 100))
	is.Equal(policy.EnginesKept(8, []policy.StepLoad{load, late}, 100, 0), policy.EnginesKept(8, []policy.StepLoad{load, load}, 100, 0))
}
