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

// call is one that the party has received.
type call struct {
	at      time.Time
	machine string
	token   int64
}

// party takes calls and checks nothing.
type party struct {
	mutex sync.Mutex
	calls []call
}

func (p *party) take(machine string, token int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls = append(p.calls, call{time.Now(), machine, token})
}

// violation says what is wrong with a sequence of calls, empty for nothing: a lower token after a higher one, a token of two machines, or
// machines in the order A, B, A within a lease.
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

// TestViolationsAreSeen breaks each rule on purpose.
func TestViolationsAreSeen(t *testing.T) {
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

// caller is a duty that announces and calls again and again, the calls spread over the window that the announcement gives it.
type caller struct {
	machine string
	party   *party
	random  *rand.Rand
	// sendsLate leaves the window out of account, as a fault that the checks must see.
	sendsLate bool
}

func (c *caller) Name() string { return "test" }

func (c *caller) Perform(ctx context.Context, tenure *duty.Tenure) {
	for number := 0; ; number++ {
		window, err := tenure.Announce(ctx, "key", []byte(strconv.Itoa(number)))
		if err != nil {
			return
		}
		longest := 700 * time.Millisecond
		if c.sendsLate {
			window = window.From(time.Now().Add(time.Minute))
			longest = 2 * lease
		}
		for range 3 {
			if !pause.For(ctx, time.Duration(c.random.Int63n(int64(longest)))) {
				return
			}
			if !window.Ended() {
				c.party.take(c.machine, tenure.Token())
			}
		}
	}
}

// life is a process on a machine that believes to hold the duty.
type life struct {
	machine    string
	generation int64
	work       ownership.Work
	cancel     context.CancelFunc
}

// play lets three machines gain the duty by turns while their predecessors go on, die, are released or start again, and the store fails
// some of them.
func play(t *testing.T, seed int64, sendsLate bool) *party {
	random := rand.New(rand.NewSource(seed))
	store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 5 * time.Millisecond, Late: 2 * time.Second})
	p := &party{}
	var lives []*life
	end := func(i int) {
		lives[i].cancel()
		lives[i].work.Release(t.Context())
		lives = append(lives[:i], lives[i+1:]...)
	}
	gain := func(machine string, generation int64) {
		// A machine runs one process at a time, and a process releases a partition before it gains it again.
		for i := len(lives) - 1; i >= 0; i-- {
			if lives[i].machine == machine {
				end(i)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		holder := duty.NewHolder(duty.Config{
			Log: storetimeout.New(store.For(machine)), Machine: machine, Lease: lease, Logger: log.New(io.Discard),
			Duties: []duty.Duty{&caller{machine, p, rand.New(rand.NewSource(random.Int63())), sendsLate}},
		})
		lives = append(lives, &life{machine, generation, holder.Gained(ctx, partition, generation), cancel})
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
			if len(lives) > 0 {
				end(random.Intn(len(lives)))
			}
		case 4:
			// The newest holder's process starts again where it was.
			if last := len(lives) - 1; last >= 0 && lives[last].generation == generation {
				gain(lives[last].machine, generation)
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
	for len(lives) > 0 {
		end(0)
	}
	return p
}

// TestNoTwoHoldersAct plays many interleavings of holders and checks what the party hears.
func TestNoTwoHoldersAct(t *testing.T) {
	calls := 0
	for seed := range int64(150) {
		synctest.Test(t, func(t *testing.T) {
			p := play(t, seed, false)
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

// TestCallsOutsideTheirWindowAreSeen checks that the plays find a holder that does not keep to the window.
func TestCallsOutsideTheirWindowAreSeen(t *testing.T) {
	wrong := 0
	for seed := range int64(50) {
		synctest.Test(t, func(t *testing.T) {
			if violation(play(t, seed, true).calls) != "" {
				wrong++
			}
		})
	}
	is.New(t).True(wrong > 0)
}

// keeper is a duty that keeps one record and remembers what it found.
type keeper struct {
	found []byte
	value string
	took  chan time.Duration
}

func (k *keeper) Name() string { return "keeper" }

func (k *keeper) Perform(ctx context.Context, tenure *duty.Tenure) {
	k.found = tenure.Record("key")
	began := time.Now()
	if _, err := tenure.Announce(ctx, "key", []byte(k.value)); err == nil {
		k.took <- time.Since(began)
	}
	<-ctx.Done()
}

// TestASuccessorFindsWhatWasAnnounced checks that a holder on the same machine goes on at once with what its predecessor announced, and
// one on another machine after the window and the lease.
func TestASuccessorFindsWhatWasAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: time.Millisecond})
		hold := func(machine, value string, generation int64) (*keeper, func()) {
			k := &keeper{value: value, took: make(chan time.Duration, 1)}
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
		is.True(<-first.took < time.Second)
		is.Equal(len(first.found), 0)
		stop()
		again, stop := hold("a", "2", 1)
		is.True(<-again.took < time.Second)
		is.Equal(string(again.found), "1")
		stop()
		other, stop := hold("b", "3", 2)
		is.True(<-other.took >= lease)
		is.Equal(string(other.found), "2")
		stop()
		// A partition without a duty is held and does nothing.
		none := duty.NewHolder(duty.Config{Log: store.For("c"), Machine: "c", Lease: lease, Logger: log.New(io.Discard)})
		none.Gained(t.Context(), keyedlog.Partition{Topic: keyedlog.TopicDuties}, 9).Release(t.Context())
	})
}

// announcer is a duty that announces once and tells when that was and how long the announcement is good for.
type announcer struct {
	began time.Time
	until chan time.Time
}

func (a *announcer) Name() string { return "announcer" }

func (a *announcer) Perform(ctx context.Context, tenure *duty.Tenure) {
	a.began = time.Now()
	if window, err := tenure.Announce(ctx, "key", nil); err == nil {
		a.until <- window.End()
	}
	<-ctx.Done()
}

// TestAnAnnouncementIsGoodForItsWindow checks that the window is counted from before the write, and that a write which takes half of the
// window is made anew.
func TestAnAnnouncementIsGoodForItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1, Delay: 300 * time.Millisecond})
		a := &announcer{until: make(chan time.Time, 1)}
		work := duty.NewHolder(duty.Config{
			Log: store.For("a"), Machine: "a", Lease: lease, Duties: []duty.Duty{a}, Logger: log.New(io.Discard),
		}).Gained(t.Context(), partition, 1)
		until := <-a.until
		is.Equal(until.Sub(a.began), fencing.SendWindow)
		work.Release(t.Context())

		slow := memorylog.New(memorylog.Config{Partitions: 1, Delay: 600 * time.Millisecond})
		late := &announcer{until: make(chan time.Time, 1)}
		work = duty.NewHolder(duty.Config{
			Log: slow.For("a"), Machine: "a", Lease: lease, Duties: []duty.Duty{late}, Logger: log.New(io.Discard),
		}).Gained(t.Context(), partition, 1)
		time.Sleep(10 * time.Second)
		is.Equal(len(late.until), 0)
		work.Release(t.Context())
	})
}
