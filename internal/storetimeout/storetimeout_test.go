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

// appendOnce makes one append and returns its duration.
func appendOnce(t *testing.T, log keyedlog.Log) (time.Duration, error) {
	started := time.Now()
	_, err := log.Append(t.Context(), partition, []keyedlog.Record{{Key: "k", Value: []byte("v")}}, nil)
	return time.Since(started), err
}

// newFastStore returns a fast store, and a log whose estimator has adapted to it.
func newFastStore(t *testing.T) (*memorylog.Store, *Log) {
	is := is.New(t)
	store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
	log := New(store.For("node"))
	for range 20 {
		_, err := appendOnce(t, log)
		is.NoErr(err)
	}
	return store, log
}

// TestAnswersAfterOutageCancelLostCalls guards against slow recovery from outages in which the store does not respond: an append
// that had been sent a moment before the end of the outage waited for two seconds more although reads were answered, which
// delayed orders and listings.
func TestAnswersAfterOutageCancelLostCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, log := newFastStore(t)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Silent })
		for range 8 {
			_, err := appendOnce(t, log)
			is.True(err != nil)
		}
		is.Equal(log.writes.timeout(), maxTimeout)
		failed := make(chan time.Duration, 1)
		go func() {
			elapsed, err := appendOnce(t, log)
			is.True(err != nil)
			failed <- elapsed
		}()
		time.Sleep(50 * time.Millisecond)
		store.Heal()
		// The first answer shows that the store is back, the next one that calls sent before its return are lost.
		for range 2 {
			_, err := log.Newest(t.Context(), partition, "")
			is.NoErr(err)
		}
		is.True(<-failed < minTimeout)
		is.Equal(log.writes.timeout(), maxTimeout) // a cancelled call does not change the estimate
	})
}

// TestAnswersDoNotCancelSlowCalls checks that a slow call, such as one that transfers much data while all processes read, is not
// cancelled when others are answered.
func TestAnswersDoNotCancelSlowCalls(t *testing.T) {
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
			elapsed, _ := appendOnce(t, log)
			waited <- elapsed
		}()
		for range 20 {
			_, err := log.Newest(t.Context(), partition, "")
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(<-waited, initialTimeout)
	})
}

// TestTimeoutBacksOffWhenAnswersAreLost checks that a caller of a fast store waits briefly for an answer that is lost, and longer
// each time, up to the timeout for a slow store, and that the next answer resets the timeout.
func TestTimeoutBacksOffWhenAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, log := newFastStore(t)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Silent })
		var waits []time.Duration
		for range 8 {
			elapsed, err := appendOnce(t, log)
			is.True(err != nil)
			waits = append(waits, elapsed)
		}
		is.Equal(waits[0], minTimeout)
		for i := 1; i < len(waits); i++ {
			is.True(waits[i] >= waits[i-1])
		}
		is.Equal(waits[len(waits)-1], maxTimeout)
		store.Heal()
		_, err := appendOnce(t, log)
		is.NoErr(err)
		is.Equal(log.writes.timeout(), minTimeout)
	})
}

// TestTimeoutAdaptsToSlowerStore checks that calls to a store that has become sixty times slower succeed again after a few
// timeouts.
func TestTimeoutAdaptsToSlowerStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fast := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
		slow := memorylog.New(memorylog.Config{Partitions: 1, Delay: 300 * time.Millisecond})
		log := New(fast.For("node"))
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

// TestRefusalsDoNotLengthenTimeout checks that a store that refuses calls at once does not lengthen the timeout.
func TestRefusalsDoNotLengthenTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, log := newFastStore(t)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		for range 10 {
			_, err := appendOnce(t, log)
			is.True(errors.Is(err, keyedlog.ErrNotDone))
		}
		is.Equal(log.writes.timeout(), minTimeout)
	})
}

// TestHeldReadTimeoutAdaptsToSlowStore checks that reads which the store holds open have a longer timeout after some timed out.
// With a constant timeout, a process would request the same records forever and never receive them.
func TestHeldReadTimeoutAdaptsToSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fast := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond})
		slow := memorylog.New(memorylog.Config{Partitions: 1, Delay: 2200 * time.Millisecond})
		_, err := slow.For("other").Append(t.Context(), partition, []keyedlog.Record{{Key: "k", Value: []byte("v")}}, nil)
		is.NoErr(err)
		log := New(fast.For("node"))
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

// TestTopicsHaveSeparateTimeouts reads small pages of one topic, and pages of another that take three times as long as any
// timeout that is based on the small ones. None of the large reads may time out: the page would be sent in vain and requested
// again.
func TestTopicsHaveSeparateTimeouts(t *testing.T) {
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

// TestSmallReadsHaveSeparateTimeouts reads a partition's end and its last records, and then a page and a long read of the same topic,
// which take more than the minimum timeout. With a timeout based on the small reads, the replicas that poll results would abandon pages,
// and owners the reads of partitions that they take over.
func TestSmallReadsHaveSeparateTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 200_000
		store := memorylog.New(memorylog.Config{Partitions: 1, ReadRate: size * 4, Delay: 4 * time.Millisecond})
		for _, value := range [][]byte{make([]byte, size), []byte("v")} {
			_, err := store.For("writer").Append(t.Context(), partition, []keyedlog.Record{{Key: string(value[:1]), Value: value}}, nil)
			is.NoErr(err)
		}
		log := New(store.For("node"))
		for range 50 {
			_, err := log.Newest(t.Context(), partition, keyedlog.AfterAllKeys)
			is.NoErr(err)
			_, err = log.Read(t.Context(), partition, keyedlog.Span{From: 1, MaxBytes: 8 << 10})
			is.NoErr(err)
		}
		_, err := log.Newest(t.Context(), partition, "")
		is.NoErr(err)
		_, err = log.Read(t.Context(), partition, keyedlog.Span{})
		is.NoErr(err)
	})
}

// TestBacklogIsReadOverSlowLink has a process read a backlog of megabytes of records over a link that transfers a fifth of the
// maximum size of a read within its timeout. The total time may only be little more than the transfer of the bytes takes, and
// nearly all transferred bytes must be used.
func TestBacklogIsReadOverSlowLink(t *testing.T) {
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
