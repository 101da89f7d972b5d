package weightroll

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

const (
	poolName = "pool"
	model    = "m"
	lease    = 3 * time.Second
	loadTime = 900 * time.Millisecond
)

// testEnv is a store and engines, shared by any number of nodes that may order the engines.
type testEnv struct {
	store   *memorylog.Store
	engines *memoryengine.Engines
	pool    []fleet.Engine
	ctx     context.Context
	running *sync.WaitGroup
}

func newTestEnv(t *testing.T, count int) *testEnv {
	ctx, cancel := context.WithCancel(context.Background())
	env := &testEnv{
		store: memorylog.New(memorylog.Config{Partitions: 2, Delay: 5 * time.Millisecond}), engines: memoryengine.New(),
		ctx: ctx, running: new(sync.WaitGroup),
	}
	for i := range count {
		engine := fleet.Engine{
			ID: fmt.Sprint("engine", i), Pool: poolName, Slots: 8, Zone: fmt.Sprint(i % 3), Versions: map[string]int64{model: 1},
		}
		env.pool = append(env.pool, engine)
		env.engines.Add(engine, memoryengine.Behaviour{Load: loadTime})
	}
	t.Cleanup(func() {
		cancel()
		env.running.Wait()
	})
	return env
}

// node is a process that may order engines.
type node struct {
	testEnv *testEnv
	name    string
	holder  *Holder
	catalog *catalog.Holder
	work    ownership.Work
	cancel  context.CancelFunc
}

type orderTableApplier struct{ orderTable *OrderTable }

func (a orderTableApplier) Apply(record keyedlog.Record, _ bool) { _ = a.orderTable.Apply(record) }
func (a orderTableApplier) Advanced(int64)                       {}

func (env *testEnv) node(name string) *node {
	directory := fleet.NewDirectory()
	for _, engine := range env.pool {
		directory.Upsert(engine)
	}
	logger := log.New(io.Discard)
	orderTable := NewOrderTable(directory)
	bounded := storetimeout.New(env.store.For(name))
	var followers []Follower
	for number := range 2 {
		follower := follow.New(follow.Config{
			Log: bounded, Partition: keyedlog.Partition{Topic: keyedlog.TopicWeights, Number: number},
			Applier: orderTableApplier{orderTable}, Wait: time.Second, Logger: logger,
		})
		followers = append(followers, follower)
		env.running.Go(func() { follower.Run(env.ctx) })
	}
	n := &node{testEnv: env, name: name, catalog: catalog.NewHolder()}
	n.catalog.Set(catalog.New(1, nil, map[string]catalog.Pool{poolName: {Name: poolName, Models: []string{model}}}, catalog.Limits{}))
	n.holder = NewHolder(Config{
		Log: bounded, Followers: followers, OrderTable: orderTable, Catalog: n.catalog, Directory: directory, Client: env.engines,
		Node: name, Lease: lease, Logger: logger,
	})
	return n
}

// becomeOwner makes the node the owner of the pool's partition under an epoch.
func (n *node) becomeOwner(epoch int64) {
	ctx, cancel := context.WithCancel(n.testEnv.ctx)
	n.cancel = cancel
	n.work = n.holder.Gained(ctx, PartitionOf(poolName, 2), epoch)
}

func (n *node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.work.Release(ctx)
	n.cancel()
}

// versions returns the versions that the engines serve.
func (env *testEnv) versions() []int64 {
	var versions []int64
	for _, engine := range env.pool {
		versions = append(versions, env.engines.Version(engine.ID, model))
	}
	return versions
}

// TestRolloutLoadsTwoEnginesAtOnceFromSmallStore checks that with a store that serves two readers at full speed two
// engines load concurrently, except for the loads of one trial, and that the rollout takes no longer than two
// concurrent loads need.
func TestRolloutLoadsTwoEnginesAtOnceFromSmallStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 24)
		env.engines.ServeReaders(2)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(14 * loadTime)
		for _, version := range env.versions() {
			is.Equal(version, int64(2))
		}
		orders := env.engines.Orders()
		is.Equal(len(orders), 24)
		overlapping := 0
		for i := 2; i < len(orders); i++ {
			if orders[i].At.Sub(orders[i-2].At) < loadTime {
				overlapping++
			}
		}
		is.True(overlapping > 0)
		is.True(overlapping <= 8)
		only.release()
	})
}

// TestRolloutUsesTheStoresCapacity checks that more engines load concurrently if the store serves more readers, and
// that the rollout is several times as fast as two concurrent loads would be.
func TestRolloutUsesTheStoresCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 60)
		env.engines.ServeReaders(12)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(16 * loadTime)
		for _, version := range env.versions() {
			is.Equal(version, int64(2))
		}
		only.release()
	})
}

// TestInitialConcurrencyIsTwo checks that more than two engines load concurrently only after loads were measured.
func TestInitialConcurrencyIsTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 4)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(2*loadTime + time.Second)
		is.Equal(env.versions(), []int64{2, 2, 2, 2})
		orders := env.engines.Orders()
		is.Equal(len(orders), 4)
		for i := 2; i < len(orders); i++ {
			is.True(orders[i].At.Sub(orders[i-2].At) >= loadTime)
		}
		only.release()
	})
}

// TestStoreOutageDoesNotDelayLaterLoads guards against a fault seen on platform_down days: the time that the store took
// was counted as load time, so every later load was polled only after several seconds.
func TestStoreOutageDoesNotDelayLaterLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 8)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(loadTime / 2)
		env.store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(10 * time.Second)
		env.store.Heal()
		time.Sleep(4*loadTime + time.Second)
		is.Equal(env.versions(), []int64{2, 2, 2, 2, 2, 2, 2, 2})
		only.release()
	})
}

// TestRestartedOwnerDoesNotWaitForTheLease kills an owner after a rollout. A process that starts on the same machine is
// the same holder to the engines and begins the next rollout at once; one on another machine waits for the lease.
func TestRestartedOwnerDoesNotWaitForTheLease(t *testing.T) {
	for _, name := range []string{"a", "b"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(t, 2)
				first := env.node("a")
				first.becomeOwner(1)
				first.catalog.SetVersion(model, 2)
				time.Sleep(2 * loadTime)
				first.cancel()
				next := env.node(name)
				next.catalog.SetVersion(model, 3)
				next.becomeOwner(map[string]int64{"a": 1, "b": 2}[name])
				time.Sleep(lease)
				is.Equal(slices.Min(env.versions()) == 3, name == "a")
				time.Sleep(fencing.SuccessorDelay(0) + 2*loadTime)
				is.Equal(slices.Min(env.versions()), int64(3))
				checkOrders(t, env.engines.Orders())
				next.release()
			})
		})
	}
}

// TestDelayedOrdersDoNotRevertVersions checks that orders that got no response and are executed seconds later do not
// bring an engine back to an older version.
func TestDelayedOrdersDoNotRevertVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 2)
		for _, engine := range env.pool {
			env.engines.Behave(engine.ID, memoryengine.Behaviour{Load: loadTime, LoseOrders: true, LateOrders: 8 * time.Second})
		}
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(2 * time.Second)
		for _, engine := range env.pool {
			env.engines.Behave(engine.ID, memoryengine.Behaviour{Load: loadTime})
		}
		time.Sleep(3 * time.Second)
		is.Equal(env.versions(), []int64{2, 2})
		only.catalog.SetVersion(model, 3)
		time.Sleep(3 * time.Second)
		is.Equal(env.versions(), []int64{3, 3})
		time.Sleep(20 * time.Second)
		is.Equal(env.versions(), []int64{3, 3})
		only.release()
	})
}

// TestOrdersOfTwoHoldersAreALeaseApart lets owners take over from each other at random times, some of them cut off from
// the store without noticing, and checks only the orders that engines received.
func TestOrdersOfTwoHoldersAreALeaseApart(t *testing.T) {
	for seed := range int64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runTakeovers(t, rand.New(rand.NewSource(seed)), false)
			})
		})
	}
}

// TestOrdersOfTwoHoldersAreALeaseApartAfterLateRead runs takeovers by processes that have read no announcement before
// they own the partition.
func TestOrdersOfTwoHoldersAreALeaseApartAfterLateRead(t *testing.T) {
	for seed := range int64(80) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runTakeovers(t, rand.New(rand.NewSource(seed)), true)
			})
		})
	}
}

// TestSuccessorThatReadsLateOrdersExpiredEnginesAtOnce kills an owner that loaded one engine after the other. A process
// that has read no announcement before takes over. Engines whose last order is at least a lease older than the newest
// order are ordered at once, the others when their lease has passed.
func TestSuccessorThatReadsLateOrdersExpiredEnginesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 10)
		env.engines.ServeReaders(1)
		first := env.node("first")
		first.becomeOwner(1)
		first.catalog.SetVersion(model, 2)
		time.Sleep(30 * time.Second)
		before := make(map[string]time.Time)
		var newest time.Time
		for _, order := range env.engines.Orders() {
			before[order.Engine], newest = order.At, order.At
		}
		is.Equal(len(before), len(env.pool))
		first.cancel()

		env.engines.ServeReaders(len(env.pool))
		second := env.node("second")
		second.catalog.SetVersion(model, 3)
		tookOver := time.Now()
		second.becomeOwner(2)
		time.Sleep(2 * lease)
		expired := 0
		for _, order := range env.engines.Orders()[len(before):] {
			if newest.Sub(before[order.Engine]) < fencing.SuccessorDelay(lease) {
				continue
			}
			expired++
			is.True(order.At.Sub(tookOver) < lease)
		}
		is.True(expired > 0)
		checkOrders(t, env.engines.Orders())
		second.release()
	})
}

// TestOrdersOfEarlierEpochsPredateTheNextOwner has a second owner that is killed before it has ordered any of the first
// owner's engines, and restarts on its machine. Orders of the first owner are older than all records of the second.
func TestOrdersOfEarlierEpochsPredateTheNextOwner(t *testing.T) {
	is := is.New(t)
	orderTable := NewOrderTable(fleet.NewDirectory())
	now := time.Now()
	read := func(order Announcement) {
		orderTable.mutex.Lock()
		defer orderTable.mutex.Unlock()
		orderTable.observeEpochStart(order, now)
		orderTable.orders[order.EngineID] = receivedOrder{Announcement: order, receivedAt: now}
	}
	read(Announcement{EngineID: "old", Pool: "pool", Epoch: 4, Written: 9 * time.Second, Ordered: 9 * time.Second})
	read(Announcement{EngineID: "new", Pool: "pool", Epoch: 5, Written: 6 * time.Second, Ordered: 5 * time.Second})
	// An owner of another pool happens to have the same epoch, and began long ago.
	read(Announcement{EngineID: "other", Pool: "another", Epoch: 4, Written: time.Hour, Ordered: time.Minute})
	// The records of an owner that does not record times give no age.
	read(Announcement{EngineID: "mute", Pool: "mute", Epoch: 7})

	ages := make(map[string]time.Duration)
	for _, id := range []string{"old", "new", "other", "mute"} {
		order, known := orderTable.lastOrder(id)
		is.True(known)
		ages[id] = now.Sub(order.announcedBefore)
	}
	is.Equal(ages["old"], 6*time.Second)
	is.Equal(ages["new"], time.Second)
	is.Equal(ages["other"], time.Hour-time.Minute)
	is.Equal(ages["mute"], time.Duration(0))
}

// runTakeovers runs ten takeovers between three nodes and checks the orders that the engines received. With readLate,
// an owner has read no announcement before it takes over.
func runTakeovers(t *testing.T, random *rand.Rand, readLate bool) {
	is := is.New(t)
	env := newTestEnv(t, 4)
	nodes := []*node{env.node("a"), env.node("b"), env.node("c")}
	isolated := make(map[string]bool)
	var mutex sync.Mutex
	losses := rand.New(rand.NewSource(random.Int63()))
	env.store.SetRule(func(call memorylog.Call) memorylog.Fault {
		mutex.Lock()
		defer mutex.Unlock()
		switch {
		case isolated[call.Caller]:
			return memorylog.Silent
		case call.Operation == "append" && losses.Intn(10) == 0:
			return memorylog.LostAfter
		default:
			return memorylog.None
		}
	})
	version := int64(1)
	var owners []*node
	generation := int64(0)
	owner := -1
	for range 10 {
		index := random.Intn(len(nodes))
		next := nodes[index]
		if slices.Contains(owners, next) {
			owners = slices.DeleteFunc(owners, func(n *node) bool { return n == next })
			if random.Intn(2) == 0 {
				next.release()
			} else {
				// The process is killed, and another starts on its machine.
				next.cancel()
				next = env.node(next.name)
				next.catalog.SetVersion(model, version)
				nodes[index] = next
			}
		}
		if readLate && !slices.Contains(owners, next) {
			next = env.node(next.name)
			next.catalog.SetVersion(model, version)
			nodes[index] = next
		}
		if index != owner || random.Intn(2) == 0 {
			generation++
		}
		owner = index
		mutex.Lock()
		for _, other := range nodes {
			// An old owner may be cut off from the store, and so still assume that it owns the partition.
			isolated[other.name] = other != next && random.Intn(2) == 0
		}
		mutex.Unlock()
		next.becomeOwner(generation)
		owners = append(owners, next)
		for range 1 + random.Intn(3) {
			version++
			for _, each := range nodes {
				each.catalog.SetVersion(model, version)
			}
			time.Sleep(time.Duration(random.Intn(3000)) * time.Millisecond)
		}
	}
	mutex.Lock()
	clear(isolated)
	mutex.Unlock()
	time.Sleep(3*lease + 10*time.Second)
	for _, served := range env.versions() {
		is.Equal(served, version)
	}
	checkOrders(t, env.engines.Orders())
	for _, each := range owners {
		each.release()
	}
}

// checkOrders checks what a platform checks: orders of two holders to one engine are a lease apart, no two holders
// share a fence, and fences never decrease.
func checkOrders(t *testing.T, orders []memoryengine.Order) {
	last := make(map[string]memoryengine.Order)
	for _, order := range orders {
		before, known := last[order.Engine]
		last[order.Engine] = order
		if known && order.Fence < before.Fence {
			t.Errorf("%s received fence %d after %d", order.Engine, order.Fence, before.Fence)
		}
		if !known || before.Holder == order.Holder {
			continue
		}
		if apart := order.At.Sub(before.At); apart < lease {
			t.Errorf("%s received orders of %s and %s within %v", order.Engine, before.Holder, order.Holder, apart)
		}
		if order.Fence <= before.Fence {
			t.Errorf("%s received fence %d of %s after %d of %s", order.Engine, order.Fence, order.Holder, before.Fence, before.Holder)
		}
	}
}

// TestAnOrderIsNotSentAfterItsWindow simulates a process that was paused between the announcement and the order.
func TestAnOrderIsNotSentAfterItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 1)
		only := env.node("only")
		only.becomeOwner(1)
		time.Sleep(time.Second)
		step := Step{Engine: env.pool[0], Model: model, Version: 2}
		owner := only.work.(*roller)
		outcome, err := owner.send(t.Context(), step, engineapi.LoadKeeps, 0, fencing.BeginWindow().From(time.Now().Add(-fencing.SendWindow)))
		is.Equal(outcome, engineapi.OrderRefused)
		is.True(err != nil)
		is.Equal(len(env.engines.Orders()), 0)
		_, err = owner.send(t.Context(), step, engineapi.LoadKeeps, 0, fencing.BeginWindow())
		is.NoErr(err)
		is.Equal(len(env.engines.Orders()), 1)
		only.release()
	})
}

// TestUndecodableRecordIsSkipped applies a record that is not an announcement.
func TestUndecodableRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	orderTable := NewOrderTable(fleet.NewDirectory())
	is.True(orderTable.Apply(keyedlog.Record{Key: "e", Value: []byte{0xc1}}) != nil)
	_, known := orderTable.lastOrder("e")
	is.True(!known)
	is.NoErr(orderTable.Apply(keyedlog.Record{Key: "e"}))
}

func FuzzBoard(f *testing.F) {
	valid, err := (&Announcement{EngineID: "e", Model: "m", Version: 3}).MarshalMsg(nil)
	if err != nil {
		f.Fatal(errors.New("announcement does not encode"))
	}
	f.Add(valid)
	f.Fuzz(func(_ *testing.T, value []byte) {
		_ = NewOrderTable(fleet.NewDirectory()).Apply(keyedlog.Record{Key: "e", Value: value})
	})
}

// applyAnnouncement applies an announcement to an order table.
func applyAnnouncement(t *testing.T, orderTable *OrderTable, announcement Announcement) {
	t.Helper()
	is := is.New(t)
	value, err := announcement.MarshalMsg(nil)
	is.NoErr(err)
	is.NoErr(orderTable.Apply(keyedlog.Record{Key: announcement.EngineID, Value: value}))
}

// TestEnginesAreExcludedWhileTheyLoad checks that an order table learns the load time, excludes an engine from work for
// that time, and not for much longer if no announcement says that it serves.
func TestEnginesAreExcludedWhileTheyLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		directory.Upsert(fleet.Engine{ID: "e", Pool: poolName})
		orderTable := NewOrderTable(directory)
		announce := func(version int64, serving bool) {
			applyAnnouncement(t, orderTable, Announcement{EngineID: "e", Model: model, Version: version, Serving: serving})
		}
		const slow = 2 * time.Second
		for version := range int64(10) {
			announce(version+2, false)
			time.Sleep(slow)
			announce(version+2, true)
			is.True(!directory.Loading("e", model))
		}
		announce(20, false)
		time.Sleep(slow - time.Millisecond)
		is.True(directory.Loading("e", model))
		time.Sleep(slow)
		is.True(!directory.Loading("e", model))
	})
}

// TestLoadTimesAreBasedOnTheOwnersClock has a process that lags behind read the orders of a hundred engines together
// with the announcements that they serve, and then the next orders without delay: it must assign no work to the engines
// while they load.
func TestLoadTimesAreBasedOnTheOwnersClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines, loadDuration = 100, 1100 * time.Millisecond
		directory := fleet.NewDirectory()
		orderTable := NewOrderTable(directory)
		read := func(id int, written, ordered time.Duration, version int64, serving bool) {
			name := fmt.Sprint("engine", id)
			directory.Upsert(fleet.Engine{ID: name, Pool: poolName})
			applyAnnouncement(t, orderTable, Announcement{
				EngineID: name, Pool: poolName, Model: model, Version: version, Epoch: 1, Serving: serving, Written: written, Ordered: ordered,
			})
		}
		clock := time.Now()
		at := func() time.Duration { return time.Since(clock) + time.Second }
		time.Sleep(4 * time.Second)
		for id := range engines {
			ordered := at() - 2*time.Second
			read(id, ordered, ordered, 2, false)
			read(id, ordered+loadDuration, ordered, 2, true)
			time.Sleep(time.Microsecond)
		}
		time.Sleep(4 * time.Second)
		ordered := at()
		for id := range engines {
			read(id, ordered, ordered, 3, false)
		}
		time.Sleep(loadDuration - time.Millisecond)
		for id := range engines {
			is.True(directory.Loading(fmt.Sprint("engine", id), model))
		}
		time.Sleep(loadDuration)
		for id := range engines {
			is.True(!directory.Loading(fmt.Sprint("engine", id), model))
		}
	})
}

// TestLoadTimeIsLearnedFromServingRecordsAlone has a new owner read only the newest announcement of each engine, for
// loads that take longer than the default load time.
func TestLoadTimeIsLearnedFromServingRecordsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const loadDuration = 2 * defaultLoadTime
		directory := fleet.NewDirectory()
		directory.Upsert(fleet.Engine{ID: "e", Pool: poolName})
		orderTable := NewOrderTable(directory)
		read := func(id string, written, ordered time.Duration, serving bool) {
			applyAnnouncement(t, orderTable, Announcement{
				EngineID: id, Pool: poolName, Model: model, Version: 3, Epoch: 1, Serving: serving, Written: written, Ordered: ordered,
			})
		}
		for i := range 20 {
			ordered := time.Duration(i+1) * time.Second
			read(fmt.Sprint("other", i), ordered+loadDuration, ordered, true)
		}
		read("e", time.Minute, time.Minute, false)
		time.Sleep(loadDuration - time.Millisecond)
		is.True(directory.Loading("e", model))
	})
}

// limit returns how many engines of the pool the node lets load concurrently.
func (n *node) limit() int {
	r := n.work.(*roller)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.loadLimit[poolName].limit()
}

// TestPendingOrdersAreAnnouncedInOneAppend loads many engines concurrently on a slow store. One append per order would
// take longer than the window in which the order may be sent.
func TestPendingOrdersAreAnnouncedInOneAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines, appendTime = 120, 200 * time.Millisecond
		env := newTestEnv(t, engines)
		env.store = memorylog.New(memorylog.Config{Partitions: 2, Delay: appendTime})
		env.engines.ServeReaders(engines)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(20 * time.Second)
		for _, version := range env.versions() {
			is.Equal(version, int64(2))
		}
	})
}

// TestStoreOutageDoesNotEndAConcurrencyTrial guards against a fault seen on days with a store outage: orders whose
// announcements waited for the store counted as loads of several seconds, and the number on trial was rejected for half
// a minute.
func TestStoreOutageDoesNotEndAConcurrencyTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines = 120
		env := newTestEnv(t, engines)
		env.engines.ServeReaders(engines)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(1200 * time.Millisecond)
		before := only.limit()
		is.True(before > engines/initialDivisor) // the first trial has started
		env.store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(7 * time.Second)
		env.store.Heal()
		time.Sleep(4 * time.Second)
		is.True(only.limit() > before)
	})
}

// TestSlowLoadsDoNotDelayTheFirstPoll guards against a fault seen after a power loss on the large archive. A successor
// began with more concurrent loads than the store of weights could serve, and loads took two seconds. From then on
// engines were first polled after 1.8 s, so every load seemed to take that long, and the number of concurrent loads
// fell from 28 to 2, although 16 engines load in 0.9 s.
func TestSlowLoadsDoNotDelayTheFirstPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const engines = 24
		env := newTestEnv(t, engines)
		env.engines.ServeReaders(engines)
		only := env.node("only")
		only.becomeOwner(1)
		only.catalog.SetVersion(model, 2)
		time.Sleep(2 * loadTime)
		r := only.work.(*roller)
		for range 20 {
			r.mutex.Lock()
			r.recordLoadTime(3*loadTime, 5)
			r.mutex.Unlock()
		}
		time.Sleep(3 * loadTime)
		r.mutex.Lock()
		r.loadLimit[poolName].fastest = 0
		r.mutex.Unlock()
		time.Sleep(2 * loadTime)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		is.True(r.loadLimit[poolName].fastest > 0)
		is.True(r.loadLimit[poolName].fastest <= loadTime+2*pollInterval)
	})
}

// TestLargePoolLoadsOnlyEnginesThatStepsNeed checks that of many engines with little work only some are brought to new
// versions, that these are the same for each version, and that a lost one is replaced.
func TestLargePoolLoadsOnlyEnginesThatStepsNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 40)
		loads := map[string]policy.StepLoad{model: {Work: 20 * time.Second, Longest: 4 * time.Second, Interval: 4 * time.Second}}
		kept := policy.EnginesKept(8, []policy.StepLoad{loads[model]}, 40, 0)
		is.True(kept < 20)
		only := env.node("only")
		only.holder.config.Loads = func() map[string]policy.StepLoad { return loads }
		only.becomeOwner(1)
		upToDate := func(version int64) int {
			count := 0
			for _, served := range env.versions() {
				if served >= version {
					count++
				}
			}
			return count
		}
		for version := int64(2); version <= 4; version++ {
			only.catalog.SetVersion(model, version)
			time.Sleep(20 * loadTime)
			is.Equal(upToDate(version), kept)
		}
		is.Equal(upToDate(2), kept)
		for i, version := range env.versions() {
			if version == 4 {
				only.holder.config.Directory.Remove(env.pool[i].ID)
				break
			}
		}
		time.Sleep(20 * loadTime)
		is.Equal(upToDate(4), kept+1)
		only.release()
	})
}

// TestSequenceIsResetWhenAnEngineRestarts checks that the order count of an earlier incarnation is not used. A
// restarted engine counts its orders from zero, so it would reject an order that expects the earlier count.
func TestSequenceIsResetWhenAnEngineRestarts(t *testing.T) {
	is := is.New(t)
	r := &roller{sequences: make(map[string]sequence)}
	first := fleet.Engine{ID: "a", StartedAt: time.UnixMilli(1000)}
	r.setSequence(first, 7)
	orders, known := r.sequenceOf(first)
	is.Equal(orders, int64(7))
	is.True(known)
	second := first
	second.StartedAt = time.UnixMilli(2000)
	_, known = r.sequenceOf(second)
	is.True(!known)
	r.setSequence(second, 0)
	orders, known = r.sequenceOf(second)
	is.Equal(orders, int64(0))
	is.True(known)
}
