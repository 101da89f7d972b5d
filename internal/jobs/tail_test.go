package jobs_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storepace"
)

const (
	itemCount   = 200
	resultBytes = 2 << 10
	// unsplit is a limit for the size of records that none of these tests exceeds.
	unsplit = 1 << 20
)

// history fills a partition as the owner and the gateways of its jobs do, in a store with pages as large as the platform's.
type history struct {
	*testing.T
	store *memorylog.Store

	mutex  sync.Mutex
	random *rand.Rand
	listed map[string]int
}

func newHistory(t *testing.T, seed uint64) *history {
	store := memorylog.New(memorylog.Config{Partitions: partitions, Delay: 5 * time.Millisecond, PageRecords: 500, PageBytes: 1 << 20})
	return &history{T: t, store: store, random: rand.New(rand.NewPCG(seed, 35)), listed: make(map[string]int)}
}

// text returns text of a size that compression shortens by a few percent.
func (h *history) text(size int) []byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(h.random.Uint32())
	}
	return text
}

func (h *history) intN(n int) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.random.IntN(n)
}

func (h *history) listedOf(id string) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.listed[id]
}

func (h *history) partition() keyedlog.Partition { return job.PartitionOf(spec(""), partitions, nil) }

func (h *history) append(partition keyedlog.Partition, records []keyedlog.Record, err error) keyedlog.Appended {
	h.Helper()
	if err != nil {
		h.Fatal(err)
	}
	appended, err := h.store.For("owner").Append(h.Context(), partition, records, nil)
	if err != nil {
		h.Fatal(err)
	}
	return appended
}

// submit submits a job whose items have bodies of a size, in records up to a limit; between, if set, is called between two appends.
func (h *history) submit(id string, items, bodyBytes, limit int, between func()) {
	spec := job.Spec{ID: id, Host: "h", Model: "m", Desired: 1}
	for index := range items {
		spec.Items = append(spec.Items, job.Item{ID: fmt.Sprint(id, index), Path: "/p", Body: h.text(bodyBytes)})
	}
	records, err := job.EncodeSpec(spec, limit)
	first, rest := int64(-1), records
	if between != nil {
		first, rest = h.append(h.partition(), records[:len(records)/2], err).Offset, records[len(records)/2:]
		between()
	}
	appended := h.append(h.partition(), rest, err)
	if first < 0 {
		first = appended.Offset
	}
	entry, err := job.EncodeEntry(job.NewEntry(spec, h.partition(), first, appended.End, job.Size(records)), "1")
	h.append(keyedlog.JobIndex, []keyedlog.Record{entry}, err)
}

// list lists a job's next result in records up to a limit, some with the key of an older version.
func (h *history) list(id string, size, limit int) {
	position := h.listedOf(id)
	records, err := job.EncodeResult(id, position, job.Result{ItemID: fmt.Sprint(id, position), Text: string(h.text(size))}, limit)
	older := h.intN(10) == 0
	for i := range records {
		if older {
			records[i].Key = strings.Replace(records[i].Key, fmt.Sprintf("/%08d", position), fmt.Sprintf("/%d", position), 1)
		}
	}
	h.append(h.partition(), records, err)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.listed[id]++
}

func (h *history) progress(size int) {
	h.append(h.partition(), []keyedlog.Record{{Key: fmt.Sprint("p/a/", h.intN(1<<60)), Value: h.text(size)}}, nil)
}

// check reads a job from a position on and compares the results with those of pages. At least the results listed before the call are expected.
func (h *history) check(reader *node, id string, from int) {
	h.Helper()
	before := h.listedOf(id)
	listing, outcome := reader.service.Results(h.Context(), id, from, 0)
	ledger := job.NewLedger(job.NewIndex(), h.partition())
	ledger.StartAt(id, from)
	if err := follow.NewestWithPrefix(h.Context(), h.store.For("pages"), h.partition(), job.ResultPrefix(id), ledgerApplier{ledger}); err != nil {
		h.Fatal(err)
	}
	expected := ledger.Results(id, from, unsplit*100)
	if outcome != jobs.Done || len(listing.Results) > len(expected) || from+len(listing.Results) < before {
		h.Fatalf("%v, %d results from %d on; listed %d before, %d after", outcome, len(listing.Results), from, before, from+len(expected))
	}
	for i, result := range listing.Results {
		if result.Text != expected[i].Text {
			h.Fatalf("position %d differs", from+i)
		}
	}
}

type ledgerApplier struct{ ledger *job.Ledger }

func (a ledgerApplier) Apply(record keyedlog.Record, _ bool) { _ = a.ledger.Apply(record) }
func (a ledgerApplier) Advanced(int64)                       {}

// TestTailReadCost reads the last 3 of 144 results, of four jobs with results of 2 KB in one partition, and a job of which nothing is
// listed yet. A page of the newest records brings up to 1 MB for either, which takes 0.2 s on a link of 60 Mbit/s; so do submissions in
// the tail, a tail that is begun for records of another size, one that is read although it can't suffice, and one that ends with the
// partition although the job is settled.
func TestTailReadCost(t *testing.T) {
	const from, wanted, maxCalls = 141, 3, 5
	for name, test := range map[string]struct{ submissions, largeRecords, later, afterSettled, maxKB int }{
		"results only":          {maxKB: 160},
		"submission at the end": {maxKB: 160, submissions: 1},
		// The index may learn of the last submission only after the first read of the tail.
		"two submissions":           {maxKB: 300, submissions: 2},
		"large records":             {maxKB: 300, largeRecords: 60},
		"settled":                   {maxKB: 160, afterSettled: 100},
		"before the first result":   {maxKB: 110, later: 10},
		"long before the first one": {maxKB: 1100, later: 120},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, counting := newHistory(t, 1), &countingLog{}
				counting.Log = h.store.For("reader")
				reader := newNodeWithIndexPause(t, counting, time.Second)
				ids, measured, position := [...]string{"0", "1", "2", "3"}, "1", from
				for _, id := range ids {
					h.submit(id, itemCount+test.later, resultBytes, unsplit, nil)
				}
				listAll := func(count int) {
					for range count * len(ids) {
						h.list(ids[0], resultBytes, unsplit)
						ids = [...]string{ids[1], ids[2], ids[3], ids[0]}
					}
				}
				listAll(from)
				// From this read on, records of about resultBytes are expected.
				h.check(reader, measured, position)
				for range test.largeRecords {
					h.progress(6 * resultBytes)
				}
				listAll(wanted)
				if test.afterSettled > 0 {
					settle(t, h.store, measured)
					for range test.afterSettled {
						h.progress(6 * resultBytes)
					}
				}
				if test.later > 0 {
					measured, position = "00", 0
					h.submit(measured, 10, 100, unsplit, nil)
					listAll(test.later)
				}
				time.Sleep(3 * time.Second)
				counting.reset()
				for number := range test.submissions {
					// The first one ends the read of the index, so that the last one is appended while the node pauses.
					time.Sleep(100 * time.Millisecond)
					h.submit(fmt.Sprint("next", number), itemCount, resultBytes, unsplit, nil)
				}
				page, err := h.store.For("before").Newest(t.Context(), h.partition(), job.ResultsAfterKey(measured, max(1, position)))
				if err != nil {
					t.Fatal(err)
				}
				h.check(reader, measured, position)
				bytes, calls := counting.bytes.Load(), counting.calls.Load()
				t.Logf("page: %d records, %d bytes; tail: %d records, %d bytes, %d calls",
					len(page.Records), job.Size(page.Records), counting.records.Load(), bytes, calls)
				if bytes > int64(test.maxKB<<10) || calls > maxCalls {
					t.Errorf("%d bytes in %d calls", bytes, calls)
				}
			})
		})
	}
}

// TestTailReadMatchesPages compares reads of running jobs with reads of pages, for random histories with records of all sizes, results in
// parts, keys of older versions, submissions with results in between and dropped history, while results are listed and reads fail, and before,
// while and after the job is settled.
// A tail that is taken for complete although an earlier record belongs to the results would lose results.
func TestTailReadMatchesPages(t *testing.T) {
	const rounds, settledRound = 6, 3
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, seed)
				h.submit("a", itemCount, 100, unsplit, nil)
				h.submit("b", itemCount, 100, unsplit, nil)
				h.fill(30 + h.intN(170))
				time.Sleep(2 * time.Second)
				h.store.SetRule(func(call memorylog.Call) memorylog.Fault {
					if call.Caller == "reader" && call.Partition == h.partition() && h.intN(2) == 0 {
						return memorylog.Down
					}
					return memorylog.None
				})
				for round := range rounds {
					reader := newNode(t, h.store, "reader")
					time.Sleep(20 * time.Millisecond)
					from := h.intN(h.listedOf("a") + 3)
					var listing sync.WaitGroup
					listing.Go(func() {
						if round > settledRound {
							return
						}
						for range h.intN(3) {
							time.Sleep(time.Duration(h.intN(60)) * time.Millisecond)
							h.list("a", 100, unsplit)
						}
						if round == settledRound {
							settle(t, h.store, "a")
						}
					})
					h.check(reader, "a", from)
					listing.Wait()
				}
			})
		})
	}
}

// fill appends random records.
func (h *history) fill(steps int) {
	scale := 1 << h.intN(15)
	for step := range steps {
		id := [...]string{"a", "b"}[h.intN(2)]
		switch draw := h.intN(200); {
		case draw < 90:
			h.list(id, h.intN(scale), 200+h.intN(20000))
		case draw < 100:
			h.submit(fmt.Sprint("other", step), 1+h.intN(30), h.intN(5000), 1000+h.intN(20000), func() {
				h.list(id, 100, unsplit)
			})
		case draw == 100:
			h.store.Forget()
		default:
			h.progress(1 + h.intN(4*scale))
		}
	}
}

// TestTailWithLargeRecords reads a result whose last part alone is in the tail, and one that is followed by megabytes of others' records,
// which are not read. If the end of either tail were taken for all of it, the listing would be empty although the result was listed.
func TestTailWithLargeRecords(t *testing.T) {
	for name, test := range map[string]struct{ partBytes, later int }{"parts": {resultBytes, 0}, "others": {unsplit, 40}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const largeBytes, maxBytes = 100 << 10, 2 << 20
				h := newHistory(t, 2)
				counting := &countingLog{Log: h.store.For("reader")}
				reader := newNodeWithLog(t, counting)
				h.submit("a", itemCount, 100, unsplit, nil)
				h.list("a", 100, unsplit)
				h.progress(largeBytes)
				h.progress(largeBytes)
				h.list("a", 6*largeBytes, test.partBytes)
				for range test.later {
					h.progress(largeBytes)
				}
				h.check(reader, "a", 1)
				if bytes := counting.bytes.Load(); bytes > maxBytes {
					t.Errorf("%d bytes", bytes)
				}
			})
		})
	}
}

// TestWaitingReadAnsweredPromptly has calls wait for the next result of a job at replicas with a link of 60 Mbit/s, while the owner stores
// other jobs' records every 10 ms and submissions of 400 KB are appended. Reading such a submission takes 55 ms before the result after
// it is read; taking one for whole that has a result in between would lose that result.
func TestWaitingReadAnsweredPromptly(t *testing.T) {
	const rounds, bytesPerSecond, readsPerS = 30, 7.5e6, 2000
	for name, test := range map[string]struct {
		interleaved bool
		limit       time.Duration
	}{
		"submissions":            {limit: 50 * time.Millisecond},
		"result in a submission": {limit: 120 * time.Millisecond, interleaved: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(t, 1)
				h.submit("a", itemCount, 100, unsplit, nil)
				h.list("a", resultBytes, unsplit)
				var stopped atomic.Bool
				var owner sync.WaitGroup
				owner.Go(func() {
					for ; !stopped.Load(); time.Sleep(10 * time.Millisecond) {
						h.progress(3 << 10)
					}
				})
				defer owner.Wait()
				defer stopped.Store(true)
				for round := range rounds {
					link := &slowLink{Log: storepace.New(h.store.For("reader"), readsPerS), bytesPerSecond: bytesPerSecond, busy: make(chan struct{}, 1)}
					reader := newNodeWithLog(t, link)
					time.Sleep(time.Second)
					answered := make(chan time.Time, 1)
					go func() {
						listing, outcome := reader.service.Results(t.Context(), "a", 1+round, time.Second)
						if outcome != jobs.Done || len(listing.Results) != 1 {
							t.Errorf("%v, %d results", outcome, len(listing.Results))
						}
						answered <- time.Now()
					}()
					time.Sleep(time.Duration(300+round*7) * time.Millisecond)
					var listed time.Time
					list := func() {
						h.list("a", resultBytes, unsplit)
						listed = time.Now()
					}
					if id := fmt.Sprint("next", round); test.interleaved {
						h.submit(id, itemCount, resultBytes, unsplit, list)
					} else {
						h.submit(id, itemCount, resultBytes, unsplit, nil)
						list()
					}
					if took := (<-answered).Sub(listed); took > test.limit {
						t.Errorf("answered %v after the append", took)
					}
				}
			})
		})
	}
}
