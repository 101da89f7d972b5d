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

// ordered keeps the offsets that were applied.
type ordered struct{ offsets []int64 }

func (o *ordered) Apply(record keyedlog.Record, _ bool) { o.offsets = append(o.offsets, record.Offset) }
func (o *ordered) Advanced(int64)                       {}

// slowLog gives few records a read.
type slowLog struct{ keyedlog.Log }

func (l slowLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	span.MaxBytes = 5
	return l.Log.Read(ctx, partition, span)
}

// TestPartsReadTogetherAreAppliedInOrder reads ranges of many lengths from a store that gives a few records a call: each record is
// applied once and in order, and the reads of the parts take place at once.
func TestPartsReadTogetherAreAppliedInOrder(t *testing.T) {
	for _, bounds := range [][2]int64{{0, 0}, {0, 1}, {0, 3}, {0, 40}, {7, 40}, {39, 40}, {13, 30}} {
		t.Run(fmt.Sprint(bounds), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const delay = 10 * time.Millisecond
				store := memorylog.New(memorylog.Config{Partitions: 4, Delay: delay})
				for i := range 40 {
					put(t, store, fmt.Sprint(i), "x")
				}
				applied := new(ordered)
				started := time.Now()
				log := slowLog{store.For("node")}
				is.NoErr(follow.RangeTogether(t.Context(), log, partition, bounds[0], bounds[1], applied))
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

// TestAPartThatCannotBeReadFailsTheRange checks that nothing is taken for whole that is not.
func TestAPartThatCannotBeReadFailsTheRange(t *testing.T) {
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
		is.True(follow.RangeTogether(t.Context(), store.For("node"), partition, 0, 40, new(ordered)) != nil)
		store.Heal()
		store.Forget()
		forgotten := new(ordered)
		is.NoErr(follow.RangeTogether(t.Context(), store.For("node"), partition, 0, 40, forgotten))
		is.True(len(forgotten.offsets) >= 40)
	})
}

// TestTheNewestOfAPrefix checks which keys are read of a partition whose keys begin alike.
func TestTheNewestOfAPrefix(t *testing.T) {
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
			read := new(keys)
			is.NoErr(follow.NewestOf(t.Context(), store.For("test"), partition, test.prefix, read))
			is.Equal([]string(*read), test.want)
		})
	}
}

// keys notes the keys of the records that it is given.
type keys []string

func (k *keys) Apply(record keyedlog.Record, _ bool) { *k = append(*k, record.Key) }
func (k *keys) Advanced(int64)                       {}

// TestARangeThatIsGoneIsReadOnce reads a range in parts of which the store has dropped the records. Each part read the newest record of every
// key then, the same ones four times over: an owner that took a partition over from a store that keeps some seconds of history had
// its items wait for that.
func TestARangeThatIsGoneIsReadOnce(t *testing.T) {
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
	read := new(keys)
	is.NoErr(follow.RangeTogether(t.Context(), store.For("test"), partition, 0, end, read))
	is.Equal(len(*read), records)
	is.Equal(pages.Load(), int32(records/perPage))
}
