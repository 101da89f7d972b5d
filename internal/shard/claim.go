package shard

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/platform"
)

// errClaimLost says that another process claimed the epoch first.
var errClaimLost = errors.New("claim was lost to another process")

// claimant claims the epoch after the one that a replica stands in.
type claimant struct {
	log      platform.Log
	stream   string
	identity Identity
	settings Settings
	counters *Counters
	logger   *log.Logger
}

// claim appends a claim until the replica has folded a claim of that epoch, this one or another. It returns errClaimLost
// in the latter case. A claim whose answer is lost is sent again; the fold takes the first copy and voids the others.
func (c *claimant) claim(ctx context.Context, r *replica) error {
	epoch := r.fold.Epoch() + 1
	nonce := rand.Uint64()
	entry := envelope{
		Type:        uint8(typeClaim),
		Epoch:       epoch,
		Nonce:       nonce,
		Node:        c.identity.Node,
		Incarnation: c.identity.Incarnation,
		PeerAddress: c.identity.PeerAddress,
	}
	payload, err := entry.encode()
	if err != nil {
		return err
	}
	pauses := newBackoff()
	for {
		err := c.try(ctx, r, payload)
		if r.fold.ownedBy(epoch, nonce) {
			return nil
		}
		if r.fold.Epoch() >= epoch {
			return errClaimLost
		}
		if err != nil {
			errorlog.Warn(c.logger, "claim failed", err, "stream", c.stream)
		}
		if !pause.For(ctx, pauses.NextBackOff()) {
			return oops.With("stream", c.stream).Wrapf(errors.Join(ctx.Err(), err), "claim")
		}
	}
}

// try appends the claim once and folds what the stream then holds.
func (c *claimant) try(ctx context.Context, r *replica, payload []byte) error {
	attempt, cancel := context.WithTimeout(ctx, c.settings.AppendTimeout)
	defer cancel()
	first, err := c.log.Append(attempt, c.stream, [][]byte{payload})
	if err == nil && first == r.fold.Next() {
		r.apply(payload)
		return nil
	}
	if errors.Is(err, platform.ErrNotSent) {
		return err
	}
	source := &reader{log: c.log, stream: c.stream, maxEntries: c.settings.ReadEntries}
	read, cancelRead := context.WithTimeout(ctx, c.settings.AppendTimeout)
	defer cancelRead()
	readErr := r.catchUp(read, source)
	c.counters.OpenEntries.Add(source.entries)
	c.counters.OpenBytes.Add(source.bytes)
	return errors.Join(err, readErr)
}
