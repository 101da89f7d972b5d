package shard

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/platform"
)

// errShortLog says that the log holds fewer entries than were read from it before.
var errShortLog = errors.New("log ends before an offset already read")

// replica is a fold of a stream together with the state folded from its valid records. It is not safe for concurrent
// use.
type replica struct {
	fold  Fold
	state State
	// sinceEntries and sinceBytes count what was folded after the newest known snapshot, of snapshotSize bytes.
	sinceEntries int64
	sinceBytes   int64
	snapshotSize int64
}

// step is what one entry did to a replica.
type step struct {
	verdict Verdict
	record  Record
	outcome any
}

// apply folds the payload at the next offset.
func (r *replica) apply(payload []byte) step {
	verdict, record := r.fold.Advance(payload)
	r.sinceEntries++
	r.sinceBytes += int64(len(payload))
	result := step{verdict: verdict, record: record}
	if verdict == VerdictRecord {
		result.outcome = r.state.Apply(record)
	}
	return result
}

// catchUp reads and folds until the tail that the first read saw. It may only be used before the replica is shared.
func (r *replica) catchUp(ctx context.Context, source *reader) error {
	target := int64(-1)
	for {
		result, err := source.read(ctx, r.fold.Next(), source.maxEntries)
		if err != nil {
			return err
		}
		if result.Tail < r.fold.Next() {
			return oops.With("stream", source.stream, "next", r.fold.Next(), "tail", result.Tail).Wrap(errShortLog)
		}
		r.applyAll(result.Entries)
		if target < 0 {
			target = result.Tail
		}
		if r.fold.Next() >= target {
			return nil
		}
		if len(result.Entries) == 0 {
			return oops.With("stream", source.stream, "next", r.fold.Next()).Wrap(errNoProgress)
		}
	}
}

// applyAll folds the entries that are not yet folded.
func (r *replica) applyAll(entries []platform.Entry) {
	for _, entry := range entries {
		if entry.Offset == r.fold.Next() {
			r.apply(entry.Payload)
		}
	}
}
