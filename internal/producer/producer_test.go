package producer_test

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/producer"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

var partition = keyedlog.Partition{Topic: keyedlog.TopicJobs}

const late = 2 * time.Second

func newStore(rule func(memorylog.Call) memorylog.Fault) *memorylog.Store {
	store := memorylog.New(memorylog.Config{Partitions: 1, Late: late})
	store.SetRule(rule)
	return store
}

func record(key string, value int) []keyedlog.Record {
	return []keyedlog.Record{{Key: key, Value: []byte(strconv.Itoa(value))}}
}

// send sends an append until the store confirms it or the context ends.
func send(ctx context.Context, pending *producer.Append) error {
	for {
		if _, err := pending.Send(ctx); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestRepeatedAppendIsStoredOnce guards against records that are stored twice: an append gets no answer and is sent again, and the store
// applies the first call later.
func TestRepeatedAppendIsStoredOnce(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewSource(seed))
			store := newStore(func(memorylog.Call) memorylog.Fault {
				return []memorylog.Fault{memorylog.None, memorylog.LostAfter, memorylog.LostBefore, memorylog.LostLate, memorylog.Down}[random.Intn(5)]
			})
			const appends, writers = 40, 4
			tested := producer.New(store.For("process"))
			var running sync.WaitGroup
			for writer := range writers {
				running.Go(func() {
					for i := range appends {
						pending := tested.Begin(partition, record(fmt.Sprint(writer, "/", i), i))
						is.NoErr(send(t.Context(), pending))
						pending.Close()
					}
				})
			}
			running.Wait()
			time.Sleep(2 * late)
			stored := make(map[string]int)
			for _, found := range store.Records(partition) {
				stored[found.Key]++
				is.Equal(stored[found.Key], 1)
			}
			is.Equal(len(stored), appends*writers)
		})
	}
}

// TestAbandonedAppendIsNotStoredBehindLaterOne guards against an old value that replaces a newer one: the writer of a value gives its
// append up and appends the value of the moment, and the store applies the old append after that.
func TestAbandonedAppendIsNotStoredBehindLaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := true
		store := newStore(func(memorylog.Call) memorylog.Fault {
			if lost {
				return memorylog.LostLate
			}
			return memorylog.None
		})
		tested := producer.New(store.For("process"))
		_, err := tested.Append(t.Context(), partition, record("key", 1))
		is.True(err != nil)
		lost = false
		_, err = tested.Append(t.Context(), partition, record("key", 2))
		is.NoErr(err)
		time.Sleep(2 * late)
		stored := store.Records(partition)
		is.Equal(string(stored[len(stored)-1].Value), "2")
	})
}

// TestAppendAfterAbandonedOneIsStored guards against appends that are dropped silently: an append has the sequence number of one that
// was given up and that the store has applied.
func TestAppendAfterAbandonedOneIsStored(t *testing.T) {
	for _, fault := range []memorylog.Fault{memorylog.LostAfter, memorylog.LostBefore, memorylog.LostLate, memorylog.Down, memorylog.Throttled} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			current := memorylog.None
			store := newStore(func(memorylog.Call) memorylog.Fault { return current })
			tested := producer.New(store.For("process"))
			for i := range 10 {
				current = memorylog.None
				_, err := tested.Append(t.Context(), partition, record(fmt.Sprint("confirmed", i), i))
				is.NoErr(err)
				current = fault
				_, err = tested.Append(t.Context(), partition, record(fmt.Sprint("abandoned", i), i))
				is.True(err != nil)
			}
			confirmed := 0
			for _, found := range store.Records(partition) {
				if found.Key[0] == 'c' {
					confirmed++
				}
			}
			is.Equal(confirmed, 10)
		})
	}
}

// TestAppendThatWasNotSentTakesNoNumber guards against an append that the store refuses once as out of sequence: the one before it was begun and
// closed without a send.
func TestAppendThatWasNotSentTakesNoNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore(func(memorylog.Call) memorylog.Fault { return memorylog.None })
		tested := producer.New(store.For("process"))
		for i := range 3 {
			tested.Begin(partition, record("unsent", i)).Close()
			_, err := tested.Append(t.Context(), partition, record("sent", i))
			is.NoErr(err)
		}
		is.Equal(len(store.Records(partition)), 3)
	})
}
