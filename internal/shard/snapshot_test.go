package shard

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// snapshotSettings make a snapshot of several chunks due every few entries.
var snapshotSettings = Settings{SnapshotEvery: 10, SnapshotChunkBytes: 64}

// fillStream has node a write records, most of which are covered by a snapshot, and close without a release.
func fillStream(t *testing.T, log *fakeLog, records int) []string {
	config := testConfig(log, "a")
	config.Settings = snapshotSettings
	m := NewManager(config)
	defer m.Close()
	o := open(t, m)
	for i := range records {
		if _, err := o.Append(context.Background(), proposal(fmt.Sprintf("record %d", i))); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		time.Sleep(10 * time.Millisecond) // lets the snapshotter finish, in virtual time
	}
	return bodies(o)
}

// reopen has node b open the stream. It returns the owner and the manager, which the test must close.
func reopen(t *testing.T, log *fakeLog) (Owner, *Manager) {
	config := testConfig(log, "b")
	config.Settings = snapshotSettings
	m := NewManager(config)
	return open(t, m), m
}

// TestRecoveryUsesNewestUsableSnapshot damages the snapshot stream in several ways: recovery must use the newest usable
// snapshot, or read the whole stream if there is none.
func TestRecoveryUsesNewestUsableSnapshot(t *testing.T) {
	const records = 40
	snapshots := SnapshotStream(testStream)
	cases := map[string]struct {
		damage func(streams map[string][][]byte)
		// skipped is the number of snapshots found unusable; readFromStart means that the whole stream must be read.
		skipped       uint64
		readFromStart bool
	}{
		"whole": {damage: func(map[string][][]byte) {}},
		"last chunk absent": {damage: func(streams map[string][][]byte) {
			streams[snapshots] = streams[snapshots][:len(streams[snapshots])-1]
		}},
		"chunks doubled and out of order": {damage: func(streams map[string][][]byte) {
			last := len(streams[snapshots]) - 1
			slices.Reverse(streams[snapshots][last-1:])
			streams[snapshots] = append(streams[snapshots], streams[snapshots][last], []byte("noise"))
		}},
		"a byte flipped": {skipped: 1, damage: func(streams map[string][][]byte) {
			newest := slices.Clone(streams[snapshots][len(streams[snapshots])-1])
			newest[len(newest)-1] ^= 1
			streams[snapshots][len(streams[snapshots])-1] = newest
		}},
		"none": {readFromStart: true, damage: func(streams map[string][][]byte) { delete(streams, snapshots) }},
		"ahead of the stream": {skipped: 1, readFromStart: true, damage: func(streams map[string][][]byte) {
			streams[testStream] = streams[testStream][:5]
		}},
		"nothing but noise": {readFromStart: true, damage: func(streams map[string][][]byte) {
			for i := range streams[snapshots] {
				streams[snapshots][i] = []byte("noise")
			}
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				original := newFakeLog()
				fillStream(t, original, records)
				is.True(len(original.streams[snapshots]) > 8) // several snapshots of several chunks
				test.damage(original.streams)
				log := copyLog(original.streams)
				want, _ := foldAll(log.contents(testStream))
				o, m := reopen(t, log)
				defer m.Close()
				is.Equal(bodies(o), want)
				is.Equal(o.Epoch(), uint64(2))
				is.Equal(m.Counters().SnapshotsSkipped.Load(), test.skipped)
				is.Equal(log.readFromStart, test.readFromStart)
			})
		})
	}
}

// TestLargeSnapshotIsReadInSeveralReads checks that recovery uses a snapshot that is larger than the log returns in one
// read.
func TestLargeSnapshotIsReadInSeveralReads(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		config := testConfig(log, "a")
		config.Settings = Settings{SnapshotEvery: 11, SnapshotBytes: 1 << 30}
		m := NewManager(config)
		defer m.Close()
		o := open(t, m)
		for range 10 { // 10 MB, which the log does not return in one read
			_, err := o.Append(context.Background(), proposal(strings.Repeat("x", 1<<20)))
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		is.Equal(m.Counters().Snapshots.Load(), uint64(1))
		log.readFromStart = false
		second, other := reopen(t, log)
		defer other.Close()
		is.Equal(len(bodies(second)), 10)
		is.True(!log.readFromStart)
	})
}

// TestSnapshotOfSupersededOwnerIsValid appends an old snapshot after a newer one: recovery from it must give the
// current state.
func TestSnapshotOfSupersededOwnerIsValid(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		written := fillStream(t, log, 30)
		second, m := reopen(t, log)
		defer m.Close()
		_, err := second.Append(context.Background(), proposal("after"))
		is.NoErr(err)
		stale := &replica{state: &journal{}}
		for _, payload := range log.contents(testStream)[:7] {
			stale.apply(payload)
		}
		encoded, err := encodeSnapshot(stale)
		is.NoErr(err)
		payloads, err := splitSnapshot(encoded, stale.fold.Next(), 64)
		is.NoErr(err)
		is.NoErr(writeSnapshot(context.Background(), log, testStream, payloads))
		third, m := reopen(t, log)
		defer m.Close()
		is.Equal(bodies(third), append(slices.Clone(written), "after"))
		is.Equal(third.Epoch(), uint64(3))
	})
}

// TestClaimsTriggerSnapshot checks that a stream of claims without records is covered by snapshots, so that opening it
// does not read all claims.
func TestClaimsTriggerSnapshot(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		for range 5 * snapshotSettings.SnapshotEvery {
			_, m := reopen(t, log)
			time.Sleep(time.Second)
			m.Close()
		}
		_, m := reopen(t, log)
		defer m.Close()
		is.True(m.Counters().OpenEntries.Load() <= uint64(snapshotSettings.SnapshotEvery)+8)
	})
}

// TestSnapshotBytesLimit checks that snapshots of a growing state take at most three times the bytes of the records.
func TestSnapshotBytesLimit(t *testing.T) {
	inVirtualTime(t, func(is *is.I, log *fakeLog) {
		config := testConfig(log, "a")
		config.Settings = Settings{SnapshotEvery: 1}
		m := NewManager(config)
		defer m.Close()
		o := open(t, m)
		for range 300 {
			_, err := o.Append(context.Background(), proposal(strings.Repeat("x", 100)))
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
		}
		counters := m.Counters()
		is.True(counters.Snapshots.Load() > 4)
		is.True(counters.SnapshotBytes.Load() <= 3*counters.AppendBytes.Load())
	})
}

// copyLog returns a log with the contents of the given streams.
func copyLog(streams map[string][][]byte) *fakeLog {
	log := newFakeLog()
	for stream, payloads := range streams {
		_, _ = log.Service.Append(context.Background(), stream, payloads)
	}
	return log
}
