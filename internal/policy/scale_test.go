package policy_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

func randomLoads(random *rand.Rand) []policy.StepLoad {
	loads := make([]policy.StepLoad, 1+random.Intn(5))
	for i := range loads {
		loads[i] = policy.StepLoad{
			Work: time.Duration(random.Intn(300)) * time.Second, Longest: time.Duration(1+random.Intn(6000)) * time.Millisecond,
			Interval: 4 * time.Second, Priority: random.Intn(3),
		}
	}
	return loads
}

// TestEnginesWantedIsMinimal checks, over random loads, that the number lies within its bounds, that one engine less
// does not suffice unless the number is a bound, and that twice the load never needs fewer engines.
func TestEnginesWantedIsMinimal(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	unclamped := 0
	for range 300 {
		loads := randomLoads(random)
		lower := len(loads) + random.Intn(40)
		upper := lower + random.Intn(60)
		wanted := policy.EnginesWanted(6, loads, lower, upper)
		if wanted < lower || wanted > upper {
			t.Fatalf("%d engines are wanted, of %d to %d", wanted, lower, upper)
		}
		if wanted > lower && wanted < upper {
			unclamped++
			if fewer := policy.EnginesWanted(6, loads, lower, wanted-1); fewer != wanted-1 {
				t.Fatalf("%d engines suffice, but %d are wanted", fewer, wanted)
			}
		}
		heavier := append([]policy.StepLoad(nil), loads...)
		for i := range heavier {
			heavier[i].Work *= 2
		}
		if doubled := policy.EnginesWanted(6, heavier, lower, upper); doubled < wanted {
			t.Fatalf("twice the work wants %d engines, fewer than %d", doubled, wanted)
		}
	}
	is.New(t).True(unclamped > 20)
}

// TestUnmeasuredStepsWantBoundedEngines checks that a step of which only the tokens are known wants as many engines as
// give its items slots within a second, and not all there are.
func TestUnmeasuredStepsWantBoundedEngines(t *testing.T) {
	is := is.New(t)
	first := []policy.StepLoad{{Work: 240 * time.Second}, {Work: 120 * time.Second}}
	wanted := policy.EnginesWanted(6, first, 2, 3000)
	is.True(wanted >= 60 && wanted <= 80)
	is.Equal(policy.EnginesKept(6, first, 3000, 0), wanted)
	is.Equal(policy.EnginesWanted(6, first, 2, 35), 35)
}

func TestNoLoadWantsMinimum(t *testing.T) {
	is := is.New(t)
	is.Equal(policy.EnginesWanted(6, nil, 12, 72), 12)
	is.Equal(policy.EnginesWanted(6, []policy.StepLoad{{}, {Longest: time.Second}}, 12, 72), 12)
}

// TestEnginesKept checks that all engines are kept while no load is known, as many as steps need afterwards, and that
// the number does not follow each small change of that need.
func TestEnginesKept(t *testing.T) {
	is := is.New(t)
	light := []policy.StepLoad{{Work: 20 * time.Second, Longest: 4 * time.Second, Interval: 4 * time.Second}}
	is.Equal(policy.EnginesKept(6, nil, 300, 0), 300)
	is.Equal(policy.EnginesKept(6, []policy.StepLoad{{}, {}}, 300, 40), 300)
	kept := policy.EnginesKept(6, light, 300, 0)
	is.True(kept > 5 && kept < 30)
	is.Equal(policy.EnginesKept(6, light, 300, 300), kept)
	is.Equal(policy.EnginesKept(6, light, 300, kept+1), kept+1)
	is.Equal(policy.EnginesKept(6, light, 300, kept-1), kept)
	is.Equal(policy.EnginesKept(6, light, 4, kept), 4)
	alone := policy.StepTime(light[0], 1<<20, 6)
	is.True(policy.StepTime(light[0], kept, 6) <= alone*11/10)
	is.True(policy.StepTime(light[0], kept-1, 6) > alone*11/10)
}

func TestScaleOrders(t *testing.T) {
	zone := func(name string, regular, preemptible int, price float64, refused bool) policy.ZoneEngines {
		return policy.ZoneEngines{Zone: name, Regular: regular, Preemptible: preemptible, Price: price, Refused: refused}
	}
	tests := []struct {
		name              string
		wanted, zoneLimit int
		zones             []policy.ZoneEngines
		want              []int
	}{
		{"enough regular engines", 20, 24, []policy.ZoneEngines{zone("a", 12, 0, 1, false), zone("b", 12, 0, 1, false)}, []int{0, 0}},
		{"even distribution, cheapest zone first", 29, 24, []policy.ZoneEngines{zone("a", 12, 0, 1.2, false), zone("b", 12, 0, 0.8, false)}, []int{2, 3}},
		{"a full zone", 40, 24, []policy.ZoneEngines{zone("a", 22, 0, 1, false), zone("b", 10, 0, 1, false)}, []int{2, 6}},
		{"all zones full", 99, 24, []policy.ZoneEngines{zone("a", 22, 0, 1, false), zone("b", 10, 0, 1, false)}, []int{2, 14}},
		{"a zone without further engines", 32, 24, []policy.ZoneEngines{zone("a", 12, 1, 1, true), zone("b", 12, 1, 1, false)}, []int{1, 7}},
		{"a small surplus is kept", 30, 24, []policy.ZoneEngines{zone("a", 12, 5, 1, false), zone("b", 12, 5, 1, false)}, []int{5, 5}},
		{"a large surplus is released", 24, 24, []policy.ZoneEngines{zone("a", 12, 6, 1, false), zone("b", 12, 6, 1, false)}, []int{0, 0}},
		{"regular engines above the limit", 99, 10, []policy.ZoneEngines{zone("a", 12, 0, 1, false)}, []int{0}},
		{"no zone", 5, 10, nil, []int{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(policy.ScaleOrders(test.wanted, test.zoneLimit, test.zones), test.want)
		})
	}
}
