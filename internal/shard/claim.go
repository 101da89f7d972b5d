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

// errClaimLost is returned if another process claimed the epoch first.
var errClaimLost = errors.New("claim was lost to another process")

// claimant claims the epoch that follows the current epoch of a replica.
type claimant struct {
	log      platform.Log
	stream   string
	identity Identity
	settings Settings
	counters *Counters
	logger   *log.Logger
}

// claim appends a claim until the replica has folded a claim of that epoch. It returns errClaimLost if another
// process's claim was folded first. A claim whose response is lost is appended again; the fold accepts the first copy
// and voids the others.
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
	delays := newBackoff()
	for {
		err := c.tryOnce(ctx, r, payload)
		if r.fold.ownedBy(epoch, nonce) {
			return nil
		}
		if r.fold.Epoch() >= epoch {
			return errClaimLost
		}
		if err != nil {
			errorlog.Warn(c.logger, "appending the claim failed", err, "stream", c.stream)
		}
		if !pause.For(ctx, delays.NextBackOff()) {
			return oops.With("stream", c.stream).Wrapf(errors.Join(ctx.Err(), err), "claim")
		}
	}
}

// tryOnce appends the claim once and folds the new entries of the stream.
func (c *claimant) tryOnce(ctx context.Context, r *replica, payload []byte) error {
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
