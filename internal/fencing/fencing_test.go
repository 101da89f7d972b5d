package fencing_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

var partition = keyedlog.Partition{Topic: keyedlog.TopicJobs}

func openWriter(t *testing.T, store *memorylog.Store, name string, generation int64) *fencing.Writer {
	t.Helper()
	writer := fencing.New(fencing.Config{
		Log: store.For(name), Partition: partition, Name: "owner", Generation: generation, Logger: log.New(io.Discard),
	})
	if _, err := writer.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	return writer
}

// writtenRecords returns the records of the partition except those that Open writes.
func writtenRecords(store *memorylog.Store) []keyedlog.Record {
	return slices.DeleteFunc(store.Records(partition), func(r keyedlog.Record) bool { return r.Key == keyedlog.OwnerKey })
}

func record(value int) []keyedlog.Record {
	return []keyedlog.Record{{Key: fmt.Sprint(value), Value: []byte("x")}}
}

// TestAppendIsAppliedExactlyOnce loses calls and answers at random, and checks that every record is stored once and in
// order.
func TestAppendIsAppliedExactlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		random := rand.New(rand.NewSource(1))
		store.SetRule(func(memorylog.Call) memorylog.Fault {
			return []memorylog.Fault{memorylog.None, memorylog.LostAfter, memorylog.LostBefore, memorylog.Down}[random.Intn(4)]
		})
		writer := openWriter(t, store, "a", 1)
		const appends = 200
		for i := range appends {
			_, err := writer.Append(t.Context(), record(i))
			is.NoErr(err)
		}
		records := writtenRecords(store)
		is.Equal(len(records), appends)
		for i, stored := range records {
			is.Equal(stored.Key, fmt.Sprint(i))
		}
	})
}

// TestSupersededWriterCannotAppend checks that a writer that does not know yet that it is superseded writes nothing,
// including an earlier append that the store applies late.
func TestSupersededWriterCannotAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Late: time.Second})
		old := openWriter(t, store, "old", 1)
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "old" {
				return memorylog.LostLate
			}
			return memorylog.None
		})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := old.Append(ctx, record(1))
		is.True(errors.Is(err, context.DeadlineExceeded))
		next := openWriter(t, store, "next", 2)
		time.Sleep(2 * time.Second)
		store.Heal()
		_, err = old.Append(t.Context(), record(2))
		is.Equal(err, fencing.ErrSuperseded)
		<-old.Superseded()
		_, err = next.Append(t.Context(), record(3))
		is.NoErr(err)
		is.Equal(len(writtenRecords(store)), 1)
	})
}

// TestRestartedOwnerGetsHigherEpoch opens a partition several times in one generation, as restarted processes do, after
// any number of appends and while calls and answers are lost. Each process fences the earlier ones, including their
// appends in flight, and no record is lost or written twice. The next generation fences them all.
func TestRestartedOwnerGetsHigherEpoch(t *testing.T) {
	for appends := range 8 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: 1, Late: time.Second})
			random := rand.New(rand.NewSource(int64(appends)))
			store.SetRule(func(memorylog.Call) memorylog.Fault {
				return []memorylog.Fault{memorylog.None, memorylog.LostAfter, memorylog.LostBefore, memorylog.LostLate}[random.Intn(4)]
			})
			var earlier []*fencing.Writer
			count := 0
			for restart := range 6 {
				next := openWriter(t, store, fmt.Sprint("process", restart), 3)
				for _, old := range earlier {
					is.True(old.Epoch() < next.Epoch())
					_, err := old.Append(t.Context(), record(1000))
					is.Equal(err, fencing.ErrSuperseded)
				}
				for range appends {
					_, err := next.Append(t.Context(), record(count))
					is.NoErr(err)
					count++
				}
				earlier = append(earlier, next)
			}
			successor := openWriter(t, store, "successor", 4)
			is.True(successor.Epoch() > earlier[len(earlier)-1].Epoch())
			_, err := earlier[len(earlier)-1].Append(t.Context(), record(1000))
			is.Equal(err, fencing.ErrSuperseded)
			time.Sleep(2 * time.Second)
			var keys []string
			for _, stored := range writtenRecords(store) {
				keys = append(keys, stored.Key)
			}
			is.Equal(len(keys), count)
			for i, key := range keys {
				is.Equal(key, fmt.Sprint(i))
			}
			late := fencing.New(fencing.Config{
				Log: store.For("late"), Partition: partition, Name: "owner", Generation: 3, Logger: log.New(io.Discard),
			})
			_, err = late.Open(t.Context())
			is.Equal(err, fencing.ErrSuperseded)
			<-late.Superseded()
		})
	}
}

// TestEachStartUsesOneEpoch guards against a partition that stays with a process and is never served: a process that
// crashes in a loop keeps its generation, and each start used up as many epochs as all starts before it, so that the
// 41st found none.
func TestEachStartUsesOneEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Late: time.Second})
		random := rand.New(rand.NewSource(1))
		store.SetRule(func(memorylog.Call) memorylog.Fault {
			return []memorylog.Fault{memorylog.None, memorylog.LostAfter, memorylog.LostBefore, memorylog.LostLate}[random.Intn(4)]
		})
		const starts, generation = 300, 3
		var last int64
		for start := range starts {
			writer := openWriter(t, store, fmt.Sprint("process", start), generation)
			is.True(writer.Epoch() > last)
			last = writer.Epoch()
			_, err := writer.Append(t.Context(), record(start))
			is.NoErr(err)
		}
		is.True(last < generation<<20+2*starts) // Late appends of a start may set an epoch that nobody uses.
		openWriter(t, store, "successor", generation+1)
		is.Equal(len(writtenRecords(store)), starts)
	})
}

// TestEpochIsFoundWithoutTheOwnersRecord guards against an owner that finds no epoch because the record of the last one
// is missing or of another form.
func TestEpochIsFoundWithoutTheOwnersRecord(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("x"), []byte("1")} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: 1})
			for start := range 12 {
				writer := openWriter(t, store, fmt.Sprint("process", start), 1)
				_, err := writer.Append(t.Context(), []keyedlog.Record{{Key: keyedlog.OwnerKey, Value: value}})
				is.NoErr(err)
			}
		})
	}
}

// TestOwnerOfAnEarlierGenerationLearnsOfItInFewCalls guards against many calls of each process that believes that it owns
// a partition that has moved on.
func TestOwnerOfAnEarlierGenerationLearnsOfItInFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		openWriter(t, store, "next", 4)
		before, calls := store.Appends(), 0
		store.SetRule(func(memorylog.Call) memorylog.Fault { calls++; return memorylog.None })
		late := fencing.New(fencing.Config{
			Log: store.For("late"), Partition: partition, Name: "owner", Generation: 3, Logger: log.New(io.Discard),
		})
		_, err := late.Open(t.Context())
		is.Equal(err, fencing.ErrSuperseded)
		is.True(store.Appends()-before <= 4)
		is.True(calls <= 5)
	})
}

// openAsProduction sets an epoch as the build does that production runs: it doubles its guess at each rejection and reads nothing.
func openAsProduction(t *testing.T, store *memorylog.Store, generation int64) int64 {
	t.Helper()
	for restart := int64(0); restart < 1<<20; restart = 2*restart + 1 {
		epoch := generation<<20 + restart
		_, err := store.For("production").Append(t.Context(), partition,
			[]keyedlog.Record{{Key: keyedlog.OwnerKey, Value: strconv.AppendInt(nil, epoch, 10)}},
			&keyedlog.Fence{Writer: "owner", Epoch: epoch, Sequence: rand.Int63n(1 << 50)})
		if err == nil {
			return epoch
		}
	}
	t.Fatal("no epoch left")
	return 0
}

// TestBuildsTakeEpochsInTurn guards against a process that finds no epoch while machines are upgraded or rolled back: the build in service
// before this one takes epochs in another way, and a process may be started again with either under the same generation.
func TestBuildsTakeEpochsInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		const turns, generation = 15, 3
		var last int64
		for turn := range turns {
			earlier := openAsProduction(t, store, generation)
			is.True(earlier > last)
			for start := range 5 {
				writer := openWriter(t, store, fmt.Sprint("process", turn, "/", start), generation)
				is.True(writer.Epoch() > earlier)
				is.True(writer.Epoch() <= earlier+5)
				last = writer.Epoch()
			}
		}
		is.True(last < (generation+1)<<20)
	})
}
