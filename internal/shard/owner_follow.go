package shard

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/platform"
)

// follow runs the follower: it polls the tail while nothing is appended, so that an idle owner detects that it was
// superseded. An owner that appends detects it by its appends, and does not read back its own records.
func (o *owner) follow() {
	for pause.For(o.ctx, o.settings.FollowAfter) {
		ctx, cancel, idle := o.startPoll()
		if !idle {
			continue
		}
		options := platform.ReadOptions{MaxEntries: o.settings.ReadEntries, Wait: o.settings.FollowWait}
		_, err := o.read(ctx, options)
		if err != nil && ctx.Err() == nil {
			errorlog.Debug(o.logger, "polling the tail failed", err)
		}
		cancel()
	}
}

// startPoll returns the context of a poll, which is cancelled when an append starts; false if there were appends
// recently.
func (o *owner) startPoll() (context.Context, context.CancelFunc, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight != nil || time.Since(o.lastAppend) < o.settings.FollowAfter {
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.settings.FollowWait+o.settings.AppendTimeout)
	o.cancelPoll = cancel
	return ctx, cancel, true
}
