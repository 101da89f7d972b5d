package shard

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/platform"
)

// snapshotSuffix is appended to the name of a stream to get the name of its snapshot stream.
const snapshotSuffix = ".snapshots"

// Limits on the search for a usable snapshot: entries of the snapshot stream searched, and bad snapshots found.
const (
	maxSnapshotWindow = 4096
	maxBadSnapshots   = 4
)

// SnapshotStream returns the name of the stream that holds the snapshots of a stream.
func SnapshotStream(stream string) string { return stream + snapshotSuffix }

// encodeSnapshot encodes a replica.
func encodeSnapshot(r *replica) ([]byte, error) {
	state, err := r.state.Snapshot()
	if err != nil {
		return nil, oops.Wrapf(err, "encode state")
	}
	body := snapshotBody{Position: r.fold.position, State: state}
	return body.MarshalMsg(nil)
}

// splitSnapshot splits an encoded snapshot into entries of the snapshot stream.
func splitSnapshot(encoded []byte, next int64, chunkBytes int) ([][]byte, error) {
	count := max(1, (len(encoded)+chunkBytes-1)/chunkBytes)
	chunk := snapshotChunk{
		Format:   formatVersion,
		Writer:   rand.Uint64(),
		Next:     next,
		Count:    uint32(count),
		Checksum: xxhash.Sum64(encoded),
	}
	payloads := make([][]byte, 0, count)
	for i := range count {
		start := i * chunkBytes
		chunk.Index = uint32(i)
		chunk.Data = encoded[start:min(start+chunkBytes, len(encoded))]
		payload, err := chunk.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		payloads = append(payloads, payload)
	}
	return payloads, nil
}

// writeSnapshot appends the chunks of a snapshot one by one. A partially written snapshot is never used.
func writeSnapshot(ctx context.Context, log platform.Log, stream string, payloads [][]byte) error {
	for _, payload := range payloads {
		_, err := log.Append(ctx, SnapshotStream(stream), [][]byte{payload})
		if err != nil {
			return oops.With("stream", stream).Wrapf(err, "append snapshot")
		}
	}
	return nil
}

// snapshotSearch reassembles snapshots from their chunks, which are read from the newest entry backwards.
type snapshotSearch struct {
	partial map[snapshotKey]*partialSnapshot
}

// snapshotKey identifies one snapshot.
type snapshotKey struct {
	writer   uint64
	next     int64
	checksum uint64
	count    uint32
}

type partialSnapshot struct {
	chunks  map[uint32][]byte
	missing uint32
}

// completeSnapshot is an encoded snapshot and the checksum recorded in its chunks.
type completeSnapshot struct {
	encoded  []byte
	checksum uint64
}

// add adds one entry and returns the snapshot that it completes; nil if it completes none.
func (s *snapshotSearch) add(payload []byte) *completeSnapshot {
	var chunk snapshotChunk
	err := decodeWhole(&chunk, payload)
	if err != nil || chunk.Format != formatVersion || chunk.Index >= chunk.Count {
		return nil
	}
	key := snapshotKey{writer: chunk.Writer, next: chunk.Next, checksum: chunk.Checksum, count: chunk.Count}
	part := s.partial[key]
	if part == nil {
		part = &partialSnapshot{chunks: make(map[uint32][]byte), missing: chunk.Count}
		s.partial[key] = part
	}
	if _, known := part.chunks[chunk.Index]; known {
		return nil
	}
	part.chunks[chunk.Index] = chunk.Data
	part.missing--
	if part.missing > 0 {
		return nil
	}
	delete(s.partial, key)
	return &completeSnapshot{encoded: part.join(), checksum: chunk.Checksum}
}

func (p *partialSnapshot) join() []byte {
	var encoded []byte
	for i := range uint32(len(p.chunks)) {
		encoded = append(encoded, p.chunks[i]...)
	}
	return encoded
}

// windowSize returns the number of entries to read next: enough to complete any unfinished snapshot, at least 1 and at
// most maxSnapshotWindow.
func (s *snapshotSearch) windowSize() int {
	windowSize := 1
	for _, part := range s.partial {
		windowSize = max(windowSize, int(min(part.missing, maxSnapshotWindow)))
	}
	return windowSize
}

// decodeSnapshot restores a replica from an encoded snapshot.
func decodeSnapshot(snapshot *completeSnapshot, state State) (*replica, error) {
	if xxhash.Sum64(snapshot.encoded) != snapshot.checksum {
		return nil, oops.Errorf("snapshot checksum does not match")
	}
	var body snapshotBody
	if err := decodeWhole(&body, snapshot.encoded); err != nil {
		return nil, oops.Wrapf(err, "decode snapshot")
	}
	if err := state.Restore(body.State); err != nil {
		return nil, oops.Wrapf(err, "restore state")
	}
	restored := &replica{state: state, snapshotSize: int64(len(snapshot.encoded))}
	restored.fold.position = body.Position
	return restored, nil
}
