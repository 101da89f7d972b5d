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

var errCut = errors.New("connection reset")

// world is a store and engines, before any number of machines.
type world struct {
	test    *testing.T
	store   *memorylog.Store
	ctx     context.Context
	running sync.WaitGroup

	mutex sync.Mutex
	// gone holds the engines that refuse connections.
	gone map[string]bool
}

func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		test: t, ctx: ctx, gone: make(map[string]bool),
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
	return w.gone[engine.ID]
}

// end has an engine refuse connections.
func (w *world) end(engineID string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.gone[engineID] = true
}

// machine is a quarantine with what it stands on.
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

// crash ends an engine under a call that this machine has sent.
func (m *machine) crash(engineID string, crashing engineapi.Call) quarantine.Standing {
	engine := fleet.Engine{ID: engineID, Pool: "p"}
	m.directory.Upsert(engine)
	m.world.end(engineID)
	standing := m.Broke(m.world.ctx, crashing, engine, errCut, policy.RequestCrashLimit)
	time.Sleep(20 * time.Millisecond)
	return standing
}

func (m *machine) standing(body string) quarantine.Standing {
	standing, _ := m.Admit(m.world.ctx, call(body), policy.RequestCrashLimit)
	return standing
}

// TestAllMachinesLearnOfCrashes has two engines end under a request at different machines; a third one withholds it, and no other.
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
		standing, _ := third.Admit(w.ctx, other, policy.RequestCrashLimit)
		is.Equal(standing, quarantine.Clear)
		_, wait := third.Admit(w.ctx, call("x"), policy.RequestCrashLimit)
		is.True(wait > 0 && wait <= 10*time.Second)
		// An item takes one end more.
		standing, _ = third.Admit(w.ctx, call("x"), policy.ItemCrashLimit)
		is.Equal(standing, quarantine.Suspect)
	})
}

// TestAnEndCountsOnce has several machines tell of the same engine.
func TestAnEndCountsOnce(t *testing.T) {
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

// TestWhatIsNoCrash checks breaks after which the engine lives on, and engines that were to leave.
func TestWhatIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		for i := range 5 {
			engine := fleet.Engine{ID: fmt.Sprint("living", i)}
			m.directory.Upsert(engine)
			m.Broke(w.ctx, call("x"), engine, errCut, policy.RequestCrashLimit)
			engine = fleet.Engine{ID: fmt.Sprint("leaving", i), Draining: true}
			m.directory.Upsert(engine)
			w.end(engine.ID)
			m.Broke(w.ctx, call("x"), engine, errCut, policy.RequestCrashLimit)
			engine = fleet.Engine{ID: fmt.Sprint("unlisted", i)}
			w.end(engine.ID)
			m.Broke(w.ctx, call("x"), engine, errCut, policy.RequestCrashLimit)
			time.Sleep(time.Second)
		}
		is.Equal(m.standing("x"), quarantine.Clear)
		is.Equal(m.Contents(), 0)
	})
}

// TestAnAnswerClears checks that a request that some engine answers is free again, at every machine.
func TestAnAnswerClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first, second := w.machine("1"), w.machine("2")
		first.crash("a", call("x"))
		second.Answered(call("x"))
		time.Sleep(time.Second)
		is.Equal(first.standing("x"), quarantine.Clear)
		first.crash("b", call("x"))
		is.Equal(second.standing("x"), quarantine.Suspect)
	})
}

// TestOneMachineMakesATrial has many machines ask for a trial at once, three times in a row: two trials, one machine each.
func TestOneMachineMakesATrial(t *testing.T) {
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
			var asking sync.WaitGroup
			for i, m := range machines {
				asking.Go(func() { standings[i] = m.standing("x") })
			}
			asking.Wait()
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

// TestNewMachinesKnow checks that a machine that starts later knows what ended, also after the store has dropped its history.
func TestNewMachinesKnow(t *testing.T) {
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

// TestCrashesWhileTheStoreIsAway checks that a machine acts on what it saw itself, and tells the others once it can.
func TestCrashesWhileTheStoreIsAway(t *testing.T) {
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
				// A trial can't be claimed while the store is away.
				time.Sleep(11 * time.Second)
				is.Equal(first.standing("x"), quarantine.Withheld)
				w.store.Heal()
				time.Sleep(2 * time.Second)
				is.Equal(second.standing("x"), quarantine.Withheld)
			})
		})
	}
}

// TestSendsAreBounded plays random machines, restarts and outages of the store, with a request that crashes every engine. Once the third
// engine has ended, no more than three sends may follow the time that machines have to learn of it.
func TestSendsAreBounded(t *testing.T) {
	const (
		seeds   = 60
		inTouch = 3 * time.Second
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
					// A machine is in touch some seconds after its start.
					time.Sleep(inTouch)
				case 1:
					w.store.Forget()
				case 2:
					w.store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
					time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
					w.store.Heal()
					time.Sleep(inTouch)
				default:
					if machines[i].standing("x") == quarantine.Withheld {
						continue
					}
					if len(ends) >= 3 && time.Since(ends[2]) > inTouch {
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

// TestContentsAreBounded has engines end under more contents than are remembered.
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
		// A day later, what is too old goes with the next end.
		time.Sleep(25 * time.Hour)
		for i := range 70 {
			m.crash(fmt.Sprint("late", i), call(fmt.Sprint("late", i)))
		}
		time.Sleep(time.Second)
		is.Equal(m.Contents(), 70)
	})
}

// TestContentOf checks what makes requests the same.
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

// TestSilentEnginesThatEnded checks that an engine that said nothing counts as ended once another has its address soon, and not if it was to
// leave, if the other one comes much later, or at another address.
func TestSilentEnginesThatEnded(t *testing.T) {
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
				first.Silent(call("x"), engine, time.Second)
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

// TestASilentEngineThatStartsAgain: a process that is back under its own id has ended as much as one that another stands in for; a
// record of it as it was has not.
func TestASilentEngineThatStartsAgain(t *testing.T) {
	for name, test := range map[string]struct {
		started  time.Time
		standing quarantine.Standing
	}{
		"started again": {time.UnixMilli(2000), quarantine.Suspect},
		"as it was":     {time.UnixMilli(1000), quarantine.Clear},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				machine := newWorld(t).machine("1")
				engine := fleet.Engine{ID: "one", Pool: "p", Address: "here", StartedAt: time.UnixMilli(1000)}
				machine.directory.Upsert(engine)
				machine.Silent(call("x"), engine, time.Second)
				time.Sleep(time.Second)
				engine.StartedAt = test.started
				machine.directory.Upsert(engine)
				time.Sleep(time.Second)
				is.Equal(machine.standing("x"), test.standing)
			})
		})
	}
}

// TestSilencesAreBounded has more calls given up than are watched.
func TestSilencesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		engine := fleet.Engine{ID: "old", Pool: "p", Address: "here"}
		m.directory.Upsert(engine)
		for i := range 1100 {
			m.Silent(call(fmt.Sprint(i)), engine, time.Second)
		}
		m.directory.Upsert(fleet.Engine{ID: "new", Pool: "p", Address: "here"})
		time.Sleep(time.Second)
		is.Equal(m.Contents(), 1024)
		is.Equal(m.standing("0"), quarantine.Clear)
		is.Equal(m.standing("1099"), quarantine.Suspect)
	})
}

// TestWhatIsNoSilence checks engines that seem to be replaced by one of which an old record is still there, calls that were given up at once,
// and calls whose like was answered since.
func TestWhatIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		engine := fleet.Engine{ID: "new", Pool: "p", Address: "here"}
		m.directory.Upsert(fleet.Engine{ID: "old", Pool: "p", Address: "here"})
		m.directory.Upsert(engine)
		m.Silent(call("x"), engine, time.Second)
		time.Sleep(time.Second)
		is.Equal(m.standing("x"), quarantine.Clear)

		m.Silent(call("y"), engine, 100*time.Millisecond)
		m.Answered(call("x"))
		m.directory.Upsert(fleet.Engine{ID: "newer", Pool: "p", Address: "here"})
		time.Sleep(time.Second)
		is.Equal(m.standing("x"), quarantine.Clear)
		is.Equal(m.standing("y"), quarantine.Clear)
	})
}

// TestManyCallsOfOneContentAskForOneTrial has many calls of one process ask for a trial at once: one is admitted, the others are told to come
// soon, and all are free once it was answered.
func TestManyCallsOfOneContentAskForOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		m := w.machine("1")
		m.crash("a", call("x"))
		m.crash("b", call("x"))
		time.Sleep(10 * time.Second)
		var mutex sync.Mutex
		var asking sync.WaitGroup
		admitted, appends := 0, w.store.Appends()
		for range 40 {
			asking.Go(func() {
				standing, wait := m.Admit(w.ctx, call("x"), policy.RequestCrashLimit)
				mutex.Lock()
				defer mutex.Unlock()
				if standing != quarantine.Withheld {
					admitted++
				} else {
					is.True(wait > 0 && wait <= 2*time.Second)
				}
			})
		}
		asking.Wait()
		is.Equal(admitted, 1)
		is.Equal(w.store.Appends(), appends+1)
		m.Answered(call("x"))
		is.Equal(m.standing("x"), quarantine.Clear)
	})
}

// TestATrialThatWasNotMadeIsNotLost has a machine ask for a trial of which it learns nothing: its claim is in the log, the answer is not. The
// next trial comes ten minutes later, so that an item under which engines ended by chance stood at no engine until its step's time
// was over. The machine whose claim is the first in the log makes the trial as soon as it learns so, once.
func TestATrialThatWasNotMadeIsNotLost(t *testing.T) {
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
