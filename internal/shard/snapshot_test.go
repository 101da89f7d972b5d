package shard

import (
	"bytes"
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

// fillStream has node a write records until a snapshot covers most of them, and lose its shard without a release.
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

// reopen has node b open the stream, and returns its owner and its manager, which the test must close.
func reopen(t *testing.T, log *fakeLog) (Owner, *Manager) {
	config := testConfig(log, "b")
	config.Settings = snapshotSettings
	m := NewManager(config)
	return open(t, m), m
}

func TestRecoveryReadsFromTheNewestUsableSnapshot(t *testing.T) {
	const records = 40
	drop := func(count int) func(*fakeLog) {
		return func(log *fakeLog) {
			stream := SnapshotStream(testStream)
			log.streams[stream] = log.streams[stream][:len(log.streams[stream])-count]
		}
	}
	cases := map[string]struct {
		damage func(log *fakeLog)
		// skipped is how many snapshots are found unusable; fromStart says that the whole stream must be read.
		skipped   uint64
		fromStart bool
	}{
		"whole":             {damage: func(*fakeLog) {}},
		"last chunk absent": {damage: drop(1)},
		"chunks doubled and out of order": {damage: func(log *fakeLog) {
			stream := SnapshotStream(testStream)
			last := len(log.streams[stream]) - 1
			log.streams[stream][last-1], log.streams[stream][last] = log.streams[stream][last], log.streams[stream][last-1]
			log.put(stream, [][]byte{log.streams[stream][last], []byte("noise")})
		}},
		"a byte flipped": {skipped: 1, damage: func(log *fakeLog) {
			newest := log.streams[SnapshotStream(testStream)]
			newest[len(newest)-1][len(newest[len(newest)-1])-1] ^= 1
		}},
		"none": {fromStart: true, damage: func(log *fakeLog) { delete(log.streams, SnapshotStream(testStream)) }},
		"ahead of the stream": {skipped: 1, fromStart: true, damage: func(log *fakeLog) {
			log.streams[testStream] = log.streams[testStream][:5]
		}},
		"nothing but noise": {fromStart: true, damage: func(log *fakeLog) {
			for _, payload := range log.streams[SnapshotStream(testStream)] {
				copy(payload, bytes.Repeat([]byte{0xff}, len(payload)))
			}
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := newFakeLog()
				log.roundTrip = time.Millisecond
				fillStream(t, log, records)
				is.True(len(log.streams[SnapshotStream(testStream)]) > 8) // several snapshots of several chunks
				test.damage(log)
				log.fromStart = false
				want, _ := refold(log.contents(testStream))
				o, m := reopen(t, log)
				defer m.Close()
				is.Equal(bodies(o), want)
				is.Equal(o.Epoch(), uint64(2))
				is.Equal(m.Counters().SnapshotsSkipped.Load(), test.skipped)
				is.Equal(log.fromStart, test.fromStart)
			})
		})
	}
}

func TestSnapshotOfASupersededOwnerIsStillRight(t *testing.T) {
	inBubble(t, func(is *is.I, log *fakeLog) {
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

func TestSnapshotsCostNoMoreThanThreeTimesTheRecords(t *testing.T) {
	inBubble(t, func(is *is.I, log *fakeLog) {
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
