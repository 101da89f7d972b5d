package weightroll

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// stepLoads holds the load of the steps of two models; it may change while owners read it.
type stepLoads struct {
	loads atomic.Pointer[map[string]policy.StepLoad]
}

func (l *stepLoads) set(m, n time.Duration) {
	l.loads.Store(&map[string]policy.StepLoad{"m": {Work: m}, "n": {Work: n}})
}

// twoModelNode returns a node whose pool has two models with the given loads.
func (env *testEnv) twoModelNode(name string, steps *stepLoads) *node {
	n := env.node(name)
	n.catalog.Set(catalog.New(2, nil, map[string]catalog.Pool{
		poolName: {Name: poolName, Models: []string{"m", "n"}},
	}, catalog.Limits{}))
	n.holder.config.Loads = func() map[string]policy.StepLoad { return *steps.loads.Load() }
	return n
}

// assignment returns the assignment of the pool that the node has read.
func (n *node) assignment() Assignment {
	return n.holder.config.Directory.AssignedModels(poolName)
}

// TestAllProcessesLearnTheAssignment checks that every process reads the newest assignment of a pool, and that a
// successor continues with it.
func TestAllProcessesLearnTheAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 12)
		var stepLoads stepLoads
		stepLoads.set(90*time.Second, 30*time.Second)
		nodes := []*node{env.twoModelNode("first", &stepLoads), env.twoModelNode("second", &stepLoads)}
		nodes[0].becomeOwner(1)
		time.Sleep(time.Second)
		assignment := nodes[1].assignment()
		is.Equal(len(assignment), 12)
		is.True(assignment.counts()["m"] > assignment.counts()["n"])

		// Work moves from one model to the other: the engine counts follow, and the other node reads the change.
		stepLoads.set(30*time.Second, 90*time.Second)
		time.Sleep(time.Second)
		shifted := nodes[1].assignment()
		is.Equal(shifted.counts(), map[string]int{"m": assignment.counts()["n"], "n": assignment.counts()["m"]})

		nodes[0].release()
		nodes[1].becomeOwner(2)
		time.Sleep(5 * time.Second)
		is.Equal(nodes[0].assignment(), shifted)
		nodes[1].release()
	})
}

// TestUpToDateEnginesAreNotReassigned checks that a shift of work moves no engine that serves the newest version of its
// model, and that engines move once a newer version is published, when they have to load in any case.
func TestUpToDateEnginesAreNotReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, 12)
		var stepLoads stepLoads
		stepLoads.set(90*time.Second, 30*time.Second)
		only := env.twoModelNode("only", &stepLoads)
		assignedCounts := func() map[string]int { return only.assignment().counts() }
		only.becomeOwner(1)
		only.catalog.SetVersion("m", 2)
		only.catalog.SetVersion("n", 2)
		time.Sleep(20 * loadTime)
		before := assignedCounts()
		orders := len(env.engines.Orders())
		is.Equal(orders, 12)

		stepLoads.set(30*time.Second, 90*time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(assignedCounts(), before)
		is.Equal(len(env.engines.Orders()), orders)

		only.catalog.SetVersion("m", 3)
		time.Sleep(20 * loadTime)
		is.Equal(assignedCounts(), map[string]int{"m": before["n"], "n": before["m"]})
		// Each engine that served the old version has loaded once.
		is.Equal(len(env.engines.Orders()), orders+before["m"])
		only.release()
	})
}

// TestColdEnginesAreSharedByTheirRate guards against shares that count on slots of cold engines that can't be filled.
func TestColdEnginesAreSharedByTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder := catalog.NewHolder()
		holder.Set(catalog.New(1, nil, map[string]catalog.Pool{"cold": {ColdRate: 10}, "other": {}}, catalog.Limits{}))
		r := &roller{config: Config{Catalog: holder}}
		engines := []fleet.Engine{{Slots: 8}, {Slots: 8, ColdUntil: time.Now().Add(shareHorizon)}}
		is.Equal(r.slots("cold", engines, 200*time.Millisecond), 10.0)
		is.Equal(r.slots("other", engines, 200*time.Millisecond), 16.0)
	})
}
