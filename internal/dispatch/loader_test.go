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

// fakeWeights is a weight store whose reads take one second. It counts reads by version and tracks the maximum number
// of concurrent ones.
type fakeWeights struct {
	mutex      sync.Mutex
	throttled  int
	reading    int
	maxReading int
	versions   map[uint64]int
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
	f.maxReading = max(f.maxReading, f.reading)
	f.mutex.Unlock()
	time.Sleep(time.Second)
	f.mutex.Lock()
	f.reading--
	f.mutex.Unlock()
	return nil
}

func countServed(h *harness) map[uint64]int {
	served := map[uint64]int{}
	for _, info := range h.Engines() {
		served[info.Served["m"]]++
	}
	return served
}

func engineConfigs(count int, weights *fakeWeights) []engine.Config {
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
		h := newHarness(t, current, engineConfigs(16, weights)...)
		began := time.Now()
		h.versions.observe("m", 6)
		for countServed(h)[6] < 16 {
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(weights.maxReading, 4) // a quarter at a time, although all engines are idle, because a request may arrive
		is.True(time.Since(began) < 18*time.Second)
		is.Equal(weights.versions, map[uint64]int{6: 16})
	})
}

func TestIdleTrainingEnginesLoadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &fakeWeights{versions: map[uint64]int{}}
		h := newHarness(t, bundleOf(training("a", 1)), engineConfigs(8, weights)...)
		h.versions.observe("m", 6)
		time.Sleep(4 * time.Second)
		is.Equal(countServed(h), map[uint64]int{6: 8})
	})
}

func TestSupersededVersionsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		weights := &fakeWeights{versions: map[uint64]int{}}
		h := newHarness(t, bundleOf(interactive("search", 1)), engineConfigs(16, weights)...)
		for version := uint64(6); version <= 10; version++ {
			h.versions.observe("m", version)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		is.Equal(countServed(h), map[uint64]int{10: 16})
		is.True(weights.versions[7]+weights.versions[8]+weights.versions[9] <= 8)
		is.Equal(weights.versions[10], 16)
	})
}

func TestFailedLoadsAreRetried(t *testing.T) {
	failures := map[string]func(*harness, *fakeWeights){
		"throttled": func(_ *harness, weights *fakeWeights) { weights.throttled = 5 },
		"keeps old": func(h *harness, _ *fakeWeights) {
			h.engines["e00"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadKeepsOld})
		},
		"half": func(h *harness, _ *fakeWeights) {
			h.engines["e00"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadHalf})
		},
		"unasked": func(h *harness, _ *fakeWeights) {
			h.engines["e00"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadUnasked, Version: 3})
		},
		"crash": func(h *harness, _ *fakeWeights) {
			h.engines["e00"].Crash()
			time.AfterFunc(30*time.Second, h.engines["e00"].Restart)
		},
		"hang": func(h *harness, _ *fakeWeights) {
			h.engines["e00"].Hang()
			time.AfterFunc(90*time.Second, h.engines["e00"].Resume)
		},
		"old return": func(h *harness, _ *fakeWeights) { time.AfterFunc(30*time.Second, h.engines["e00"].Restart) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				weights := &fakeWeights{versions: map[uint64]int{}}
				h := newHarness(t, bundleOf(training("a", 1)), engineConfigs(1, weights)...)
				fail(h, weights)
				h.versions.observe("m", 6)
				time.Sleep(3 * time.Minute)
				status, err := h.engines["e00"].Status(t.Context())
				is.NoErr(err)
				is.Equal(status.Served["m"], uint64(6)) // according to the engine itself, not to the dispatcher's view
				is.Equal(countServed(h), map[uint64]int{6: 1})
				is.Equal(h.Engines()[0].State, StateServing)
				is.True(h.Counters().WeightOrders.Load() < 30) // retries back off
				is.Equal(h.Engines()[0].Epoch, uint64(1))      // a failed load does not cause a new claim
				restarted := name == "crash" || name == "old return"
				is.Equal(h.Counters().EngineRestarts.Load() == 1, restarted)
			})
		})
	}
}

func TestLoadedVersionStaysWithinBundleBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workload := training("a", 1)
		workload.MaxVersion = 7
		h := newHarness(t, bundleOf(workload), engineConfigs(2, &fakeWeights{versions: map[uint64]int{}})...)
		h.versions.observe("m", 9)
		time.Sleep(time.Minute)
		is.Equal(countServed(h), map[uint64]int{7: 2})
	})
}
