package requestledger

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/standin/logservice"
)

// movingPlacer is the view of one node on the node that currently owns all shards; all nodes share that state.
type movingPlacer struct {
	self    string
	current *currentOwner
}

type currentOwner struct {
	mu      sync.Mutex
	node    string
	changed chan struct{}
}

func (p *currentOwner) move(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node = node
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p movingPlacer) Self() placement.Member {
	return placement.Member{Node: p.self, PeerAddress: p.self}
}

func (p movingPlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	p.current.mu.Lock()
	defer p.current.mu.Unlock()
	return placement.Member{Node: p.current.node, PeerAddress: p.current.node}, true
}

func (p movingPlacer) Changed() <-chan struct{} {
	p.current.mu.Lock()
	defer p.current.mu.Unlock()
	return p.current.changed
}

// TestRunsOnceWhileShardsMove runs the ledger on shard.Manager and a fake log that loses requests and responses, while
// the shards move between two nodes and are restored from snapshots. It guards against a request that runs twice or
// whose answer changes after a move.
func TestRunsOnceWhileShardsMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logservice.New(logservice.Config{Seed: 4})
		current := &currentOwner{node: "a", changed: make(chan struct{})}
		engines := &fakeEngines{}
		nodes := map[string]*Service{}
		for _, name := range []string{"a", "b"} {
			settings := shard.DefaultSettings()
			settings.SnapshotEvery = 4
			manager := shard.NewManager(shard.Config{
				Log:      log,
				Identity: shard.Identity{Node: name, Incarnation: 1, PeerAddress: name},
				Placer:   movingPlacer{name, current},
				NewState: func(string) (shard.State, error) { return NewState(), nil },
				Settings: settings,
			})
			defer manager.Close()
			nodes[name] = New(Config{Opener: manager, Dispatcher: engines, Bundles: fakeBundles{}})
			defer nodes[name].Close()
		}
		log.LoseAnswersAtRandom(0.2)
		log.LoseRequestsAtRandom(0.2)
		ends := map[string]askResult{}
		for i := range 120 {
			name := []string{"a", "b"}[i/20%2]
			current.move(name)
			id := fmt.Sprint("r", i%40)
			end := execute(t.Context(), nodes[name], request(id, uint64(i)))
			for tries := 0; end.refused && tries < 20; tries++ {
				time.Sleep(time.Second)
				end = execute(t.Context(), nodes[name], request(id, uint64(i)))
			}
			is.True(equal(end, completed)) // no engine fails, and each shard is retried until it answers
			before, known := ends[id]
			is.True(!known || equal(before, end))
			ends[id] = end
		}
		is.Equal(engines.total(), 40)
		is.Equal(resolve(t.Context(), nodes["b"], request("never", 1)).outcome, peerapi.OutcomeNotRun)
	})
}
