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

// settle ends the listing of a job as its owner does.
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

// countReads counts the reads of jobs' partitions by one caller.
func countReads(store *memorylog.Store, caller string, count *atomic.Int32) {
	store.SetRule(func(call memorylog.Call) memorylog.Fault {
		if call.Caller == caller && call.Partition.Topic == keyedlog.TopicJobs && call.Operation != "append" {
			count.Add(1)
		}
		return memorylog.None
	})
}

// TestNobodyReadsWhatNobodyAsksFor checks that a node reads nothing of a job before it is asked, reads it while it is, and
// stops some seconds after.
func TestNobodyReadsWhatNobodyAsksFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		var reads atomic.Int32
		countReads(store, "other", &reads)
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		list(t, store, "one", 0, "i1")
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

		list(t, store, "one", 1, "i2")
		listing, outcome = other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 2)
	})
}

// TestASettledJobIsReadNoFurther checks that the results of a settled job are read up to the last one, however much lies behind.
func TestASettledJobIsReadNoFurther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Reads take time, so that the reader learns of each before it begins the next.
		store := memorylog.New(memorylog.Config{Partitions: partitions, Delay: 5 * time.Millisecond})
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		list(t, store, "one", 0, "i1")
		is.Equal(gateway.service.End(t.Context(), "one"), jobs.Done)
		settle(t, store, "one")
		for i := range 40 {
			later := spec(fmt.Sprint("later", i))
			for place := range later.Items {
				later.Items[place].Body = make([]byte, 50<<10)
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

// TestAJobThatIsSettledWhileItIsReadAnswers checks that a reader which has all results, but not all that lies behind them,
// answers.
func TestAJobThatIsSettledWhileItIsReadAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		list(t, store, "one", 0, "i1")
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

// TestReadsAfterTheStoreHasForgotten checks that results and bodies are read from the newest record of each key where the
// store has dropped its history.
func TestReadsAfterTheStoreHasForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		list(t, store, "one", 0, "i1")
		list(t, store, "one", 1, "i3")
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

// TestABodyCostsTwoReads checks that the body of an item is read without the other items, and that a submission whose records
// don't lie one after another gives its bodies too.
func TestABodyCostsTwoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		small := spec("one")
		for place := range small.Items {
			small.Items[place].Body = make([]byte, 20+place)
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
		// Its items are too large for a record and lie in parts.
		body, outcome = gateway.service.Body(t.Context(), "parts", "i3")
		is.Equal(outcome, jobs.Done)
		is.Equal(len(body), 500)
	})
}

// TestAReaderThatIsGivenUpReadsNoFurther checks that a node stops reading a job once its only caller has left before the node
// was in step, and reads it again for the next caller.
func TestAReaderThatIsGivenUpReadsNoFurther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway, other := newNode(t, store, "gateway"), newNode(t, store, "other")
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		list(t, store, "one", 0, "i1")
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

// TestAJobIsReadAloneAfterTheStoreHasForgotten has the store drop its history while a partition holds many other jobs. Of a job that is asked
// for, a node then read the newest record of every key of the partition, for its results and for each body: some 10 MB after half a
// minute of four trainers, more than a call waits for on a thin link.
func TestAJobIsReadAloneAfterTheStoreHasForgotten(t *testing.T) {
	const others, pagesMost = 40, 3
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		for number := range others {
			id := fmt.Sprintf("other%02d", number)
			is.Equal(gateway.service.Submit(t.Context(), spec(id)), jobs.Done)
			list(t, store, id, 0, "i1")
		}
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		list(t, store, "one", 0, "i1")
		list(t, store, "one", 1, "i3")
		settle(t, store, "one")
		store.Forget()
		other := newNode(t, store, "other")
		time.Sleep(time.Second)
		var reads atomic.Int32
		countReads(store, "other", &reads)
		listing, outcome := other.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
		is.Equal(listing.Next, 2)
		// One read says that the history is gone, and one that nothing follows.
		is.True(reads.Load() <= pagesMost+2)
		reads.Store(0)
		body, outcome := other.service.Body(t.Context(), "one", "i2")
		is.Equal(outcome, jobs.Done)
		is.Equal(len(body), 500)
		// The submission lies under two prefixes, three records to a page.
		is.True(reads.Load() <= pagesMost+4)
		_, outcome = other.service.Body(t.Context(), "one", "none")
		is.Equal(outcome, jobs.NotFound)
	})
}
