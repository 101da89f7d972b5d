package stepledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/standin/logservice"
)

// fixedPlacer places all streams on this node.
type fixedPlacer string

func (p fixedPlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	return p.Self(), true
}
func (p fixedPlacer) Self() placement.Member   { return placement.Member{Node: string(p)} }
func (p fixedPlacer) Changed() <-chan struct{} { return nil }

// newManagedService returns a service over the real shard manager, which writes a snapshot after snapshotEvery records; 0
// selects the default.
func newManagedService(node string, log *logservice.Service, bundles *memoryBundles, snapshotEvery int) (*Service, *shard.Manager) {
	manager := shard.NewManager(shard.Config{
		Log:      log,
		Identity: shard.Identity{Node: node, Incarnation: 1},
		Placer:   fixedPlacer(node),
		NewState: func(string) (shard.State, error) { return NewState(), nil },
		Settings: shard.Settings{SnapshotEvery: snapshotEvery},
	})
	return New(Config{Opener: manager, Bundles: bundles, Confirmer: bundles}), manager
}

// TestTwoManagersContend guards against samples that are delivered twice or lost while two processes both assume to own the
// shard. They serve the trainer alternately over a log that loses responses.
func TestTwoManagersContend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logservice.New(logservice.Config{})
		envs := []*testEnv{{t: t}, {t: t}}
		bundles := newBundles(testWorkload())
		for i, node := range []string{"a", "b"} {
			service, manager := newManagedService(node, log, bundles, 4)
			defer manager.Close()
			defer service.Close()
			envs[i].service = service
		}
		log.LoseAnswers(2)
		is.NoErr(retry(func() error { return envs[0].step(2, 4) }))
		seen := make(map[int]bool)
		for turn := 0; len(seen) < 8; turn++ {
			env := envs[turn%2]
			env.completeAll(2, 1)
			var result *peerapi.FetchSamplesResult
			is.NoErr(retry(func() (err error) {
				result, err = env.fetch(2, len(seen), 1, 3)
				return err
			}))
			log.LoseAnswers(turn % 2)
			for _, sample := range result.Samples {
				is.Equal(sample.Tokens, answer(sample.Index, sample.Attempt))
				is.True(!seen[sample.Index])
				seen[sample.Index] = true
			}
		}
		is.NoErr(envs[0].publish(2))
		list, err := envs[0].service.ListSteps(context.Background(), &peerapi.ListSteps{Workload: testWorkloadName})
		is.NoErr(err)
		is.Equal(list.Steps[0].Completed, 8)
	})
}

// retry runs an operation up to ten times, until it succeeds.
func retry(operation func() error) error {
	var err error
	for range 10 {
		if err = operation(); err == nil {
			return nil
		}
		time.Sleep(time.Second)
	}
	return err
}
