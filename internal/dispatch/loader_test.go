package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// fakeWeights takes a second for each transfer and counts what goes on at once.
type fakeWeights struct {
	mutex     sync.Mutex
	throttled int
	reading   int
	most      int
	versions  map[uint64]int
}

func (f *fakeWeights) Read(_ context.Context, _ string, version uint64, _ string) error {
	f.mutex.Lock()
	if f.throttled > 0 {
		f.throttled--
		f.mutex.Unlock()
		return fmt.Errorf("too many readers: %w", platform.ErrThrottled)
	}
	f.versions[version]++
	f.reading++
	f.most = max(f.most, f.reading)
	f.mutex.Unlock()
	time.Sleep(time.Second)
	f.mutex.Lock()
	f.reading--
	f.mutex.Unlock()
	return nil
}

func servedBy(w *world) map[uint64]int {
	served := map[uint64]int{}
	for _, info := range w.Engines() {
		served[info.Served["m"]]++
	}
	return served
}

func poolOf(count int, weights *fakeWeights) []engine.Config {
	var configs []engine.Config
	for i := range count {
		config := engineConfig(fmt.Sprintf("e%02d", i))
		config.Weights = weights
		configs = append(configs, config)
	}
	return configs
}

func TestWeightsRollInWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &fakeWeights{versions: map[uint64]int{}}
		current := bundleOf(interactive("search", 1))
		current.Pools[0].ServingFloor = 0.75
		w := newWorld(t, current, poolOf(16, weights)...)
		began := time.Now()
		w.versions.learn("m", 6)
		for servedBy(w)[6] < 16 {
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(weights.most, 4) // a quarter at a time, although all are idle: a request may come
		is.True(time.Since(began) < 18*time.Second)
		is.Equal(weights.versions, map[uint64]int{6: 16})
	})
}

func TestIdleTrainingEnginesLoadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &fakeWeights{versions: map[uint64]int{}}
		w := newWorld(t, bundleOf(training("a", 1)), poolOf(8, weights)...)
		w.versions.learn("m", 6)
		time.Sleep(4 * time.Second)
		is.Equal(servedBy(w), map[uint64]int{6: 8})
	})
}

func TestSupersededVersionsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &fakeWeights{versions: map[uint64]int{}}
		w := newWorld(t, bundleOf(interactive("search", 1)), poolOf(16, weights)...)
		for version := uint64(6); version <= 10; version++ {
			w.versions.learn("m", version)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		is.Equal(servedBy(w), map[uint64]int{10: 16})
		is.True(weights.versions[7]+weights.versions[8]+weights.versions[9] <= 8)
		is.Equal(weights.versions[10], 16)
	})
}

func TestLoadsThatFailAreOrderedAgain(t *testing.T) {
	failures := map[string]func(*world, *fakeWeights){
		"throttled": func(_ *world, weights *fakeWeights) { weights.throttled = 5 },
		"keeps old": func(w *world, _ *fakeWeights) {
			w.engines["e00"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadKeepsOld})
		},
		"half": func(w *world, _ *fakeWeights) {
			w.engines["e00"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadHalf})
		},
		"unasked": func(w *world, _ *fakeWeights) {
			w.engines["e00"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadUnasked, Version: 3})
		},
		"crash": func(w *world, _ *fakeWeights) {
			w.engines["e00"].Crash()
			time.AfterFunc(30*time.Second, w.engines["e00"].Restart)
		},
		"hang": func(w *world, _ *fakeWeights) {
			w.engines["e00"].Hang()
			time.AfterFunc(90*time.Second, w.engines["e00"].Resume)
		},
		"old return": func(w *world, _ *fakeWeights) { time.AfterFunc(30*time.Second, w.engines["e00"].Restart) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				weights := &fakeWeights{versions: map[uint64]int{}}
				w := newWorld(t, bundleOf(training("a", 1)), poolOf(1, weights)...)
				fail(w, weights)
				w.versions.learn("m", 6)
				time.Sleep(3 * time.Minute)
				status, err := w.engines["e00"].Status(t.Context())
				is.NoErr(err)
				is.Equal(status.Served["m"], uint64(6)) // by the engine's own word, not the dispatcher's
				is.Equal(servedBy(w), map[uint64]int{6: 1})
				is.Equal(w.Engines()[0].State, StateServing)
				is.True(w.Counters().WeightOrders.Load() < 30) // retries back off
				is.Equal(w.Engines()[0].Epoch, uint64(1))      // a failure is no reason to claim anew
				restarted := name == "crash" || name == "old return"
				is.Equal(w.Counters().EngineRestarts.Load() == 1, restarted)
			})
		})
	}
}

func TestVersionsStayWithinTheBundle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workload := training("a", 1)
		workload.MaxVersion = 7
		w := newWorld(t, bundleOf(workload), poolOf(2, &fakeWeights{versions: map[uint64]int{}})...)
		w.versions.learn("m", 9)
		time.Sleep(time.Minute)
		is.Equal(servedBy(w), map[uint64]int{7: 2})
	})
}
