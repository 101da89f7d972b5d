package replica

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

// testRate is high, so that two senders at once exceed what the platform allows beyond the rate (a half and 5).
const testRate = 20

// idleHolder does no work. A release takes as long as some writes.
type idleHolder struct{}

func (h idleHolder) Gained(context.Context, keyedlog.Partition, int64) ownership.Work { return h }
func (idleHolder) Release(context.Context)                                            { time.Sleep(300 * time.Millisecond) }
func (idleHolder) Superseded() <-chan struct{}                                        { return nil }

// startSender starts a process that knows a cold engine of a pool with models, and one of a pool without.
func startSender(store *memorylog.Store, name string) (directory *fleet.Directory, stop func()) {
	directory, held, configuration := fleet.NewDirectory(), newHoldings(), catalog.NewHolder()
	configuration.Set(catalog.New(1, nil, map[string]catalog.Pool{"trained": {Models: []string{"m"}}, "application": {}}, catalog.Limits{}))
	manager := ownership.New(ownership.Config{
		Log: storetimeout.New(store.For(name)), Group: "g", Member: name, Topics: []keyedlog.Topic{keyedlog.TopicJobs},
		Lifetime: 1250 * time.Millisecond, Holder: trackingHolder{idleHolder{}, held}, Logger: log.New(io.Discard),
	})
	senders := &coldSenders{catalog: configuration, holdings: held, partitions: 1, confirmed: manager.Confirmed}
	senders.attach(directory)
	for pool := range configuration.Current().Pools {
		directory.SetColdLimit(pool, fleet.ColdLimit{Rate: testRate})
		directory.Upsert(fleet.Engine{ID: pool, Pool: pool, Slots: 8, Versions: map[string]int64{"m": 1}, ColdUntil: time.Now().Add(time.Hour)})
	}
	directory.SetAssignedModels("trained", map[string]string{"trained": "m"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		manager.Run(ctx)
	}()
	return directory, func() {
		cancel()
		<-done
	}
}

// sendAll starts as much work as a process may, and adds the times by engine.
func sendAll(directory *fleet.Directory, starts map[string][]time.Time) {
	for _, want := range []fleet.Want{{Pool: "trained", Model: "m"}, {Pool: "trained"}, {Pool: "application"}} {
		for engine, ok := directory.Acquire(want); ok; engine, ok = directory.Acquire(want) {
			if directory.MayStart(engine.ID, want.Model) {
				starts[engine.ID] = append(starts[engine.ID], time.Now())
			}
			directory.Release(engine.ID)
		}
	}
}

// TestSuccessorOfOnlySenderKeepsColdRate guards against twice the rate at a cold engine while its only sender changes in
// the middle of a second: it is stopped, loses the store for good or for a while, or is paused and sends again as it wakes up, still
// believing that it owns the partition. With the store back, it learns of its successor, and must not send while it releases
// the partition. If the successor has just stopped, it is the sender again without a release in between. The engine must not stay unused for long either.
func TestSuccessorOfOnlySenderKeepsColdRate(t *testing.T) {
	const changeAt, wakeAt, end = 5 * time.Second, 9 * time.Second, 14 * time.Second
	for _, name := range []string{"stopped", "store lost", "store back", "successor stopped", "paused"} {
		for _, offset := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprint(name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store, starts := memorylog.New(memorylog.Config{Partitions: 1}), make(map[string][]time.Time)
					first, stopFirst := startSender(store, "first")
					time.Sleep(100 * time.Millisecond)
					second, stopSecond := startSender(store, "second")
					defer stopSecond()
					begun := time.Now()
					time.AfterFunc(changeAt+offset, func() {
						if name == "stopped" {
							stopFirst()
							return
						}
						back := end
						switch name {
						case "store back":
							back = wakeAt
						case "successor stopped":
							back = wakeAt + 400*time.Millisecond
							time.AfterFunc(wakeAt-time.Since(begun), stopSecond)
						}
						store.SetRule(func(call memorylog.Call) memorylog.Fault {
							if call.Caller == "first" && time.Since(begun) < back {
								return memorylog.Silent
							}
							return memorylog.None
						})
					})
					for elapsed := time.Duration(0); elapsed < end; elapsed = time.Since(begun) {
						if name != "paused" || elapsed < changeAt+offset || elapsed >= wakeAt+offset/2 {
							sendAll(first, starts)
						}
						sendAll(second, starts)
						time.Sleep(10 * time.Millisecond)
					}
					stopFirst()
					is.Equal(len(starts), 2)
					for _, times := range starts {
						for i, at := range times {
							is.True(i < testRate || at.Sub(times[i-testRate]) > time.Second)
							is.True(i == 0 || at.Sub(times[i-1]) < 4*time.Second)
						}
						is.True(time.Since(times[len(times)-1]) < 2*time.Second)
					}
				})
			})
		}
	}
}

// TestSuccessorConfirmsColdness guards against full load on an engine that only its previous sender knows to be cold, from a health response:
// the engine's record states that it is warm, and the successor has known the engine for long. Until the successor has a health response, it must
// keep to the cold rate too.
func TestSuccessorConfirmsColdness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		engine := fleet.Engine{ID: "trained", Pool: "trained", Slots: 8, Versions: map[string]int64{"m": 1}}
		first, stopFirst := startSender(store, "first")
		time.Sleep(100 * time.Millisecond)
		second, stopSecond := startSender(store, "second")
		defer stopSecond()
		for _, process := range []*fleet.Directory{first, second} {
			process.SetColdLimit("trained", fleet.ColdLimit{Rate: testRate, Duration: 3 * time.Second, Checked: true})
			process.Remove("trained")
			process.Upsert(engine)
		}
		time.Sleep(4 * time.Second)
		is.Equal(second.Cold(), 1) // the engine of the other pool
		first.RecordHealth(engine, time.Now(), 3*time.Second)
		stopFirst()
		time.Sleep(200 * time.Millisecond)
		is.Equal(second.Cold(), 2)
		second.RecordHealth(engine, time.Now(), 0)
		is.Equal(second.Cold(), 1)
	})
}
