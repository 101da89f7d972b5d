package shard

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/platform"
)

// errShortLog is returned if the log holds fewer entries than were read from it before.
var errShortLog = errors.New("log ends before an offset already read")

// replica is a fold of a stream and the state folded from its valid records. It is not safe for concurrent use.
type replica struct {
	fold  Fold
	state State
	// sinceEntries and sinceBytes count what was folded since the newest known snapshot, whose size in bytes is
	// snapshotSize.
	sinceEntries int64
	sinceBytes   int64
	snapshotSize int64
}

// applyResult is the effect of one entry on a replica.
type applyResult struct {
	verdict Verdict
	record  Record
	outcome any
}

// apply folds the payload at the next offset.
func (r *replica) apply(payload []byte) applyResult {
	verdict, record := r.fold.Advance(payload)
	r.sinceEntries++
	r.sinceBytes += int64(len(payload))
	result := applyResult{verdict: verdict, record: record}
	if verdict == VerdictRecord {
		result.outcome = r.state.Apply(record)
	}
	return result
}

// catchUp reads and folds up to the tail that the first read returned. It must not be called after the replica is
// shared.
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
