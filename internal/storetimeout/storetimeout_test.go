package storetimeout

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

var partition = keyedlog.Partition{Topic: keyedlog.TopicJobs}

// appendOnce makes one append and returns how long it took.
func appendOnce(t *testing.T, log keyedlog.Log) (time.Duration, error) {
	started := time.Now()
	_, err := log.Append(t.Context(), partition, []keyedlog.Record{{Key: "k", Value: []byte("v")}}, nil)
	return time.Since(started), err
}

// usedStore returns a quick store, and a log that has learnt how quick it is.
func usedStore(t *testing.T) (*memorylog.Store, *Log) {
	is := is.New(t)
	store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
	log := New(store.For("node"))
	for range 20 {
		_, err := appendOnce(t, log)
		is.NoErr(err)
	}
	return store, log
}

// TestAnAnswerEndsTheWaitForLostOnes is what delayed orders and listings after outages in which the store says nothing: an append
// that was sent a moment before its return waited for two seconds more, though reads were answered all the while.
func TestAnAnswerEndsTheWaitForLostOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, log := usedStore(t)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Silent })
		for range 8 {
			_, err := appendOnce(t, log)
			is.True(err != nil)
		}
		is.Equal(log.writes.timeout(), most)
		failed := make(chan time.Duration, 1)
		go func() {
			took, err := appendOnce(t, log)
			is.True(err != nil)
			failed <- took
		}()
		time.Sleep(50 * time.Millisecond)
		store.Heal()
		// The first answer tells of the return, the next one that calls sent before it are lost.
		for range 2 {
			_, err := log.Newest(t.Context(), partition, "")
			is.NoErr(err)
		}
		is.True(<-failed < least)
		is.Equal(log.writes.timeout(), most) // it says nothing new of the store
	})
}

// TestAnswersEndNoOtherWait checks that a call which takes long, as one of much data does while all processes read, goes on while
// others are answered.
func TestAnswersEndNoOtherWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
		log := New(store.For("node"))
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation == "append" {
				return memorylog.Silent
			}
			return memorylog.None
		})
		waited := make(chan time.Duration, 1)
		go func() {
			took, _ := appendOnce(t, log)
			waited <- took
		}()
		for range 20 {
			_, err := log.Newest(t.Context(), partition, "")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(<-waited, initial)
	})
}

// TestALostAnswerCostsLittle checks that a caller of a quick store waits briefly for an answer that doesn't come, and longer
// each time, up to what a slow store takes.
func TestALostAnswerCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, log := usedStore(t)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Silent })
		var waits []time.Duration
		for range 8 {
			took, err := appendOnce(t, log)
			is.True(err != nil)
			waits = append(waits, took)
		}
		is.Equal(waits[0], least)
		for i := 1; i < len(waits); i++ {
			is.True(waits[i] >= waits[i-1])
		}
		is.Equal(waits[len(waits)-1], most)
		store.Heal()
		_, err := appendOnce(t, log)
		is.NoErr(err)
		is.Equal(log.writes.timeout(), least)
	})
}

// TestASlowStoreIsWaitedFor checks that a store that has become sixty times slower is served again after few calls that
// were given up too early.
func TestASlowStoreIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		quick := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
		slow := memorylog.New(memorylog.Config{Partitions: 1, Delay: 300 * time.Millisecond})
		log := New(quick.For("node"))
		for range 20 {
			_, err := appendOnce(t, log)
			is.NoErr(err)
		}
		log.Log = slow.For("node")
		failures := 0
		for range 10 {
			if _, err := appendOnce(t, log); err != nil {
				failures++
			}
		}
		is.True(failures <= 3)
	})
}

// TestRefusalsAreNoTimeouts checks that a store that refuses at once does not lengthen the wait.
func TestRefusalsAreNoTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, log := usedStore(t)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		for range 10 {
			_, err := appendOnce(t, log)
			is.True(errors.Is(err, keyedlog.ErrNotDone))
		}
		is.Equal(log.writes.timeout(), least)
	})
}

// TestHeldReadsOfASlowStoreAreWaitedFor checks that reads which the store holds open are given more time after some brought
// nothing. A process that gave each of them the same short time would read the same records for ever and take none.
func TestHeldReadsOfASlowStoreAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		quick := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
		slow := memorylog.New(memorylog.Config{Partitions: 1, Delay: 2200 * time.Millisecond})
		_, err := slow.For("other").Append(t.Context(), partition, []keyedlog.Record{{Key: "k", Value: []byte("v")}}, nil)
		is.NoErr(err)
		log := New(quick.For("node"))
		for range 20 {
			_, err := log.Read(t.Context(), partition, keyedlog.Span{})
			is.NoErr(err)
		}
		log.Log = slow.For("node")
		failures := 0
		for range 10 {
			if _, err := log.Read(t.Context(), partition, keyedlog.Span{Wait: time.Second}); err != nil {
				failures++
			}
		}
		is.True(failures <= 4)
	})
}

// TestLargePagesHaveTimeoutsOfTheirOwn reads small pages of one topic all the while, and pages of another that take three times as long as
// any timeout that the small ones lead to. None of the large ones may be given up: each would be sent in vain and asked for again.
func TestLargePagesHaveTimeoutsOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 36_000
		store := memorylog.New(memorylog.Config{Partitions: 1, ReadRate: size * 10 / 4, PageRecords: 1, Delay: 4 * time.Millisecond})
		large := keyedlog.Partition{Topic: keyedlog.TopicEngines}
		_, err := store.For("writer").Append(t.Context(), large, []keyedlog.Record{{Key: "k", Value: make([]byte, size)}}, nil)
		is.NoErr(err)
		log := New(store.For("node"))
		for range 50 {
			_, err := log.Newest(t.Context(), partition, "")
			is.NoErr(err)
		}
		for range 5 {
			_, err := log.Newest(t.Context(), large, "")
			is.NoErr(err)
			_, err = log.Newest(t.Context(), partition, "")
			is.NoErr(err)
		}
	})
}

// TestABacklogIsReadOnASlowLink has a process that was away read megabytes of records over a link that brings a fifth of what one read may
// return before it is given up. It must be through in little more than the bytes take, and nearly all of them must be of use.
func TestABacklogIsReadOnASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			records    = 400
			recordSize = 10 << 10
			total      = records * recordSize
			bytesPerS  = 100 << 10
			useful     = 0.8
		)
		store := memorylog.New(memorylog.Config{Partitions: 1, ReadRate: bytesPerS, Delay: 4 * time.Millisecond})
		engines := keyedlog.Partition{Topic: keyedlog.TopicEngines}
		for range records {
			_, err := store.For("writer").Append(t.Context(), engines, []keyedlog.Record{{Key: "k", Value: make([]byte, recordSize)}}, nil)
			is.NoErr(err)
		}
		log := New(store.For("node"))
		started := time.Now()
		for next := int64(0); next < records && time.Since(started) < time.Minute; {
			batch, err := log.Read(t.Context(), engines, keyedlog.Span{From: next, Wait: time.Second})
			if err == nil {
				next += int64(len(batch.Records))
			}
		}
		is.True(time.Since(started).Seconds() < total/bytesPerS/useful)
		is.True(float64(store.Sent()) < total/useful)
	})
}
