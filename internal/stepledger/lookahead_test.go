package stepledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
)

// stalenessWorkload returns a workload whose objective is staleness alone.
func stalenessWorkload() bundle.Workload {
	workload := testWorkload()
	workload.Staleness.MaxVersionsBehind = 2
	workload.Objective = &bundle.Objective{StalenessWeight: 1}
	return workload
}

func TestSamplesWaitForFreshWeightsWithTimeout(t *testing.T) {
	withTestEnv(t, stalenessWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		_, err := env.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(env.pull(2, "e1", 4, 1)), 0)
		is.Equal(len(env.pull(2, "e1", 5, 1)), 1)
		time.Sleep(freshVersionTimeout)
		is.Equal(len(env.pull(2, "e1", 4, 1)), 1) // engines that cannot load a new version do not block the trainer
	})
}

func TestLookAheadFollowsTrainer(t *testing.T) {
	withTestEnv(t, stalenessWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		is.NoErr(env.step(4, 1))
		is.Equal(len(env.pull(2, "e1", 5, 8)), 0) // no trainer has fetched yet
		_, err := env.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(env.pull(2, "e1", 5, 8)), 2)
		is.NoErr(env.publish(6)) // the trainer is at step 3, which belongs to the other shard
		is.Equal(len(env.pull(2, "e1", 6, 8)), 0)
		is.NoErr(env.publish(7))
		is.Equal(len(env.pull(2, "e1", 7, 8)), 2)
	})
}
