package weightroll

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const evacuatedZone = "evacuated"

// newDepartureEnv returns a node that has assigned six engines to each of two models and loaded their versions.
func newDepartureEnv(t *testing.T) (env *testEnv, owner *node, byModel map[string][]string) {
	env = newTestEnv(t, 12)
	var steps stepLoads
	steps.set(60*time.Second, 60*time.Second)
	owner = env.twoModelNode("owner", &steps)
	owner.becomeOwner(1)
	owner.catalog.SetVersion("m", 2)
	owner.catalog.SetVersion("n", 2)
	time.Sleep(20 * loadTime)
	byModel = make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(owner.assignment())) {
		byModel[owner.assignment()[id]] = append(byModel[owner.assignment()[id]], id)
	}
	return env, owner, byModel
}

// evacuate moves engines to a zone and evacuates it.
func (n *node) evacuate(ids []string) {
	directory := n.holder.config.Directory
	for _, id := range ids {
		engine, _ := directory.Engine(id)
		engine.Zone = evacuatedZone
		directory.Upsert(engine)
	}
	directory.SetEvacuated(evacuatedZone, true)
}

// TestModelThatLosesItsEnginesGetsOthersAtOnce evacuates all engines of a model but one. The engines of the other model serve
// its newest version, which they keep otherwise; the first model's steps would wait until the other trainer names a version.
func TestModelThatLosesItsEnginesGetsOthersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, owner, byModel := newDepartureEnv(t)
		orders := len(env.engines.Orders())
		owner.evacuate(byModel["m"][1:])
		time.Sleep(time.Second)
		counts := owner.assignment().counts()
		is.Equal(counts["m"]+counts["n"], 7)
		is.True(counts["m"] >= 3)
		owner.catalog.SetVersion("m", 3)
		time.Sleep(10 * loadTime)
		for _, order := range env.engines.Orders()[orders:] {
			is.True(!slices.Contains(byModel["m"][1:], order.Engine))
		}
		owner.release()
	})
}

// TestReturningEnginesKeepTheirModels evacuates engines of both models and takes their zone back. Engines that return to the
// other model have to load weights, although they serve their own model's newest version.
func TestReturningEnginesKeepTheirModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, owner, byModel := newDepartureEnv(t)
		before := maps.Clone(owner.assignment())
		orders := len(env.engines.Orders())
		owner.evacuate(slices.Concat(byModel["m"][:2], byModel["n"][4:]))
		time.Sleep(time.Second)
		is.Equal(len(owner.assignment()), 8)
		owner.holder.config.Directory.SetEvacuated(evacuatedZone, false)
		time.Sleep(time.Second)
		is.Equal(owner.assignment(), before)
		is.Equal(len(env.engines.Orders()), orders)
		owner.release()
	})
}

// TestNoOrderIsSentToAnEngineThatLeaves announces that engines leave while their orders are being written to the store. The
// load would take a slot of the weight store and end with the engine.
func TestNoOrderIsSentToAnEngineThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env, owner, byModel := newDepartureEnv(t)
		orders := len(env.engines.Orders())
		changed := owner.catalog.Changed()
		owner.catalog.SetVersion("m", 3)
		<-changed
		time.Sleep(3 * time.Millisecond)
		owner.evacuate(slices.Concat(byModel["m"], byModel["n"]))
		time.Sleep(5 * time.Second)
		is.Equal(len(env.engines.Orders()), orders)
		owner.release()
	})
}
