package jobs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
)

// withDeadline gives jobs a route with a run deadline; reads of jobs without one are not held.
func withDeadline(config *jobs.Config) {
	config.Catalog = catalog.NewHolder()
	config.Catalog.Set(catalog.New(1, []catalog.Route{{Host: "h", Prefix: "/p", RunDeadline: 7500 * time.Millisecond}}, nil, catalog.Limits{}))
}

// step returns a job whose trainer waits for groups.
func step(id string) job.Spec {
	step := job.Spec{ID: id, Host: "h", Model: "m", Desired: 1}
	for item := range 20 {
		step.Items = append(step.Items, job.Item{ID: fmt.Sprint(item), Path: "/p"})
	}
	return step
}

// TestHeldRead lists a second result 200 ms after a read began. It guards against a complete step that the trainer learns of with its next
// read only, and against a hold where the caller needs what is there: without a wait time, near the run deadline, after the end of the
// job, and for longer than a read interval where the owner marks no result.
func TestHeldRead(t *testing.T) {
	const ms, lag = time.Millisecond, 30 * time.Millisecond
	for name, test := range map[string]struct {
		age, wait, took time.Duration
		marked, ended   bool
		results         int
	}{
		"marked":       {0, time.Second, 200 * ms, true, false, 2},
		"never marked": {0, time.Second, 450 * ms, false, false, 2},
		"no wait time": {0, 0, 0, true, false, 1},
		"deadline":     {7400 * ms, time.Second, 0, true, false, 1},
		"job ends":     {0, time.Second, 100 * ms, true, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				node := newNodeWithConfig(t, store.For("node"), withDeadline)
				node.service.Submit(t.Context(), step("one"))
				list(t, store, "one", 0, job.Result{})
				time.Sleep(test.age)
				time.AfterFunc(200*ms, func() { list(t, store, "one", 1, job.Result{CompletesStep: test.marked}) })
				if test.ended {
					time.AfterFunc(100*ms, func() { node.service.End(t.Context(), "one") })
				}
				started := time.Now()
				listing, outcome := node.service.Results(t.Context(), "one", 0, test.wait)
				if took := time.Since(started); outcome != jobs.Done || listing.Next != test.results || took < test.took || took > test.took+lag {
					t.Errorf("%v, %d results after %v", outcome, listing.Next, took)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestTrainerLearnsOfCompleteStep has a trainer read every 0.5 s by start of read, each time at another node. A result comes every 70 ms; one
// completes the step, at 50 times between two reads. Where a read ends with its first result, the step waits a quarter of a second for the next.
func TestTrainerLearnsOfCompleteStep(t *testing.T) {
	const phases, interval, results = 50, 500 * time.Millisecond, 10
	soon := make(map[bool]int)
	for _, held := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memorylog.New(memorylog.Config{Partitions: partitions, Delay: 4 * time.Millisecond})
			var nodes [3]*node
			for i := range nodes {
				nodes[i] = newNodeWithConfig(t, store.For(fmt.Sprint(i)), func(config *jobs.Config) {
					if held {
						withDeadline(config)
					}
				})
			}
			for phase := range phases {
				id, completed := fmt.Sprint("step", phase), time.Time{}
				nodes[0].service.Submit(t.Context(), step(id))
				go func() {
					time.Sleep(time.Duration(phase) * interval / phases)
					for position := range results {
						time.Sleep(70 * time.Millisecond)
						completed = time.Now()
						list(t, store, id, position, job.Result{CompletesStep: position == results-1})
					}
				}()
				for read, position := 0, 0; position < results; read++ {
					next := time.After(interval)
					listing, _ := nodes[read%len(nodes)].service.Results(t.Context(), id, position, time.Second)
					if position = listing.Next; position < results {
						<-next
					}
				}
				if time.Since(completed) <= 100*time.Millisecond {
					soon[held]++
				}
			}
		})
	}
	if t.Logf("learned within 100 ms: %v of %d", soon, phases); soon[true] < phases*9/10 || soon[false] > phases/2 {
		t.Errorf("within 100 ms the trainer learned of %d steps, without the hold of %d", soon[true], soon[false])
	}
}
