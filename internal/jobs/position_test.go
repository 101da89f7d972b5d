package jobs_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
)

// countingLog counts the reads of job partitions, and the records and bytes that they return.
type countingLog struct {
	keyedlog.Log
	calls, records, bytes atomic.Int64
}

func (l *countingLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	batch, err := l.Log.Read(ctx, partition, span)
	l.count(partition, batch.Records)
	return batch, err
}

func (l *countingLog) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	page, err := l.Log.Newest(ctx, partition, afterKey)
	l.count(partition, page.Records)
	return page, err
}

func (l *countingLog) count(partition keyedlog.Partition, records []keyedlog.Record) {
	if partition.Topic == keyedlog.TopicJobs {
		l.calls.Add(1)
		l.records.Add(int64(len(records)))
		l.bytes.Add(int64(job.Size(records)))
	}
}

func (l *countingLog) reset() {
	l.calls.Store(0)
	l.records.Store(0)
	l.bytes.Store(0)
}

// listedJob is a job with many items in a store, with results listed from position 0 on.
type listedJob struct {
	store  *memorylog.Store
	spec   job.Spec
	reader *node
	log    *countingLog
}

// textOf returns the text of the result at a position.
func textOf(position int) string { return fmt.Sprint("text ", position) }

// listResults lists the results of the positions in [from, to). Results for which unpadded returns true get keys without zero
// padding.
func (j *listedJob) listResults(t *testing.T, from, to int, unpadded func(position int) bool) {
	t.Helper()
	for position := from; position < to; position++ {
		records, err := job.EncodeResult(
			j.spec.ID, position, job.Result{ItemID: j.spec.Items[position].ID, Text: textOf(position)}, 1<<18)
		if err == nil && unpadded(position) {
			records[0].Key = fmt.Sprint(job.ResultPrefix(j.spec.ID), position)
		}
		if err == nil {
			_, err = j.store.For("owner").Append(t.Context(), job.PartitionOf(j.spec, partitions, nil), records, nil)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func noneUnpadded(int) bool { return false }

// newListedJob submits a job with the given number of items, and waits until reads of it start with the newest record of
// each key.
func newListedJob(t *testing.T, items int) *listedJob {
	t.Helper()
	store := memorylog.New(memorylog.Config{Partitions: partitions, Delay: 5 * time.Millisecond})
	gateway := newNode(t, store, "gateway")
	many := job.Spec{ID: "many", Host: "h", Model: "m"}
	for index := range items {
		many.Items = append(many.Items, job.Item{ID: fmt.Sprint("i", index), Path: "/p", Body: []byte("body")})
	}
	if outcome := gateway.service.Submit(t.Context(), many); outcome != jobs.Done {
		t.Fatal(outcome)
	}
	time.Sleep(2 * time.Second)
	counting := &countingLog{Log: store.For("reader")}
	return &listedJob{store: store, spec: many, log: counting, reader: newNodeWithLog(t, counting)}
}

// check reads the results from a position on and checks that they are those of the positions in [from, to).
func (j *listedJob) check(t *testing.T, from, to int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	listing, outcome := j.reader.service.Results(ctx, j.spec.ID, from, 0)
	if outcome != jobs.Done || listing.Total != len(j.spec.Items) || listing.Next != to || len(listing.Results) != to-from {
		t.Fatalf("%v, %d results of %d, next %d, want %d", outcome, len(listing.Results), listing.Total, listing.Next, to)
	}
	for index, result := range listing.Results {
		if result.Text != textOf(from+index) {
			t.Errorf("position %d has text %q", from+index, result.Text)
		}
	}
}

// TestReadFetchesOnlyFromPosition reads the last two of 200 results after the store has dropped its history. Each call of a caller
// may reach another process; if that process read all results of the job for it, this would take up to 1.1 s of a step on links of
// 45 to 60 Mbit/s. TestTailReadCost has a store with its history.
func TestReadFetchesOnlyFromPosition(t *testing.T) {
	// A page of the store holds three records.
	const listed, from, maxRecords = 200, 198, 6
	synctest.Test(t, func(t *testing.T) {
		many := newListedJob(t, listed+10)
		many.listResults(t, 0, listed, noneUnpadded)
		many.store.Forget()
		many.check(t, from, listed)
		time.Sleep(5 * time.Second)
		if records := many.log.records.Load(); records > maxRecords {
			t.Errorf("%d records read for %d results", records, listed-from)
		}
	})
}

// TestNoReadsBetweenCalls has other writers fill the partition after a single call. A process that kept reading between
// calls would read everything they append, and so would every other process that a caller's calls reach.
func TestNoReadsBetweenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		many := newListedJob(t, 100)
		many.listResults(t, 0, 10, noneUnpadded)
		many.check(t, 10, 10)
		before := many.log.records.Load()
		many.listResults(t, 10, 50, noneUnpadded)
		time.Sleep(5 * time.Second)
		if records := many.log.records.Load() - before; records > 0 {
			t.Errorf("%d records read between calls", records)
		}
		many.check(t, 45, 50)
	})
}

// TestReaderKeptForReturningCallers checks that the second call on a job to the same process has the reader kept: a third
// call is answered while the store is down.
func TestReaderKeptForReturningCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		many := newListedJob(t, 100)
		many.listResults(t, 0, 10, noneUnpadded)
		for range 2 {
			many.check(t, 5, 10)
			time.Sleep(500 * time.Millisecond)
		}
		many.store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		many.check(t, 5, 10)
	})
}

// TestUnpaddedKeysAreRead reads jobs of which all or some results have keys without zero padding, as older versions write
// them.
func TestUnpaddedKeysAreRead(t *testing.T) {
	const listed = 25
	for name, unpadded := range map[string]func(position int) bool{
		"all":   func(int) bool { return true },
		"first": func(position int) bool { return position < 13 },
		"last":  func(position int) bool { return position >= 13 },
		"mixed": func(position int) bool { return position%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				many := newListedJob(t, listed)
				many.listResults(t, 0, listed, unpadded)
				for _, from := range []int{20, 0, 1, 9, 10, 13, 24, 25} {
					many.check(t, from, listed)
					time.Sleep(3 * time.Second)
				}
			})
		})
	}
}

// TestReadLowerPositionAfterHigher has two callers at one process read in turn, the later one from a position before the one
// that the process reads from.
func TestReadLowerPositionAfterHigher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		many := newListedJob(t, 40)
		many.listResults(t, 0, 20, noneUnpadded)
		for range 3 {
			many.check(t, 18, 20)
			many.check(t, 2, 20)
			time.Sleep(300 * time.Millisecond)
		}
		waited := make(chan jobs.Listing, 1)
		go func() {
			listing, _ := many.reader.service.Results(t.Context(), many.spec.ID, 20, time.Second)
			waited <- listing
		}()
		time.Sleep(100 * time.Millisecond)
		many.check(t, 0, 20)
		many.listResults(t, 20, 21, noneUnpadded)
		// The waiting call continues while another call reads from an earlier position.
		if listing := <-waited; len(listing.Results) != 1 || listing.Next != 21 {
			t.Errorf("%d results, next %d", len(listing.Results), listing.Next)
		}
	})
}

// TestFullListingReturnsEarly reads a job of several megabytes from the start: a listing holds 0.9 MB, and the call must
// return without reading the remaining results.
func TestFullListingReturnsEarly(t *testing.T) {
	const results, maxRecords = 100, 24
	synctest.Test(t, func(t *testing.T) {
		many := newListedJob(t, results)
		for position := range results {
			text := strings.Repeat(fmt.Sprintf("%09d ", position), 10<<10)
			records, err := job.EncodeResult(many.spec.ID, position, job.Result{ItemID: many.spec.Items[position].ID, Text: text}, 1<<18)
			if err == nil {
				_, err = many.store.For("owner").Append(t.Context(), job.PartitionOf(many.spec, partitions, nil), records, nil)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		listing, outcome := many.reader.service.Results(t.Context(), many.spec.ID, 0, 0)
		if outcome != jobs.Done || len(listing.Results) == 0 {
			t.Fatalf("%v, %d results", outcome, len(listing.Results))
		}
		if records := many.log.records.Load(); records > maxRecords {
			t.Errorf("%d records read for %d results", records, len(listing.Results))
		}
	})
}

// TestMissingResultsAreLogged reads settled jobs with and without missing results.
func TestMissingResultsAreLogged(t *testing.T) {
	const items = 12
	for name, test := range map[string]struct {
		listed  []int
		ended   bool
		missing bool
	}{
		"whole":              {listed: []int{0, items}},
		"ended early":        {listed: []int{0, 5}, ended: true},
		"gap":                {listed: []int{0, 5, 7, items}, missing: true},
		"gap, ended":         {listed: []int{0, 5, 7, 9}, ended: true, missing: true},
		"none, not ended":    {missing: true},
		"not all, not ended": {listed: []int{0, 5}, missing: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				many := newListedJob(t, items)
				for span := range slices.Chunk(test.listed, 2) {
					many.listResults(t, span[0], span[1], noneUnpadded)
				}
				many.settle(t, test.ended)
				for range 3 {
					_, _ = many.reader.service.Results(t.Context(), many.spec.ID, 0, 0)
					time.Sleep(500 * time.Millisecond)
				}
				if lines := many.reader.lines.count("results of a settled job are missing"); (lines > 0) != test.missing {
					t.Errorf("%d lines", lines)
				}
			})
		})
	}
}

// settle records in the index that no more results of the job are listed.
func (j *listedJob) settle(t *testing.T, ended bool) {
	t.Helper()
	owner := j.store.For("owner")
	last, err := owner.Append(t.Context(), job.PartitionOf(j.spec, partitions, nil), []keyedlog.Record{job.EncodeSettledMarker(j.spec.ID)}, nil)
	if err != nil {
		t.Fatal(err)
	}
	record, err := job.EncodeSettled(j.spec.ID, last.End, job.SlotTime{})
	if err != nil {
		t.Fatal(err)
	}
	records := []keyedlog.Record{record}
	if ended {
		records = append(records, job.EncodeEnd(j.spec.ID))
	}
	if _, err := owner.Append(t.Context(), keyedlog.JobIndex, records, nil); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}
