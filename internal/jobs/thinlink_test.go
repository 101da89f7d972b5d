package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	if span.MaxBytes == 0 {
		span.MaxBytes = 1 << 20
	}
	batch, err := l.Log.Read(ctx, partition, span)
	if err != nil {
		return batch, err
	}
	return batch, l.pass(ctx, batch.Records)
}

// Newest reads a page, and lets it take its time on the link.
func (l *thinLink) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	page, err := l.Log.Newest(ctx, partition, afterKey)
	if err != nil {
		return page, err
	}
	return page, l.pass(ctx, page.Records)
}

// pass waits until records have come over the link.
func (l *thinLink) pass(ctx context.Context, records []keyedlog.Record) error {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-time.After(time.Duration(float64(job.Size(records)) / l.bytesPerS * float64(time.Second))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// shape is how large a job is: the bytes of its results and of what lies between them, and whether it is settled or lacks its last result.
type shape struct {
	own, others int
	whole       bool
}

// largeJob submits a job of a model and lists its results.
func largeJob(t *testing.T, store keyedlog.Log, gateway *node, model string, size shape) job.Spec {
	t.Helper()
	const recordBytes = 100 << 10
	large := spec("job of " + model)
	large.Model = model
	if outcome := gateway.service.Submit(t.Context(), large); outcome != jobs.Done {
		t.Fatal(outcome)
	}
	partition := job.PartitionOf(large, partitions, nil)
	var end int64
	listed := large.Items
	if !size.whole {
		listed = listed[:len(listed)-1]
	}
	random := rand.New(rand.NewPCG(1, 1))
	for place, item := range listed {
		text := make([]byte, size.own/len(large.Items))
		for i := range text {
			text[i] = byte(random.Uint32())
		}
		records, err := job.EncodeResult(large.ID, place, job.Result{ItemID: item.ID, Text: string(text)}, 1<<18)
		for number := range size.others / len(large.Items) / recordBytes {
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
	if !size.whole {
		return large
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

// TestLargeJobsAreReadOverAThinLink has two jobs of 8 MB read at once over a link of 60 Mbit/s. A caller waits for 2 s and comes again. What
// the node had read was forgotten whenever it was not done by then, so that it began anew for each call: after twenty calls in 50 s
// neither had been read.
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
		first := largeJob(t, store.For("owner"), gateway, "first", shape{own: size, whole: true})
		second := largeJob(t, store.For("owner"), gateway, "second", shape{own: size, whole: true})
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
						// A listing has 1 MB at most.
						if len(listing.Results) == 0 || listing.Total != len(asked.Items) {
							t.Errorf("%s: %d of %d results", asked.ID, len(listing.Results), listing.Total)
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

// TestAJobIsReadWithoutWhatLiesBetweenItsResults has a settled job and one that runs on read over a link of 60 Mbit/s, each with 8 MB of others between
// its results. A node read all that lay between: on the grown deployment half a second to a second for a job, with no time of a processor
// counted, of the 2 s that a call has.
func TestAJobIsReadWithoutWhatLiesBetweenItsResults(t *testing.T) {
	const (
		size      = 8 << 20
		bytesPerS = 7.5e6
		allowed   = 300 * time.Millisecond
	)
	for _, settled := range []bool{true, false} {
		t.Run(fmt.Sprint("settled ", settled), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				gateway := newNode(t, store, "gateway")
				large := largeJob(t, store.For("owner"), gateway, "first", shape{others: size, whole: settled})
				thin := newNodeOver(t, &thinLink{Log: store.For("thin"), bytesPerS: bytesPerS, turn: make(chan struct{}, 1)})
				time.Sleep(3 * time.Second)
				began := time.Now()
				listing, outcome := thin.service.Results(t.Context(), large.ID, 0, 0)
				want := len(large.Items)
				if !settled {
					want--
				}
				if outcome != jobs.Done || len(listing.Results) != want {
					t.Errorf("%v, %d results", outcome, len(listing.Results))
				}
				if took := time.Since(began); took > allowed {
					t.Errorf("read in %v", took)
				}
				if settled {
					return
				}
				// What is listed from now on is read as it comes.
				records, err := job.EncodeResult(large.ID, want, job.Result{ItemID: large.Items[want].ID, Text: "text"}, 1<<18)
				if err == nil {
					_, err = store.For("owner").Append(t.Context(), job.PartitionOf(large, partitions, nil), records, nil)
				}
				if err != nil {
					t.Fatal(err)
				}
				listing, _ = thin.service.Results(t.Context(), large.ID, want, time.Second)
				if len(listing.Results) != 1 {
					t.Errorf("%d later results", len(listing.Results))
				}
			})
		})
	}
}
