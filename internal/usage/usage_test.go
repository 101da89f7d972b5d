package usage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

const (
	window = 5 * time.Second
	late   = 10 * time.Second
	lease  = 3 * time.Second
)

// receiver keeps reports as the platform's service does.
type receiver struct {
	mutex   sync.Mutex
	reports map[int64]map[string]int64
	at      map[int64]time.Time
	order   []int64
	// differs counts windows that were told a second time with other counts.
	differs int
	// down refuses all; lost takes a report and loses the answer.
	down, lost bool
}

var errRefused = errors.New("refused")

func (r *receiver) ReportUsage(_ context.Context, _, window int64, counts map[string]int64) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return errRefused
	}
	if known, ok := r.reports[window]; ok {
		if !maps.Equal(known, counts) {
			r.differs++
		}
	} else {
		r.reports[window], r.at[window] = maps.Clone(counts), time.Now()
		r.order = append(r.order, window)
	}
	if r.lost {
		return errRefused
	}
	return nil
}

// seen returns the reports by window, when each came, and their order.
func (r *receiver) seen() (reports map[int64]map[string]int64, at map[int64]time.Time, order []int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.reports), maps.Clone(r.at), slices.Clone(r.order)
}

// report returns what was reported of a window, and how long after its end.
func (r *receiver) report(number int64) (counts map[string]int64, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.reports[number], r.at[number].Sub(Windows{window}.End(number))
}

func (r *receiver) set(down, lost bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down, r.lost = down, lost
}

// world is a store and a receiver, between any number of replicas.
type world struct {
	test     *testing.T
	store    *memorylog.Store
	receiver *receiver
}

func newWorld(t *testing.T) *world {
	return &world{
		test: t, store: memorylog.New(memorylog.Config{Partitions: 4, Delay: 5 * time.Millisecond, Late: 2 * time.Second}),
		receiver: &receiver{reports: make(map[int64]map[string]int64), at: make(map[int64]time.Time)},
	}
}

// replica counts on one machine and may hold the duty.
type replica struct {
	world   *world
	machine string
	counter *Counter
	clock   *Clock
	cancel  context.CancelFunc
	kill    context.CancelFunc
	told    sync.WaitGroup
	work    ownership.Work
}

func (w *world) replica(machine string) *replica {
	r := &replica{world: w, machine: machine, clock: NewClock()}
	r.counter = NewCounter(Windows{window}, r.clock)
	teller := NewTeller(TellerConfig{
		Log: storetimeout.New(w.store.For(machine)), Counter: r.counter, Machine: machine, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(w.test.Context())
	r.cancel = cancel
	r.told.Go(func() { teller.Run(ctx) })
	return r
}

// hold makes the replica the holder of the duty under a generation of the group.
func (r *replica) hold(generation int64) {
	ctx, kill := context.WithCancel(r.world.test.Context())
	r.kill = kill
	bounded := storetimeout.New(r.world.store.For(r.machine))
	reporter := NewReporter(ReporterConfig{
		Log: bounded, Receiver: r.world.receiver, Windows: Windows{window}, Clock: r.clock, Late: late, Logger: log.New(io.Discard),
	})
	holder := duty.NewHolder(duty.Config{
		Log: bounded, Machine: r.machine, Lease: lease, Duties: []duty.Duty{reporter}, Logger: log.New(io.Discard),
	})
	r.work = holder.Gained(ctx, keyedlog.Partition{Topic: keyedlog.TopicDuties}, generation)
}

// release gives the duty up.
func (r *replica) release() {
	r.kill()
	r.work.Release(context.Background())
	r.work = nil
}

// stop ends the process as planned; it tells what it has counted.
func (r *replica) stop() {
	if r.work != nil {
		r.release()
	}
	r.cancel()
	r.told.Wait()
}

// truth is what has run, by window and tenant.
type truth map[int64]map[string]int64

func (h truth) run(r *replica, tenant string) {
	now := time.Now()
	number := Windows{window}.Number(now)
	if h[number] == nil {
		h[number] = make(map[string]int64)
	}
	h[number][tenant]++
	r.counter.Ran(tenant, now)
}

// check compares reports with what has run, in windows that lie between two moments.
func (w *world) check(history truth, from, until time.Time) {
	w.test.Helper()
	reports, at, order := w.receiver.seen()
	for number := (Windows{window}).Number(from) + 1; number < (Windows{window}).Number(until); number++ {
		reported, ok := reports[number]
		if !ok {
			w.test.Errorf("window %d was not reported", number)
			continue
		}
		if !maps.Equal(reported, history[number]) && len(reported)+len(history[number]) > 0 {
			w.test.Errorf("window %d: %v was reported, %v has run", number, reported, history[number])
		}
		if after := at[number].Sub((Windows{window}).End(number)); after > late {
			w.test.Errorf("window %d was reported after %v", number, after)
		}
	}
	if w.receiver.differs > 0 {
		w.test.Errorf("%d reports differ from earlier ones", w.receiver.differs)
	}
	if !slices.IsSorted(order) {
		w.test.Errorf("windows were reported out of order: %v", order)
	}
}

// TestCalmWindowsAreExact lets ten replicas run requests of many tenants for a minute.
func TestCalmWindowsAreExact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		var replicas []*replica
		for i := range 10 {
			replicas = append(replicas, w.replica(fmt.Sprint("machine", i)))
		}
		replicas[3].hold(1)
		history := make(truth)
		random := rand.New(rand.NewSource(1))
		start := time.Now()
		for time.Since(start) < time.Minute {
			history.run(replicas[random.Intn(10)], fmt.Sprint("tenant", random.Intn(30)))
			time.Sleep(time.Duration(random.Int63n(int64(100 * time.Millisecond))))
		}
		time.Sleep(late)
		w.check(history, start, start.Add(time.Minute))
		_, times, _ := w.receiver.seen()
		for number, at := range times {
			if after := at.Sub(Windows{window}.End(number)); after > 2*time.Second {
				t.Errorf("a calm window was reported after %v", after)
			}
		}
		for _, r := range replicas {
			r.stop()
		}
	})
}

// TestWindowsUnderTrouble lets holders come and go while replicas are cut off from the store, lose answers and are stopped, all of it for
// less than the time a report may take.
func TestWindowsUnderTrouble(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t)
			random := rand.New(rand.NewSource(seed))
			var replicas []*replica
			for i := range 6 {
				replicas = append(replicas, w.replica(fmt.Sprint("machine", i)))
			}
			generation := int64(1)
			holder := random.Intn(6)
			replicas[holder].hold(generation)
			history := make(truth)
			start := time.Now()
			trouble := start.Add(12 * time.Second)
			for time.Since(start) < 90*time.Second {
				history.run(replicas[random.Intn(6)], fmt.Sprint("tenant", random.Intn(5)))
				time.Sleep(time.Duration(random.Int63n(int64(200 * time.Millisecond))))
				if time.Now().Before(trouble) {
					continue
				}
				trouble = time.Now().Add(14 * time.Second)
				fault := []memorylog.Fault{memorylog.Silent, memorylog.LostAfter, memorylog.LostLate, memorylog.Down}[random.Intn(4)]
				victim := random.Intn(6)
				switch random.Intn(3) {
				case 0:
					if victim == holder {
						victim = (victim + 1) % 6
					}
					cut := replicas[victim].machine
					w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
						if call.Caller == cut {
							return fault
						}
						return memorylog.None
					})
					time.AfterFunc(3*time.Second, w.store.Heal)
				case 1:
					replicas[holder].release()
					generation++
					holder = random.Intn(6)
					replicas[holder].hold(generation)
				case 2:
					w.receiver.set(random.Intn(2) == 0, true)
					time.AfterFunc(2*time.Second, func() { w.receiver.set(false, false) })
				}
			}
			time.Sleep(late)
			w.check(history, start, start.Add(90*time.Second))
			for _, r := range replicas {
				r.stop()
			}
		})
	}
}

// TestAReportIsRepeatedAsItStands has a holder that can't send a report succeeded by another after the counts have changed.
func TestAReportIsRepeatedAsItStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		first, second := w.replica("first"), w.replica("second")
		first.hold(1)
		time.Sleep(time.Until(Windows{window}.End(Windows{window}.Number(time.Now()))) + time.Second)
		began := Windows{window}.Number(time.Now())
		history := make(truth)
		history.run(first, "a")
		time.Sleep(window)
		w.receiver.set(false, true)
		time.Sleep(2 * time.Second)
		counts, _ := w.receiver.report(began)
		is.Equal(counts, map[string]int64{"a": 1})
		// A count of the window that was told late must not change what is reported.
		second.counter.Ran("a", Windows{window}.End(began).Add(-time.Second))
		first.release()
		w.receiver.set(false, false)
		second.hold(2)
		time.Sleep(15 * time.Second)
		counts, _ = w.receiver.report(began)
		is.Equal(counts, map[string]int64{"a": 1})
		first.stop()
		second.stop()
		is.Equal(w.receiver.differs, 0)
	})
}

// TestMissedWindowsAreCaughtUp takes the service away for half a minute.
func TestMissedWindowsAreCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		only := w.replica("only")
		only.hold(1)
		time.Sleep(window)
		w.receiver.set(true, false)
		time.Sleep(30 * time.Second)
		reports, _, _ := w.receiver.seen()
		is.Equal(len(reports), 0)
		w.receiver.set(false, false)
		time.Sleep(4 * time.Second)
		reports, _, order := w.receiver.seen()
		is.True(len(reports) >= 6)
		is.True(slices.IsSorted(order))
		only.stop()
	})
}

// TestWhoIsWaitedFor checks that a window waits for a machine that was heard and fell silent, not for one that left, nor for long.
func TestWhoIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		holder, leaves, dies := w.replica("holder"), w.replica("leaves"), w.replica("dies")
		holder.hold(1)
		time.Sleep(time.Until(Windows{window}.End(Windows{window}.Number(time.Now()))) + 2*time.Second)
		first := Windows{window}.Number(time.Now())
		leaves.counter.Ran("a", time.Now())
		leaves.stop()
		time.Sleep(window)
		counts, after := w.receiver.report(first)
		is.Equal(counts, map[string]int64{"a": 1})
		is.True(after < 2*time.Second)
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "dies" {
				return memorylog.Silent
			}
			return memorylog.None
		})
		time.Sleep(4 * window)
		for number := first + 1; number <= first+3; number++ {
			_, waited := w.receiver.report(number)
			is.True(waited < late)
			// It was heard in the window before the first, so that two are waited for.
			is.Equal(waited > 5*time.Second, number < first+3)
		}
		w.store.Heal()
		holder.stop()
		dies.stop()
	})
}

// TestRecordsAreDropped checks that what was counted does not stay in the store for ever.
func TestRecordsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		var replicas []*replica
		for i := range 5 {
			replicas = append(replicas, w.replica(fmt.Sprint("machine", i)))
		}
		replicas[0].hold(1)
		time.Sleep(2 * time.Minute)
		kept := 0
		for number := range 4 {
			page, err := w.store.For("test").Newest(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicUsage, Number: number}, "")
			is.NoErr(err)
			kept += len(page.Records)
		}
		is.True(kept > 0)
		is.True(kept <= 5*(expectedFor+2))
		for _, r := range replicas {
			r.stop()
		}
	})
}

// TestAThrottledTellerSlowsDown checks that a store which takes no more is called less often, and more often again afterwards.
func TestAThrottledTellerSlowsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		var calls, fault atomic.Int32
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation == "append" {
				calls.Add(1)
			}
			return memorylog.Fault(fault.Load())
		})
		only := w.replica("only")
		busy := func(duration time.Duration) int {
			calls.Store(0)
			for began := time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
				only.counter.Ran("a", time.Now())
			}
			return int(calls.Load())
		}
		usual := busy(20 * time.Second)
		fault.Store(int32(memorylog.Throttled))
		busy(10 * time.Second)
		is.True(busy(20*time.Second) < usual/4)
		fault.Store(int32(memorylog.None))
		busy(20 * time.Second)
		is.True(busy(20*time.Second) > usual*9/10)
		only.stop()
	})
}

// TestTheClockIgnoresShortSteps steps the time of day for some seconds, and for good.
func TestTheClockIgnoresShortSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := NewClock()
		ahead := func() time.Duration { return clock.At(time.Now()).Sub(time.Now().Round(0)) }
		for range 40 {
			clock.take(0)
		}
		for range 10 {
			clock.take(2 * time.Second)
			is.Equal(ahead(), time.Duration(0))
		}
		for range 60 {
			clock.take(2 * time.Second)
		}
		is.Equal(ahead(), 2*time.Second)
		// One that began during a step is right again once it has seen more of the right time.
		young := NewClock()
		for range 5 {
			young.take(0)
		}
		for range 6 {
			young.take(-2 * time.Second)
		}
		is.Equal(young.At(time.Now()).Sub(time.Now().Round(0)), -2*time.Second)
	})
}

// TestATallyTakesAnything checks that records in no form are skipped, and that an older record which comes late takes nothing back.
func TestATallyTakesAnything(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	partition := keyedlog.Partition{Topic: keyedlog.TopicUsage}
	is.True(tally.Apply(partition, keyedlog.Record{Key: "none", Value: []byte("x")}) != nil)
	is.True(tally.Apply(partition, keyedlog.Record{Key: key(1, "p"), Value: []byte("x")}) != nil)
	put := func(record told) {
		record.Machine = "m"
		value, err := record.MarshalMsg(nil)
		is.NoErr(err)
		is.NoErr(tally.Apply(partition, keyedlog.Record{Key: key(1, "p"), Value: value}))
	}
	put(told{Counts: map[string]int64{"a": 3, "b": 1}, Final: true})
	put(told{Counts: map[string]int64{"a": 2}})
	is.Equal(tally.Sum(1), map[string]int64{"a": 3, "b": 1})
	is.Equal(len(tally.Missing(1)), 0)
	is.Equal(tally.Missing(2), []string{"m"})
	is.Equal(len(tally.Forget(2)[partition]), 1)
	is.Equal(len(tally.Sum(1)), 0)
}

// TestTheClockCountsSuspension checks that a machine that was suspended counts in the right windows at once.
func TestTheClockCountsSuspension(t *testing.T) {
	defer func(before func() time.Duration) { suspended = before }(suspended)
	var asleep time.Duration
	suspended = func() time.Duration { return asleep }
	is := is.New(t)
	clock := NewClock()
	now := time.Now()
	before := clock.At(now)
	asleep = 7 * time.Second
	is.Equal(clock.At(now).Sub(before), 7*time.Second)
}
