package follow_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// offsetRecorder records the offsets that were applied.
type offsetRecorder struct{ offsets []int64 }

func (o *offsetRecorder) Apply(record keyedlog.Record, _ bool) {
	o.offsets = append(o.offsets, record.Offset)
}
func (o *offsetRecorder) Advanced(int64) {}

// smallBatchLog returns few records per read.
type smallBatchLog struct{ keyedlog.Log }

func (l smallBatchLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	span.MaxBytes = 5
	return l.Log.Read(ctx, partition, span)
}

// TestConcurrentRangeAppliesInOrder reads ranges of many lengths from a store that returns a few records per call: each
// record is applied once and in order, and the parts are read concurrently.
func TestConcurrentRangeAppliesInOrder(t *testing.T) {
	for _, bounds := range [][2]int64{{0, 0}, {0, 1}, {0, 3}, {0, 40}, {7, 40}, {39, 40}, {13, 30}} {
		t.Run(fmt.Sprint(bounds), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const delay = 10 * time.Millisecond
				store := memorylog.New(memorylog.Config{Partitions: 4, Delay: delay})
				for i := range 40 {
					put(t, store, fmt.Sprint(i), "x")
				}
				applied := new(offsetRecorder)
				started := time.Now()
				log := smallBatchLog{store.For("node")}
				is.NoErr(follow.RangeConcurrently(t.Context(), log, partition, bounds[0], bounds[1], applied))
				count := int(bounds[1] - bounds[0])
				is.Equal(len(applied.offsets), count)
				for i, offset := range applied.offsets {
					is.Equal(offset, bounds[0]+int64(i))
				}
				is.True(time.Since(started) <= time.Duration(1+count/4)*delay)
			})
		})
	}
}

// TestConcurrentRangeFailsOnReadError checks that a range is not reported as complete if one of its parts could not be
// read.
func TestConcurrentRangeFailsOnReadError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4, Delay: time.Millisecond})
		for i := range 40 {
			put(t, store, fmt.Sprint(i), "x")
		}
		reads := 0
		store.SetRule(func(memorylog.Call) memorylog.Fault {
			reads++
			if reads == 3 {
				return memorylog.Down
			}
			return memorylog.None
		})
		is.True(follow.RangeConcurrently(t.Context(), store.For("node"), partition, 0, 40, new(offsetRecorder)) != nil)
		store.Heal()
		store.Forget()
		trimmed := new(offsetRecorder)
		is.NoErr(follow.RangeConcurrently(t.Context(), store.For("node"), partition, 0, 40, trimmed))
		is.True(len(trimmed.offsets) >= 40)
	})
}

// TestNewestOfPrefix checks which keys are read from a partition with similar keys.
func TestNewestOfPrefix(t *testing.T) {
	tests := []struct {
		prefix string
		want   []string
	}{
		{"r/one", []string{"r/one", "r/one/1", "r/one/10", "r/one/2", "r/one/2#0", "r/one1"}},
		{"r/one/", []string{"r/one/1", "r/one/10", "r/one/2", "r/one/2#0"}},
		{"r/two/", nil},
		{"~", nil},
		{"", []string{"a", "r", "r/on", "r/one", "r/one/1", "r/one/10", "r/one/2", "r/one/2#0", "r/one1", "r/onf", "z"}},
	}
	for _, test := range tests {
		t.Run(test.prefix, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: 1})
			for _, key := range []string{"z", "r/one/2", "r/one/10", "r/one", "a", "r/one1", "r/on", "r", "r/one/1", "r/onf", "r/one/2#0"} {
				put(t, store, key, "value")
			}
			store.Forget()
			read := new(keyRecorder)
			is.NoErr(follow.NewestWithPrefix(t.Context(), store.For("test"), partition, test.prefix, read))
			is.Equal([]string(*read), test.want)
		})
	}
}

// keyRecorder records the keys that were applied.
type keyRecorder []string

func (k *keyRecorder) Apply(record keyedlog.Record, _ bool) { *k = append(*k, record.Key) }
func (k *keyRecorder) Advanced(int64)                       {}

// TestTrimmedRangeReadsNewestOnce reads a range in parts after the store has dropped its records. Without the shared
// read each of the four parts would read the newest record of every key, which delayed the items of an owner that took
// over a partition from a store that retains only some seconds of history.
func TestTrimmedRangeReadsNewestOnce(t *testing.T) {
	const records, perPage = 60, 3
	is := is.New(t)
	store := memorylog.New(memorylog.Config{Partitions: 1})
	var end int64
	for number := range records {
		end = put(t, store, fmt.Sprintf("key%02d", number), "value")
	}
	store.Forget()
	var pages atomic.Int32
	store.SetRule(func(call memorylog.Call) memorylog.Fault {
		if call.Operation == "newest" {
			pages.Add(1)
		}
		return memorylog.None
	})
	read := new(keyRecorder)
	is.NoErr(follow.RangeConcurrently(t.Context(), store.For("test"), partition, 0, end, read))
	is.Equal(len(*read), records)
	is.Equal(pages.Load(), int32(records/perPage))
}
