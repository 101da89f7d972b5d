package scaler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/scaler"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

const (
	poolName = "pool"
	lease    = 3 * time.Second
)

var zoneNames = []string{"a", "b", "c"}

// provider keeps what was ordered, and may have no more in some zones, or refuse or lose calls.
type provider struct {
	mutex   sync.Mutex
	ordered map[string]int
	calls   int
	tokens  []int64
	none    map[string]bool
	refuses bool
}

func (p *provider) OrderEngines(_ context.Context, token int64, order scaler.Order) (scaler.Outcome, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	p.tokens = append(p.tokens, token)
	if p.refuses {
		return scaler.Unknown, errors.New("refused")
	}
	if p.none[order.Zone] && order.Count > p.ordered[order.Zone] {
		return scaler.NoneLeft, nil
	}
	p.ordered[order.Zone] = order.Count
	return scaler.Taken, nil
}

// seen returns what was ordered in all zones together, by zone, and the number of calls.
func (p *provider) seen() (total int, byZone map[string]int, calls int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, count := range p.ordered {
		total += count
	}
	return total, maps.Clone(p.ordered), p.calls
}

func (p *provider) set(refuses bool, none ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refuses = refuses
	p.none = make(map[string]bool)
	for _, zone := range none {
		p.none[zone] = true
	}
}

// world is a store, a provider and a pool of four regular engines a zone.
type world struct {
	store     *memorylog.Store
	provider  *provider
	catalog   *catalog.Holder
	directory *fleet.Directory
	mutex     sync.Mutex
	work      time.Duration
}

func newWorld() *world {
	w := &world{
		store: memorylog.New(memorylog.Config{Partitions: 2, Delay: time.Millisecond}), provider: &provider{ordered: make(map[string]int)},
		catalog: catalog.NewHolder(), directory: fleet.NewDirectory(),
	}
	scaling := &catalog.Scaling{MaxPerZone: 10, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}}
	w.catalog.Set(catalog.New(1, nil, map[string]catalog.Pool{
		poolName: {Name: poolName, Models: []string{"m"}, Scaling: scaling}, "fixed": {Name: "fixed"},
	}, catalog.Limits{}))
	for _, zone := range zoneNames {
		for i := range 4 {
			w.directory.Upsert(fleet.Engine{ID: fmt.Sprint(zone, i), Pool: poolName, Zone: zone, Slots: 6})
		}
	}
	w.directory.SetKnown()
	return w
}

func (w *world) setWork(work time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.work = work
}

func (w *world) loads() map[string]policy.StepLoad {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return map[string]policy.StepLoad{"m": {Work: w.work, Longest: 4 * time.Second, Interval: 4 * time.Second}}
}

// hold makes a machine the holder of the duty; the function that it returns releases it.
func (w *world) hold(t *testing.T, machine string, generation int64) func() {
	ctx, cancel := context.WithCancel(t.Context())
	holder := duty.NewHolder(duty.Config{
		Log: w.store.For(machine), Machine: machine, Lease: lease, Logger: log.New(io.Discard),
		Duties: []duty.Duty{scaler.New(scaler.Config{
			Provider: w.provider, Catalog: w.catalog, Directory: w.directory, Loads: w.loads, Logger: log.New(io.Discard),
		})},
	})
	var work ownership.Work = holder.Gained(ctx, keyedlog.Partition{Topic: keyedlog.TopicDuties}, generation)
	return func() {
		cancel()
		work.Release(context.Background())
	}
}

// TestEnginesFollowTheWork lets work come and go: engines are ordered at once, once, evenly, and given back late.
func TestEnginesFollowTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		release := w.hold(t, "one", 1)
		time.Sleep(5 * time.Second)
		total, _, calls := w.provider.seen()
		is.Equal(total, 0)
		is.Equal(calls, 0)
		w.setWork(150 * time.Second)
		time.Sleep(2 * time.Second)
		total, byZone, calls := w.provider.seen()
		is.Equal(total, policy.EnginesWanted(6, []policy.StepLoad{w.loads()["m"]}, 12, 30)-12)
		is.True(total > 3)
		is.Equal(calls, 3)
		for _, zone := range zoneNames {
			is.True(byZone[zone] >= total/3 && byZone[zone] <= total/3+1)
		}
		time.Sleep(time.Minute)
		_, _, calls = w.provider.seen()
		is.Equal(calls, 3)
		w.setWork(0)
		time.Sleep(25 * time.Second)
		still, _, _ := w.provider.seen()
		is.Equal(still, total)
		time.Sleep(10 * time.Second)
		left, _, _ := w.provider.seen()
		is.Equal(left, 0)
		release()
	})
}

// TestLostEnginesAreReplaced takes regular engines away while two zones have no more: what these don't give comes from the third, and they
// are asked again some seconds later, not at once.
func TestLostEnginesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.setWork(150 * time.Second)
		release := w.hold(t, "one", 1)
		time.Sleep(2 * time.Second)
		before, had, _ := w.provider.seen()
		w.provider.set(false, "b", "c")
		w.directory.Remove("a0")
		w.directory.Remove("a1")
		time.Sleep(2 * time.Second)
		total, has, calls := w.provider.seen()
		is.Equal(total, before+2)
		is.Equal(has, map[string]int{"a": had["a"] + 2, "b": had["b"], "c": had["c"]})
		time.Sleep(2 * time.Second)
		_, _, later := w.provider.seen()
		is.Equal(later, calls)
		w.provider.set(false)
		time.Sleep(10 * time.Second)
		total, has, _ = w.provider.seen()
		is.Equal(total, before+2)
		is.True(has["b"] > had["b"] || has["c"] > had["c"])
		release()
	})
}

// TestASuccessorGoesOn checks that calls which were refused are repeated, by a successor too, and that it orders no second time what
// its predecessor did.
func TestASuccessorGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.setWork(150 * time.Second)
		w.provider.set(true)
		release := w.hold(t, "one", 1)
		time.Sleep(3 * time.Second)
		total, _, calls := w.provider.seen()
		is.Equal(total, 0)
		is.True(calls > 3)
		release()
		w.provider.set(false)
		release = w.hold(t, "two", 2)
		time.Sleep(lease)
		total, _, _ = w.provider.seen()
		is.Equal(total, 0)
		time.Sleep(lease)
		total, _, calls = w.provider.seen()
		is.True(total > 3)
		release()
		release = w.hold(t, "three", 3)
		time.Sleep(3 * lease)
		again, _, after := w.provider.seen()
		is.Equal(again, total)
		// It can't know whether its predecessor's orders were taken, and repeats them once.
		is.Equal(after, calls+3)
		release()
		for i := 1; i < len(w.provider.tokens); i++ {
			is.True(w.provider.tokens[i] >= w.provider.tokens[i-1])
		}
	})
}

// TestASuccessorKnowsWhatWasRefused checks that a successor does not take engines that a zone has refused for ordered, and so keeps as many
// elsewhere.
func TestASuccessorKnowsWhatWasRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.setWork(150 * time.Second)
		w.provider.set(false, "a")
		release := w.hold(t, "one", 1)
		// The first holder is gone right after its first orders, one of which was refused, and before it looks again.
		for calls := 0; calls == 0; _, _, calls = w.provider.seen() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		release()
		release = w.hold(t, "two", 2)
		time.Sleep(5 * time.Minute)
		total, _, _ := w.provider.seen()
		release()
		w.provider.set(false)
		alone := newWorld()
		alone.setWork(150 * time.Second)
		alone.provider.set(false, "a")
		release = alone.hold(t, "one", 1)
		time.Sleep(5 * time.Minute)
		wanted, _, _ := alone.provider.seen()
		is.Equal(total, wanted)
		release()
	})
}
