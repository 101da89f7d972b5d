package shard

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/platform"
)

// follow is the follower: while nothing is appended it polls the tail, so that an idle owner learns that it was
// superseded. An owner that appends learns it from its appends, and does not read its own records back.
func (o *owner) follow() {
	for pause.For(o.ctx, o.settings.FollowAfter) {
		ctx, cancel, idle := o.beginPoll()
		if !idle {
			continue
		}
		options := platform.ReadOptions{MaxEntries: o.settings.ReadEntries, Wait: o.settings.FollowWait}
		_, err := o.read(ctx, options)
		if err != nil && ctx.Err() == nil {
			errorlog.Debug(o.logger, "poll of the tail failed", err)
		}
		cancel()
	}
}

// beginPoll returns the context of a poll, which ends when an append begins; false while there are appends.
func (o *owner) beginPoll() (context.Context, context.CancelFunc, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight != nil || time.Since(o.lastAppend) < o.settings.FollowAfter {
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.settings.FollowWait+o.settings.AppendTimeout)
	o.cancelPoll = cancel
	return ctx, cancel, true
}
