package weightroll

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// asked is what the steps of two models ask; it may change while order givers read it.
type asked struct {
	loads atomic.Pointer[map[string]policy.StepLoad]
}

func (a *asked) set(m, n time.Duration) {
	a.loads.Store(&map[string]policy.StepLoad{"m": {Work: m}, "n": {Work: n}})
}

// sharing returns a node whose pool has two models that ask so much.
func (w *world) sharing(name string, a *asked) *node {
	n := w.node(name)
	n.catalog.Set(catalog.New(2, nil, map[string]catalog.Pool{
		poolName: {Name: poolName, Models: []string{"m", "n"}},
	}, catalog.Limits{}))
	n.holder.config.Loads = func() map[string]policy.StepLoad { return *a.loads.Load() }
	return n
}

// dealt returns the assignment of the pool that the node has read.
func (n *node) dealt() Assignment {
	return n.holder.config.Directory.AssignedModels(poolName)
}

// TestAllProcessesLearnWhichEnginesAreWhose checks that every process knows the newest assignment of a pool, and that a successor
// goes on from it.
func TestAllProcessesLearnWhichEnginesAreWhose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 12)
		var asked asked
		asked.set(90*time.Second, 30*time.Second)
		nodes := []*node{w.sharing("first", &asked), w.sharing("second", &asked)}
		nodes[0].own(1)
		time.Sleep(time.Second)
		dealt := nodes[1].dealt()
		is.Equal(len(dealt), 12)
		is.True(dealt.counts()["m"] > dealt.counts()["n"])

		// Work shifts: the numbers follow, and the others learn of it.
		asked.set(30*time.Second, 90*time.Second)
		time.Sleep(time.Second)
		shifted := nodes[1].dealt()
		is.Equal(shifted.counts(), map[string]int{"m": dealt.counts()["n"], "n": dealt.counts()["m"]})

		nodes[0].release()
		nodes[1].own(2)
		time.Sleep(5 * time.Second)
		is.Equal(nodes[0].dealt(), shifted)
		nodes[1].release()
	})
}

// TestEnginesThatAreUpToDateStay checks that a shift of work moves no engine that serves the newest version of its model, and that
// engines move once a newer one is named: they would load in any case.
func TestEnginesThatAreUpToDateStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 12)
		var asked asked
		asked.set(90*time.Second, 30*time.Second)
		only := w.sharing("only", &asked)
		dealt := func() map[string]int { return only.dealt().counts() }
		only.own(1)
		only.catalog.SetVersion("m", 2)
		only.catalog.SetVersion("n", 2)
		time.Sleep(20 * loadTime)
		before := dealt()
		orders := len(w.engines.Orders())
		is.Equal(orders, 12)

		asked.set(30*time.Second, 90*time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(dealt(), before)
		is.Equal(len(w.engines.Orders()), orders)

		only.catalog.SetVersion("m", 3)
		time.Sleep(20 * loadTime)
		is.Equal(dealt(), map[string]int{"m": before["n"], "n": before["m"]})
		// Each engine that served the old version has loaded once.
		is.Equal(len(w.engines.Orders()), orders+before["m"])
		only.release()
	})
}
