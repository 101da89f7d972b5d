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
	// recordsPerSnapshot is the number of records between snapshots.
	recordsPerSnapshot = 256
	// maxSnapshotDelay limits the random delay before a node writes a due snapshot. The delay lets most nodes find it
	// already written.
	maxSnapshotDelay = 5 * time.Minute
	// maxSnapshotAttempts limits the snapshots, newest first, that are tried when the newest valid one is searched for.
	maxSnapshotAttempts = 8
)

// loadSnapshot loads the newest valid snapshot. It does so once; later calls do nothing.
func (f *Follower) loadSnapshot(ctx context.Context) error {
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
		f.fold, f.next, f.snapshotOffset = fold, next, next
		f.updateCurrent()
	}
	f.started = true
	f.mu.Unlock()
	f.notify()
	return nil
}

// newestSnapshot returns the newest valid snapshot and its offset, nil if there is none.
func (f *Follower) newestSnapshot(ctx context.Context) (*Fold, int64, error) {
	bundles, err := f.read(ctx, Stream, 0, platform.ReadOptions{})
	if err != nil {
		return nil, 0, err
	}
	snapshots, err := f.read(ctx, SnapshotStream, 0, platform.ReadOptions{})
	if err != nil {
		return nil, 0, err
	}
	for offset := snapshots.Tail - 1; offset >= 0 && offset >= snapshots.Tail-maxSnapshotAttempts; offset-- {
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

// openSnapshot decodes and verifies a snapshot. Its offset must not be beyond tail.
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

// pollTimeout returns how long the next read may wait: up to pollWait, but not beyond the time at which this node's
// snapshot is due. New records wake all nodes at once; if nodes checked for due snapshots only then, many would write
// one.
func (f *Follower) pollTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshotDue.IsZero() {
		return pollWait
	}
	return min(pollWait, max(minPollInterval, time.Until(f.snapshotDue)))
}

// snapshotIfDue writes a snapshot if it is due and no other node has written one.
func (f *Follower) snapshotIfDue(ctx context.Context) {
	if !f.snapshotDueNow() {
		return
	}
	if err := f.updateSnapshotOffset(ctx); err != nil {
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
	f.snapshotOffset = max(f.snapshotOffset, next)
	f.mu.Unlock()
}

// snapshotDueNow schedules the next snapshot once there are enough new records, and reports whether its time has
// passed.
func (f *Follower) snapshotDueNow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next-f.snapshotOffset < recordsPerSnapshot {
		f.snapshotDue = time.Time{}
		return false
	}
	if f.snapshotDue.IsZero() {
		f.snapshotDue = time.Now().Add(rand.N(maxSnapshotDelay))
	}
	if time.Now().Before(f.snapshotDue) {
		return false
	}
	f.snapshotDue = time.Time{}
	return true
}

// updateSnapshotOffset updates snapshotOffset from the newest valid snapshot.
func (f *Follower) updateSnapshotOffset(ctx context.Context) error {
	_, next, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotOffset = max(f.snapshotOffset, next)
	return nil
}

// encodeSnapshot returns the encoded state and its offset, nil if a recent snapshot makes a new one unnecessary.
func (f *Follower) encodeSnapshot() ([]byte, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next-f.snapshotOffset < recordsPerSnapshot {
		return nil, 0, nil
	}
	payload, err := f.fold.snapshot(f.next)
	return payload, f.next, err
}
