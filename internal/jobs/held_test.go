package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
)

// withRunDeadline gives jobs a route with a run deadline of 7.5 s; without one, reads are not held.
func withRunDeadline(config *jobs.Config) {
	config.Catalog = catalog.NewHolder()
	config.Catalog.Set(catalog.New(1, []catalog.Route{
		{Name: "jobs", Host: "h", Prefix: "/p", Kind: catalog.KindJobs, RunDeadline: 7500 * time.Millisecond},
	}, nil, catalog.Limits{}))
}

// stepOf returns a job whose trainer waits for groups.
func stepOf(id string, items int) job.Spec {
	step := job.Spec{ID: id, Host: "h", Model: "m", Desired: 1}
	for item := range items {
		step.Items = append(step.Items, job.Item{ID: fmt.Sprint(id, item), Path: "/p"})
	}
	return step
}

func listStepResult(t *testing.T, store *memorylog.Store, step job.Spec, position int, completes bool) {
	records, err := job.EncodeResult(step.ID, position, job.Result{ItemID: step.Items[position].ID, CompletesStep: completes}, 300)
	if err == nil {
		_, err = store.For("owner").Append(context.Background(), job.PartitionOf(step, partitions, nil), records, nil)
	}
	if err != nil {
		t.Error(err)
	}
}

// TestHeldRead reads a step of which one result is listed, and lists another one 200 ms later. It guards against a complete step that
// the trainer learns of with its next read, and against reads that are held where that delays results that the caller needs now: without
// a wait time, near or past the run deadline, after the end of the job, or for longer than a read interval if the owner marks no result.
func TestHeldRead(t *testing.T) {
	const listed, maxLag = 200 * time.Millisecond, 30 * time.Millisecond
	for name, test := range map[string]struct {
		wait, age     time.Duration
		marked, ended bool
		took          time.Duration
	}{
		"marked":                 {wait: time.Second, marked: true, took: listed},
		"never marked":           {wait: time.Second, took: 450 * time.Millisecond},
		"short wait":             {wait: 300 * time.Millisecond, took: 300 * time.Millisecond},
		"no wait":                {marked: true},
		"near the run deadline":  {wait: time.Second, age: 7400 * time.Millisecond, marked: true},
		"after the run deadline": {wait: time.Second, age: 8 * time.Second, marked: true},
		"job ends":               {wait: time.Second, ended: true, took: listed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, step := newStore(), stepOf("step", 5)
				node := newNodeWithConfig(t, store.For("node"), withRunDeadline)
				node.service.Submit(t.Context(), step)
				listStepResult(t, store, step, 0, false)
				time.Sleep(test.age)
				time.AfterFunc(listed, func() {
					listStepResult(t, store, step, 1, test.marked)
					if test.ended {
						node.service.End(t.Context(), step.ID)
					}
				})
				started := time.Now()
				listing, outcome := node.service.Results(t.Context(), step.ID, 0, test.wait)
				took, want := time.Since(started), 1
				if test.took > listed || test.marked && test.took > 0 {
					want = 2
				}
				if outcome != jobs.Done || took < test.took || took > test.took+maxLag || listing.Next < want {
					t.Errorf("%v with %d results after %v, want %d after %v", outcome, listing.Next, took, want, test.took)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestTrainerLearnsOfCompleteStep has a trainer read every 0.5 s by start of read, while results arrive every 70 ms and complete the
// step at 50 different times between two reads. Without the hold a read is answered with its first result, and the one that completes
// the step waits a quarter of a second on average for the next read.
func TestTrainerLearnsOfCompleteStep(t *testing.T) {
	const phases, interval = 50, 500 * time.Millisecond
	learnedSoon := func(change func(*jobs.Config)) (soon int) {
		synctest.Test(t, func(t *testing.T) {
			store := memorylog.New(memorylog.Config{Partitions: partitions, Delay: 4 * time.Millisecond})
			node := newNodeWithConfig(t, store.For("node"), change)
			for phase := range phases {
				step := stepOf(fmt.Sprint("step", phase), 20)
				node.service.Submit(t.Context(), step)
				var completed time.Time
				go func() {
					time.Sleep(time.Duration(phase) * interval / phases)
					for position := range 10 {
						time.Sleep(70 * time.Millisecond)
						completed = time.Now()
						listStepResult(t, store, step, position, position == 9)
					}
				}()
				for position := 0; position < 10; {
					next := time.Now().Add(interval)
					listing, _ := node.service.Results(t.Context(), step.ID, position, time.Second)
					if position = listing.Next; position < 10 {
						time.Sleep(time.Until(next))
					}
				}
				if time.Since(completed) <= 100*time.Millisecond {
					soon++
				}
			}
		})
		return soon
	}
	held, unheld := learnedSoon(withRunDeadline), learnedSoon(func(*jobs.Config) {})
	t.Logf("learned within 100 ms: %d of %d held, %d not held", held, phases, unheld)
	if held < phases*9/10 || unheld > phases/2 {
		t.Errorf("within 100 ms the trainer learned of %d of %d steps, without the hold of %d", held, phases, unheld)
	}
}
