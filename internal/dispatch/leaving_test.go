package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// arrivalRecorder records when work arrives at an engine, including work that the engine refuses.
type arrivalRecorder struct {
	mutex    sync.Mutex
	received []time.Time
}

func (s *arrivalRecorder) Received(_, _ string, _ uint32, at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received = append(s.received, at)
}

func (s *arrivalRecorder) Started(string, string, uint32, uint64, time.Time) {}

func (s *arrivalRecorder) Produced(string, string, uint32, int, int, uint64) {}

func (s *arrivalRecorder) times() []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.received)
}

func TestLeavingEngineFinishesOrHandsBack(t *testing.T) {
	triggers := map[string]func(*harness){
		"engine": func(h *harness) { h.engines["e1"].Leave() },
		"list":   func(h *harness) { h.list.leave(0) },
		"fact":   func(h *harness) { h.machines.MarkLeaving("e1") },
	}
	for name, trigger := range triggers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				arrivals := &arrivalRecorder{}
				leavingConfig := engineConfig("e1")
				leavingConfig.Observer = arrivals
				h := newHarness(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), leavingConfig, engineConfig("e2"))
				h.add("a", 40, 2000, 0)
				time.Sleep(time.Second)
				var queued *fakeStream
				for i := range 8 {
					queued = h.request(t.Context(), executeRequest(fmt.Sprint("r", i), 900))
					time.Sleep(50 * time.Millisecond)
				}
				trigger(h)
				triggeredAt := time.Now()
				time.Sleep(4 * time.Second)
				_, _, refusal := queued.wait(nil)
				is.True(refusal != nil) // a queued request is refused, so that its caller can choose another engine
				is.Equal(h.Engines()[0].State, StateLeaving)
				is.True(h.machines.Leaving("e1")) // the directory publishes it to the other nodes
				before, _ := h.engines["e1"].Status(t.Context())
				is.Equal(before.Running, 4) // running streams may finish
				time.Sleep(12 * time.Second)
				after, _ := h.engines["e1"].Status(t.Context())
				is.True(after.Running < 4) // training work beyond the grace period is handed back; requests finish
				time.Sleep(time.Hour)
				checkCompleted(t, h, 40, 2000)
				for _, arrival := range arrivals.times() {
					is.True(arrival.Before(triggeredAt.Add(3 * time.Second)))
				}
			})
		})
	}
}

// TestSamplesPulledWhileEngineLeavesAreHandedBack covers an engine that leaves or is handed over while a pull is in
// flight: the samples in the response must be handed back without reaching the engine.
func TestSamplesPulledWhileEngineLeavesAreHandedBack(t *testing.T) {
	triggers := map[string]func(*harness){
		"leaving": func(h *harness) { h.machines.MarkLeaving("e1") },
		"handover": func(h *harness) {
			h.placer.moveAway()
			h.Handover(h.t.Context(), EngineKey("e1"))
		},
	}
	for name, trigger := range triggers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
				h.set(func() { h.pullDelay = 2 * time.Second })
				h.add("a", 4, 100, 0)
				time.Sleep(time.Second)
				trigger(h)
				time.Sleep(3 * time.Second)
				_, failures := h.snapshot()
				is.Equal(len(failures), 4) // handed back at once, not after the ledger misses their reports
				generations, _ := h.recorders["e1"].counts("")
				is.Equal(generations, 0)
			})
		})
	}
}

func TestRestartedEngineServesAfterLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.engines["e1"].Leave()
		time.Sleep(10 * time.Second)
		h.engines["e1"].Restart()
		time.Sleep(5 * time.Second)
		is.New(t).True(!h.machines.Leaving("e1"))
		h.add("a", 4, 50, 0)
		time.Sleep(30 * time.Second)
		checkCompleted(t, h, 4, 50)
	})
}
