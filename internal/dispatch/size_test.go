package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/membership"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/policy"
)

// Sizes for which the system is designed.
const (
	designNodes   = 410
	designEngines = 900
)

// countingLedger counts the requests and responses of a LedgerCaller and their bytes.
type countingLedger struct {
	LedgerCaller
	bytes    atomic.Int64
	messages atomic.Int64
}

func (c *countingLedger) CallOwner(ctx context.Context, key string, preference placement.Preference, method string, request, response peer.Message, idempotent bool) error {
	c.count(request)
	err := c.LedgerCaller.CallOwner(ctx, key, preference, method, request, response, idempotent)
	c.count(response)
	return err
}

func (c *countingLedger) count(counted peer.Message) {
	encoded, _ := counted.MarshalMsg(nil)
	c.bytes.Add(int64(len(encoded)))
	c.messages.Add(1)
}

// TestControlTrafficPerEngine limits the control traffic, which excludes tokens, of two engines: one node's part at the
// design size.
func TestControlTrafficPerEngine(t *testing.T) {
	for name, busy := range map[string]bool{"idle": false, "busy": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				configs := engineConfigs(2, nil)
				for i := range configs {
					configs[i].Weights = nil
					configs[i].Slots = 16
				}
				h := newHarness(t, bundleOf(training("a", 0.3), training("b", 0.3), training("c", 0.2), interactive("s", 0.2)))
				counted := &countingLedger{LedgerCaller: h.fakeLedger}
				h.config.Ledger = counted
				h.addEngines(configs...)
				if busy {
					h.add("a", 16, 100000, 0)
					h.add("b", 16, 100000, 0)
				}
				time.Sleep(time.Minute)
				bytes, messages, status := counted.bytes.Load(), counted.messages.Load(), h.Counters().StatusReads.Load()
				const minutes = 10
				time.Sleep(minutes * time.Minute)
				perSecond := func(count int64) float64 { return float64(count) / (minutes * 60) }
				bytesPerSecond := perSecond(counted.bytes.Load() - bytes)
				messagesPerSecond := perSecond(counted.messages.Load() - messages)
				statusPerSecond := perSecond(int64(h.Counters().StatusReads.Load() - status))
				t.Logf("%s: %.0f bytes/s, %.2f messages/s with step ledgers, %.2f status reads/s",
					name, bytesPerSecond, messagesPerSecond, statusPerSecond)
				limit := 100.0
				if busy {
					limit = 3000
				}
				is.True(bytesPerSecond < limit)
				is.True(statusPerSecond <= 1.1)
			})
		})
	}
}

// memberSource is a fixed membership of the design size.
type memberSource []membership.Member

func (m memberSource) Members() []membership.Member { return m }
func (m memberSource) Changed() <-chan struct{}     { return nil }

// BenchmarkReconcile computes the placement of all engines once, as each node does after a membership change.
func BenchmarkReconcile(b *testing.B) {
	var members memberSource
	for i := range designNodes {
		members = append(members, membership.Member{
			Node: fmt.Sprint("node-", i), Zone: fmt.Sprint("zone-", i%9), Region: fmt.Sprint("region-", i%3),
			State: membership.StateAlive,
		})
	}
	list := &fakeList{}
	for i := range designEngines {
		list.machines = append(list.machines, platform.Machine{
			ID: fmt.Sprint("engine-", i), Kind: platform.MachineEngine, Zone: fmt.Sprint("zone-", i%9), Region: fmt.Sprint("region-", i%3),
		})
	}
	placer := placement.NewRendezvous(placement.Member{Node: "node-0"}, members)
	b.ReportAllocs()
	for b.Loop() {
		for _, machine := range list.machines {
			placer.Owner(EngineKey(machine.ID), preferenceOf(machine))
		}
	}
}

// BenchmarkPickEngine picks one of the design size's engines.
func BenchmarkPickEngine(b *testing.B) {
	snapshot := policy.Snapshot{Zone: "zone-0", Region: "region-0"}
	for i := range designEngines {
		snapshot.Engines = append(snapshot.Engines, policy.EngineState{
			ID: fmt.Sprint("engine-", i), Pool: "p", Zone: fmt.Sprint("zone-", i%9), Region: fmt.Sprint("region-", i%3), Slots: 16,
			Served: map[string]uint64{"m": 5}, InFlight: i % 16,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		policy.PickEngine(snapshot, policy.Request{Model: "m", Pools: []string{"p"}, PrefixHash: 42})
	}
}

// BenchmarkSlotTable admits and finishes one request at an engine with six workloads.
func BenchmarkSlotTable(b *testing.B) {
	table := newSlotTable(func(string, int) {})
	settings := []workloadSettings{{name: "s", share: 0.2, interactive: true}}
	for i := range 5 {
		settings = append(settings, workloadSettings{name: fmt.Sprint("w", i), share: 0.16})
	}
	table.configure(settings, 0.5)
	table.setSlots(16)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.enqueue("s", time.Second); err != nil {
			b.Fatal(err)
		}
		table.finishRequest("s", time.Second)
	}
}
