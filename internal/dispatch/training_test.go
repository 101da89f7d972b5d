package dispatch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// checkWhole checks that each of count samples was completed once, with the tokens that belong to its prompt and spans
// that cover them.
func checkWhole(t *testing.T, w *world, count, length int) []*peerapi.CompleteSample {
	t.Helper()
	is := is.New(t)
	completed, _ := w.snapshot()
	is.Equal(len(completed), count)
	seen := map[int]bool{}
	for _, sample := range completed {
		is.True(!seen[sample.Index])
		seen[sample.Index] = true
		is.True(slices.Equal(sample.Tokens, engine.ExpectedTokens(promptOf(length, sample.Index), 0, 100000)))
		at := 0
		for _, span := range sample.Spans {
			is.Equal(span.From, at)
			at = span.To
		}
		is.Equal(at, len(sample.Tokens))
	}
	return completed
}

func TestSamplesAreGeneratedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"), engineConfig("e2"))
		w.add("a", 20, 50, 0)
		time.Sleep(30 * time.Second)
		for _, sample := range checkWhole(t, w, 20, 50) {
			is.New(t).Equal(sample.Spans, []peerapi.Span{{From: 0, To: 50, Version: 5}})
		}
		is.New(t).True(w.Counters().AttemptsStarted.Load() == 20)
	})
}

func TestSamplesSurviveTrouble(t *testing.T) {
	troubles := map[string]func(*world){
		"disordered chunks": func(w *world) {
			w.engines["e1"].SetDisorder(engine.Disorder{Duplicate: 0.3, Reorder: 0.3, Stray: 0.3})
		},
		"engine crash and return": func(w *world) {
			time.Sleep(2 * time.Second)
			w.engines["e1"].Crash()
			time.Sleep(3 * time.Second)
			w.engines["e1"].Restart()
		},
		"engine hang": func(w *world) {
			time.Sleep(2 * time.Second)
			w.engines["e1"].Hang()
			time.Sleep(30 * time.Second)
			w.engines["e1"].Resume()
		},
		"ledger down": func(w *world) {
			time.Sleep(time.Second)
			w.set(func() { w.failure = peer.ErrLost })
			time.Sleep(time.Minute)
			w.owner("e1").cancelAll(errHandBack) // a hand-over that comes now does not touch finished samples
			w.set(func() { w.failure = nil })
		},
		"engine refuses for a while": func(w *world) {
			w.probes["e1"].failGenerate(platform.ErrRejected)
			time.Sleep(time.Minute)
			generations, _ := w.probes["e1"].counts("")
			is.New(w.t).True(generations < 150) // refusals make the engine be left alone, up to 5 s
			w.probes["e1"].failGenerate(nil)
		},
		"slow engine": func(w *world) { w.engines["e1"].Slow(20) },
		"shard lost and claimed again": func(w *world) {
			time.Sleep(2 * time.Second)
			close(w.opener.current().done)
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
				w.add("a", 10, 100, 0)
				trouble(w)
				time.Sleep(5 * time.Minute)
				checkWhole(t, w, 10, 100)
			})
		})
	}
}

func TestBrokenStreamHandsThePartBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		w.add("a", 1, 500, 0)
		time.Sleep(3300 * time.Millisecond)
		w.engines["e1"].Restart()
		time.Sleep(200 * time.Millisecond)
		_, failures := w.snapshot()
		is.Equal(len(failures), 1) // told at once, not with the next report
		is.True(len(failures[0].Partial) > 50)
		is.Equal(failures[0].Spans, []peerapi.Span{{From: 0, To: len(failures[0].Partial), Version: 5}})
		time.Sleep(time.Minute)
		checkWhole(t, w, 1, 500)
	})
}

func TestUselessAttemptIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		w.add("a", 2, 10000, 0)
		time.Sleep(time.Second)
		w.set(func() { w.cancel = []peerapi.AttemptRef{{Index: 0, Attempt: 1}} })
		time.Sleep(3 * time.Second)
		status, err := w.engines["e1"].Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Running, 1)
		_, failures := w.snapshot()
		is.Equal(len(failures), 0)
		is.Equal(w.Engines()[0].InFlight, 1)
	})
}

func TestSharesAreReclaimedByResumableCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 0.5), training("b", 0.5)), engineConfig("e1"))
		w.add("a", 8, 2000, 0)
		time.Sleep(5 * time.Second)
		status, _ := w.engines["e1"].Status(t.Context())
		is.Equal(status.Running, 4) // idle capacity is lent
		w.add("b", 8, 2000, 0)
		time.Sleep(3 * time.Second)
		is.Equal(w.Counters().Preemptions.Load(), uint64(2))
		_, failures := w.snapshot()
		is.Equal(len(failures), 2)
		is.True(len(failures[0].Partial) > 0)
	})
}

func TestIdleEngineCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		before := w.callsOf(peerapi.MethodPullWork)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		polls := w.callsOf(peerapi.MethodPullWork) - before
		is.True(polls <= 2*20+2) // two step shards, one question each 30 s
		is.Equal(w.callsOf(peerapi.MethodReportWork), 0)
	})
}

func TestSampleThatSuitsNoneYetWaitsWithoutPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		w.add("a", 3, 50, 6) // needs version 6, the engine serves 5
		time.Sleep(5 * time.Minute)
		is.True(w.callsOf(peerapi.MethodPullWork) < 40)
		w.set(func() { w.latest = 6 })
		time.Sleep(20 * time.Second)
		for _, sample := range checkWhole(t, w, 3, 50) {
			is.Equal(sample.Spans[0].Version, uint64(6))
		}
	})
}

func TestTokensOfAnUnacceptedVersionAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workload := training("a", 1)
		workload.MinVersion, workload.MaxVersion = 5, 6
		w := newWorld(t, bundleOf(workload), engineConfig("e1"))
		w.add("a", 4, 500, 0)
		time.Sleep(2 * time.Second)
		w.engines["e1"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadUnasked, Version: 9})
		w.set(func() { w.latest = 6 })
		time.Sleep(5 * time.Minute)
		is.True(w.Counters().ChunksWrongVersion.Load() > 0)
		is.Equal(w.Counters().Quarantines.Load(), uint64(1))
		for _, sample := range checkWhole(t, w, 4, 500) {
			for _, span := range sample.Spans {
				is.True(span.Version == 5 || span.Version == 6)
			}
		}
		is.Equal(w.Engines()[0].State, StateServing)
		is.Equal(w.Engines()[0].Served["m"], uint64(6))
	})
}

func TestSwapModes(t *testing.T) {
	for mode, versions := range map[bundle.SwapMode]int{bundle.SwapContinue: 2, bundle.SwapMove: 2, bundle.SwapRestart: 1} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				workload := training("a", 1)
				workload.Swap = mode
				w := newWorld(t, bundleOf(workload), engineConfig("e1"))
				w.add("a", 1, 500, 0)
				time.Sleep(2 * time.Second)
				w.set(func() { w.latest = 6 })
				time.Sleep(2 * time.Minute)
				_, failures := w.snapshot()
				is.Equal(len(failures) > 0, mode != bundle.SwapContinue)
				is.Equal(len(checkWhole(t, w, 1, 500)[0].Spans), versions)
			})
		})
	}
}

func TestSupersededOwnerStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		first := w.opener.current()
		other := platform.LoadOrder{Fence: platform.Fence{Epoch: 2, Sequence: 1}, Model: "m", Version: 5}
		is.NoErr(w.engines["e1"].Load(t.Context(), other))
		w.set(func() { w.latest = 6; w.opener.epoch = 2 })
		time.Sleep(30 * time.Second)
		is.True(broadcast.Closed(first.done))
		is.Equal(w.Engines()[0].Epoch, uint64(3)) // it claimed anew and orders above the other
		is.Equal(w.Engines()[0].Served["m"], uint64(6))
	})
}

func TestStatusThatTokensContradictIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		w.set(func() { w.careless = true })
		owner := w.owner("e1")
		owner.state.update(func() { owner.state.served["m"] = 6 })
		w.add("a", 1, 100, 6)
		w.versions.learn("m", 6)
		time.Sleep(time.Minute)
		is.Equal(w.Counters().Quarantines.Load(), uint64(1))
		for _, sample := range checkWhole(t, w, 1, 100) {
			is.Equal(sample.Spans, []peerapi.Span{{From: 0, To: 100, Version: 6}})
		}
	})
}

func TestWorkloadThatIsGoneOwesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		w.add("a", 4, 100000, 0)
		time.Sleep(5 * time.Second)
		w.set(func() { w.failure = &peer.Error{Code: peer.CodeNotFound} })
		time.Sleep(5 * time.Second)
		is.Equal(w.Engines()[0].InFlight, 4) // the ledger may only be behind with the bundle
		w.bundles.roll(bundleOf(training("b", 1)))
		time.Sleep(5 * time.Second)
		is.Equal(w.Engines()[0].InFlight, 0)
		is.NoErr(w.Drain(t.Context()))
	})
}

func TestSmallStepsAreSpreadOverThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"), engineConfig("e2"))
		w.set(func() { w.pullDelay = 10 * time.Millisecond })
		w.add("a", 4, 100, 0)
		time.Sleep(30 * time.Second)
		engines := map[string]int{}
		for _, sample := range checkWhole(t, w, 4, 100) {
			engines[sample.Engine]++
		}
		is.New(t).Equal(engines, map[string]int{"e1": 2, "e2": 2})
	})
}

func TestFinishedSamplesThatNobodyTakesAreKeptAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 1)), engineConfig("e1"))
		w.set(func() { w.completeFailure = &peer.Error{Code: peer.CodeUncertain} })
		w.add("a", 100, 20, 0)
		time.Sleep(10 * time.Minute)
		started := w.Counters().AttemptsStarted.Load()
		is.True(started >= 16 && started <= 24) // four slots: work stops when sixteen answers wait
		w.set(func() { w.completeFailure = nil })
		time.Sleep(5 * time.Minute)
		checkWhole(t, w, 100, 20)
		is.Equal(w.Counters().AttemptsStarted.Load(), uint64(100))
	})
}

func TestSampleOfAnotherWorkloadIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 0.5), training("b", 0.5)), engineConfig("e1"))
		w.set(func() {
			w.waiting[StepShardKey("a", 0)] = []peerapi.Assignment{{Workload: "b", Model: "m", Prompt: promptOf(5, 1), MaxTokens: 9}}
		})
		time.Sleep(10 * time.Second)
		is.Equal(w.Counters().AttemptsStarted.Load(), uint64(0))
		is.True(w.owner("e1").slots.idle())
	})
}

func TestRestartedSampleDropsThePartOfOtherWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workload := training("a", 1)
		workload.Swap = bundle.SwapRestart
		w := newWorld(t, bundleOf(workload), engineConfig("e1"))
		w.set(func() {
			w.waiting[StepShardKey("a", 0)] = []peerapi.Assignment{{
				Workload: "a", Attempt: 1, Model: "m", Prompt: promptOf(50, 0), MaxTokens: 100000,
				Resume: []uint32{1, 2}, ResumeSpans: []peerapi.Span{{From: 0, To: 2, Version: 4}},
			}}
		})
		time.Sleep(10 * time.Second)
		is.New(t).Equal(checkWhole(t, w, 1, 50)[0].Spans, []peerapi.Span{{From: 0, To: 50, Version: 5}})
	})
}
