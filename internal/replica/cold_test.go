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

// sender is a process that sends as much as it may to cold engines.
type sender struct {
	directory *fleet.Directory
	manager   *ownership.Manager
	stop      func()
	paused    bool
}

// idleHolder does no work.
type idleHolder struct{}

func (idleHolder) Gained(context.Context, keyedlog.Partition, int64) ownership.Work {
	return idleWork{}
}

type idleWork struct{}

func (idleWork) Release(context.Context)     {}
func (idleWork) Superseded() <-chan struct{} { return nil }

func coldCatalog() *catalog.Holder {
	holder := catalog.NewHolder()
	holder.Set(catalog.New(1, nil, map[string]catalog.Pool{
		"trained": {Name: "trained", Models: []string{"m", "n"}}, "application": {Name: "application"},
	}, catalog.Limits{}))
	return holder
}

// startSender starts a process that knows one cold engine of a pool with models and one of a pool without.
func startSender(store *memorylog.Store, name string) *sender {
	s := &sender{directory: fleet.NewDirectory()}
	held := newHoldings()
	s.manager = ownership.New(ownership.Config{
		Log: storetimeout.New(store.For(name)), Group: "g", Member: name, Topics: []keyedlog.Topic{keyedlog.TopicJobs},
		Lifetime: 1250 * time.Millisecond, Holder: trackingHolder{idleHolder{}, held}, Logger: log.New(io.Discard),
	})
	senders := &coldSenders{catalog: coldCatalog(), holdings: held, partitions: 1, confirmedUntil: s.manager.ConfirmedUntil}
	s.directory.SetColdSenders(senders.term)
	for _, pool := range []string{"trained", "application"} {
		s.directory.SetColdLimit(pool, fleet.ColdLimit{Rate: testRate, Duration: 3 * time.Second})
		s.directory.Upsert(fleet.Engine{
			ID: pool, Pool: pool, Slots: 8, Versions: map[string]int64{"m": 1}, ColdUntil: time.Now().Add(time.Hour),
		})
	}
	s.directory.SetAssignedModels("trained", map[string]string{"trained": "m"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.manager.Run(ctx)
	}()
	s.stop = func() {
		cancel()
		<-done
	}
	return s
}

// send starts as much work as the process may, and records the times.
func (s *sender) send(starts map[string][]time.Time) {
	for _, want := range []fleet.Want{{Pool: "trained", Model: "m"}, {Pool: "trained"}, {Pool: "application"}} {
		for !s.paused {
			engine, ok := s.directory.Acquire(want)
			if !ok {
				break
			}
			if s.directory.MayStart(engine.ID, want.Model) {
				starts[engine.ID] = append(starts[engine.ID], time.Now())
			}
			s.directory.Release(engine.ID)
		}
	}
}

// maxWithinSecond returns the largest number of starts within any second, and the longest time without one.
func maxWithinSecond(starts []time.Time) (most int, longestGap time.Duration) {
	for i, from := range starts {
		count := 0
		for _, at := range starts[i:] {
			if at.Sub(from) <= time.Second {
				count++
			}
		}
		most = max(most, count)
		if i > 0 {
			longestGap = max(longestGap, from.Sub(starts[i-1]))
		}
	}
	return most, longestGap
}

// TestSuccessorOfOnlySenderKeepsColdRate guards against twice the rate at a cold engine while its only sender changes: it
// is stopped in the middle of a second, loses the store, or is paused and sends again as it wakes up, still believing that
// it owns the partition. The engine must not stay unused for long either.
func TestSuccessorOfOnlySenderKeepsColdRate(t *testing.T) {
	silent := func(store *memorylog.Store) {
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "first" {
				return memorylog.Silent
			}
			return memorylog.None
		})
	}
	changes := map[string]func(store *memorylog.Store, first *sender){
		"stopped":    func(_ *memorylog.Store, first *sender) { go first.stop() },
		"store lost": func(store *memorylog.Store, _ *sender) { silent(store) },
		"paused": func(store *memorylog.Store, first *sender) {
			silent(store)
			first.paused = true
		},
	}
	for name, change := range changes {
		for _, offset := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprint(name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := memorylog.New(memorylog.Config{Partitions: 1})
					first := startSender(store, "first")
					time.Sleep(100 * time.Millisecond)
					second := startSender(store, "second")
					starts := make(map[string][]time.Time)
					begun := time.Now()
					changed, woken := false, false
					for time.Since(begun) < 14*time.Second {
						if !changed && time.Since(begun) >= 5*time.Second+offset {
							changed = true
							change(store, first)
						}
						if !woken && time.Since(begun) >= 9*time.Second+offset/2 {
							woken, first.paused = true, false
						}
						first.send(starts)
						second.send(starts)
						time.Sleep(10 * time.Millisecond)
					}
					second.stop()
					if name != "stopped" {
						first.stop()
					}
					for _, id := range []string{"trained", "application"} {
						most, longestGap := maxWithinSecond(starts[id])
						is.True(most <= testRate)
						is.True(most > testRate/2)
						is.True(longestGap < 4*time.Second)
						is.True(time.Since(starts[id][len(starts[id])-1]) < 2*time.Second)
					}
				})
			})
		}
	}
}
