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

// provider records orders. It can have no more engines in some zones, or refuse all calls.
type provider struct {
	mutex     sync.Mutex
	ordered   map[string]int
	calls     int
	tokens    []int64
	exhausted map[string]bool
	refuses   bool
	// onRefusal is called when a zone has no more engines, nil for no call.
	onRefusal func()
}

func (p *provider) OrderEngines(_ context.Context, token int64, order scaler.Order) (scaler.Outcome, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	p.tokens = append(p.tokens, token)
	if p.refuses {
		return scaler.Unknown, errors.New("refused")
	}
	if p.exhausted[order.Zone] && order.Count > p.ordered[order.Zone] {
		if p.onRefusal != nil {
			p.onRefusal()
		}
		return scaler.NoneLeft, nil
	}
	p.ordered[order.Zone] = order.Count
	return scaler.Taken, nil
}

// snapshot returns the number of engines ordered in total and by zone, and the number of calls.
func (p *provider) snapshot() (total int, byZone map[string]int, calls int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, count := range p.ordered {
		total += count
	}
	return total, maps.Clone(p.ordered), p.calls
}

func (p *provider) setFaults(refuses bool, exhausted ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refuses = refuses
	p.exhausted = make(map[string]bool)
	for _, zone := range exhausted {
		p.exhausted[zone] = true
	}
}

// testEnv is a store, a provider and a pool with four regular engines in each zone.
type testEnv struct {
	store     *memorylog.Store
	provider  *provider
	catalog   *catalog.Holder
	directory *fleet.Directory
	mutex     sync.Mutex
	work      time.Duration
	item      time.Duration
}

func newTestEnv() *testEnv {
	env := &testEnv{
		store: memorylog.New(memorylog.Config{Partitions: 2, Delay: time.Millisecond}), provider: &provider{ordered: make(map[string]int)},
		catalog: catalog.NewHolder(), directory: fleet.NewDirectory(),
	}
	scaling := &catalog.Scaling{MaxPerZone: 10, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1}}
	env.catalog.Set(catalog.New(1, nil, map[string]catalog.Pool{
		poolName: {Name: poolName, Models: []string{"m"}, Scaling: scaling}, "fixed": {Name: "fixed"},
	}, catalog.Limits{}))
	for _, zone := range zoneNames {
		for i := range 4 {
			env.directory.Upsert(fleet.Engine{ID: fmt.Sprint(zone, i), Pool: poolName, Zone: zone, Slots: 6})
		}
	}
	env.directory.SetSynced()
	return env
}

func (env *testEnv) setWork(work time.Duration) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.work = work
}

func (env *testEnv) loads() map[string]policy.StepLoad {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	return map[string]policy.StepLoad{"m": {Work: env.work, Item: env.item, Longest: 4 * time.Second, Interval: 4 * time.Second}}
}

// holdDuty makes a machine the holder of the duty and returns a function that releases it.
func (env *testEnv) holdDuty(t *testing.T, machine string, generation int64) func() {
	ctx, cancel := context.WithCancel(t.Context())
	holder := duty.NewHolder(duty.Config{
		Log: env.store.For(machine), Machine: machine, Lease: lease, Logger: log.New(io.Discard),
		Duties: []duty.Duty{scaler.New(scaler.Config{
			Provider: env.provider, Catalog: env.catalog, Directory: env.directory, Loads: env.loads, Logger: log.New(io.Discard),
		})},
	})
	var work ownership.Work = holder.Gained(ctx, keyedlog.Partition{Topic: keyedlog.TopicDuties}, generation)
	return func() {
		cancel()
		work.Release(context.Background())
	}
}

// TestEngineCountFollowsTheWork raises and lowers the work: engines are ordered at once, only once and evenly over
// zones, and returned after a delay.
func TestEngineCountFollowsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		release := env.holdDuty(t, "one", 1)
		time.Sleep(5 * time.Second)
		total, _, calls := env.provider.snapshot()
		is.Equal(total, 0)
		is.Equal(calls, 0)
		env.setWork(150 * time.Second)
		time.Sleep(2 * time.Second)
		total, byZone, calls := env.provider.snapshot()
		is.Equal(total, policy.EnginesWanted(6, []policy.StepLoad{env.loads()["m"]}, 12, 30)-12)
		is.True(total > 3)
		is.Equal(calls, 3)
		for _, zone := range zoneNames {
			is.True(byZone[zone] >= total/3 && byZone[zone] <= total/3+1)
		}
		time.Sleep(time.Minute)
		_, _, calls = env.provider.snapshot()
		is.Equal(calls, 3)
		env.setWork(0)
		time.Sleep(25 * time.Second)
		still, _, _ := env.provider.snapshot()
		is.Equal(still, total)
		time.Sleep(10 * time.Second)
		left, _, _ := env.provider.snapshot()
		is.Equal(left, 0)
		release()
	})
}

// TestLostEnginesAreReplaced removes regular engines while two zones have no more. The third zone has to supply the
// replacements, and orders to the other two are retried only some seconds later.
func TestLostEnginesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.setWork(150 * time.Second)
		release := env.holdDuty(t, "one", 1)
		time.Sleep(2 * time.Second)
		before, previous, _ := env.provider.snapshot()
		env.provider.setFaults(false, "b", "c")
		env.directory.Remove("a0")
		env.directory.Remove("a1")
		time.Sleep(2 * time.Second)
		total, current, calls := env.provider.snapshot()
		is.Equal(total, before+2)
		is.Equal(current, map[string]int{"a": previous["a"] + 2, "b": previous["b"], "c": previous["c"]})
		time.Sleep(2 * time.Second)
		_, _, later := env.provider.snapshot()
		is.Equal(later, calls)
		env.provider.setFaults(false)
		time.Sleep(10 * time.Second)
		total, current, _ = env.provider.snapshot()
		is.Equal(total, before+2)
		is.True(current["b"] > previous["b"] || current["c"] > previous["c"])
		release()
	})
}

// TestSuccessorRepeatsOrdersOnce checks that refused calls are repeated, also by a successor, and that a successor does
// not order the engines of its predecessor a second time.
func TestSuccessorRepeatsOrdersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.setWork(150 * time.Second)
		env.provider.setFaults(true)
		release := env.holdDuty(t, "one", 1)
		time.Sleep(3 * time.Second)
		total, _, calls := env.provider.snapshot()
		is.Equal(total, 0)
		is.True(calls > 3)
		release()
		env.provider.setFaults(false)
		release = env.holdDuty(t, "two", 2)
		time.Sleep(lease)
		total, _, _ = env.provider.snapshot()
		is.Equal(total, 0)
		time.Sleep(lease)
		total, _, calls = env.provider.snapshot()
		is.True(total > 3)
		release()
		release = env.holdDuty(t, "three", 3)
		time.Sleep(3 * lease)
		again, _, after := env.provider.snapshot()
		is.Equal(again, total)
		// The successor cannot know whether its predecessor's orders were accepted, and repeats them once.
		is.Equal(after, calls+3)
		release()
		for i := 1; i < len(env.provider.tokens); i++ {
			is.True(env.provider.tokens[i] >= env.provider.tokens[i-1])
		}
	})
}

// TestSuccessorKnowsRefusedOrders checks that a successor does not count engines that a zone refused as ordered, and so
// orders the same number in other zones.
func TestSuccessorKnowsRefusedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.setWork(150 * time.Second)
		env.provider.setFaults(false, "a")
		release := env.holdDuty(t, "one", 1)
		// The first holder stops right after its first orders, one of which was refused, and before its next check.
		for calls := 0; calls == 0; _, _, calls = env.provider.snapshot() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		release()
		release = env.holdDuty(t, "two", 2)
		time.Sleep(5 * time.Minute)
		total, _, _ := env.provider.snapshot()
		release()
		env.provider.setFaults(false)
		reference := newTestEnv()
		reference.setWork(150 * time.Second)
		reference.provider.setFaults(false, "a")
		release = reference.holdDuty(t, "one", 1)
		time.Sleep(5 * time.Minute)
		wanted, _, _ := reference.provider.snapshot()
		is.Equal(total, wanted)
		release()
	})
}

// TestColdEnginesAreCountedByTheirRate guards against orders that count on engines which are cold for as long as orders
// stand: they take 10 items of 0.2 s a second, a third of what their six slots take. Their record changes in nothing else.
func TestColdEnginesAreCountedByTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv()
		env.item = 200 * time.Millisecond
		pool := env.catalog.Current().Pools[poolName]
		pool.ColdRate = 10
		env.catalog.Set(catalog.New(2, nil, map[string]catalog.Pool{poolName: pool}, catalog.Limits{}))
		env.directory.SetColdLimit(poolName, fleet.ColdLimit{Rate: pool.ColdRate})
		env.setWork(60 * time.Second)
		release := env.holdDuty(t, "one", 1)
		defer release()
		time.Sleep(2 * time.Second)
		before, _, _ := env.provider.snapshot()
		for _, engine := range env.directory.Pool(poolName) {
			engine.ColdUntil = time.Now().Add(time.Minute)
			env.directory.Upsert(engine)
		}
		time.Sleep(2 * time.Second)
		after, _, _ := env.provider.snapshot()
		is.True(after > before)
	})
}
