package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
)

const (
	// joinLimit is how long a newly started process claims no shards while it does not know all listed nodes yet.
	joinLimit = 5 * time.Second
	// joinRetryAfter is the retry delay that is returned to callers that request a shard in that time.
	joinRetryAfter = 200 * time.Millisecond
)

// joinGate keeps a newly started process from claiming shards. Until the process knows the other nodes, it does not know
// the live owner of a shard; claiming the shard would cut off the work of that owner. Once open, the gate stays open: if
// other nodes become unreachable later, the remaining ones must be able to take over their shards.
type joinGate struct {
	opener  shard.Opener
	joined  func() bool
	started time.Time
	open    atomic.Bool
}

func newJoinGate(opener shard.Opener, joined func() bool) *joinGate {
	return &joinGate{opener: opener, joined: joined, started: time.Now()}
}

// Open implements shard.Opener. It returns a peer.Error with CodeNotReady while the gate is closed.
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
