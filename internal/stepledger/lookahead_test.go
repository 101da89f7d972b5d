package stepledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
)

// stalenessFirst is a workload that weighs staleness alone.
func stalenessFirst() bundle.Workload {
	workload := testWorkload()
	workload.Staleness.MaxVersionsBehind = 2
	workload.Objective = &bundle.Objective{StalenessWeight: 1}
	return workload
}

func TestSamplesWaitForFreshWeightsAWhile(t *testing.T) {
	inWorld(t, stalenessFirst(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		_, err := w.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(w.pull(2, "e1", 4, 1)), 0)
		is.Equal(len(w.pull(2, "e1", 5, 1)), 1)
		time.Sleep(freshPatience)
		is.Equal(len(w.pull(2, "e1", 4, 1)), 1) // engines that cannot load do not stop the trainer
	})
}

func TestLookAheadFollowsTheTrainer(t *testing.T) {
	inWorld(t, stalenessFirst(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		is.NoErr(w.step(4, 1))
		is.Equal(len(w.pull(2, "e1", 5, 8)), 0) // nobody wants it yet
		_, err := w.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(w.pull(2, "e1", 5, 8)), 2)
		is.NoErr(w.publish(6)) // the trainer wants step 3, of the other shard
		is.Equal(len(w.pull(2, "e1", 6, 8)), 0)
		is.NoErr(w.publish(7))
		is.Equal(len(w.pull(2, "e1", 7, 8)), 2)
	})
}
