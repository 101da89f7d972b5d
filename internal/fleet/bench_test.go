package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAssignItems assigns slots to the items of a step in pools of different sizes, as for a job that starts.
func BenchmarkAssignItems(b *testing.B) {
	const items = 160
	for _, engines := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := NewDirectory()
			assigned := make(map[string]string)
			for i := range engines {
				id := fmt.Sprint("engine-", i)
				d.Upsert(Engine{ID: id, Pool: "p", Zone: fmt.Sprint("zone-", i%9), Slots: 16, Versions: map[string]int64{"m0": 5}})
				d.RecordGap(id, time.Duration(20+i%7)*time.Millisecond)
				assigned[id] = fmt.Sprint("m", i%8)
			}
			d.SetAssignedModels("p", assigned)
			wants := make([]Want, items)
			for i := range wants {
				wants[i] = Want{Pool: "p", Model: "m0", MinVersion: 5, Zone: "zone-0", Affinity: fmt.Sprint(i / 8), Share: 1, Events: 40}
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, engine := range d.Assign(wants) {
					d.Release(engine.ID)
				}
			}
		})
	}
}

// BenchmarkAcquire chooses an engine for one request in pools of different sizes.
func BenchmarkAcquire(b *testing.B) {
	for _, engines := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := NewDirectory()
			for i := range engines {
				d.Upsert(Engine{ID: fmt.Sprint("engine-", i), Pool: "p", Zone: fmt.Sprint("zone-", i%9), Slots: 16})
			}
			b.ReportAllocs()
			for b.Loop() {
				engine, _ := d.Acquire(Want{Pool: "p", Zone: "zone-0"})
				d.Release(engine.ID)
			}
		})
	}
}
