package duty_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

const lease = 3 * time.Second

var partition = keyedlog.Partition{Topic: keyedlog.TopicDuties}

// call is a call that the external service received.
type call struct {
	at      time.Time
	machine string
	token   int64
}

// callee is an external service that accepts all calls without checks.
type callee struct {
	mutex sync.Mutex
	calls []call
}

func (p *callee) receive(machine string, token int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls = append(p.calls, call{time.Now(), machine, token})
}

// violation describes what is wrong with a sequence of calls, empty for nothing: a lower token after a higher one, a
// token used by two machines, or calls of machines in the order A, B, A within a lease.
func violation(calls []call) string {
	owners := make(map[int64]string)
	highest := int64(0)
	for i, next := range calls {
		if owner, known := owners[next.token]; known && owner != next.machine {
			return fmt.Sprintf("call %d: token %d of two machines", i, next.token)
		}
		owners[next.token] = next.machine
		if next.token < highest {
			return fmt.Sprintf("call %d: token %d after %d", i, next.token, highest)
		}
		highest = next.token
		other := false
		for j := i - 1; j >= 0 && next.at.Sub(calls[j].at) < lease; j-- {
			if calls[j].machine != next.machine {
				other = true
			} else if other {
				return fmt.Sprintf("call %d: %s again within a lease", i, next.machine)
			}
		}
	}
	return ""
}

// TestViolationsAreDetected checks violation with sequences that break each rule.
func TestViolationsAreDetected(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64, machine string, token int64) call {
		return call{start.Add(time.Duration(seconds * float64(time.Second))), machine, token}
	}
	tests := []struct {
		name  string
		calls []call
		wrong bool
	}{
		{"one holder", []call{at(0, "a", 1), at(1, "a", 1)}, false},
		{"two holders", []call{at(0, "a", 1), at(1, "b", 2), at(2, "b", 2)}, false},
		{"back after a lease", []call{at(0, "a", 1), at(1, "b", 2), at(3, "a", 3)}, false},
		{"lower token", []call{at(0, "a", 2), at(9, "b", 1)}, true},
		{"a token of two", []call{at(0, "a", 2), at(9, "b", 2)}, true},
		{"by turns", []call{at(0, "a", 1), at(1, "b", 2), at(2.9, "a", 3)}, true},
		{"by turns, two of the second's", []call{at(0, "a", 1), at(1, "b", 2), at(2, "b", 2), at(2.5, "a", 3)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := violation(test.calls); (got != "") != test.wrong {
				t.Errorf("violation %q", got)
			}
		})
	}
}

// caller is a duty that repeatedly announces and then calls, with the calls spread over the window that the
// announcement returned.
type caller struct {
	machine string
	callee  *callee
	random  *rand.Rand
	// ignoresWindow makes calls outside the window, as a fault that the checks must detect.
	ignoresWindow bool
}

func (c *caller) Name() string { return "test" }

func (c *caller) Perform(ctx context.Context, tenure *duty.Tenure) {
	for number := 0; ; number++ {
		window, err := tenure.Announce(ctx, "key", []byte(strconv.Itoa(number)))
		if err != nil {
			return
		}
		maxPause := 700 * time.Millisecond
		if c.ignoresWindow {
			window = window.From(time.Now().Add(time.Minute))
			maxPause = 2 * lease
		}
		for range 3 {
			if !pause.For(ctx, time.Duration(c.random.Int63n(int64(maxPause)))) {
				return
			}
			if !window.Ended() {
				c.callee.receive(c.machine, tenure.Token())
			}
		}
	}
}

// process is a process on a machine that considers itself the holder of the duty.
type process struct {
	machine    string
	generation int64
	work       ownership.Work
	cancel     context.CancelFunc
}

// simulate lets three machines gain the duty in random order while their predecessors continue, crash, are released or
// restart, and the store fails calls of some of them.
func simulate(t *testing.T, seed int64, ignoresWindow bool) *callee {
	random := rand.New(rand.NewSource(seed))
	store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond, Late: 2 * time.Second})
	p := &callee{}
	var processes []*process
	end := func(i int) {
		processes[i].cancel()
		processes[i].work.Release(t.Context())
		processes = append(processes[:i], processes[i+1:]...)
	}
	gain := func(machine string, generation int64) {
		// A machine runs one process at a time, and a process releases a partition before it gains it again.
		for i := len(processes) - 1; i >= 0; i-- {
			if processes[i].machine == machine {
				end(i)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		holder := duty.NewHolder(duty.Config{
			Log: storetimeout.New(store.For(machine)), Machine: machine, Lease: lease, Logger: log.New(io.Discard),
			Duties: []duty.Duty{&caller{machine, p, rand.New(rand.NewSource(random.Int63())), ignoresWindow}},
		})
		processes = append(processes, &process{machine, generation, holder.Gained(ctx, partition, generation), cancel})
	}
	generation := int64(1)
	gain("a", generation)
	for range 25 {
		time.Sleep(time.Duration(random.Int63n(int64(4 * time.Second))))
		machine := string(rune('a' + random.Intn(3)))
		switch random.Intn(6) {
		case 0, 1, 2:
			generation++
			gain(machine, generation)
		case 3:
			if len(processes) > 0 {
				end(random.Intn(len(processes)))
			}
		case 4:
			// The process of the newest holder restarts on the same machine.
			if last := len(processes) - 1; last >= 0 && processes[last].generation == generation {
				gain(processes[last].machine, generation)
			}
		case 5:
			fault := []memorylog.Fault{memorylog.LostAfter, memorylog.LostLate, memorylog.Silent, memorylog.Down}[random.Intn(4)]
			store.SetRule(func(call memorylog.Call) memorylog.Fault {
				if call.Caller == machine {
					return fault
				}
				return memorylog.None
			})
		}
	}
	store.Heal()
	for len(processes) > 0 {
		end(0)
	}
	return p
}

// TestCallsOfHoldersNeverOverlap simulates many interleavings of holders and checks the calls that the service
// receives.
func TestCallsOfHoldersNeverOverlap(t *testing.T) {
	calls := 0
	for seed := range int64(150) {
		synctest.Test(t, func(t *testing.T) {
			p := simulate(t, seed, false)
			if wrong := violation(p.calls); wrong != "" {
				t.Errorf("seed %d: %s", seed, wrong)
			}
			calls += len(p.calls)
		})
	}
	if calls < 1000 {
		t.Errorf("only %d calls were made", calls)
	}
}

// TestCallsOutsideTheirWindowAreDetected checks that the simulations detect a holder that ignores the window.
func TestCallsOutsideTheirWindowAreDetected(t *testing.T) {
	wrong := 0
	for seed := range int64(50) {
		synctest.Test(t, func(t *testing.T) {
			if violation(simulate(t, seed, true).calls) != "" {
				wrong++
			}
		})
	}
	is.New(t).True(wrong > 0)
}

// keeper is a duty that announces one record, and keeps the record that it found before and how long the announcement
// took.
type keeper struct {
	found   []byte
	value   string
	elapsed chan time.Duration
}

func (k *keeper) Name() string { return "keeper" }

func (k *keeper) Perform(ctx context.Context, tenure *duty.Tenure) {
	k.found = tenure.Record("key")
	began := time.Now()
	if _, err := tenure.Announce(ctx, "key", []byte(k.value)); err == nil {
		k.elapsed <- time.Since(began)
	}
	<-ctx.Done()
}

// TestSuccessorReadsAnnouncements checks that a successor reads the record that its predecessor announced, and that it
// may act at once on the same machine, and on another one after the window and the lease.
func TestSuccessorReadsAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: time.Millisecond})
		hold := func(machine, value string, generation int64) (*keeper, func()) {
			k := &keeper{value: value, elapsed: make(chan time.Duration, 1)}
			ctx, cancel := context.WithCancel(t.Context())
			work := duty.NewHolder(duty.Config{
				Log: store.For(machine), Machine: machine, Lease: lease, Duties: []duty.Duty{k}, Logger: log.New(io.Discard),
			}).Gained(ctx, partition, generation)
			return k, func() {
				cancel()
				work.Release(t.Context())
			}
		}
		first, stop := hold("a", "1", 1)
		is.True(<-first.elapsed < time.Second)
		is.Equal(len(first.found), 0)
		stop()
		restarted, stop := hold("a", "2", 1)
		is.True(<-restarted.elapsed < time.Second)
		is.Equal(string(restarted.found), "1")
		stop()
		other, stop := hold("b", "3", 2)
		is.True(<-other.elapsed >= lease)
		is.Equal(string(other.found), "2")
		stop()
		// A partition without a duty can be held, and nothing happens.
		none := duty.NewHolder(duty.Config{Log: store.For("c"), Machine: "c", Lease: lease, Logger: log.New(io.Discard)})
		none.Gained(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicDuties}, 9).Release(t.Context())
	})
}

// announcer is a duty that announces once, and keeps when it began and when the window ends.
type announcer struct {
	began      time.Time
	validUntil chan time.Time
}

func (a *announcer) Name() string { return "announcer" }

func (a *announcer) Perform(ctx context.Context, tenure *duty.Tenure) {
	a.began = time.Now()
	if window, err := tenure.Announce(ctx, "key", nil); err == nil {
		a.validUntil <- window.End()
	}
	<-ctx.Done()
}

// TestAnnouncementIsValidForItsWindow checks that the window starts before the write, and that a write that takes half
// of the window is repeated.
func TestAnnouncementIsValidForItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 300 * time.Millisecond})
		a := &announcer{validUntil: make(chan time.Time, 1)}
		work := duty.NewHolder(duty.Config{
			Log: store.For("a"), Machine: "a", Lease: lease, Duties: []duty.Duty{a}, Logger: log.New(io.Discard),
		}).Gained(t.Context(), partition, 1)
		validUntil := <-a.validUntil
		is.Equal(validUntil.Sub(a.began), fencing.SendWindow)
		work.Release(t.Context())

		slow := memorylog.New(memorylog.Config{Partitions: 1, Delay: 600 * time.Millisecond})
		late := &announcer{validUntil: make(chan time.Time, 1)}
		work = duty.NewHolder(duty.Config{
			Log: slow.For("a"), Machine: "a", Lease: lease, Duties: []duty.Duty{late}, Logger: log.New(io.Discard),
		}).Gained(t.Context(), partition, 1)
		time.Sleep(10 * time.Second)
		is.Equal(len(late.validUntil), 0)
		work.Release(t.Context())
	})
}
