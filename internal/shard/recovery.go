package shard

import (
	"context"
	"errors"

	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/platform"
)

// recovery builds the replica of a stream from its newest usable snapshot and the entries after it.
type recovery struct {
	log      platform.Log
	stream   string
	newState func(stream string) (State, error)
	settings Settings
	counters *Counters
	logger   *log.Logger
}

// run reads the stream up to the tail it had at some time after the call started.
func (r *recovery) run(ctx context.Context) (*replica, error) {
	main := &reader{log: r.log, stream: r.stream, maxEntries: r.settings.ReadEntries}
	snapshots := &reader{log: r.log, stream: SnapshotStream(r.stream), maxEntries: r.settings.ReadEntries}
	defer r.count(main, snapshots)
	restored, err := r.newestSnapshot(ctx, snapshots)
	if err != nil {
		return nil, err
	}
	if restored != nil {
		err = restored.catchUp(ctx, main)
		if !errors.Is(err, errShortLog) {
			return restored, err
		}
		r.skip(err)
	}
	empty, err := r.emptyReplica()
	if err != nil {
		return nil, err
	}
	return empty, empty.catchUp(ctx, main)
}

// resume continues reading the stream from the position of a replica.
func (r *recovery) resume(ctx context.Context, kept *replica) error {
	main := &reader{log: r.log, stream: r.stream, maxEntries: r.settings.ReadEntries}
	defer r.count(main)
	return kept.catchUp(ctx, main)
}

// newestSnapshot searches the snapshot stream from its end; nil if there is no usable snapshot within the search
// limits.
func (r *recovery) newestSnapshot(ctx context.Context, source *reader) (*replica, error) {
	end, err := source.tail(ctx)
	if err != nil {
		return nil, err
	}
	search := &snapshotSearch{partial: make(map[snapshotKey]*partialSnapshot)}
	bad := 0
	for searched := int64(0); end > 0 && searched < maxSnapshotWindow; {
		window := min(int64(search.windowSize()), end)
		entries, err := source.readRange(ctx, end-window, end)
		if err != nil {
			return nil, err
		}
		for i := len(entries) - 1; i >= 0; i-- {
			restored := r.tryEntry(search, entries[i].Payload, &bad)
			if restored != nil {
				return restored, nil
			}
		}
		if bad >= maxBadSnapshots {
			return nil, nil
		}
		end -= window
		searched += window
	}
	return nil, nil
}

// tryEntry adds one entry to the search. If the entry completes a usable snapshot, tryEntry returns its replica.
func (r *recovery) tryEntry(search *snapshotSearch, payload []byte, bad *int) *replica {
	complete := search.add(payload)
	if complete == nil {
		return nil
	}
	state, err := r.newState(r.stream)
	if err != nil {
		r.skip(err)
		return nil
	}
	restored, err := decodeSnapshot(complete, state)
	if err != nil {
		*bad++
		r.skip(err)
		return nil
	}
	return restored
}

func (r *recovery) emptyReplica() (*replica, error) {
	state, err := r.newState(r.stream)
	if err != nil {
		return nil, err
	}
	return &replica{state: state}, nil
}

// skip counts and logs an unusable snapshot.
func (r *recovery) skip(cause error) {
	r.counters.SnapshotsSkipped.Add(1)
	errorlog.Warn(r.logger, "snapshot skipped", cause, "stream", r.stream)
}

func (r *recovery) count(sources ...*reader) {
	for _, source := range sources {
		r.counters.OpenEntries.Add(source.entries)
		r.counters.OpenBytes.Add(source.bytes)
	}
}
