package jobs_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// settle records that no more results of a job are listed, as its owner does.
func settle(t *testing.T, store *memorylog.Store, id string) {
	t.Helper()
	appended, err := store.For("owner").Append(
		context.Background(), job.PartitionOf(spec(id), partitions, nil), []keyedlog.Record{job.EncodeSettledMarker(id)}, nil)
	if err != nil {
		t.Fatal(err)
	}
	record, err := job.EncodeSettled(id, appended.End, job.SlotTime{})
	if err == nil {
		_, err = store.For("owner").Append(context.Background(), keyedlog.JobIndex, []keyedlog.Record{record}, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// countReads counts the reads of job partitions by one caller.
func countReads(store *memorylog.Store, caller string, count *atomic.Int32) {
	store.SetRule(func(call memorylog.Call) memorylog.Fault {
		if call.Caller == caller && call.Partition.Topic == keyedlog.TopicJobs && call.Operation != "append" {
			count.Add(1)
		}
		return memorylog.None
	})
}

// TestJobReadOnlyWhileRequested checks that a node reads nothing of a job before it receives a call on it, reads it while
// calls come, and stops a few seconds after the last one.
func TestJobReadOnlyWhileRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		var reads atomic.Int32
		countReads(store, "other", &reads)
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		listResult(t, store, "one", 0, "i1")
		time.Sleep(10 * time.Second)
		is.Equal(reads.Load(), int32(0))

		listing, outcome := other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 1)
		is.True(reads.Load() > 0)
		time.Sleep(10 * time.Second)
		before := reads.Load()
		time.Sleep(10 * time.Second)
		is.Equal(reads.Load(), before)

		listResult(t, store, "one", 1, "i2")
		listing, outcome = other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 2)
	})
}

// TestSettledJobReadUpToLastResult checks that a settled job is read up to its last result only, however many records
// follow.
func TestSettledJobReadUpToLastResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Reads take some time, so that the reader processes the result of each before it starts the next.
		store := memorylog.New(memorylog.Config{Partitions: partitions, Delay: 5 * time.Millisecond})
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		listResult(t, store, "one", 0, "i1")
		is.Equal(gateway.service.End(t.Context(), "one"), jobs.Done)
		settle(t, store, "one")
		for i := range 40 {
			later := spec(fmt.Sprint("later", i))
			for index := range later.Items {
				later.Items[index].Body = make([]byte, 50<<10)
			}
			is.Equal(gateway.service.Submit(t.Context(), later), jobs.Done)
		}
		var reads atomic.Int32
		countReads(store, "other", &reads)
		time.Sleep(time.Second)
		listing, outcome := other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 1)
		time.Sleep(3 * time.Second)
		is.True(reads.Load() <= 2)
	})
}

// TestJobSettlesDuringRead checks that a reader that has all results of a job answers although it has not read everything
// that was appended after them.
func TestJobSettlesDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		listResult(t, store, "one", 0, "i1")
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "other" && call.Partition.Topic == keyedlog.TopicJobs {
				return memorylog.Down
			}
			return memorylog.None
		})
		time.AfterFunc(500*time.Millisecond, func() {
			settle(t, store, "one")
			store.Heal()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		listing, outcome := other.service.Results(ctx, "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 1)
		listing, outcome = other.service.Results(ctx, "one", 0, time.Second)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 1)
	})
}

// TestReadsAfterStoreTrim checks that results and bodies are read from the newest record of each key if the store has
// dropped its history.
func TestReadsAfterStoreTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		listResult(t, store, "one", 0, "i1")
		listResult(t, store, "one", 1, "i3")
		is.Equal(gateway.service.End(t.Context(), "one"), jobs.Done)
		settle(t, store, "one")
		store.Forget()
		other := newNode(t, store, "other")
		listing, outcome := other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 2)
		body, outcome := other.service.Body(t.Context(), "one", "i2")
		is.Equal(outcome, jobs.Done)
		is.Equal(len(body), 500)
	})
}

// TestBodyTakesTwoReads checks that the body of an item is read without the other items, and that bodies are also found in a
// submission whose records are not contiguous.
func TestBodyTakesTwoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		small := spec("one")
		for index := range small.Items {
			small.Items[index].Body = make([]byte, 20+index)
		}
		is.Equal(gateway.service.Submit(t.Context(), small), jobs.Done)
		is.Equal(gateway.service.Submit(t.Context(), spec("parts")), jobs.Done)
		synctest.Wait()
		var reads atomic.Int32
		countReads(store, "gateway", &reads)
		body, outcome := gateway.service.Body(t.Context(), "one", "i3")
		is.Equal(outcome, jobs.Done)
		is.Equal(len(body), 22)
		is.Equal(reads.Load(), int32(2))
		// The items of this job are too large for one record and are split into parts.
		body, outcome = gateway.service.Body(t.Context(), "parts", "i3")
		is.Equal(outcome, jobs.Done)
		is.Equal(len(body), 500)
	})
}

// TestAbandonedReaderStops checks that a node stops reading a job once its only caller has left before the reader caught up,
// and reads it again for the next caller.
func TestAbandonedReaderStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		listResult(t, store, "one", 0, "i1")
		var reads atomic.Int32
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "other" && call.Partition.Topic == keyedlog.TopicJobs {
				reads.Add(1)
				return memorylog.Down
			}
			return memorylog.None
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, outcome := other.service.Results(ctx, "one", 0, 0)
		is.Equal(outcome, jobs.Unsure)
		time.Sleep(100 * time.Millisecond)
		before := reads.Load()
		is.True(before > 0)
		time.Sleep(3 * time.Second)
		is.Equal(reads.Load(), before)
		store.Heal()
		listing, outcome := other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 1)
	})
}

// TestReadAfterStoreTrimSkipsOtherJobs has the store drop its history while a partition contains many other jobs. Without
// prefix reads, a node read the newest record of every key of the partition, for the results of a job and for each body:
// some 10 MB after half a minute of four trainers, which takes longer than a call waits on a slow link.
func TestReadAfterStoreTrimSkipsOtherJobs(t *testing.T) {
	const others, maxPages = 40, 3
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		for number := range others {
			id := fmt.Sprintf("other%02d", number)
			is.Equal(gateway.service.Submit(t.Context(), spec(id)), jobs.Done)
			listResult(t, store, id, 0, "i1")
		}
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		listResult(t, store, "one", 0, "i1")
		listResult(t, store, "one", 1, "i3")
		settle(t, store, "one")
		store.Forget()
		other := newNode(t, store, "other")
		time.Sleep(time.Second)
		var reads atomic.Int32
		countReads(store, "other", &reads)
		listing, outcome := other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 2)
		// One read reports that the history is gone, and one that nothing follows.
		is.True(reads.Load() <= maxPages+2)
		reads.Store(0)
		body, outcome := other.service.Body(t.Context(), "one", "i2")
		is.Equal(outcome, jobs.Done)
		is.Equal(len(body), 500)
		// The submission has keys under two prefixes, with three records to a page.
		is.True(reads.Load() <= maxPages+4)
		_, outcome = other.service.Body(t.Context(), "one", "none")
		is.Equal(outcome, jobs.NotFound)
	})
}
