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

// fixedPlacer places everything on this node.
type fixedPlacer string

func (p fixedPlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	return p.Self(), true
}
func (p fixedPlacer) Self() placement.Member   { return placement.Member{Node: string(p)} }
func (p fixedPlacer) Changed() <-chan struct{} { return nil }

// newManaged is a service over the real shard manager. It takes a snapshot after some records; 0 is the default.
func newManaged(node string, log *logservice.Service, bundles *memoryBundles, snapshotEvery int) (*Service, *shard.Manager) {
	manager := shard.NewManager(shard.Config{
		Log:      log,
		Identity: shard.Identity{Node: node, Incarnation: 1},
		Placer:   fixedPlacer(node),
		NewState: func(string) (shard.State, error) { return NewState(), nil },
		Settings: shard.Settings{SnapshotEvery: snapshotEvery},
	})
	return New(Config{Opener: manager, Bundles: bundles, Confirmer: bundles}), manager
}

// TestTwoManagersContend has two processes that both hold themselves for the owner take turns, over a log that loses
// answers: the trainer still gets each sample once.
func TestTwoManagersContend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logservice.New(logservice.Config{})
		worlds := []*world{{t: t}, {t: t}}
		bundles := newBundles(testWorkload())
		for i, node := range []string{"a", "b"} {
			service, manager := newManaged(node, log, bundles, 4)
			defer manager.Close()
			defer service.Close()
			worlds[i].service = service
		}
		log.LoseAnswers(2)
		is.NoErr(retry(func() error { return worlds[0].step(2, 4) }))
		seen := make(map[int]bool)
		for turn := 0; len(seen) < 8; turn++ {
			w := worlds[turn%2]
			w.generate(2, 1)
			var result *peerapi.FetchSamplesResult
			is.NoErr(retry(func() (err error) {
				result, err = w.fetch(2, len(seen), 1, 3)
				return err
			}))
			log.LoseAnswers(turn % 2)
			for _, sample := range result.Samples {
				is.Equal(sample.Tokens, answer(sample.Index, sample.Attempt))
				is.True(!seen[sample.Index])
				seen[sample.Index] = true
			}
		}
		is.NoErr(worlds[0].publish(2))
		list, err := worlds[0].service.ListSteps(context.Background(), &peerapi.ListSteps{Workload: testName})
		is.NoErr(err)
		is.Equal(list.Steps[0].Completed, 8)
	})
}

// retry repeats an operation until it succeeds, at most ten times.
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
