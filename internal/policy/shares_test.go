package policy

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAllocate(t *testing.T) {
	train := func(name string, share float64, running, waiting int) Demand {
		return Demand{Workload: name, Share: share, Running: running, Waiting: waiting}
	}
	search := func(share float64, running, waiting int) Demand {
		return Demand{Workload: "search", Interactive: true, Share: share, Running: running, Waiting: waiting}
	}
	cases := []struct {
		name     string
		demands  []Demand
		targets  []int
		preempts []int
	}{
		{"idle capacity is lent", []Demand{train("a", .5, 0, 99), train("b", .5, 0, 0)}, []int{8, 0}, []int{0, 0}},
		{"both busy get their shares", []Demand{train("a", .5, 0, 9), train("b", .5, 0, 9000)}, []int{4, 4}, []int{0, 0}},
		{"a guarantee is reclaimed", []Demand{train("a", .5, 8, 99), train("b", .5, 0, 2)}, []int{6, 2}, []int{2, 0}},
		{"free slots go first", []Demand{train("a", .5, 6, 99), train("b", .5, 0, 2)}, []int{6, 2}, []int{0, 0}},
		{"interactive borrows from training", []Demand{train("a", .5, 8, 9), search(.25, 0, 5)}, []int{4, 4}, []int{4, 0}},
		{"many requests leave the guarantee intact", []Demand{train("a", .75, 6, 9), search(.25, 2, 90)}, []int{6, 2}, []int{0, 0}},
		{"headroom is not lent", []Demand{train("a", .5, 8, 99), {Workload: "s", Interactive: true, Share: .25, Headroom: 2}}, []int{6, 2}, []int{0, 0}},
		{"expected requests do not delay present ones", []Demand{{Workload: "s", Interactive: true, Headroom: 9}, search(0, 0, 8)}, []int{0, 8}, []int{0, 0}},
		{"the workload with less recent use goes first", []Demand{{Workload: "s", Interactive: true, Share: .01, Waiting: 9, Used: 8}, search(.01, 0, 9)}, []int{0, 8}, []int{0, 0}},
		{"a workload without a share still borrows", []Demand{train("a", 0, 0, 3), train("b", .5, 0, 2)}, []int{3, 2}, []int{0, 0}},
		{"binary fractions lose no slot", []Demand{train("a", .1, 0, 9), train("b", .2, 0, 9), search(.7, 0, 0)}, []int{3, 5, 0}, []int{0, 0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for i, allocation := range Allocate(8, 0.4, c.demands) {
				is.Equal(allocation.Target, c.targets[i])
				is.Equal(allocation.Preempt, c.preempts[i])
			}
		})
	}
}

func TestAllocateRoundsFairlyOverEngines(t *testing.T) {
	is := is.New(t)
	demands := []Demand{{Workload: "a", Share: 0.3, Waiting: 9}, {Workload: "b", Share: 0.7, Waiting: 9}}
	const slots = 2
	got := 0
	for rank := range 200 {
		got += Allocate(slots, ShareOffset(rank), demands)[0].Target
		exact := 0.3 * slots * float64(rank+1)
		is.True(math.Abs(float64(got)-exact) < 2) // within two slots over pools of any size
	}
}

func TestWholeSharesUseAllSlots(t *testing.T) {
	is := is.New(t)
	for rank := range 50 {
		for slots := range 65 {
			guaranteed := 0
			for _, allocation := range Allocate(slots, ShareOffset(rank), []Demand{{Share: 0.2}, {Share: 0.7}, {Share: 0.1}}) {
				guaranteed += allocation.Guaranteed
			}
			is.Equal(guaranteed, slots) // binary fractions lose no slot
		}
		over := Allocate(10, ShareOffset(rank), []Demand{{Share: 0.9, Waiting: 99}, {Share: 0.9, Waiting: 99}})
		is.Equal(over[0].Guaranteed+over[1].Guaranteed, 10) // shares that add up to more than 1 add no slots
	}
}

func TestAllocateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 20).Draw(t, "slots")
		offset := rapid.Float64Range(0, 0.999).Draw(t, "offset")
		left := 1.0
		var demands []Demand
		for i := range rapid.IntRange(0, 6).Draw(t, "workloads") {
			share := rapid.Float64Range(0, left).Draw(t, "share")
			left -= share
			demands = append(demands, Demand{
				Workload: fmt.Sprint(i), Share: share, Interactive: rapid.Bool().Draw(t, "interactive"),
				Running: rapid.IntRange(0, 8).Draw(t, "running"), Waiting: rapid.IntRange(0, 30).Draw(t, "waiting"),
				Headroom: rapid.IntRange(0, 3).Draw(t, "headroom"),
			})
		}
		targets, demanded := 0, 0
		for i, allocation := range Allocate(slots, offset, demands) {
			demand := demands[i]
			targets += allocation.Target
			demanded += demand.total()
			exact := demand.Share * float64(slots)
			if math.Abs(float64(allocation.Guaranteed)-exact) >= 1.0001 {
				t.Fatalf("guarantee %d is not within one of %g", allocation.Guaranteed, exact)
			}
			if allocation.Target < min(allocation.Guaranteed, demand.total()) || allocation.Target > demand.total() {
				t.Fatalf("target %d of %+v", allocation.Target, demand)
			}
			if allocation.Preempt > 0 && (demand.Interactive || demand.Running-allocation.Preempt < allocation.Target) {
				t.Fatalf("preempts %d of %+v, target %d", allocation.Preempt, demand, allocation.Target)
			}
		}
		if targets != min(slots, demanded) {
			t.Fatalf("targets add up to %d of %d slots, %d demanded", targets, slots, demanded)
		}
	})
}
