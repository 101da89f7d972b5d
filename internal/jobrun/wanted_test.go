package jobrun_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
)

// TestOneResultCompletesStep has another owner take over at different times of a step with a group that was part of an earlier job. It
// guards against a step that no owner marks, that two do, or that is marked while the carried group is open: reads would be held for long, or
// be answered before the trainer can act.
func TestOneResultCompletesStep(t *testing.T) {
	for i, delay := range []int{0, 500, 700, 1000, 1000, 1300, 1300, 1600, 1900, 2200, 4000, 4000} {
		// The carried group is complete before the others or after them.
		events := []string{"60", "30"}[i%2]
		t.Run(fmt.Sprint(delay, " ms, ", events, " events"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				first, second := w.newNode("first"), w.newNode("second")
				first.own(1)
				earlier, step := spec("earlier", 2), spec("step", 10)
				step.Desired = 3
				for _, item := range earlier.Items {
					item.Group, item.Header = "carried", map[string]string{"Model": modelName, memoryengine.EventsHeader: events}
					step.Items = append(step.Items, item)
				}
				w.submit(earlier)
				time.Sleep(300 * time.Millisecond)
				w.end(earlier.ID)
				w.submit(step)
				time.Sleep(time.Duration(delay) * time.Millisecond)
				second.own(2)
				time.Sleep(6 * time.Second)
				results := second.results(step.ID)
				complete := func(listed int) bool {
					open := make(map[string]bool)
					for _, item := range step.Items {
						if !slices.ContainsFunc(results[:listed], func(r *job.Result) bool { return r.ItemID == item.ID }) {
							open[item.Group] = true
						}
					}
					return len(step.Items)/2-len(open) >= step.Desired && !open["carried"]
				}
				for position, result := range results {
					if want := complete(position+1) && !complete(position); result.CompletesStep != want {
						t.Errorf("result %d of %d: marked %v, want %v", position, len(results), result.CompletesStep, want)
					}
				}
				if !complete(len(results)) {
					t.Errorf("the step is not complete with %d results", len(results))
				}
				first.release()
				second.release()
			})
		})
	}
}
