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

// TestEnginesWantedAreTheFewest checks, over random loads, that the number lies within its bounds, that steps come near their shortest with
// it unless it is the most, that they don't with one less, and that twice the work never asks for fewer.
func TestEnginesWantedAreTheFewest(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	between := 0
	for range 300 {
		loads := randomLoads(random)
		least := len(loads) + random.Intn(40)
		most := least + random.Intn(60)
		wanted := policy.EnginesWanted(6, loads, least, most)
		if wanted < least || wanted > most {
			t.Fatalf("%d engines are wanted, of %d to %d", wanted, least, most)
		}
		if wanted > least && wanted < most {
			between++
			if one := policy.EnginesWanted(6, loads, least, wanted-1); one != wanted-1 {
				t.Fatalf("%d engines would do as well as %d", one, wanted)
			}
		}
		heavier := append([]policy.StepLoad(nil), loads...)
		for i := range heavier {
			heavier[i].Work *= 2
		}
		if more := policy.EnginesWanted(6, heavier, least, most); more < wanted {
			t.Fatalf("twice the work asks for %d engines, not %d", more, wanted)
		}
	}
	is.New(t).True(between > 20)
}

// TestFirstStepsAskForNoEndlessNumber checks that a step of which only the work is known, by its tokens, asks for as many engines as give its
// items places within a second, and not for all there are.
func TestFirstStepsAskForNoEndlessNumber(t *testing.T) {
	is := is.New(t)
	first := []policy.StepLoad{{Work: 240 * time.Second}, {Work: 120 * time.Second}}
	wanted := policy.EnginesWanted(6, first, 2, 3000)
	is.True(wanted >= 60 && wanted <= 80)
	is.Equal(policy.EnginesKept(6, first, 3000, 0), wanted)
	is.Equal(policy.EnginesWanted(6, first, 2, 35), 35)
}

func TestNothingToDoWantsNoFurtherEngines(t *testing.T) {
	is := is.New(t)
	is.Equal(policy.EnginesWanted(6, nil, 12, 72), 12)
	is.Equal(policy.EnginesWanted(6, []policy.StepLoad{{}, {Longest: time.Second}}, 12, 72), 12)
}

// TestEnginesKept checks that all engines are kept while nothing is known, as many as steps need afterwards, and that the number does not
// follow each change of that.
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
		name         string
		wanted, most int
		zones        []policy.ZoneEngines
		want         []int
	}{
		{"enough", 20, 24, []policy.ZoneEngines{zone("a", 12, 0, 1, false), zone("b", 12, 0, 1, false)}, []int{0, 0}},
		{"evenly, the cheapest first", 29, 24, []policy.ZoneEngines{zone("a", 12, 0, 1.2, false), zone("b", 12, 0, 0.8, false)}, []int{2, 3}},
		{"a full zone", 40, 24, []policy.ZoneEngines{zone("a", 22, 0, 1, false), zone("b", 10, 0, 1, false)}, []int{2, 6}},
		{"all full", 99, 24, []policy.ZoneEngines{zone("a", 22, 0, 1, false), zone("b", 10, 0, 1, false)}, []int{2, 14}},
		{"a zone without more", 32, 24, []policy.ZoneEngines{zone("a", 12, 1, 1, true), zone("b", 12, 1, 1, false)}, []int{1, 7}},
		{"a few needless stay", 30, 24, []policy.ZoneEngines{zone("a", 12, 5, 1, false), zone("b", 12, 5, 1, false)}, []int{5, 5}},
		{"many needless go", 24, 24, []policy.ZoneEngines{zone("a", 12, 6, 1, false), zone("b", 12, 6, 1, false)}, []int{0, 0}},
		{"regular ones over the most", 99, 10, []policy.ZoneEngines{zone("a", 12, 0, 1, false)}, []int{0}},
		{"no zone", 5, 10, nil, []int{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(policy.ScaleOrders(test.wanted, test.most, test.zones), test.want)
		})
	}
}
