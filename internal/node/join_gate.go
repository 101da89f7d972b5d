package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
)

const (
	// joinLimit is how long a process that has just started leaves shards to others while it knows few of them.
	joinLimit = 5 * time.Second
	// joinRetryAfter is told to those who ask for a shard meanwhile.
	joinRetryAfter = 200 * time.Millisecond
)

// joinGate keeps a process that has just started from claiming shards: until it knows most of the other nodes, it takes
// the living owner of any shard for unknown, and would cut its work off. Once joined, the gate stays open; losing sight of
// the others later must not keep the survivors from taking over.
type joinGate struct {
	opener  shard.Opener
	joined  func() bool
	started time.Time
	open    atomic.Bool
}

func newJoinGate(opener shard.Opener, joined func() bool) *joinGate {
	return &joinGate{opener: opener, joined: joined, started: time.Now()}
}

// Open fills shard.Opener.
func (g *joinGate) Open(ctx context.Context, stream string) (shard.Owner, error) {
	if !g.open.Load() {
		if !g.joined() && time.Since(g.started) < joinLimit {
			return nil, &peer.Error{
				Code: peer.CodeNotReady, Message: "the node does not know most of the others yet", RetryAfter: joinRetryAfter,
			}
		}
		g.open.Store(true)
	}
	return g.opener.Open(ctx, stream)
}
