package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
)

// TestReaderThatLagsDeniesNoResult guards against a read that brings nothing at a position which another node has given out a second
// before. The node's reader of the job runs for an earlier caller and has caught up once, but since then it is seconds behind the partition, because its
// link is slow and other jobs append more than it carries, or because the answer with its first records is still on the way.
func TestReaderThatLagsDeniesNoResult(t *testing.T) {
	const (
		bytesPerSecond = 1e6
		recordBytes    = 100 << 10
		callTimeout    = 2 * time.Second
	)
	for name, records := range map[string]int{"behind": 60, "answer on the way": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				fast := newNode(t, store, "fast")
				slow := newNodeWithLog(t, &slowLink{Log: store.For("slow"), bytesPerSecond: bytesPerSecond, busy: make(chan struct{}, 1)})
				is.Equal(fast.service.Submit(t.Context(), spec("one")), jobs.Done)
				listResult(t, store, "one", 0, "i1")
				time.Sleep(time.Second)
				// An earlier caller of the slow node waits for the next result.
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go slow.service.Results(ctx, "one", 1, time.Minute)
				time.Sleep(2 * time.Second)

				others := make([]keyedlog.Record, records)
				for i := range others {
					others[i] = keyedlog.Record{Key: fmt.Sprint("p/other/", i), Value: make([]byte, recordBytes)}
				}
				_, err := store.For("owner").Append(t.Context(), job.PartitionOf(spec("one"), partitions, nil), others, nil)
				is.NoErr(err)
				listResult(t, store, "one", 1, "i2")
				listing, outcome := fast.service.Results(t.Context(), "one", 1, 0)
				is.True(outcome == jobs.Done && len(listing.Results) == 1)
				time.Sleep(1100 * time.Millisecond)

				callCtx, cancelCall := context.WithTimeout(t.Context(), callTimeout)
				defer cancelCall()
				listing, outcome = slow.service.Results(callCtx, "one", 1, 0)
				is.True(outcome == jobs.Unsure || len(listing.Results) == 1)
			})
		})
	}
}
