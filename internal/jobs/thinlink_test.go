package jobs_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// thinLink is a store behind a link on which answers take their time, one after another.
type thinLink struct {
	keyedlog.Log
	bytesPerS float64
	turn      chan struct{}
}

// Read reads, and lets the answer take its time on the link.
func (l *thinLink) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	if span.Bytes == 0 {
		span.Bytes = 1 << 20
	}
	batch, err := l.Log.Read(ctx, partition, span)
	if err != nil {
		return batch, err
	}
	size := job.Size(batch.Records)
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return keyedlog.Batch{}, ctx.Err()
	}
	select {
	case <-time.After(time.Duration(float64(size) / l.bytesPerS * float64(time.Second))):
		return batch, nil
	case <-ctx.Done():
		return keyedlog.Batch{}, ctx.Err()
	}
}

// largeJob submits a job of a model and settles it; between its results lie so many bytes of others.
func largeJob(t *testing.T, store keyedlog.Log, gateway *node, model string, size int) job.Spec {
	t.Helper()
	const recordBytes = 100 << 10
	large := spec("job of " + model)
	large.Model = model
	if outcome := gateway.service.Submit(t.Context(), large); outcome != jobs.Done {
		t.Fatal(outcome)
	}
	partition := job.PartitionOf(large, partitions, nil)
	var end int64
	for place, item := range large.Items {
		records, err := job.EncodeResult(large.ID, place, job.Result{ItemID: item.ID, Text: "text"}, 1<<18)
		for number := range size / len(large.Items) / recordBytes {
			records = append(records, keyedlog.Record{Key: fmt.Sprintf("p/%s/%d/%d", large.ID, place, number), Value: make([]byte, recordBytes)})
		}
		if err == nil {
			var appended keyedlog.Appended
			appended, err = store.Append(t.Context(), partition, records, nil)
			end = appended.End
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	settled, err := job.EncodeSettled(large.ID, end, job.Took{})
	if err == nil {
		_, err = store.Append(t.Context(), keyedlog.JobIndex, []keyedlog.Record{settled}, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	return large
}

// TestLargeJobsAreReadOverAThinLink has two jobs read at once, behind each of which lie 8 MB, over a link of 60 Mbit/s. A caller waits for 2 s
// and comes again. What the node had read was forgotten whenever it was not done by then, so that it began anew for each call: after
// twenty calls in 50 s neither had been read.
func TestLargeJobsAreReadOverAThinLink(t *testing.T) {
	const (
		size      = 8 << 20
		patience  = 2 * time.Second
		again     = 500 * time.Millisecond
		bytesPerS = 7.5e6
		triesMost = 4
	)
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		gateway := newNode(t, store, "gateway")
		first := largeJob(t, store.For("owner"), gateway, "first", size)
		second := largeJob(t, store.For("owner"), gateway, "second", size)
		thin := newNodeOver(t, &thinLink{Log: store.For("thin"), bytesPerS: bytesPerS, turn: make(chan struct{}, 1)})
		time.Sleep(time.Second)
		var asking sync.WaitGroup
		for _, asked := range []job.Spec{first, second} {
			asking.Go(func() {
				for range triesMost {
					ctx, cancel := context.WithTimeout(t.Context(), patience)
					listing, outcome := thin.service.Results(ctx, asked.ID, 0, 0)
					cancel()
					if outcome == jobs.Done {
						if len(listing.Results) != len(asked.Items) {
							t.Errorf("%s: %d results", asked.ID, len(listing.Results))
						}
						return
					}
					time.Sleep(again)
				}
				t.Errorf("%s was not read in %d calls", asked.ID, triesMost)
			})
		}
		asking.Wait()
	})
}
