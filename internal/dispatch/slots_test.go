package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAwaitOutlastsABurstOfRequests: the slots kept free after a burst are lent again when it is forgotten, though nothing
// else happens at the engine.
func TestAwaitOutlastsABurstOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newSlotTable(func(string, int) {})
		table.configure([]workloadSettings{{name: "train"}, {name: "search", share: 1, interactive: true}}, 0)
		table.setSlots(1)
		_, err := table.enqueue("search", 0)
		is.NoErr(err)
		table.finish("search", time.Millisecond)
		began := time.Now()
		is.True(table.await(t.Context(), "train"))
		waited := time.Since(began)
		is.True(waited >= peakWindow && waited <= 2*peakWindow+awaitAgain)
	})
}

// TestSlotTableNeverGivesMoreThanThereAre does things at random and checks the books after each.
func TestSlotTableNeverGivesMoreThanThereAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 5
		running := map[string]int{}
		condemned := map[string]int{}
		table := newSlotTable(nil)
		table.preempt = func(workload string, count int) {
			found := min(count, running[workload]-condemned[workload])
			condemned[workload] += found
			table.notPreempted(workload, count-found)
		}
		table.configure([]workloadSettings{
			{name: "a", share: 0.4}, {name: "b", share: 0.3}, {name: "s", share: 0.3, interactive: true},
		}, 0.3)
		table.setSlots(slots)
		var tickets []*ticket
		trainers := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"backlog": func(t *rapid.T) { table.setBacklog(trainers.Draw(t, "w"), 0, 1, rapid.IntRange(0, 9).Draw(t, "n")) },
			"pull": func(t *rapid.T) {
				workload := trainers.Draw(t, "w")
				running[workload] += table.reserve(workload, rapid.IntRange(0, 9).Draw(t, "n"))
			},
			"end": func(t *rapid.T) {
				workload := trainers.Draw(t, "w")
				if running[workload] == 0 {
					t.Skip()
				}
				preempted := condemned[workload] > 0
				running[workload]--
				if preempted {
					condemned[workload]--
				}
				table.release(workload, 1, preempted)
			},
			"request": func(t *rapid.T) {
				if admitted, err := table.enqueue("s", 0); err == nil {
					tickets = append(tickets, admitted)
				}
			},
			"leave": func(t *rapid.T) {
				if len(tickets) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(tickets)-1).Draw(t, "i")
				if broadcast.Closed(tickets[i].granted) {
					table.finish("s", time.Second)
				} else {
					table.abandon(tickets[i])
				}
				tickets = append(tickets[:i:i], tickets[i+1:]...)
			},
			"": func(t *rapid.T) {
				granted := 0
				for _, admitted := range tickets {
					if broadcast.Closed(admitted.granted) {
						granted++
					}
				}
				held := granted + running["a"] + running["b"]
				if held > slots {
					t.Fatalf("%d slots are held", held)
				}
				inFlight, _ := table.counts()
				if inFlight != held+len(tickets)-granted {
					t.Fatalf("the table counts %d, held are %d", inFlight, held)
				}
				for _, workload := range []string{"a", "b"} {
					if table.workloads[workload].preempting != condemned[workload] {
						t.Fatalf("preempting %d, condemned %d", table.workloads[workload].preempting, condemned[workload])
					}
				}
				if granted < len(tickets) && granted < 2 && condemned["a"]+condemned["b"] == 0 && held == slots {
					t.Fatalf("requests wait behind borrowed slots and nobody gives way")
				}
			},
		})
	})
}

func TestBurstsKeepHeadroomForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newSlotTable(func(string, int) {})
		table.configure([]workloadSettings{{name: "a", share: 0.5}, {name: "s", share: 0.5, interactive: true}}, 0)
		table.setSlots(4)
		table.setBacklog("a", 0, 1, 100)
		first, err := table.enqueue("s", 0)
		is.NoErr(err)
		is.True(broadcast.Closed(first.granted))
		table.finish("s", time.Second)
		is.Equal(table.reserve("a", 100), 3) // one slot stays free for the next request
		time.Sleep(2*peakWindow + time.Second)
		is.Equal(table.reserve("a", 100), 1)
	})
}

// TestOneSlotGoesRound lets two interactive workloads ask without end for the only slot of an engine.
func TestOneSlotGoesRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newSlotTable(func(string, int) {})
		table.configure([]workloadSettings{
			{name: "many", share: 0.2, interactive: true}, {name: "few", share: 0.1, interactive: true},
		}, 0)
		table.setSlots(1)
		served := map[string]int{}
		queues := map[string][]*ticket{}
		for range 300 {
			for _, name := range []string{"many", "few"} {
				for len(queues[name]) < 3 {
					admitted, err := table.enqueue(name, 0)
					is.NoErr(err)
					queues[name] = append(queues[name], admitted)
				}
			}
			for name, queue := range queues {
				if broadcast.Closed(queue[0].granted) {
					time.Sleep(time.Second)
					served[name]++
					queues[name] = queue[1:]
					table.finish(name, time.Second)
					break
				}
			}
		}
		is.True(served["few"] >= 60) // its part by share is 100
		is.True(served["many"] >= 120)
	})
}
