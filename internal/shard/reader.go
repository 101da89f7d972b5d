package shard

import (
	"context"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/platform"
)

// reader reads ranges of one stream and counts the entries and bytes read.
type reader struct {
	log        platform.Log
	stream     string
	maxEntries int
	entries    uint64
	bytes      uint64
}

// tail returns the offset after the last entry.
func (r *reader) tail(ctx context.Context) (int64, error) {
	result, err := r.log.Read(ctx, r.stream, 0, platform.ReadOptions{})
	if err != nil {
		return 0, oops.With("stream", r.stream).Wrapf(err, "read tail")
	}
	return result.Tail, nil
}

// read returns at most limit entries from offset on, and the tail.
func (r *reader) read(ctx context.Context, offset int64, limit int) (platform.ReadResult, error) {
	options := platform.ReadOptions{MaxEntries: min(limit, r.maxEntries)}
	result, err := r.log.Read(ctx, r.stream, offset, options)
	if err != nil {
		return result, oops.With("stream", r.stream, "offset", offset).Wrapf(err, "read")
	}
	r.entries += uint64(len(result.Entries))
	r.bytes += payloadBytes(result.Entries)
	return result, nil
}

// readRange returns the entries from offset up to end, with as many reads as the log needs.
func (r *reader) readRange(ctx context.Context, offset, end int64) ([]platform.Entry, error) {
	var entries []platform.Entry
	for offset < end {
		result, err := r.read(ctx, offset, int(min(end-offset, int64(r.maxEntries))))
		if err != nil {
			return nil, err
		}
		if len(result.Entries) == 0 {
			return nil, oops.With("stream", r.stream, "offset", offset).Wrap(errNoProgress)
		}
		entries = append(entries, result.Entries...)
		offset += int64(len(result.Entries))
	}
	return entries, nil
}

// payloadBytes returns the total payload size of entries.
func payloadBytes(entries []platform.Entry) uint64 {
	total := 0
	for _, entry := range entries {
		total += len(entry.Payload)
	}
	return uint64(total)
}
