package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAwaitSlotReturnsAfterBurstHeadroomExpires guards against an assignment that waits forever for a slot kept as
// headroom after a burst of requests: the headroom expires without any other event at the engine.
func TestAwaitSlotReturnsAfterBurstHeadroomExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newSlotTable(func(string, int) {})
		table.configure([]workloadSettings{{name: "train"}, {name: "search", share: 1, interactive: true}}, 0)
		table.setSlots(1)
		_, err := table.enqueue("search", 0)
		is.NoErr(err)
		table.finishRequest("search", time.Millisecond)
		began := time.Now()
		is.True(table.awaitSlot(t.Context(), "train"))
		waited := time.Since(began)
		is.True(waited >= peakWindow && waited <= 2*peakWindow+awaitRetryInterval)
	})
}

// TestSlotTableNeverOvercommits applies random operations and checks the slot counts after each.
func TestSlotTableNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 5
		running := map[string]int{}
		marked := map[string]int{}
		table := newSlotTable(nil)
		table.preempt = func(workload string, count int) {
			found := min(count, running[workload]-marked[workload])
			marked[workload] += found
			table.withdrawPreemption(workload, count-found)
		}
		table.configure([]workloadSettings{
			{name: "a", share: 0.4}, {name: "b", share: 0.3}, {name: "s", share: 0.3, interactive: true},
		}, 0.3)
		table.setSlots(slots)
		var entries []*queueEntry
		sampler := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"backlog": func(t *rapid.T) { table.setBacklog(sampler.Draw(t, "w"), 0, 1, rapid.IntRange(0, 9).Draw(t, "n")) },
			"pull": func(t *rapid.T) {
				workload := sampler.Draw(t, "w")
				running[workload] += table.reserve(workload, rapid.IntRange(0, 9).Draw(t, "n"))
			},
			"end": func(t *rapid.T) {
				workload := sampler.Draw(t, "w")
				if running[workload] == 0 {
					t.Skip()
				}
				preempted := marked[workload] > 0
				running[workload]--
				if preempted {
					marked[workload]--
				}
				table.release(workload, 1, preempted)
			},
			"request": func(t *rapid.T) {
				if entry, err := table.enqueue("s", 0); err == nil {
					entries = append(entries, entry)
				}
			},
			"leave": func(t *rapid.T) {
				if len(entries) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "i")
				if broadcast.Closed(entries[i].granted) {
					table.finishRequest("s", time.Second)
				} else {
					table.abandon(entries[i])
				}
				entries = append(entries[:i:i], entries[i+1:]...)
			},
			"": func(t *rapid.T) {
				granted := 0
				for _, entry := range entries {
					if broadcast.Closed(entry.granted) {
						granted++
					}
				}
				held := granted + running["a"] + running["b"]
				if held > slots {
					t.Fatalf("%d slots are held", held)
				}
				inFlight, _ := table.counts()
				if inFlight != held+len(entries)-granted {
					t.Fatalf("the table counts %d streams in flight, %d slots are held", inFlight, held)
				}
				for _, workload := range []string{"a", "b"} {
					if table.workloads[workload].preempting != marked[workload] {
						t.Fatalf("preempting %d, want %d", table.workloads[workload].preempting, marked[workload])
					}
				}
				if granted < len(entries) && granted < 2 && marked["a"]+marked["b"] == 0 && held == slots {
					t.Fatalf("requests wait for lent slots and no stream is being preempted")
				}
			},
		})
	})
}

func TestBurstHeadroomExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newSlotTable(func(string, int) {})
		table.configure([]workloadSettings{{name: "a", share: 0.5}, {name: "s", share: 0.5, interactive: true}}, 0)
		table.setSlots(4)
		table.setBacklog("a", 0, 1, 100)
		first, err := table.enqueue("s", 0)
		is.NoErr(err)
		is.True(broadcast.Closed(first.granted))
		table.finishRequest("s", time.Second)
		is.Equal(table.reserve("a", 100), 3) // one slot stays free for the next request
		time.Sleep(2*peakWindow + time.Second)
		is.Equal(table.reserve("a", 100), 1)
	})
}

// TestSingleSlotServesAllWorkloads has two interactive workloads queue requests continuously for an engine's only slot
// and checks that neither is starved.
func TestSingleSlotServesAllWorkloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newSlotTable(func(string, int) {})
		table.configure([]workloadSettings{
			{name: "many", share: 0.2, interactive: true}, {name: "few", share: 0.1, interactive: true},
		}, 0)
		table.setSlots(1)
		served := map[string]int{}
		queues := map[string][]*queueEntry{}
		for range 300 {
			for _, name := range []string{"many", "few"} {
				for len(queues[name]) < 3 {
					entry, err := table.enqueue(name, 0)
					is.NoErr(err)
					queues[name] = append(queues[name], entry)
				}
			}
			for name, queue := range queues {
				if broadcast.Closed(queue[0].granted) {
					time.Sleep(time.Second)
					served[name]++
					queues[name] = queue[1:]
					table.finishRequest(name, time.Second)
					break
				}
			}
		}
		is.True(served["few"] >= 60) // its share of the grants is 100
		is.True(served["many"] >= 120)
	})
}
