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

// slowLink is a store behind a link of limited bandwidth that transfers one answer at a time.
type slowLink struct {
	keyedlog.Log
	bytesPerSecond float64
	busy           chan struct{}
}

// Read reads records and waits for their transfer over the link.
func (l *slowLink) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	if span.MaxBytes == 0 {
		span.MaxBytes = 1 << 20
	}
	batch, err := l.Log.Read(ctx, partition, span)
	if err != nil {
		return batch, err
	}
	return batch, l.transfer(ctx, batch.Records)
}

// Newest reads a page and waits for its transfer over the link.
func (l *slowLink) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	page, err := l.Log.Newest(ctx, partition, afterKey)
	if err != nil {
		return page, err
	}
	return page, l.transfer(ctx, page.Records)
}

// transfer waits until records have been transferred over the link.
func (l *slowLink) transfer(ctx context.Context, records []keyedlog.Record) error {
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-time.After(time.Duration(float64(job.Size(records)) / l.bytesPerSecond * float64(time.Second))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// jobShape is the size of a job: the bytes of its results and of the records of other jobs between them, and whether the job
// is settled or lacks its last result.
type jobShape struct {
	resultBytes, otherBytes int
	complete                bool
}

// largeJob submits a job of a model and lists its results.
func largeJob(t *testing.T, store keyedlog.Log, gateway *node, model string, size jobShape) job.Spec {
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
	if !size.complete {
		listed = listed[:len(listed)-1]
	}
	random := rand.New(rand.NewPCG(1, 1))
	for position, item := range listed {
		text := make([]byte, size.resultBytes/len(large.Items))
		for i := range text {
			text[i] = byte(random.Uint32())
		}
		records, err := job.EncodeResult(large.ID, position, job.Result{ItemID: item.ID, Text: string(text)}, 1<<18)
		for number := range size.otherBytes / len(large.Items) / recordBytes {
			records = append(records, keyedlog.Record{Key: fmt.Sprintf("p/%s/%d/%d", large.ID, position, number), Value: make([]byte, recordBytes)})
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
	if !size.complete {
		return large
	}
	settled, err := job.EncodeSettled(large.ID, end, job.SlotTime{})
	if err == nil {
		_, err = store.Append(t.Context(), keyedlog.JobIndex, []keyedlog.Record{settled}, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	return large
}

// TestLargeJobsReadOverSlowLink reads two jobs of 8 MB at the same time over a link of 60 Mbit/s. A caller waits for 2 s and
// retries. If the node discards what it has read whenever a call times out, it starts over for each call: after twenty calls
// in 50 s neither job had been read.
func TestLargeJobsReadOverSlowLink(t *testing.T) {
	const (
		size           = 8 << 20
		callTimeout    = 2 * time.Second
		retryInterval  = 500 * time.Millisecond
		bytesPerSecond = 7.5e6
		maxCalls       = 4
	)
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		gateway := newNode(t, store, "gateway")
		first := largeJob(t, store.For("owner"), gateway, "first", jobShape{resultBytes: size, complete: true})
		second := largeJob(t, store.For("owner"), gateway, "second", jobShape{resultBytes: size, complete: true})
		slow := newNodeWithLog(t, &slowLink{Log: store.For("thin"), bytesPerSecond: bytesPerSecond, busy: make(chan struct{}, 1)})
		time.Sleep(time.Second)
		var callers sync.WaitGroup
		for _, requested := range []job.Spec{first, second} {
			callers.Go(func() {
				for range maxCalls {
					ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
					listing, outcome := slow.service.Results(ctx, requested.ID, 0, 0)
					cancel()
					if outcome == jobs.Done {
						// A listing has at most 1 MB.
						if len(listing.Results) == 0 || listing.Total != len(requested.Items) {
							t.Errorf("%s: %d of %d results", requested.ID, len(listing.Results), listing.Total)
						}
						return
					}
					time.Sleep(retryInterval)
				}
				t.Errorf("%s was not read in %d calls", requested.ID, maxCalls)
			})
		}
		callers.Wait()
	})
}

// TestReadSkipsOtherJobsBetweenResults reads a settled job and a running one over a link of 60 Mbit/s, each with 8 MB of
// other jobs' records between its results. A node that reads all of these takes half a second to a second per job on a large
// deployment, without CPU time, of the 2 s that a call has.
func TestReadSkipsOtherJobsBetweenResults(t *testing.T) {
	const (
		size           = 8 << 20
		bytesPerSecond = 7.5e6
		limit          = 300 * time.Millisecond
	)
	for _, settled := range []bool{true, false} {
		t.Run(fmt.Sprint("settled ", settled), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				gateway := newNode(t, store, "gateway")
				large := largeJob(t, store.For("owner"), gateway, "first", jobShape{otherBytes: size, complete: settled})
				slow := newNodeWithLog(t, &slowLink{Log: store.For("thin"), bytesPerSecond: bytesPerSecond, busy: make(chan struct{}, 1)})
				time.Sleep(3 * time.Second)
				started := time.Now()
				listing, outcome := slow.service.Results(t.Context(), large.ID, 0, 0)
				want := len(large.Items)
				if !settled {
					want--
				}
				if outcome != jobs.Done || len(listing.Results) != want {
					t.Errorf("%v, %d results", outcome, len(listing.Results))
				}
				if elapsed := time.Since(started); elapsed > limit {
					t.Errorf("read in %v", elapsed)
				}
				if settled {
					return
				}
				// Results that are listed from now on are read as they are appended.
				records, err := job.EncodeResult(large.ID, want, job.Result{ItemID: large.Items[want].ID, Text: "text"}, 1<<18)
				if err == nil {
					_, err = store.For("owner").Append(t.Context(), job.PartitionOf(large, partitions, nil), records, nil)
				}
				if err != nil {
					t.Fatal(err)
				}
				listing, _ = slow.service.Results(t.Context(), large.ID, want, time.Second)
				if len(listing.Results) != 1 {
					t.Errorf("%d later results", len(listing.Results))
				}
			})
		})
	}
}
