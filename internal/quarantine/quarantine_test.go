package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

var errConnReset = errors.New("connection reset")

// world is a store and the state of engines, shared by any number of machines.
type world struct {
	test    *testing.T
	store   *memorylog.Store
	ctx     context.Context
	running sync.WaitGroup

	mutex sync.Mutex
	// endedEngines holds the engines that refuse connections.
	endedEngines map[string]bool
}

func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		test: t, ctx: ctx, endedEngines: make(map[string]bool),
		store: memorylog.New(memorylog.Config{Partitions: 1, Delay: 3 * time.Millisecond}),
	}
	t.Cleanup(func() {
		cancel()
		w.running.Wait()
	})
	return w
}

// Ended implements quarantine.Prober.
func (w *world) Ended(_ context.Context, engine fleet.Engine) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.endedEngines[engine.ID]
}

// end makes an engine refuse connections.
func (w *world) end(engineID string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endedEngines[engineID] = true
}

// machine is a quarantine with its dependencies.
type machine struct {
	*quarantine.Quarantine
	world     *world
	directory *fleet.Directory
	stop      context.CancelFunc
}

func (w *world) machine(name string) *machine {
	logger := log.New(io.Discard)
	ctx, cancel := context.WithCancel(w.ctx)
	m := &machine{world: w, directory: fleet.NewDirectory(), stop: cancel}
	store := storetimeout.New(w.store.For(name))
	m.Quarantine = quarantine.New(quarantine.Config{
		Log: store, Prober: w, Directory: m.directory, Machine: name, Logger: logger,
	})
	follower := follow.New(follow.Config{
		Log: store, Partition: keyedlog.Crashes, Applier: m.Quarantine, Wait: 2 * time.Second, Logger: logger,
	})
	m.Attach(follower)
	w.running.Go(func() { follower.Run(ctx) })
	w.running.Go(func() { m.Run(ctx) })
	return m
}

func call(body string) engineapi.Call {
	return engineapi.Call{Host: "h", Method: "POST", Target: "/t", Body: []byte(body), RequestID: fmt.Sprint("id", rand.Uint64())}
}

// crash ends an engine while it runs a call that this machine has sent.
func (m *machine) crash(engineID string, crashing engineapi.Call) quarantine.Standing {
	return m.crashEngine(fleet.Engine{ID: engineID, Pool: "p"}, crashing)
}

func (m *machine) crashEngine(engine fleet.Engine, crashing engineapi.Call) quarantine.Standing {
	m.directory.Upsert(engine)
	m.world.end(engine.ID)
	standing := m.ReportBroken(m.world.ctx, crashing, engine, errConnReset, policy.CrashRequest)
	time.Sleep(20 * time.Millisecond)
	return standing
}

func (m *machine) standing(body string) quarantine.Standing {
	return m.Admit(m.world.ctx, call(body), policy.CrashRequest).Standing
}

// TestAllMachinesLearnOfCrashes has two engines end while they run a request of different machines. A third machine must
// withhold this request and no other.
func TestAllMachinesLearnOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first, second, third := w.machine("1"), w.machine("2"), w.machine("3")
		is.Equal(third.standing("x"), quarantine.Clear)
		first.crash("a", call("x"))
		is.Equal(third.standing("x"), quarantine.Suspect)
		is.Equal(second.crash("b", call("x")), quarantine.Withheld)
		is.Equal(third.standing("x"), quarantine.Withheld)
		is.Equal(third.standing("y"), quarantine.Clear)
		other := call("x")
		other.Tenant = "another"
		is.Equal(third.Admit(w.ctx, other, policy.CrashRequest).Standing, quarantine.Clear)
		wait := third.Admit(w.ctx, call("x"), policy.CrashRequest).Wait
		is.True(wait > 0 && wait <= 10*time.Second)
		// An item of a job pauses one ended engine later, and the call that scores it is withheld then.
		is.Equal(third.Admit(w.ctx, call("x"), policy.CrashItem).Standing, quarantine.Suspect)
		is.Equal(third.Admit(w.ctx, call("x"), policy.CrashScore).Standing, quarantine.Suspect)
		first.crash("c", call("x"))
		is.Equal(third.Admit(w.ctx, call("x"), policy.CrashItem).Standing, quarantine.Paused)
		is.Equal(third.Admit(w.ctx, call("x"), policy.CrashScore).Standing, quarantine.Withheld)
	})
}

// TestItemsOfEqualContentStartOneAfterAnother guards against items of equal content that end as many engines at once as there are items: after
// their pause one of them starts, and the others wait for another pause. The item that started may be sent again, as to a better engine.
func TestItemsOfEqualContentStartOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		for i := range policy.ItemCrashLimit {
			m.crash(fmt.Sprint("e", i), call("x"))
		}
		first, second := call("x"), call("x")
		is.True(!m.Admit(w.ctx, first, policy.CrashItem).MaySend())
		time.Sleep(time.Second)
		is.True(m.ItemPause(second).MaySend())
		is.True(m.Admit(w.ctx, first, policy.CrashItem).Alone)
		is.True(!m.ItemPause(second).MaySend())
		is.True(!m.Admit(w.ctx, second, policy.CrashItem).MaySend())
		is.True(m.Admit(w.ctx, first, policy.CrashItem).MaySend())
		time.Sleep(time.Second)
		is.True(m.Admit(w.ctx, second, policy.CrashItem).Alone)
		m.ReportAnswered(first)
		is.Equal(m.Admit(w.ctx, second, policy.CrashItem), quarantine.Admission{})
	})
}

// TestEndsOfRestartedEngineCount guards against a request that crashes engines without end: all of them start again under their ids, and each
// counted as one crash for ever.
func TestEndsOfRestartedEngineCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first, second := w.machine("1"), w.machine("2")
		time.Sleep(time.Second)
		engine := fleet.Engine{ID: "a", Pool: "p", StartedAt: time.Now()}
		first.crashEngine(engine, call("x"))
		second.crashEngine(engine, call("x"))
		is.Equal(first.standing("x"), quarantine.Suspect)
		engine.StartedAt = time.Now().Add(2 * time.Second)
		is.Equal(second.crashEngine(engine, call("x")), quarantine.Withheld)
		is.Equal(first.standing("x"), quarantine.Withheld)
	})
}

// TestEndReportedByBothBuildsCountsOnce guards against requests that are withheld after one crash: a build that knows no starts and this one
// report the same end.
func TestEndReportedByBothBuildsCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		machine := w.machine("1")
		time.Sleep(time.Second)
		machine.crash("a", call("x"))
		machine.crashEngine(fleet.Engine{ID: "a", Pool: "p", StartedAt: time.Now()}, call("x"))
		is.Equal(machine.standing("x"), quarantine.Suspect)
	})
}

// TestEngineEndCountsOnce has several machines report the end of the same engine.
func TestEngineEndCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first, second := w.machine("1"), w.machine("2")
		first.crash("a", call("x"))
		second.crash("a", call("x"))
		is.Equal(first.standing("x"), quarantine.Suspect)
		is.Equal(second.standing("x"), quarantine.Suspect)
	})
}

// TestBrokenAnswerWithoutCrash checks that answers that break off while the engine keeps running, is draining or is no
// longer listed do not count as crashes.
func TestBrokenAnswerWithoutCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		for i := range 5 {
			engine := fleet.Engine{ID: fmt.Sprint("living", i)}
			m.directory.Upsert(engine)
			m.ReportBroken(w.ctx, call("x"), engine, errConnReset, policy.CrashRequest)
			engine = fleet.Engine{ID: fmt.Sprint("leaving", i), Draining: true}
			m.directory.Upsert(engine)
			w.end(engine.ID)
			m.ReportBroken(w.ctx, call("x"), engine, errConnReset, policy.CrashRequest)
			engine = fleet.Engine{ID: fmt.Sprint("unlisted", i)}
			w.end(engine.ID)
			m.ReportBroken(w.ctx, call("x"), engine, errConnReset, policy.CrashRequest)
			time.Sleep(time.Second)
		}
		is.Equal(m.standing("x"), quarantine.Clear)
		is.Equal(m.Contents(), 0)
	})
}

// TestAnswerClearsContent checks that a request that some engine answers is clear again at every machine.
func TestAnswerClearsContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first, second := w.machine("1"), w.machine("2")
		first.crash("a", call("x"))
		second.ReportAnswered(call("x"))
		time.Sleep(time.Second)
		is.Equal(first.standing("x"), quarantine.Clear)
		first.crash("b", call("x"))
		is.Equal(second.standing("x"), quarantine.Suspect)
	})
}

// TestOneMachineMakesEachTrial has many machines claim a trial at the same time, three times in a row. There must be two
// trials, each made by one machine.
func TestOneMachineMakesEachTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		var machines []*machine
		for i := range 8 {
			machines = append(machines, w.machine(fmt.Sprint(i)))
		}
		machines[0].crash("a", call("x"))
		machines[1].crash("b", call("x"))
		var admitted []int
		for _, wait := range []time.Duration{10 * time.Second, 10 * time.Minute, time.Hour} {
			time.Sleep(wait)
			standings := make([]quarantine.Standing, len(machines))
			var callers sync.WaitGroup
			for i, m := range machines {
				callers.Go(func() { standings[i] = m.standing("x") })
			}
			callers.Wait()
			count := 0
			for _, standing := range standings {
				if standing != quarantine.Withheld {
					count++
				}
			}
			admitted = append(admitted, count)
		}
		is.Equal(admitted, []int{1, 1, 0})
	})
}

// TestNewMachineReadsHistory checks that a machine that starts later knows which engines ended, even after the store has
// dropped its history.
func TestNewMachineReadsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first := w.machine("1")
		first.crash("a", call("x"))
		first.crash("b", call("x"))
		w.store.Forget()
		first.stop()
		second := w.machine("2")
		time.Sleep(time.Second)
		is.Equal(second.standing("x"), quarantine.Withheld)
	})
}

// TestCrashesDuringStoreOutage checks that a machine acts on the ends that it detected itself, and publishes them once the
// store is back.
func TestCrashesDuringStoreOutage(t *testing.T) {
	for _, fault := range []memorylog.Fault{memorylog.Down, memorylog.Silent, memorylog.LostBefore, memorylog.LostAfter, memorylog.LostLate} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				first, second := w.machine("1"), w.machine("2")
				time.Sleep(time.Second)
				w.store.SetRule(func(memorylog.Call) memorylog.Fault { return fault })
				first.crash("a", call("x"))
				started := time.Now()
				first.crash("b", call("x"))
				is.True(time.Since(started) < 150*time.Millisecond)
				is.Equal(first.standing("x"), quarantine.Withheld)
				// A trial can't be claimed while the store is unavailable.
				time.Sleep(11 * time.Second)
				is.Equal(first.standing("x"), quarantine.Withheld)
				w.store.Heal()
				time.Sleep(2 * time.Second)
				is.Equal(second.standing("x"), quarantine.Withheld)
			})
		})
	}
}

// TestSendsAreBounded runs random restarts of machines and outages of the store, with a request that crashes every engine.
// Once the third engine has ended, at most three sends may follow after the time in which machines learn of it.
func TestSendsAreBounded(t *testing.T) {
	const (
		seeds     = 60
		learnTime = 3 * time.Second
	)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(t)
			machines := []*machine{w.machine("0"), w.machine("1"), w.machine("2")}
			var ends []time.Time
			late := 0
			for step := range 400 {
				time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
				switch i := random.IntN(len(machines)); random.IntN(12) {
				case 0:
					machines[i].stop()
					machines[i] = w.machine(fmt.Sprint(i))
					// A machine has read the log a few seconds after its start.
					time.Sleep(learnTime)
				case 1:
					w.store.Forget()
				case 2:
					w.store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
					time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
					w.store.Heal()
					time.Sleep(learnTime)
				default:
					if machines[i].standing("x") == quarantine.Withheld {
						continue
					}
					if len(ends) >= 3 && time.Since(ends[2]) > learnTime {
						late++
					}
					machines[i].crash(fmt.Sprint("e", step), call("x"))
					ends = append(ends, time.Now())
				}
			}
			if late > 3 || len(ends) > 6 {
				t.Errorf("seed %d: %d engines ended, %d sends late", seed, len(ends), late)
			}
		})
	}
}

// TestContentsAreBounded has engines end for more contents than are kept.
func TestContentsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		for i := range 4200 {
			m.crash(fmt.Sprint("e", i), call(fmt.Sprint(i)))
		}
		time.Sleep(time.Second)
		is.Equal(m.Contents(), 4096)
		is.Equal(m.standing("0"), quarantine.Clear)
		is.Equal(m.standing("4199"), quarantine.Suspect)
		// A day later, expired contents are dropped with the next end.
		time.Sleep(25 * time.Hour)
		for i := range 70 {
			m.crash(fmt.Sprint("late", i), call(fmt.Sprint("late", i)))
		}
		time.Sleep(time.Second)
		is.Equal(m.Contents(), 70)
	})
}

// TestContentOf checks which fields of a request its content depends on.
func TestContentOf(t *testing.T) {
	is := is.New(t)
	same := call("x")
	same.Remaining, same.ResumeAfter, same.Priority = time.Second, 7, 3
	is.Equal(quarantine.ContentOf(same), quarantine.ContentOf(call("x")))
	var contents []quarantine.Content
	for _, change := range []func(*engineapi.Call){
		func(*engineapi.Call) {},
		func(c *engineapi.Call) { c.Tenant = "t" },
		func(c *engineapi.Call) { c.Host = "h2" },
		func(c *engineapi.Call) { c.Method = "PUT" },
		func(c *engineapi.Call) { c.Target = "/t?q" },
		func(c *engineapi.Call) { c.Body = []byte("y") },
		func(c *engineapi.Call) { c.Host, c.Method = "hP", "OST" },
	} {
		changed := call("x")
		change(&changed)
		is.True(!slices.Contains(contents, quarantine.ContentOf(changed)))
		contents = append(contents, quarantine.ContentOf(changed))
	}
}

// TestSilentEngineReplaced checks that an engine that did not respond counts as ended once another engine appears at its
// address within the window, and not if the silent engine was draining or the other one appears much later or at another
// address.
func TestSilentEngineReplaced(t *testing.T) {
	tests := []struct {
		name     string
		leaves   bool
		after    time.Duration
		address  string
		standing quarantine.Standing
	}{
		{"replaced", false, 4 * time.Second, "here", quarantine.Suspect},
		{"left", true, 4 * time.Second, "here", quarantine.Clear},
		{"replaced much later", false, time.Minute, "here", quarantine.Clear},
		{"another engine", false, 4 * time.Second, "there", quarantine.Clear},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				first, second := w.machine("1"), w.machine("2")
				engine := fleet.Engine{ID: "old", Pool: "p", Address: "here"}
				first.directory.Upsert(engine)
				first.ReportSilent(call("x"), engine, time.Second)
				time.Sleep(time.Second)
				is.Equal(first.standing("x"), quarantine.Clear)
				engine.Draining = test.leaves
				first.directory.Upsert(engine)
				time.Sleep(test.after)
				first.directory.Remove("old")
				first.directory.Upsert(fleet.Engine{ID: "new", Pool: "p", Address: test.address})
				time.Sleep(time.Second)
				is.Equal(first.standing("x"), test.standing)
				is.Equal(second.standing("x"), test.standing)
			})
		})
	}
}

// TestSilentEngineRestarted checks that a silent engine that restarted under its own id counts as ended, like one that was
// replaced, and that a new record of the engine with the same start time does not.
func TestSilentEngineRestarted(t *testing.T) {
	for name, test := range map[string]struct {
		started  time.Time
		standing quarantine.Standing
	}{
		"restarted": {time.UnixMilli(2000), quarantine.Suspect},
		"unchanged": {time.UnixMilli(1000), quarantine.Clear},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				machine := newWorld(t).machine("1")
				engine := fleet.Engine{ID: "one", Pool: "p", Address: "here", StartedAt: time.UnixMilli(1000)}
				machine.directory.Upsert(engine)
				machine.ReportSilent(call("x"), engine, time.Second)
				time.Sleep(time.Second)
				engine.StartedAt = test.started
				machine.directory.Upsert(engine)
				time.Sleep(time.Second)
				is.Equal(machine.standing("x"), test.standing)
			})
		})
	}
}

// TestSilentCallsAreBounded abandons more calls than are watched.
func TestSilentCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		engine := fleet.Engine{ID: "old", Pool: "p", Address: "here"}
		m.directory.Upsert(engine)
		for i := range 1100 {
			m.ReportSilent(call(fmt.Sprint(i)), engine, time.Second)
		}
		m.directory.Upsert(fleet.Engine{ID: "new", Pool: "p", Address: "here"})
		time.Sleep(time.Second)
		is.Equal(m.Contents(), 1024)
		is.Equal(m.standing("0"), quarantine.Clear)
		is.Equal(m.standing("1099"), quarantine.Suspect)
	})
}

// TestSilentCallsNotCounted checks engines whose address has an old record of another engine, calls that were abandoned at
// once, and calls whose content has been answered since.
func TestSilentCallsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		engine := fleet.Engine{ID: "new", Pool: "p", Address: "here"}
		m.directory.Upsert(fleet.Engine{ID: "old", Pool: "p", Address: "here"})
		m.directory.Upsert(engine)
		m.ReportSilent(call("x"), engine, time.Second)
		time.Sleep(time.Second)
		is.Equal(m.standing("x"), quarantine.Clear)

		m.ReportSilent(call("y"), engine, 100*time.Millisecond)
		m.ReportAnswered(call("x"))
		m.directory.Upsert(fleet.Engine{ID: "newer", Pool: "p", Address: "here"})
		time.Sleep(time.Second)
		is.Equal(m.standing("x"), quarantine.Clear)
		is.Equal(m.standing("y"), quarantine.Clear)
	})
}

// TestConcurrentCallsClaimOneTrial has many calls of one process try to claim a trial at once: one is admitted, the others
// get a short wait, and all are clear once it was answered.
func TestConcurrentCallsClaimOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		m.crash("a", call("x"))
		m.crash("b", call("x"))
		time.Sleep(10 * time.Second)
		var mutex sync.Mutex
		var callers sync.WaitGroup
		admitted, appends := 0, w.store.Appends()
		for range 40 {
			callers.Go(func() {
				admission := m.Admit(w.ctx, call("x"), policy.CrashRequest)
				mutex.Lock()
				defer mutex.Unlock()
				if admission.MaySend() {
					admitted++
				} else {
					is.True(admission.Wait > 0 && admission.Wait <= 2*time.Second)
				}
			})
		}
		callers.Wait()
		is.Equal(admitted, 1)
		is.Equal(w.store.Appends(), appends+1)
		m.ReportAnswered(call("x"))
		is.Equal(m.standing("x"), quarantine.Clear)
	})
}

// TestTrialWithLostAnswerIsMade has a machine claim a trial without learning the outcome: the claim may be in the log, but
// the answer is lost. The next trial comes ten minutes later, so an item for which engines ended by coincidence would wait
// until the time of its step is over. The machine whose claim is the first in the log must make the trial as soon as it
// reads the claim, once.
func TestTrialWithLostAnswerIsMade(t *testing.T) {
	for _, fault := range []memorylog.Fault{memorylog.LostAfter, memorylog.LostLate, memorylog.LostBefore} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				first, second := w.machine("1"), w.machine("2")
				first.crash("a", call("x"))
				first.crash("b", call("x"))
				time.Sleep(3 * time.Second)
				w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
					if call.Operation == "append" {
						return fault
					}
					return memorylog.None
				})
				is.Equal(first.standing("x"), quarantine.Withheld)
				w.store.Heal()
				admitted := 0
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					for _, m := range []*machine{second, first} {
						if m.standing("x") != quarantine.Withheld {
							admitted++
						}
					}
				}
				is.Equal(admitted, 1)
			})
		})
	}
}
