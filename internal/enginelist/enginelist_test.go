package enginelist_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/enginelist"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

const pool = "application"

var partition = enginelist.PartitionOf(pool, 1)

// process is a process that reads the list, and keeps it up to date while it reads the engines' own records.
type process struct {
	list      *enginelist.List
	keeper    *enginelist.Keeper
	directory *fleet.Directory
	stop      func()
}

// startProcess starts a process, which reads all of the list if whole is set.
func startProcess(t *testing.T, store *memorylog.Store, name string, whole bool) *process {
	return startConfigured(t, store, name, whole, nil)
}

// startConfigured starts a process whose configuration for following the list is changed by change.
func startConfigured(t *testing.T, store *memorylog.Store, name string, whole bool, change func(*follow.Config)) *process {
	directory := fleet.NewDirectory()
	list := enginelist.NewList(directory, 1)
	list.SetPools(map[string]bool{pool: true}, map[string]bool{pool: true})
	logger := log.New(io.Discard)
	p := &process{
		list: list, directory: directory,
		keeper: enginelist.NewKeeper(enginelist.KeeperConfig{Log: store.For(name), List: list, Logger: logger}),
	}
	reader := enginelist.NewReader(list, partition.Number, whole, logger)
	config := follow.Config{Log: store.For(name), Partition: partition, Wait: time.Second, Logger: logger, Applier: reader}
	if !whole {
		config.SampleAfterKey = enginelist.HashKey(name)
	}
	if change != nil {
		change(&config)
	}
	follower := follow.New(config)
	reader.Attach(follower)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	running.Go(func() { p.keeper.Run(ctx) })
	p.stop = func() {
		cancel()
		running.Wait()
	}
	return p
}

func engine(number int) fleet.Engine {
	return fleet.Engine{
		ID: fmt.Sprint("engine-", number), Pool: pool, Zone: "zone-a", Slots: 6,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 8080).String(),
	}
}

// readOwnRecords passes the own records of engines to a process, at offsets from the given one on.
func (p *process) readOwnRecords(offset int64, engines ...fleet.Engine) {
	for i, next := range engines {
		p.directory.Upsert(next)
		p.list.PutOwnRecord(next, offset+int64(i))
	}
	p.list.OwnRecordsReadTo(offset + int64(len(engines)))
}

func makeEngines(count int) []fleet.Engine {
	var engines []fleet.Engine
	for i := range count {
		engines = append(engines, engine(i))
	}
	return engines
}

// TestBackupKeeperTakesOverWhenPrimaryIsGone has two processes read the engines' own records. The primary ends before
// it has written the changes, which the other process must then write.
func TestBackupKeeperTakesOverWhenPrimaryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		first, second := startProcess(t, store, "first", true), startProcess(t, store, "second", true)
		reader := startProcess(t, store, "reader", false)
		first.keeper.Gained(t.Context(), partition, 1)
		first.readOwnRecords(0, makeEngines(20)...)
		second.readOwnRecords(0, makeEngines(20)...)
		is.True(!reader.directory.Synced())
		time.Sleep(300 * time.Millisecond)
		is.True(reader.directory.Synced())
		is.Equal(len(reader.directory.Pool(pool)), 20)
		is.Equal(second.keeper.Written(), int64(0))

		first.stop()
		leaving := engine(3)
		leaving.Draining = true
		second.readOwnRecords(20, leaving)
		second.directory.Remove("engine-4")
		second.list.RemoveOwnRecord("engine-4")
		time.Sleep(1500 * time.Millisecond)
		known, found := reader.directory.Engine("engine-3")
		is.True(found && known.Draining)
		_, found = reader.directory.Engine("engine-4")
		is.True(!found)
		second.stop()
		reader.stop()
	})
}

// TestFailedAppendIsRetriedSoon makes one append fail of the only process that writes the list. The change must reach
// readers within 800 ms all the same.
func TestFailedAppendIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		keeper, reader := startProcess(t, store, "keeper", true), startProcess(t, store, "reader", false)
		keeper.keeper.Gained(t.Context(), partition, 1)
		keeper.readOwnRecords(0, makeEngines(20)...)
		time.Sleep(2 * time.Second)
		var refused atomic.Bool
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation == "append" && refused.CompareAndSwap(false, true) {
				return memorylog.Down
			}
			return memorylog.None
		})
		leaving := engine(3)
		leaving.Draining = true
		keeper.readOwnRecords(20, leaving)
		time.Sleep(800 * time.Millisecond)
		known, _ := reader.directory.Engine("engine-3")
		is.True(refused.Load())
		is.True(known.Draining)
		keeper.stop()
		reader.stop()
	})
}

// slowLog delays the results of reads.
type slowLog struct {
	keyedlog.Log
	delay time.Duration
}

func (l slowLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	batch, err := l.Log.Read(ctx, partition, span)
	time.Sleep(l.delay)
	return batch, err
}

// TestEntriesAreWrittenOnceWhenReadsAreSlow has many processes read the own records of many engines while entries
// written to the list are read back only seconds later. Every rewrite of an entry is read by all readers of the list:
// at a thousand replicas that alone saturates the store.
func TestEntriesAreWrittenOnceWhenReadsAreSlow(t *testing.T) {
	const (
		processes = 8
		engines   = 100
	)
	synctest.Test(t, func(t *testing.T) {
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		var started []*process
		for number := range processes {
			started = append(started, startConfigured(t, store, fmt.Sprint("process", number), true, func(config *follow.Config) {
				config.Log = slowLog{config.Log, 3 * time.Second}
			}))
		}
		time.Sleep(5 * time.Second)
		started[0].keeper.Gained(t.Context(), partition, 1)
		for _, process := range started {
			process.readOwnRecords(0, makeEngines(engines)...)
		}
		time.Sleep(20 * time.Second)
		written := 0
		for _, process := range started {
			written += int(process.keeper.Written())
			process.stop()
		}
		// The additional record says that the list is complete.
		if written > engines+1 {
			t.Errorf("%d entries written for %d engines", written, engines)
		}
	})
}

// TestLeavingEngineIsWrittenAtOnceWhenReadsAreSlow has an engine begin to leave soon after it was listed, before the
// process that wrote its entry has read that back.
func TestLeavingEngineIsWrittenAtOnceWhenReadsAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		keeper := startConfigured(t, store, "keeper", true, func(config *follow.Config) { config.Log = slowLog{config.Log, 3 * time.Second} })
		reader := startProcess(t, store, "reader", false)
		keeper.keeper.Gained(t.Context(), partition, 1)
		time.Sleep(5 * time.Second)
		keeper.readOwnRecords(0, makeEngines(20)...)
		time.Sleep(300 * time.Millisecond)
		leaving := engine(3)
		leaving.Draining = true
		keeper.readOwnRecords(20, leaving)
		time.Sleep(300 * time.Millisecond)
		known, _ := reader.directory.Engine("engine-3")
		is.True(known.Draining)
		keeper.stop()
		reader.stop()
	})
}

// TestStaleWriteIsRepaired has a process that was suspended overwrite a current entry with an outdated one. Readers
// must keep the current entry, and a reader that starts after the repair must receive it.
func TestStaleWriteIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		late := startProcess(t, store, "late", true)
		late.readOwnRecords(0, engine(1))
		time.Sleep(2 * time.Second)
		late.stop()
		stale := store.Records(partition)[0]

		keeper, reader := startProcess(t, store, "keeper", true), startProcess(t, store, "reader", false)
		keeper.keeper.Gained(t.Context(), partition, 2)
		leaving := engine(1)
		leaving.Draining = true
		leaving.Address = "10.9.9.9:80"
		keeper.readOwnRecords(7, leaving)
		time.Sleep(time.Second)
		_, err := store.For("late").Append(t.Context(), partition, []keyedlog.Record{stale}, nil)
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		known, _ := reader.directory.Engine("engine-1")
		is.Equal(known.Address, "10.9.9.9:80")
		time.Sleep(1500 * time.Millisecond)
		newcomer := startProcess(t, store, "newcomer", false)
		time.Sleep(100 * time.Millisecond)
		known, _ = newcomer.directory.Engine("engine-1")
		is.Equal(known.Address, "10.9.9.9:80")
		keeper.stop()
		reader.stop()
		newcomer.stop()
	})
}

// TestLargeListIsReadInPart starts processes when the list has many pages: each must read enough of it, from any
// position, and not all.
func TestLargeListIsReadInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		keeper := startProcess(t, store, "keeper", true)
		keeper.keeper.Gained(t.Context(), partition, 1)
		keeper.readOwnRecords(0, makeEngines(4000)...)
		time.Sleep(2 * time.Second)
		for i := range 20 {
			reader := startProcess(t, store, fmt.Sprint("reader-", i), false)
			time.Sleep(time.Second)
			is.True(reader.directory.Synced())
			engines := len(reader.directory.Pool(pool))
			is.True(engines >= 500 && engines < 1000)
			reader.stop()
		}
		keeper.stop()
	})
}

// TestOwnerUsesEnginesOwnRecords has a process that reads the list begin to read the engines' own records, and stop
// again.
func TestOwnerUsesEnginesOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		keeper, other := startProcess(t, store, "keeper", true), startProcess(t, store, "other", true)
		keeper.keeper.Gained(t.Context(), partition, 1)
		keeper.readOwnRecords(0, makeEngines(3)...)
		time.Sleep(time.Second)
		is.Equal(len(other.directory.Pool(pool)), 3)

		// The own records contain a new engine, and lack one that is listed.
		other.readOwnRecords(1, engine(1), engine(2), engine(9))
		is.Equal(len(other.directory.Pool(pool)), 4)
		keeper.readOwnRecords(3, engine(9))
		keeper.directory.Remove("engine-0")
		keeper.list.RemoveOwnRecord("engine-0")
		time.Sleep(time.Second)
		is.Equal(len(other.directory.Pool(pool)), 3)
		_, found := other.directory.Engine("engine-0")
		is.True(!found)
		other.list.ForgetOwnRecords()
		is.Equal(len(other.directory.Pool(pool)), 3)
		_, found = other.directory.Engine("engine-9")
		is.True(found)
		keeper.stop()
		other.stop()
	})
}

// TestEnginesWhoseRecordsLapsedStayListed has a process begin to read the engines' own records just after an outage of
// the store, when those of two of three engines have lapsed. Only one of the two writes its record again.
func TestEnginesWhoseRecordsLapsedStayListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		before := startProcess(t, store, "before", true)
		before.keeper.Gained(t.Context(), partition, 1)
		before.readOwnRecords(0, makeEngines(3)...)
		time.Sleep(time.Second)
		before.stop()

		reader, after := startProcess(t, store, "reader", false), startProcess(t, store, "after", true)
		after.keeper.Gained(t.Context(), partition, 2)
		after.readOwnRecords(5, engine(0))
		time.Sleep(1900 * time.Millisecond)
		is.Equal(len(reader.directory.Pool(pool)), 3)
		is.Equal(len(after.directory.Pool(pool)), 3)
		after.readOwnRecords(6, engine(1))
		time.Sleep(time.Second)
		is.Equal(len(reader.directory.Pool(pool)), 2)
		is.Equal(len(after.directory.Pool(pool)), 2)
		_, found := reader.directory.Engine("engine-2")
		is.True(!found)
		reader.stop()
		after.stop()
	})
}

// TestReaderLearnsThatARunningEngineTurnsCold guards against full load on a cold engine from processes that read the list
// only: the engine's record changes in nothing else. Heartbeats that say the same again must not be written.
func TestReaderLearnsThatARunningEngineTurnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		owner, reader := startProcess(t, store, "owner", true), startProcess(t, store, "reader", false)
		defer owner.stop()
		defer reader.stop()
		owner.directory.SetColdLimit(pool, fleet.ColdLimit{Rate: 8.6})
		owner.keeper.Gained(t.Context(), partition, 1)
		next, end := engine(1), time.Now().Add(4*time.Second)
		for heartbeat, coldUntil := range []time.Time{{}, end, end.Add(200 * time.Millisecond), end.Add(-200 * time.Millisecond), {}} {
			next.ColdUntil = coldUntil
			owner.readOwnRecords(int64(heartbeat), next)
			time.Sleep(time.Second)
		}
		known, _ := reader.directory.Engine(next.ID)
		is.True(known.ColdUntil.Equal(end.Truncate(time.Millisecond)))
		is.Equal(owner.keeper.Written(), int64(3)) // the engine, that all were written, and its change
	})
}

// TestEngineThatIsGoneIsNotTakenFromTheListAgain guards against forgetting a departure while the list still names the engine.
func TestEngineThatIsGoneIsNotTakenFromTheListAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		owner, other := startProcess(t, store, "owner", true), startProcess(t, store, "other", true)
		defer owner.stop()
		defer other.stop()
		owner.keeper.Gained(t.Context(), partition, 1)
		owner.readOwnRecords(0, makeEngines(3)...)
		other.readOwnRecords(0, makeEngines(3)...)
		time.Sleep(time.Second)
		uses := func(id string) bool {
			_, found := other.directory.Engine(id)
			return found
		}
		for _, id := range []string{"engine-0", "engine-1"} {
			other.directory.Remove(id)
			other.list.RemoveOwnRecord(id)
		}
		other.list.ForgetOwnRecords()
		is.True(!uses("engine-0") && !uses("engine-1") && uses("engine-2"))

		returned := engine(1)
		returned.Slots++
		owner.readOwnRecords(3, returned)
		time.Sleep(time.Second)
		is.True(uses("engine-1"))  // a later record of the same engine counts
		is.True(!uses("engine-0")) // the list still names it
		time.Sleep(20 * time.Second)
		is.True(uses("engine-0")) // those who read its record go on to name it
	})
}

// TestOwnerTakesNoEngineBackThatItSawGo guards against an entry that a suspended or cut-off writer puts back into the list.
func TestOwnerTakesNoEngineBackThatItSawGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, PageRecords: 500})
		owner := startProcess(t, store, "owner", true)
		defer owner.stop()
		owner.keeper.Gained(t.Context(), partition, 1)
		owner.readOwnRecords(0, makeEngines(3)...)
		time.Sleep(300 * time.Millisecond)
		former := store.Records(partition)
		owner.directory.Remove("engine-1")
		owner.list.RemoveOwnRecord("engine-1")
		time.Sleep(300 * time.Millisecond)
		for _, record := range former {
			_, err := store.For("suspended").Append(t.Context(), partition, []keyedlog.Record{{Key: record.Key, Value: record.Value}}, nil)
			is.NoErr(err)
		}
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			_, found := owner.directory.Engine("engine-1")
			is.True(!found)
		}
	})
}
