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

// checkCompleted checks that each of count samples was completed once, with the tokens determined by its prompt and
// spans that cover them.
func checkCompleted(t *testing.T, h *harness, count, length int) []*peerapi.CompleteSample {
	t.Helper()
	is := is.New(t)
	completed, _ := h.snapshot()
	is.Equal(len(completed), count)
	seen := map[int]bool{}
	for _, sample := range completed {
		is.True(!seen[sample.Index])
		seen[sample.Index] = true
		is.True(slices.Equal(sample.Tokens, engine.ExpectedTokens(promptForLength(length, sample.Index), 0, 100000)))
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
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"), engineConfig("e2"))
		h.add("a", 20, 50, 0)
		time.Sleep(30 * time.Second)
		for _, sample := range checkCompleted(t, h, 20, 50) {
			is.New(t).Equal(sample.Spans, []peerapi.Span{{From: 0, To: 50, Version: 5}})
		}
		is.New(t).True(h.Counters().AttemptsStarted.Load() == 20)
	})
}

func TestSamplesSurviveFaults(t *testing.T) {
	faults := map[string]func(*harness){
		"disordered chunks": func(h *harness) {
			h.engines["e1"].SetDisorder(engine.Disorder{Duplicate: 0.3, Reorder: 0.3, Stray: 0.3})
		},
		"engine crash and return": func(h *harness) {
			time.Sleep(2 * time.Second)
			h.engines["e1"].Crash()
			time.Sleep(3 * time.Second)
			h.engines["e1"].Restart()
		},
		"engine hang": func(h *harness) {
			time.Sleep(2 * time.Second)
			h.engines["e1"].Hang()
			time.Sleep(30 * time.Second)
			h.engines["e1"].Resume()
		},
		"ledger down": func(h *harness) {
			time.Sleep(time.Second)
			h.set(func() { h.failure = peer.ErrLost })
			time.Sleep(time.Minute)
			h.owner("e1").cancelAllAttempts(errHandBack) // a hand-over at this point does not affect finished samples
			h.set(func() { h.failure = nil })
		},
		"engine refuses for a while": func(h *harness) {
			h.recorders["e1"].failGenerate(platform.ErrRejected)
			time.Sleep(time.Minute)
			generations, _ := h.recorders["e1"].counts("")
			is.New(h.t).True(generations < 150) // refusals cause a backoff of up to 5 s
			h.recorders["e1"].failGenerate(nil)
		},
		"slow engine": func(h *harness) { h.engines["e1"].Slow(20) },
		"shard lost and claimed again": func(h *harness) {
			time.Sleep(2 * time.Second)
			close(h.opener.current().done)
		},
	}
	for name, injectFault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
				h.add("a", 10, 100, 0)
				injectFault(h)
				time.Sleep(5 * time.Minute)
				checkCompleted(t, h, 10, 100)
			})
		})
	}
}

func TestBrokenStreamHandsBackPartialTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.add("a", 1, 500, 0)
		time.Sleep(3300 * time.Millisecond)
		h.engines["e1"].Restart()
		time.Sleep(200 * time.Millisecond)
		_, failures := h.snapshot()
		is.Equal(len(failures), 1) // reported at once, not with the next periodic report
		is.True(len(failures[0].Partial) > 50)
		is.Equal(failures[0].Spans, []peerapi.Span{{From: 0, To: len(failures[0].Partial), Version: 5}})
		time.Sleep(time.Minute)
		checkCompleted(t, h, 1, 500)
	})
}

func TestUnneededAttemptIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.add("a", 2, 10000, 0)
		time.Sleep(time.Second)
		h.set(func() { h.cancel = []peerapi.AttemptRef{{Index: 0, Attempt: 1}} })
		time.Sleep(3 * time.Second)
		status, err := h.engines["e1"].Status(t.Context())
		is.NoErr(err)
		is.Equal(status.Running, 1)
		_, failures := h.snapshot()
		is.Equal(len(failures), 0)
		is.Equal(h.Engines()[0].InFlight, 1)
	})
}

func TestSharesAreReclaimedByPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 0.5), training("b", 0.5)), engineConfig("e1"))
		h.add("a", 8, 2000, 0)
		time.Sleep(5 * time.Second)
		status, _ := h.engines["e1"].Status(t.Context())
		is.Equal(status.Running, 4) // idle capacity is lent
		h.add("b", 8, 2000, 0)
		time.Sleep(3 * time.Second)
		is.Equal(h.Counters().Preemptions.Load(), uint64(2))
		_, failures := h.snapshot()
		is.Equal(len(failures), 2)
		is.True(len(failures[0].Partial) > 0)
	})
}

func TestIdleEngineUsesLongPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		before := h.callsOf(peerapi.MethodPullWork)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		polls := h.callsOf(peerapi.MethodPullWork) - before
		is.True(polls <= 2*20+2) // two step shards, one long poll each per 30 s
		is.Equal(h.callsOf(peerapi.MethodReportWork), 0)
	})
}

func TestUnsuitableSampleWaitsWithoutPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.add("a", 3, 50, 6) // needs version 6, the engine serves 5
		time.Sleep(5 * time.Minute)
		is.True(h.callsOf(peerapi.MethodPullWork) < 40)
		h.set(func() { h.latest = 6 })
		time.Sleep(20 * time.Second)
		for _, sample := range checkCompleted(t, h, 3, 50) {
			is.Equal(sample.Spans[0].Version, uint64(6))
		}
	})
}

func TestTokensOfUnacceptedVersionAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workload := training("a", 1)
		workload.MinVersion, workload.MaxVersion = 5, 6
		h := newHarness(t, bundleOf(workload), engineConfig("e1"))
		h.add("a", 4, 500, 0)
		time.Sleep(2 * time.Second)
		h.engines["e1"].FailNextLoad(engine.LoadFailure{Mode: engine.LoadUnasked, Version: 9})
		h.set(func() { h.latest = 6 })
		time.Sleep(5 * time.Minute)
		is.True(h.Counters().ChunksWrongVersion.Load() > 0)
		is.Equal(h.Counters().Quarantines.Load(), uint64(1))
		for _, sample := range checkCompleted(t, h, 4, 500) {
			for _, span := range sample.Spans {
				is.True(span.Version == 5 || span.Version == 6)
			}
		}
		is.Equal(h.Engines()[0].State, StateServing)
		is.Equal(h.Engines()[0].Served["m"], uint64(6))
	})
}

func TestSwapModes(t *testing.T) {
	for mode, versions := range map[bundle.SwapMode]int{bundle.SwapContinue: 2, bundle.SwapMove: 2, bundle.SwapRestart: 1} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				workload := training("a", 1)
				workload.Swap = mode
				h := newHarness(t, bundleOf(workload), engineConfig("e1"))
				h.add("a", 1, 500, 0)
				time.Sleep(2 * time.Second)
				h.set(func() { h.latest = 6 })
				time.Sleep(2 * time.Minute)
				_, failures := h.snapshot()
				is.Equal(len(failures) > 0, mode != bundle.SwapContinue)
				is.Equal(len(checkCompleted(t, h, 1, 500)[0].Spans), versions)
			})
		})
	}
}

func TestSupersededOwnerStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		first := h.opener.current()
		other := platform.LoadOrder{Fence: platform.Fence{Epoch: 2, Sequence: 1}, Model: "m", Version: 5}
		is.NoErr(h.engines["e1"].Load(t.Context(), other))
		h.set(func() { h.latest = 6; h.opener.epoch = 2 })
		time.Sleep(30 * time.Second)
		is.True(broadcast.Closed(first.done))
		is.Equal(h.Engines()[0].Epoch, uint64(3)) // it claimed the shard again, with an epoch above the other owner's
		is.Equal(h.Engines()[0].Served["m"], uint64(6))
	})
}

// TestContradictedStatusQuarantinesEngine covers an engine whose assumed version is newer than the one that its tokens
// come from. Without the quarantine, it would be assigned samples that need the newer version again and again.
func TestContradictedStatusQuarantinesEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.set(func() { h.ignoreVersions = true })
		owner := h.owner("e1")
		owner.state.update(func() { owner.state.served["m"] = 6 })
		h.add("a", 1, 100, 6)
		h.versions.observe("m", 6)
		time.Sleep(time.Minute)
		is.Equal(h.Counters().Quarantines.Load(), uint64(1))
		for _, sample := range checkCompleted(t, h, 1, 100) {
			is.Equal(sample.Spans, []peerapi.Span{{From: 0, To: 100, Version: 6}})
		}
	})
}

// TestAttemptsOfRemovedWorkloadAreDiscarded checks that attempts are kept while only the step ledger does not know
// their workload, and discarded once this node's bundle no longer has it. Otherwise, a drain would wait for them
// forever.
func TestAttemptsOfRemovedWorkloadAreDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.add("a", 4, 100000, 0)
		time.Sleep(5 * time.Second)
		h.set(func() { h.failure = &peer.Error{Code: peer.CodeNotFound} })
		time.Sleep(5 * time.Second)
		is.Equal(h.Engines()[0].InFlight, 4) // the ledger's bundle may only be older than this node's
		h.bundles.roll(bundleOf(training("b", 1)))
		time.Sleep(5 * time.Second)
		is.Equal(h.Engines()[0].InFlight, 0)
		is.NoErr(h.Drain(t.Context()))
	})
}

func TestSmallStepsAreSpreadOverThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"), engineConfig("e2"))
		h.set(func() { h.pullDelay = 10 * time.Millisecond })
		h.add("a", 4, 100, 0)
		time.Sleep(30 * time.Second)
		engines := map[string]int{}
		for _, sample := range checkCompleted(t, h, 4, 100) {
			engines[sample.Engine]++
		}
		is.New(t).Equal(engines, map[string]int{"e1": 2, "e2": 2})
	})
}

// TestUnacceptedCompletionsAreKeptAndBounded checks that finished samples are kept while the step ledger does not
// accept them, and that their number limits further pulls.
func TestUnacceptedCompletionsAreKeptAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 1)), engineConfig("e1"))
		h.set(func() { h.completeFailure = &peer.Error{Code: peer.CodeUncertain} })
		h.add("a", 100, 20, 0)
		time.Sleep(10 * time.Minute)
		started := h.Counters().AttemptsStarted.Load()
		is.True(started >= 16 && started <= 24) // four slots: pulls stop when sixteen answers are unreported
		h.set(func() { h.completeFailure = nil })
		time.Sleep(5 * time.Minute)
		checkCompleted(t, h, 100, 20)
		is.Equal(h.Counters().AttemptsStarted.Load(), uint64(100))
	})
}

func TestSampleOfAnotherWorkloadIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 0.5), training("b", 0.5)), engineConfig("e1"))
		h.set(func() {
			h.waiting[StepShardKey("a", 0)] = []peerapi.Assignment{{Workload: "b", Model: "m", Prompt: promptForLength(5, 1), MaxTokens: 9}}
		})
		time.Sleep(10 * time.Second)
		is.Equal(h.Counters().AttemptsStarted.Load(), uint64(0))
		is.True(h.owner("e1").slots.idle())
	})
}

// TestRestartSwapDiscardsResumeOfOtherVersion covers a workload whose samples must not continue under other weights: an
// assignment with tokens of another version starts from the beginning.
func TestRestartSwapDiscardsResumeOfOtherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workload := training("a", 1)
		workload.Swap = bundle.SwapRestart
		h := newHarness(t, bundleOf(workload), engineConfig("e1"))
		h.set(func() {
			h.waiting[StepShardKey("a", 0)] = []peerapi.Assignment{{
				Workload: "a", Attempt: 1, Model: "m", Prompt: promptForLength(50, 0), MaxTokens: 100000,
				Resume: []uint32{1, 2}, ResumeSpans: []peerapi.Span{{From: 0, To: 2, Version: 4}},
			}}
		})
		time.Sleep(10 * time.Second)
		is.New(t).Equal(checkCompleted(t, h, 1, 50)[0].Spans, []peerapi.Span{{From: 0, To: 50, Version: 5}})
	})
}
