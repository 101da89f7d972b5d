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

// completing returns the positions of the results that are marked, and the position at which the wanted groups are complete.
func (n *node) completing(step job.Spec, carried string) (marked []int, want int) {
	open, complete := make(map[string]int), 0
	groups := make(map[string]string)
	for _, item := range step.Items {
		open[item.Group]++
		groups[item.ID] = item.Group
	}
	want = -1
	for position, result := range n.results(step.ID) {
		if result.CompletesStep {
			marked = append(marked, position)
		}
		group := groups[result.ItemID]
		if open[group]--; open[group] == 0 {
			complete++
		}
		if want < 0 && complete >= step.Desired && open[carried] == 0 {
			want = position
		}
	}
	return marked, want
}

// TestOneResultCompletesStep has another owner take over at different times of a step with a group that was part of an earlier job.
// It guards against a step that no owner marks as complete, that two do, or that is marked while the carried group is open: reads
// would be held for long, or be answered before the trainer can act.
func TestOneResultCompletesStep(t *testing.T) {
	for _, delay := range []int{0, 500, 1000, 1300, 1600, 1900, 2200, 4000} {
		t.Run(fmt.Sprint(delay, " ms"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				first, second := w.newNode("first"), w.newNode("second")
				first.own(1)
				earlier, step := spec("earlier", 2), spec("step", 10)
				step.Desired = 3
				step.Items = append(step.Items, earlier.Items...)
				for i := range earlier.Items {
					carried := &step.Items[10+i]
					carried.Group, carried.Header = "carried", map[string]string{"Model": modelName, memoryengine.EventsHeader: "60"}
				}
				w.submit(earlier)
				time.Sleep(300 * time.Millisecond)
				w.end(earlier.ID)
				w.submit(step)
				time.Sleep(time.Duration(delay) * time.Millisecond)
				second.own(2)
				time.Sleep(6 * time.Second)
				marked, want := second.completing(step, "carried")
				if want < 0 || !slices.Equal(marked, []int{want}) {
					t.Errorf("results %v are marked, want %d of %d", marked, want, len(second.results(step.ID)))
				}
				first.release()
				second.release()
			})
		})
	}
}
