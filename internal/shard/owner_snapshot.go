package shard

import (
	"context"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
)

// snapshotIsDue reports whether enough was folded since the last snapshot; the caller holds mu.
func (o *owner) snapshotIsDue() bool {
	r := o.replica
	enough := r.sinceEntries >= int64(o.settings.SnapshotEvery) || r.sinceBytes >= o.settings.SnapshotBytes
	return enough && 2*r.sinceBytes >= r.snapshotSize && !o.ended
}

// snapshot runs the snapshotter: it writes a snapshot whenever one is due. A snapshot is the fold of a prefix of the
// stream, so even one written by a superseded owner is valid, though old.
func (o *owner) snapshot() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.snapshotDue:
		}
		err := o.writeSnapshot()
		if err == nil || o.ctx.Err() != nil {
			continue
		}
		o.counters.SnapshotFailures.Add(1)
		errorlog.Warn(o.logger, "writing a snapshot failed", err)
		if !pause.For(o.ctx, o.settings.SnapshotRetry) {
			return
		}
	}
}

// writeSnapshot encodes the state with the lock held and appends it after releasing the lock.
func (o *owner) writeSnapshot() error {
	o.mu.Lock()
	if !o.snapshotIsDue() {
		o.mu.Unlock()
		return nil
	}
	encoded, err := encodeSnapshot(o.replica)
	next := o.replica.fold.Next()
	entries, bytes := o.replica.sinceEntries, o.replica.sinceBytes
	o.mu.Unlock()
	if err != nil {
		return err
	}
	payloads, err := splitSnapshot(encoded, next, o.settings.SnapshotChunkBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.settings.MaxAttemptTimeout)
	defer cancel()
	if err := writeSnapshot(ctx, o.log, o.stream, payloads); err != nil {
		return err
	}
	o.counters.Snapshots.Add(1)
	o.counters.SnapshotBytes.Add(uint64(len(encoded)))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replica.sinceEntries -= entries
	o.replica.sinceBytes -= bytes
	o.replica.snapshotSize = int64(len(encoded))
	return nil
}
