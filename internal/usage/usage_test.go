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
	window      = 5 * time.Second
	reportLimit = 10 * time.Second
	lease       = 3 * time.Second
)

// receiver stores reports as the platform's service does.
type receiver struct {
	mutex   sync.Mutex
	reports map[int64]map[string]int64
	at      map[int64]time.Time
	order   []int64
	// mismatches counts reports of windows that were already reported with different counts.
	mismatches int
	// down refuses all reports; loseAnswers accepts reports but returns an error, as if the answer were lost.
	down, loseAnswers bool
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
			r.mismatches++
		}
	} else {
		r.reports[window], r.at[window] = maps.Clone(counts), time.Now()
		r.order = append(r.order, window)
	}
	if r.loseAnswers {
		return errRefused
	}
	return nil
}

// snapshot returns the reports by window, when each one was received, and their order.
func (r *receiver) snapshot() (reports map[int64]map[string]int64, at map[int64]time.Time, order []int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.reports), maps.Clone(r.at), slices.Clone(r.order)
}

// report returns the counts that were reported of a window, and how long after its end.
func (r *receiver) report(number int64) (counts map[string]int64, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.reports[number], r.at[number].Sub(Windows{window}.End(number))
}

func (r *receiver) set(down, loseAnswers bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down, r.loseAnswers = down, loseAnswers
}

// testEnv is a store and a receiver that any number of replicas share.
type testEnv struct {
	test     *testing.T
	store    *memorylog.Store
	receiver *receiver
}

func newTestEnv(t *testing.T) *testEnv {
	return &testEnv{
		test: t, store: memorylog.New(memorylog.Config{Partitions: 4, Delay: 5 * time.Millisecond, Late: 2 * time.Second}),
		receiver: &receiver{reports: make(map[int64]map[string]int64), at: make(map[int64]time.Time)},
	}
}

// replica is a process that counts requests on one machine and may hold the duty.
type replica struct {
	env     *testEnv
	machine string
	counter *Counter
	clock   *Clock
	cancel  context.CancelFunc
	kill    context.CancelFunc
	running sync.WaitGroup
	work    ownership.Work
}

func (env *testEnv) replica(machine string) *replica {
	r := &replica{env: env, machine: machine, clock: NewClock()}
	r.counter = NewCounter(Windows{window}, r.clock)
	publisher := NewPublisher(PublisherConfig{
		Log: storetimeout.New(env.store.For(machine)), Counter: r.counter, Machine: machine, Logger: log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(env.test.Context())
	r.cancel = cancel
	r.running.Go(func() { publisher.Run(ctx) })
	return r
}

// hold makes the replica the holder of the duty in a generation of the group.
func (r *replica) hold(generation int64) {
	ctx, kill := context.WithCancel(r.env.test.Context())
	r.kill = kill
	bounded := storetimeout.New(r.env.store.For(r.machine))
	reporter := NewReporter(ReporterConfig{
		Log: bounded, Receiver: r.env.receiver, Windows: Windows{window}, Clock: r.clock, ReportLimit: reportLimit, Logger: log.New(io.Discard),
	})
	holder := duty.NewHolder(duty.Config{
		Log: bounded, Machine: r.machine, Lease: lease, Duties: []duty.Duty{reporter}, Logger: log.New(io.Discard),
	})
	r.work = holder.Gained(ctx, keyedlog.Partition{Topic: keyedlog.TopicDuties}, generation)
}

// release releases the duty.
func (r *replica) release() {
	r.kill()
	r.work.Release(context.Background())
	r.work = nil
}

// stop ends the process as planned; it publishes what it has counted.
func (r *replica) stop() {
	if r.work != nil {
		r.release()
	}
	r.cancel()
	r.running.Wait()
}

// executions are the requests that have run, by window and tenant.
type executions map[int64]map[string]int64

func (h executions) run(r *replica, tenant string) {
	now := time.Now()
	number := Windows{window}.Number(now)
	if h[number] == nil {
		h[number] = make(map[string]int64)
	}
	h[number][tenant]++
	r.counter.Ran(tenant, now)
}

// check compares reports with the requests that have run, in windows that lie between two moments.
func (env *testEnv) check(history executions, from, until time.Time) {
	env.test.Helper()
	reports, at, order := env.receiver.snapshot()
	for number := (Windows{window}).Number(from) + 1; number < (Windows{window}).Number(until); number++ {
		reported, ok := reports[number]
		if !ok {
			env.test.Errorf("window %d was not reported", number)
			continue
		}
		if !maps.Equal(reported, history[number]) && len(reported)+len(history[number]) > 0 {
			env.test.Errorf("window %d: reported %v, executed %v", number, reported, history[number])
		}
		if after := at[number].Sub((Windows{window}).End(number)); after > reportLimit {
			env.test.Errorf("window %d was reported after %v", number, after)
		}
	}
	if env.receiver.mismatches > 0 {
		env.test.Errorf("%d reports differ from earlier ones of the same window", env.receiver.mismatches)
	}
	if !slices.IsSorted(order) {
		env.test.Errorf("windows were reported out of order: %v", order)
	}
}

// TestReportsAreExactWithoutFaults lets ten replicas run requests of many tenants for a minute.
func TestReportsAreExactWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		var replicas []*replica
		for i := range 10 {
			replicas = append(replicas, env.replica(fmt.Sprint("machine", i)))
		}
		replicas[3].hold(1)
		history := make(executions)
		random := rand.New(rand.NewSource(1))
		start := time.Now()
		for time.Since(start) < time.Minute {
			history.run(replicas[random.Intn(10)], fmt.Sprint("tenant", random.Intn(30)))
			time.Sleep(time.Duration(random.Int63n(int64(100 * time.Millisecond))))
		}
		time.Sleep(reportLimit)
		env.check(history, start, start.Add(time.Minute))
		_, times, _ := env.receiver.snapshot()
		for number, at := range times {
			if after := at.Sub(Windows{window}.End(number)); after > 2*time.Second {
				t.Errorf("a window without faults was reported after %v", after)
			}
		}
		for _, r := range replicas {
			r.stop()
		}
	})
}

// TestReportsAreExactUnderFaults lets holders change while replicas lose their connection to the store, lose answers and are
// stopped. Each fault is shorter than the time limit of a report.
func TestReportsAreExactUnderFaults(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t)
			random := rand.New(rand.NewSource(seed))
			var replicas []*replica
			for i := range 6 {
				replicas = append(replicas, env.replica(fmt.Sprint("machine", i)))
			}
			generation := int64(1)
			holder := random.Intn(6)
			replicas[holder].hold(generation)
			history := make(executions)
			start := time.Now()
			nextFault := start.Add(12 * time.Second)
			for time.Since(start) < 90*time.Second {
				history.run(replicas[random.Intn(6)], fmt.Sprint("tenant", random.Intn(5)))
				time.Sleep(time.Duration(random.Int63n(int64(200 * time.Millisecond))))
				if time.Now().Before(nextFault) {
					continue
				}
				nextFault = time.Now().Add(14 * time.Second)
				fault := []memorylog.Fault{memorylog.Silent, memorylog.LostAfter, memorylog.LostLate, memorylog.Down}[random.Intn(4)]
				target := random.Intn(6)
				switch random.Intn(3) {
				case 0:
					if target == holder {
						target = (target + 1) % 6
					}
					isolated := replicas[target].machine
					env.store.SetRule(func(call memorylog.Call) memorylog.Fault {
						if call.Caller == isolated {
							return fault
						}
						return memorylog.None
					})
					time.AfterFunc(3*time.Second, env.store.Heal)
				case 1:
					replicas[holder].release()
					generation++
					holder = random.Intn(6)
					replicas[holder].hold(generation)
				case 2:
					env.receiver.set(random.Intn(2) == 0, true)
					time.AfterFunc(2*time.Second, func() { env.receiver.set(false, false) })
				}
			}
			time.Sleep(reportLimit)
			env.check(history, start, start.Add(90*time.Second))
			for _, r := range replicas {
				r.stop()
			}
		})
	}
}

// TestStoredReportIsSentUnchanged checks that if a holder's report got no answer, its successor sends the stored report
// unchanged, although the counts of the window have changed since.
func TestStoredReportIsSentUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		first, second := env.replica("first"), env.replica("second")
		first.hold(1)
		time.Sleep(time.Until(Windows{window}.End(Windows{window}.Number(time.Now()))) + time.Second)
		started := Windows{window}.Number(time.Now())
		history := make(executions)
		history.run(first, "a")
		time.Sleep(window)
		env.receiver.set(false, true)
		time.Sleep(2 * time.Second)
		counts, _ := env.receiver.report(started)
		is.Equal(counts, map[string]int64{"a": 1})
		// A count of the window that was published late must not change the report.
		second.counter.Ran("a", Windows{window}.End(started).Add(-time.Second))
		first.release()
		env.receiver.set(false, false)
		second.hold(2)
		time.Sleep(15 * time.Second)
		counts, _ = env.receiver.report(started)
		is.Equal(counts, map[string]int64{"a": 1})
		first.stop()
		second.stop()
		is.Equal(env.receiver.mismatches, 0)
	})
}

// TestMissedWindowsAreReportedAfterOutage checks that windows are reported in order after the receiver was unavailable for half a
// minute.
func TestMissedWindowsAreReportedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		only := env.replica("only")
		only.hold(1)
		time.Sleep(window)
		env.receiver.set(true, false)
		time.Sleep(30 * time.Second)
		reports, _, _ := env.receiver.snapshot()
		is.Equal(len(reports), 0)
		env.receiver.set(false, false)
		time.Sleep(4 * time.Second)
		reports, _, order := env.receiver.snapshot()
		is.True(len(reports) >= 6)
		is.True(slices.IsSorted(order))
		only.stop()
	})
}

// TestReporterWaitsForSilentMachine checks that the report of a window waits, for a limited time, for a machine that published
// counts before and has become silent, and that it does not wait for a machine that left.
func TestReporterWaitsForSilentMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		holder, leaver, silent := env.replica("holder"), env.replica("leaves"), env.replica("dies")
		holder.hold(1)
		time.Sleep(time.Until(Windows{window}.End(Windows{window}.Number(time.Now()))) + 2*time.Second)
		first := Windows{window}.Number(time.Now())
		leaver.counter.Ran("a", time.Now())
		leaver.stop()
		time.Sleep(window)
		counts, after := env.receiver.report(first)
		is.Equal(counts, map[string]int64{"a": 1})
		is.True(after < 2*time.Second)
		env.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "dies" {
				return memorylog.Silent
			}
			return memorylog.None
		})
		time.Sleep(4 * window)
		for number := first + 1; number <= first+3; number++ {
			_, waited := env.receiver.report(number)
			is.True(waited < reportLimit)
			// The machine published counts in the window before the first, so the reporter waits for it in two windows.
			is.Equal(waited > 5*time.Second, number < first+3)
		}
		env.store.Heal()
		holder.stop()
		silent.stop()
	})
}

// TestRecordsOfReportedWindowsAreDeleted checks that the records of reported windows do not accumulate in the store.
func TestRecordsOfReportedWindowsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		var replicas []*replica
		for i := range 5 {
			replicas = append(replicas, env.replica(fmt.Sprint("machine", i)))
		}
		replicas[0].hold(1)
		time.Sleep(2 * time.Minute)
		remaining := 0
		for number := range 4 {
			page, err := env.store.For("test").Newest(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicUsage, Number: number}, "")
			is.NoErr(err)
			remaining += len(page.Records)
		}
		is.True(remaining > 0)
		is.True(remaining <= 5*(expectedFor+2))
		for _, r := range replicas {
			r.stop()
		}
	})
}

// TestThrottledPublisherSlowsDown checks that a store that throttles appends is called less often, and at the usual rate again
// afterwards.
func TestThrottledPublisherSlowsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		var calls, fault atomic.Int32
		env.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation == "append" {
				calls.Add(1)
			}
			return memorylog.Fault(fault.Load())
		})
		only := env.replica("only")
		busy := func(duration time.Duration) int {
			calls.Store(0)
			for started := time.Now(); time.Since(started) < duration; time.Sleep(20 * time.Millisecond) {
				only.counter.Ran("a", time.Now())
			}
			return int(calls.Load())
		}
		baseline := busy(20 * time.Second)
		fault.Store(int32(memorylog.Throttled))
		busy(10 * time.Second)
		is.True(busy(20*time.Second) < baseline/4)
		fault.Store(int32(memorylog.None))
		busy(20 * time.Second)
		is.True(busy(20*time.Second) > baseline*9/10)
		only.stop()
	})
}

// TestClockIgnoresShortSteps checks that a step of the time of day that lasts some seconds changes nothing, and that a permanent
// one is followed.
func TestClockIgnoresShortSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := NewClock()
		ahead := func() time.Duration { return clock.At(time.Now()).Sub(time.Now().Round(0)) }
		for range 40 {
			clock.addSample(0)
		}
		for range 10 {
			clock.addSample(2 * time.Second)
			is.Equal(ahead(), time.Duration(0))
		}
		for range 60 {
			clock.addSample(2 * time.Second)
		}
		is.Equal(ahead(), 2*time.Second)
		// A clock that was created during a step returns the right time once most of its samples are right.
		steppedClock := NewClock()
		for range 5 {
			steppedClock.addSample(0)
		}
		for range 6 {
			steppedClock.addSample(-2 * time.Second)
		}
		is.Equal(steppedClock.At(time.Now()).Sub(time.Now().Round(0)), -2*time.Second)
	})
}

// TestTallySkipsMalformedRecords checks that malformed records are skipped, and that an older record that arrives late does not
// lower counts.
func TestTallySkipsMalformedRecords(t *testing.T) {
	is := is.New(t)
	tally := NewTally()
	partition := keyedlog.Partition{Topic: keyedlog.TopicUsage}
	is.True(tally.Apply(partition, keyedlog.Record{Key: "none", Value: []byte("x")}) != nil)
	is.True(tally.Apply(partition, keyedlog.Record{Key: key(1, "p"), Value: []byte("x")}) != nil)
	put := func(record windowCounts) {
		record.Machine = "m"
		value, err := record.MarshalMsg(nil)
		is.NoErr(err)
		is.NoErr(tally.Apply(partition, keyedlog.Record{Key: key(1, "p"), Value: value}))
	}
	put(windowCounts{Counts: map[string]int64{"a": 3, "b": 1}, Final: true})
	put(windowCounts{Counts: map[string]int64{"a": 2}})
	is.Equal(tally.Sum(1), map[string]int64{"a": 3, "b": 1})
	is.Equal(len(tally.Missing(1)), 0)
	is.Equal(tally.Missing(2), []string{"m"})
	is.Equal(len(tally.Forget(2)[partition]), 1)
	is.Equal(len(tally.Sum(1)), 0)
}

// TestClockIncludesSuspension checks that a machine that was suspended counts in the right windows at once after it resumes.
func TestClockIncludesSuspension(t *testing.T) {
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
