package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
)

// history fills a partition with several jobs as their owner does, in a store whose pages are as large as those of the users' platform.
type history struct {
	store  *memorylog.Store
	random *rand.Rand
	listed map[string]int
	items  map[string]int
}

func newHistory(seed uint64) *history {
	store := memorylog.New(memorylog.Config{
		Partitions: partitions, Delay: 5 * time.Millisecond, PageRecords: 500, PageBytes: 1 << 20,
	})
	return &history{
		store: store, random: rand.New(rand.NewPCG(seed, 35)),
		listed: make(map[string]int), items: make(map[string]int),
	}
}

// bytes returns random text of a size, which compression shortens by a few percent.
func (h *history) bytes(size int) []byte {
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(h.random.Uint32())
	}
	return text
}

// submit submits a job whose items have bodies of a size. A limit below that size splits them into parts. between, if not nil, is
// called before the last record is appended.
func (h *history) submit(t *testing.T, id string, items, bodyBytes, limit int, between func()) {
	t.Helper()
	spec := job.Spec{ID: id, Host: "h", Model: "m"}
	for index := range items {
		spec.Items = append(spec.Items, job.Item{ID: fmt.Sprint(id, "-", index), Path: "/p", Body: h.bytes(bodyBytes)})
	}
	records, err := job.EncodeSpec(spec, limit)
	if err != nil {
		t.Fatal(err)
	}
	last := records[len(records)-1]
	if between != nil {
		records = records[:len(records)-1]
	}
	appended := h.append(t, h.partition(), records...)
	if between != nil {
		first := appended.Offset
		between()
		appended = h.append(t, h.partition(), last)
		appended.Offset = first
	}
	entry, err := job.EncodeEntry(job.NewEntry(spec, h.partition(), appended.Offset, appended.End, job.Size(records)), "1")
	if err != nil {
		t.Fatal(err)
	}
	h.append(t, keyedlog.JobIndex, entry)
	h.items[id] = items
}

// list lists the next result of a job; a limit below its size splits it into parts, and unpadded gives it the key of an older version.
func (h *history) list(t *testing.T, id string, size, limit int, unpadded bool) {
	t.Helper()
	position := h.listed[id]
	records, err := job.EncodeResult(id, position, job.Result{ItemID: fmt.Sprint(id, "-", position), Text: string(h.bytes(size))}, limit)
	if err != nil {
		t.Fatal(err)
	}
	for i := range records {
		if unpadded {
			records[i].Key = strings.Replace(records[i].Key, fmt.Sprintf("/%08d", position), fmt.Sprintf("/%d", position), 1)
		}
	}
	h.append(t, h.partition(), records...)
	h.listed[id]++
}

func (h *history) append(t *testing.T, partition keyedlog.Partition, records ...keyedlog.Record) keyedlog.Appended {
	t.Helper()
	appended, err := h.store.For("owner").Append(t.Context(), partition, records, nil)
	if err != nil {
		t.Fatal(err)
	}
	return appended
}

func (h *history) partition() keyedlog.Partition {
	return job.PartitionOf(job.Spec{Host: "h", Model: "m"}, partitions, nil)
}

// read reads results at a replica that has not read the partition before, and returns what it took from the store.
func (h *history) read(t *testing.T, id string, from int) (jobs.Listing, *countingLog) {
	t.Helper()
	counting := &countingLog{Log: h.store.For("reader")}
	reader := newNodeWithLog(t, counting)
	time.Sleep(100 * time.Millisecond)
	listing, outcome := reader.service.Results(t.Context(), id, from, 0)
	if outcome != jobs.Done {
		t.Fatal(outcome)
	}
	return listing, counting
}

// TestReadFromPositionCost reads three results from position 141 of a job, of four jobs of 200 results of 2 KB in one partition. A page
// of the newest records brings 1 MB for them, which takes 0.2 s on a link of 60 Mbit/s; so does a tail that reads the submission of
// another job that was accepted just before the call.
func TestReadFromPositionCost(t *testing.T) {
	const (
		jobCount, items, resultBytes, from, wanted = 4, 200, 2 << 10, 141, 3
		maxBytes, maxCalls                         = 160 << 10, 4
	)
	for name, submission := range map[string]bool{"results only": false, "submission at the end": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(1)
				for number := range jobCount {
					h.submit(t, fmt.Sprint("job", number), items, resultBytes, 1<<18, nil)
				}
				for range from + wanted {
					for number := range jobCount {
						h.list(t, fmt.Sprint("job", number), resultBytes, 1<<18, false)
					}
				}
				if submission {
					h.submit(t, "next", items, resultBytes, 1<<18, nil)
				}
				time.Sleep(2 * time.Second)
				page, err := h.store.For("before").Newest(t.Context(), h.partition(), job.ResultsAfterKey("job1", from))
				if err != nil {
					t.Fatal(err)
				}
				listing, counting := h.read(t, "job1", from)
				t.Logf("pages: %d records, %d bytes, 1 call; tail: %d records, %d bytes, %d calls",
					len(page.Records), job.Size(page.Records), counting.records.Load(), counting.bytes.Load(), counting.calls.Load())
				if len(listing.Results) != wanted {
					t.Errorf("%d results", len(listing.Results))
				}
				if bytes, calls := counting.bytes.Load(), counting.calls.Load(); bytes > maxBytes || calls > maxCalls {
					t.Errorf("%d bytes in %d calls", bytes, calls)
				}
			})
		})
	}
}

// TestReadFromPositionMatchesPages compares reads from positions of running jobs with reads of the newest record of each key, for
// random histories with records of all sizes, results in parts, keys of older versions and dropped history, while further results are
// listed. A tail that is taken for complete although an earlier record belongs to the results would lose results.
func TestReadFromPositionMatchesPages(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(seed)
				h.submit(t, "a", 60, 100, 1<<18, nil)
				h.submit(t, "b", 60, 100, 1<<18, nil)
				h.fill(t, 30+h.random.IntN(200))
				time.Sleep(2 * time.Second)
				for range 4 {
					h.compare(t)
					h.fill(t, h.random.IntN(10))
				}
			})
		})
	}
}

// TestReadResultLongerThanTail reads a result that fills more than the tail. Its last record is in the tail; if that were taken for the
// whole result, the listing would be empty although the result was listed.
func TestReadResultLongerThanTail(t *testing.T) {
	const longBytes, recordBytes = 600 << 10, 2 << 10
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(1)
		h.submit(t, "a", 3, 100, 1<<18, nil)
		h.list(t, "a", 100, 1<<18, false)
		h.list(t, "a", longBytes, recordBytes, false)
		if listing, _ := h.read(t, "a", 1); len(listing.Results) != 1 || len(listing.Results[0].Text) != longBytes {
			t.Errorf("%d results", len(listing.Results))
		}
	})
}

// fill appends random records.
func (h *history) fill(t *testing.T, steps int) {
	t.Helper()
	scale := 1 << h.random.IntN(15)
	for step := range steps {
		id := [...]string{"a", "b"}[h.random.IntN(2)]
		switch draw := h.random.IntN(20); {
		case draw < 9 && h.listed[id] < h.items[id]:
			h.list(t, id, h.random.IntN(scale), 200+h.random.IntN(20000), h.random.IntN(8) == 0)
		case draw == 9:
			h.submit(t, fmt.Sprint("other", len(h.items), "-", step), 1+h.random.IntN(30), h.random.IntN(5000), 1000+h.random.IntN(20000), func() {
				if h.listed[id] < h.items[id] && h.random.IntN(2) == 0 {
					h.list(t, id, 100, 1<<18, false)
				}
			})
		case draw == 10:
			h.append(t, h.partition(), keyedlog.Record{Key: fmt.Sprintf("r/gone/%08d", step)})
		case draw == 11 && h.random.IntN(10) == 0:
			h.store.Forget()
		default:
			h.append(t, h.partition(), keyedlog.Record{Key: fmt.Sprintf("p/%s/%d/%d", id, step, steps), Value: h.bytes(1 + h.random.IntN(4*scale))})
		}
	}
}

// compare reads a job from a random position by both ways while results are listed.
func (h *history) compare(t *testing.T) {
	t.Helper()
	const id = "a"
	before := h.listed[id]
	from := h.random.IntN(before + 3)
	ctx, cancel := context.WithCancel(t.Context())
	appended := make(chan struct{})
	go func() {
		defer close(appended)
		for ctx.Err() == nil && h.listed[id] < min(h.items[id], before+2) {
			time.Sleep(time.Duration(h.random.IntN(120)) * time.Millisecond)
			h.list(t, id, 100, 1<<18, false)
		}
	}()
	counting := &countingLog{Log: h.store.For("reader")}
	reader := newNodeWithLog(t, counting)
	time.Sleep(20 * time.Millisecond)
	listing, outcome := reader.service.Results(t.Context(), id, from, 0)
	cancel()
	<-appended
	if outcome != jobs.Done {
		t.Fatal(outcome)
	}
	ledger := job.NewLedger(job.NewIndex(), h.partition().Number)
	ledger.StartAt(id, from)
	if err := follow.NewestWithPrefix(t.Context(), h.store.For("pages"), h.partition(), job.ResultPrefix(id), ledgerApplier{ledger}); err != nil {
		t.Fatal(err)
	}
	expected := ledger.Results(id, from, 1<<30)
	if len(listing.Results) > len(expected) || from+len(listing.Results) < before {
		t.Fatalf("%d results from %d on; listed %d before, %d after", len(listing.Results), from, before, from+len(expected))
	}
	for i, result := range listing.Results {
		if result.Text != expected[i].Text || result.ItemID != expected[i].ItemID {
			t.Fatalf("position %d differs", from+i)
		}
	}
}

// ledgerApplier applies all records to a ledger.
type ledgerApplier struct{ ledger *job.Ledger }

func (a ledgerApplier) Apply(record keyedlog.Record, _ bool) { _ = a.ledger.Apply(record) }
func (a ledgerApplier) Advanced(int64)                       {}
