package jobs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// lateOnce returns a rule that has the store apply the first append of a caller to each of the topics later, without an answer.
func lateOnce(caller string, topics ...keyedlog.Topic) func(memorylog.Call) memorylog.Fault {
	pending := make(map[keyedlog.Topic]bool)
	for _, topic := range topics {
		pending[topic] = true
	}
	return func(call memorylog.Call) memorylog.Fault {
		if call.Operation != "append" || call.Caller != caller || !pending[call.Partition.Topic] {
			return memorylog.None
		}
		delete(pending, call.Partition.Topic)
		return memorylog.LostLate
	}
}

// TestSubmissionIsStoredOnce guards against copies of a job's items behind its results, and of its entry behind other entries: an append
// without an answer is repeated, and the store applies the first call later.
func TestSubmissionIsStoredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		gateway := newNode(t, store, "gateway")
		store.SetRule(lateOnce("gateway", keyedlog.TopicJobs, keyedlog.TopicJobIndex))
		is.Equal(gateway.service.Submit(t.Context(), spec("one")), jobs.Done)
		is.Equal(gateway.service.End(t.Context(), "one"), jobs.Done)
		time.Sleep(4 * time.Second)
		for _, partition := range []keyedlog.Partition{job.PartitionOf(spec("one"), partitions, nil), keyedlog.JobIndex} {
			stored := make(map[string]int)
			for _, record := range store.Records(partition) {
				stored[record.Key]++
				is.Equal(stored[record.Key], 1)
			}
		}
	})
}

// newLaggingNode returns a node that has just read the index and does not read it again for 10 s. Another node stores a job for that.
func newLaggingNode(t *testing.T, store *memorylog.Store, other *node) *node {
	t.Helper()
	lagging := newNodeWithIndexPause(t, store.For("lagging"), 10*time.Second)
	time.Sleep(time.Second)
	if outcome := other.service.Submit(t.Context(), spec("zero")); outcome != jobs.Done {
		t.Fatal(outcome)
	}
	time.Sleep(100 * time.Millisecond)
	return lagging
}

// TestProcessesAgreeOnEntryOfJob guards against processes that read a job from different offsets: the store applies the append of an
// entry twice, another process stores an entry in between, and a process that starts later reads only the newest record of each key.
func TestProcessesAgreeOnEntryOfJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		first := newNode(t, store, "first")
		lagging := newLaggingNode(t, store, first)
		store.SetRule(lateOnce("first", keyedlog.TopicJobIndex))
		is.Equal(first.service.Submit(t.Context(), spec("one")), jobs.Done)
		is.Equal(lagging.service.Submit(t.Context(), spec("one")), jobs.Done)
		time.Sleep(4 * time.Second)
		last := newNode(t, store, "last")
		time.Sleep(time.Second)
		want, known := first.index.Job("one")
		is.True(known)
		got, known := last.index.Job("one")
		is.True(known)
		is.Equal(got.Entry, want.Entry)
		is.Equal(len(store.Records(keyedlog.JobIndex)), 3)
	})
}
