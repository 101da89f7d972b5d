package follow_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

var partition = keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: 1}

// state is an applier that holds the newest value of each key. regressions counts records that were applied after a
// newer record of the same key.
type state struct {
	mutex         sync.Mutex
	values        map[string]string
	newestOffsets map[string]int64
	regressions   int
}

func newState() *state {
	return &state{values: make(map[string]string), newestOffsets: make(map[string]int64)}
}

func (s *state) Apply(record keyedlog.Record, _ bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if record.Offset < s.newestOffsets[record.Key] {
		s.regressions++
	}
	s.newestOffsets[record.Key] = record.Offset
	if record.Value == nil {
		delete(s.values, record.Key)
		return
	}
	s.values[record.Key] = string(record.Value)
}

func (s *state) Advanced(int64) {}

func (s *state) read() map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.values)
}

func startFollower(t *testing.T, store *memorylog.Store, applier follow.Applier) *follow.Follower {
	return startFollowerWith(t, store, applier, func(*follow.Config) {})
}

// startWith starts a follower with the default configuration, modified by change.
func startFollowerWith(
	t *testing.T, store *memorylog.Store, applier follow.Applier, change func(config *follow.Config),
) *follow.Follower {
	config := follow.Config{
		Log: storetimeout.New(store.For("node")), Partition: partition, Applier: applier, Wait: time.Second, Logger: log.New(io.Discard),
	}
	change(&config)
	follower := follow.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return follower
}

func put(t *testing.T, store *memorylog.Store, key, value string) int64 {
	t.Helper()
	record := keyedlog.Record{Key: key}
	if value != "" {
		record.Value = []byte(value)
	}
	appended, err := store.For("test").Append(t.Context(), partition, []keyedlog.Record{record}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return appended.End
}

func TestAppliesExistingAndNewRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		for i := range 8 {
			put(t, store, fmt.Sprint("key", i), "old")
		}
		put(t, store, "key0", "new")
		put(t, store, "key1", "")
		seen := newState()
		follower := startFollower(t, store, seen)
		synctest.Wait()
		is.True(follower.CaughtUp())
		is.Equal(len(seen.read()), 7)
		is.Equal(seen.read()["key0"], "new")

		end := put(t, store, "key2", "newer")
		is.NoErr(follower.WaitFor(t.Context(), end))
		is.Equal(seen.read()["key2"], "newer")
		is.Equal(seen.regressions, 0)
	})
}

// TestCatchesUpAfterStoreFault brings about each kind of store fault while records are written, and checks that the
// follower has caught up within a bound after the fault ends and never applies an older record after a newer one.
func TestCatchesUpAfterStoreFault(t *testing.T) {
	const bound = 2500 * time.Millisecond
	faults := map[string]func(store *memorylog.Store){
		"down":   func(store *memorylog.Store) { store.SetRule(faultReads(memorylog.Down)) },
		"reset":  func(store *memorylog.Store) { store.SetRule(faultReads(memorylog.LostBefore)) },
		"silent": func(store *memorylog.Store) { store.SetRule(faultReads(memorylog.Silent)) },
		"trimmed while down": func(store *memorylog.Store) {
			store.SetRule(faultReads(memorylog.Down))
			time.AfterFunc(2*time.Second, store.Forget)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memorylog.New(memorylog.Config{Partitions: 4})
				put(t, store, "kept", "1")
				put(t, store, "dropped", "1")
				put(t, store, "changed", "1")
				seen := newState()
				follower := startFollower(t, store, seen)
				synctest.Wait()
				fault(store)
				time.Sleep(1500 * time.Millisecond)
				put(t, store, "changed", "2")
				put(t, store, "dropped", "")
				time.Sleep(3 * time.Second)
				store.Heal()
				end := put(t, store, "added", "1")
				ctx, cancel := context.WithTimeout(t.Context(), bound)
				defer cancel()
				is.NoErr(follower.WaitFor(ctx, end))
				is.Equal(seen.read(), map[string]string{"kept": "1", "changed": "2", "added": "1"})
				is.Equal(seen.regressions, 0)
			})
		})
	}
}

func faultReads(fault memorylog.Fault) func(memorylog.Call) memorylog.Fault {
	return func(call memorylog.Call) memorylog.Fault {
		if call.Caller == "node" {
			return fault
		}
		return memorylog.None
	}
}

// TestIdleFollowerBatchesReads writes a record every 50 ms. An idle process reads the records of one idle interval
// together, yet applies a record at once if a caller waits for it; a busy process reads each record.
func TestIdleFollowerBatchesReads(t *testing.T) {
	const records, every, spacing = 40, 50 * time.Millisecond, 500 * time.Millisecond
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprint("busy ", busy), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memorylog.New(memorylog.Config{Partitions: 4})
				var calls atomic.Int32
				store.SetRule(func(call memorylog.Call) memorylog.Fault {
					if call.Caller == "node" {
						calls.Add(1)
					}
					return memorylog.None
				})
				follower := startFollowerWith(t, store, newState(), func(config *follow.Config) {
					config.Busy = func() bool { return busy }
					config.IdleReadInterval = spacing
				})
				for i := range records {
					put(t, store, fmt.Sprint("key", i), "1")
					time.Sleep(every)
				}
				if busy {
					is.True(calls.Load() >= records)
				} else {
					is.True(int(calls.Load()) <= int(records*every/spacing)+3) // three reads to catch up
				}
				end := put(t, store, "wanted", "1")
				waitStart := time.Now()
				is.NoErr(follower.WaitFor(t.Context(), end))
				is.Equal(time.Since(waitStart), time.Duration(0))
			})
		})
	}
}

// TestIdleFollowerDelaysFirstRead starts many processes at the same time. Idle ones spread their first reads over time;
// busy ones and those whose Hurry is called read at once.
func TestIdleFollowerDelaysFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const processes, spread = 40, 2 * time.Second
		store := memorylog.New(memorylog.Config{Partitions: 4})
		put(t, store, "key", "1")
		startAll := func(busy bool) []*follow.Follower {
			var followers []*follow.Follower
			for range processes {
				followers = append(followers, startFollowerWith(t, store, newState(), func(config *follow.Config) {
					config.Busy = func() bool { return busy }
					config.MaxIdleStartDelay = spread
				}))
			}
			return followers
		}
		countCaughtUp := func(followers []*follow.Follower) int {
			count := 0
			for _, follower := range followers {
				if follower.CaughtUp() {
					count++
				}
			}
			return count
		}
		idle, hurried, busy := startAll(false), startAll(false), startAll(true)
		for _, follower := range hurried {
			follower.Hurry()
		}
		synctest.Wait()
		is.Equal(countCaughtUp(busy), processes)
		is.Equal(countCaughtUp(hurried), processes)
		is.True(countCaughtUp(idle) < processes/2)
		time.Sleep(spread)
		synctest.Wait()
		is.Equal(countCaughtUp(idle), processes)
	})
}

// TestCatchUpResumesAtFailedPage fails the read of one page of the newest records while a key of an earlier page
// changes. The earlier pages are not read again, and the change is read from the log.
func TestCatchUpResumesAtFailedPage(t *testing.T) {
	const records, perPage, failingPage = 30, 3, 7
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		for number := range records {
			put(t, store, fmt.Sprintf("key%02d", number), "old")
		}
		var pages atomic.Int32
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation != "newest" {
				return memorylog.None
			}
			if pages.Add(1) == failingPage {
				return memorylog.Down
			}
			return memorylog.None
		})
		state := newState()
		follower := startFollower(t, store, state)
		time.Sleep(time.Millisecond)
		is.Equal(pages.Load(), int32(failingPage))
		put(t, store, "key00", "new")
		time.Sleep(2 * time.Second)
		is.True(follower.CaughtUp())
		is.Equal(pages.Load(), int32(records/perPage+1))
		is.Equal(state.read()["key00"], "new")
		is.Equal(len(state.read()), records)
	})
}

// countingLog counts the bytes of the records that are read.
type countingLog struct {
	keyedlog.Log
	bytes atomic.Int64
}

func (c *countingLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	batch, err := c.Log.Read(ctx, partition, span)
	c.count(batch.Records)
	return batch, err
}

func (c *countingLog) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	page, err := c.Log.Newest(ctx, partition, afterKey)
	c.count(page.Records)
	return page, err
}

func (c *countingLog) count(records []keyedlog.Record) {
	for _, record := range records {
		c.bytes.Add(int64(len(record.Key) + len(record.Value)))
	}
}

// TestReconnectReadsOnlyNewestRecords guards against the load of many processes that reconnect to the store after a
// large record was written several times: each reads at most some of its versions, and small records alone are read as
// appended.
func TestReconnectReadsOnlyNewestRecords(t *testing.T) {
	const large, small = 40 << 10, 60
	for name, test := range map[string]struct {
		// larges and smalls are how many records are written while the process is disconnected.
		larges, smalls int
		maxBytes       int64
	}{
		"many large ones":  {12, 30, 3*large + 60*small},
		"one large one":    {1, 30, 2*large + 60*small},
		"small ones alone": {0, 30, 40 * small},
		"nothing":          {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memorylog.New(memorylog.Config{Partitions: 2})
				counted := &countingLog{Log: storetimeout.New(store.For("reader"))}
				seen := newState()
				follower := startFollowerWith(t, store, seen, func(config *follow.Config) {
					config.Log, config.NewestOnly = counted, true
				})
				write := func(larges, smalls, round int) {
					for i := range max(larges, smalls) {
						if i < larges {
							put(t, store, "large", strings.Repeat(string(rune('a'+round)), large-i))
						}
						if i < smalls {
							put(t, store, fmt.Sprint("small", i%8), fmt.Sprintf("%*d", small, 100*round+i))
						}
					}
				}
				write(2, 100, 0)
				time.Sleep(time.Second)
				is.True(follower.CaughtUp())

				store.SetRule(func(call memorylog.Call) memorylog.Fault {
					if call.Caller == "reader" {
						return memorylog.Down
					}
					return memorylog.None
				})
				time.Sleep(5 * time.Second)
				before := counted.bytes.Load()
				write(test.larges, test.smalls, 1)
				store.Heal()
				time.Sleep(2 * time.Second)
				is.True(counted.bytes.Load()-before <= test.maxBytes)

				// No record is missing, none was applied out of order, and later records are read again.
				end := put(t, store, "last", "x")
				is.NoErr(follower.WaitFor(t.Context(), end))
				values := seen.read()
				for key, value := range newestOf(t, store) {
					is.Equal(values[key], value)
				}
				is.Equal(seen.regressions, 0)
			})
		})
	}
}

// newestOf returns the newest values of the keys in the store.
func newestOf(t *testing.T, store *memorylog.Store) map[string]string {
	t.Helper()
	page, err := store.For("test").Newest(t.Context(), partition, "")
	is.New(t).NoErr(err)
	values := make(map[string]string)
	for _, record := range page.Records {
		values[record.Key] = string(record.Value)
	}
	return values
}

// TestTailKeepsDroppedKeys drops a key within the tail of a partition and puts its record before it, which an extension of the tail reads
// later. If the extension applied that record, the dropped key would be back.
func TestTailKeepsDroppedKeys(t *testing.T) {
	const others = 100
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		put(t, store, "dropped", "old")
		for range others {
			put(t, store, "other", "value")
		}
		put(t, store, "dropped", "")
		seen := newState()
		covered := func() bool { return false }
		follower := startFollowerWith(t, store, seen, func(config *follow.Config) {
			config.Tail = &follow.Tail{Covered: covered, RecordSize: new(follow.RecordSize)}
		})
		is.NoErr(follower.WaitFor(t.Context(), others+2))
		is.Equal(seen.read(), map[string]string{"other": "value"})
		is.Equal(seen.regressions, 0)
	})
}

// TestTailEndsAtItsEnd appends a record after the end of a tail. A follower that went on would read everything that other writers append.
func TestTailEndsAtItsEnd(t *testing.T) {
	const end = 3
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 4})
		for i := range end {
			put(t, store, fmt.Sprint("key", i), "value")
		}
		seen := newState()
		follower := startFollowerWith(t, store, seen, func(config *follow.Config) {
			config.Tail = &follow.Tail{End: end, Covered: func() bool { return false }, RecordSize: new(follow.RecordSize)}
		})
		is.NoErr(follower.WaitFor(t.Context(), end))
		put(t, store, "later", "value")
		time.Sleep(10 * time.Second)
		is.Equal(len(seen.read()), end)
	})
}
