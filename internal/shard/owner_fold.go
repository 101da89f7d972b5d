package shard

import (
	"context"
	"errors"

	"github.com/hillfork/hillfork/internal/platform"
)

// errNoProgress is returned if the log returned no entry although its reported tail is further ahead.
var errNoProgress = errors.New("log returned no entry below its tail")

// fold folds entries that were read from the stream. Entries that are already folded are skipped, so several readers
// may run concurrently; entries beyond a gap are left for the next read.
func (o *owner) fold(entries []platform.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, entry := range entries {
		if entry.Offset == o.replica.fold.Next() {
			o.foldNext(entry.Payload)
		}
	}
	if o.snapshotIsDue() {
		signal(o.snapshotDue)
	}
}

// foldOwn folds the payloads of a batch that the log reported to be at offset first, unless unread entries precede
// them.
func (o *owner) foldOwn(b *batch, first int64) {
	entries := make([]platform.Entry, len(b.payloads))
	for i, payload := range b.payloads {
		entries[i] = platform.Entry{Offset: first + int64(i), Payload: payload}
	}
	o.fold(entries)
}

// foldNext folds one payload; the caller holds mu. An owner that has ended does not fold any more, so its state remains
// as it was when it lost the shard.
func (o *owner) foldNext(payload []byte) {
	if o.ended {
		return
	}
	result := o.replica.apply(payload)
	o.counters.observe(result.verdict)
	switch result.verdict {
	case VerdictClaim:
		o.handleSuperseded()
	case VerdictRelease:
		o.handleReleased()
	case VerdictRecord:
		o.settle(result.record.Sequence, result.outcome)
	case VerdictGarbage, VerdictGap:
		o.logger.Warn("entry without effect", "offset", o.replica.fold.Next()-1, "verdict", result.verdict)
	}
}

// handleSuperseded ends the owner after a valid claim of a later epoch: entries of this epoch after that claim are
// void.
func (o *owner) handleSuperseded() {
	claimant, _ := o.replica.fold.Owner()
	o.logger.Info("shard superseded", "by", claimant.Node, "newEpoch", o.replica.fold.Epoch())
	o.counters.Superseded.Add(1)
	o.end(ErrNotOwner)
}

// handleReleased ends the owner after its own release was folded.
func (o *owner) handleReleased() {
	o.counters.Released.Add(1)
	b := o.inFlight
	if b != nil && b.isRelease() {
		o.inFlight = nil
		b.succeed()
	}
	o.end(ErrNotOwner)
}

// settle adds a record's outcome to the batch in flight.
func (o *owner) settle(sequence uint64, outcome any) {
	b := o.inFlight
	if b == nil {
		o.logger.Error("valid record that nobody waits for", "sequence", sequence)
		return
	}
	complete, ok := b.add(sequence, outcome)
	if !ok {
		o.logger.Error("valid record out of sequence", "sequence", sequence, "first", b.first)
		return
	}
	if complete {
		o.inFlight = nil
		b.succeed()
	}
}

// catchUp reads and folds up to the tail that the first read returned.
func (o *owner) catchUp(ctx context.Context) error {
	target := int64(-1)
	for {
		result, err := o.read(ctx, platform.ReadOptions{MaxEntries: o.settings.ReadEntries})
		if err != nil {
			return err
		}
		if target < 0 {
			target = result.Tail
		}
		next := o.next()
		if next >= target || o.ctx.Err() != nil {
			return o.ctx.Err()
		}
		if len(result.Entries) == 0 {
			return errNoProgress
		}
	}
}

// read reads from the next offset and folds the entries.
func (o *owner) read(ctx context.Context, options platform.ReadOptions) (platform.ReadResult, error) {
	result, err := o.log.Read(ctx, o.stream, o.next(), options)
	if err != nil {
		return result, err
	}
	o.counters.Reads.Add(1)
	o.counters.ReadBytes.Add(payloadBytes(result.Entries))
	o.fold(result.Entries)
	return result, nil
}
