package bundle

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/samber/oops"
)

const (
	// snapshotEvery is how many records there are between snapshots.
	snapshotEvery = 256
	// snapshotSpread is the time over which the nodes spread the writing of one snapshot, so that most of them find it
	// already written.
	snapshotSpread = 5 * time.Minute
	// snapshotTries is how many snapshots, newest first, are tried at the start.
	snapshotTries = 8
)

// start takes over the newest valid snapshot, once.
func (f *Follower) start(ctx context.Context) error {
	f.mu.Lock()
	started := f.started
	f.mu.Unlock()
	if started {
		return nil
	}
	fold, next, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if !f.started && fold != nil && next > f.next {
		f.fold, f.next, f.snapshotted = fold, next, next
		f.refresh()
	}
	f.started = true
	f.mu.Unlock()
	f.notify()
	return nil
}

// newestSnapshot returns the newest snapshot that is valid, nil if there is none.
func (f *Follower) newestSnapshot(ctx context.Context) (*Fold, int64, error) {
	bundles, err := f.read(ctx, Stream, 0, platform.ReadOptions{})
	if err != nil {
		return nil, 0, err
	}
	snapshots, err := f.read(ctx, SnapshotStream, 0, platform.ReadOptions{})
	if err != nil {
		return nil, 0, err
	}
	for offset := snapshots.Tail - 1; offset >= 0 && offset >= snapshots.Tail-snapshotTries; offset-- {
		payload, err := f.readSnapshot(ctx, offset)
		if err != nil {
			return nil, 0, err
		}
		fold, next, err := openSnapshot(f.config.Trusted, payload, bundles.Tail)
		if err == nil {
			return fold, next, nil
		}
		errorlog.Warn(f.logger, "bundle snapshot skipped", err, "offset", offset)
	}
	return nil, 0, nil
}

func (f *Follower) readSnapshot(ctx context.Context, offset int64) ([]byte, error) {
	result, err := f.read(ctx, SnapshotStream, offset, platform.ReadOptions{MaxEntries: 1})
	if err != nil {
		return nil, err
	}
	if len(result.Entries) == 0 {
		return nil, oops.With("offset", offset).Errorf("log did not return an entry below its tail")
	}
	return result.Entries[0].Payload, nil
}

// openSnapshot decodes and verifies a snapshot. tail bounds the offset that it may claim.
func openSnapshot(trusted TrustedKeys, payload []byte, tail int64) (*Fold, int64, error) {
	state, err := decodeSnapshot(payload)
	if err != nil {
		return nil, 0, err
	}
	if state.NextOffset > tail {
		return nil, 0, oops.Errorf("snapshot is of offset %d, beyond the tail %d", state.NextOffset, tail)
	}
	fold, err := restoreFold(trusted, state)
	return fold, state.NextOffset, err
}

// pollTime is how long the next read may wait: not beyond the time of this node's own snapshot. Records wake all nodes
// at once; were they to look for due snapshots only then, many would write one.
func (f *Follower) pollTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshotDue.IsZero() {
		return pollWait
	}
	return min(pollWait, max(minPoll, time.Until(f.snapshotDue)))
}

// snapshotIfDue writes a snapshot when enough records have come since the last and no other node was faster.
func (f *Follower) snapshotIfDue(ctx context.Context) {
	if !f.snapshotDueNow() {
		return
	}
	if err := f.refreshSnapshotted(ctx); err != nil {
		errorlog.Warn(f.logger, "bundle snapshots cannot be read", err)
		return
	}
	payload, next, err := f.encodeSnapshot()
	if err != nil || payload == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := f.config.Log.Append(ctx, SnapshotStream, [][]byte{payload}); err != nil {
		errorlog.Warn(f.logger, "bundle snapshot may not have been written", err)
		return
	}
	f.mu.Lock()
	f.snapshotted = max(f.snapshotted, next)
	f.mu.Unlock()
}

// snapshotDueNow sets the time of the next snapshot once enough records have come, and tells when it has passed.
func (f *Follower) snapshotDueNow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next-f.snapshotted < snapshotEvery {
		f.snapshotDue = time.Time{}
		return false
	}
	if f.snapshotDue.IsZero() {
		f.snapshotDue = time.Now().Add(rand.N(snapshotSpread))
	}
	if time.Now().Before(f.snapshotDue) {
		return false
	}
	f.snapshotDue = time.Time{}
	return true
}

// refreshSnapshotted looks how far the newest valid snapshot goes.
func (f *Follower) refreshSnapshotted(ctx context.Context) error {
	_, next, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotted = max(f.snapshotted, next)
	return nil
}

// encodeSnapshot encodes the state, nil if a recent snapshot makes that needless.
func (f *Follower) encodeSnapshot() ([]byte, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next-f.snapshotted < snapshotEvery {
		return nil, 0, nil
	}
	payload, err := f.fold.snapshot(f.next)
	return payload, f.next, err
}
