package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

const (
	soakSeeds   = 15
	soakSamples = 30
	soakLength  = 300
)

// TestRandomFaultsPreserveSamples injects random faults, ends them, and checks that every sample was completed once
// with the right tokens, that every request has one correct outcome, and that no slot is lost.
func TestRandomFaultsPreserveSamples(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soak(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func soak(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	moving, restarting := training("a", 0.4), training("b", 0.3)
	moving.Swap, restarting.Swap = bundle.SwapMove, bundle.SwapRestart
	moving.MinVersion = 5
	h := newHarness(t, bundleOf(moving, restarting, interactive("search", 0.3)), engineConfigs(3, &fakeWeights{versions: map[uint64]int{}})...)
	h.add("a", soakSamples, soakLength, 0)
	h.add("b", soakSamples, soakLength, 0)
	var streams []*fakeStream
	for i := range 25 {
		h.injectFault(random, h.engines[fmt.Sprintf("e%02d", random.IntN(3))], uint64(6+i/5))
		request := executeRequest(fmt.Sprint("r", i), 1+random.IntN(300))
		request.Engine = fmt.Sprintf("e%02d", random.IntN(3))
		streams = append(streams, h.request(t.Context(), request))
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	h.set(func() { h.failure, h.completeFailure, h.pullDelay = nil, nil, 0 })
	for _, running := range h.engines {
		running.Resume()
		running.Restart()
		running.Slow(1)
	}
	for _, stream := range streams {
		checkOutcome(t, stream)
	}
	time.Sleep(30 * time.Minute)
	completed, _ := h.snapshot()
	seen := map[runningKey]bool{}
	for _, sample := range completed {
		key := runningKey{workload: sample.Workload, index: sample.Index}
		is.True(!seen[key])
		seen[key] = true
		is.True(slices.Equal(sample.Tokens, engine.ExpectedTokens(promptForLength(soakLength, sample.Index), 0, 100000)))
		is.True(sample.Workload != "b" || len(sample.Spans) == 1)
		is.True(sample.Workload != "a" || sample.Spans[0].Version >= 5)
	}
	is.Equal(len(seen), 2*soakSamples)
	for _, owner := range h.allOwners() {
		is.True(owner.slots.idle())
		is.True(owner.drained())
	}
	is.NoErr(h.Drain(t.Context()))
}

// checkOutcome checks that a request ended once, and that it has no events if refused and no tokens if not run.
func checkOutcome(t *testing.T, stream *fakeStream) {
	is := is.New(t)
	tokens, last, refusal := stream.wait(nil)
	is.True((last.Outcome == peerapi.OutcomeNone) == (refusal != nil))
	is.True(last.Outcome != peerapi.OutcomeNotRun || len(tokens) == 0)
	is.True(refusal == nil || len(stream.events) == 0)
	ends := 0
	for _, event := range stream.events {
		if event.Outcome != peerapi.OutcomeNone {
			ends++
		}
	}
	is.True(ends <= 1)
}

// injectFault injects or ends one random fault.
func (h *harness) injectFault(random *rand.Rand, victim *engine.Engine, version uint64) {
	faults := []func(){
		victim.Crash,
		victim.Restart,
		victim.Hang,
		victim.Resume,
		victim.Leave,
		func() { victim.Slow(1 + 9*random.Float64()) },
		func() { victim.SetDisorder(engine.Disorder{Duplicate: 0.3, Reorder: 0.3, Stray: 0.3}) },
		func() {
			mode := engine.LoadMode(1 + random.IntN(3))
			victim.FailNextLoad(engine.LoadFailure{Mode: mode, Version: uint64(random.IntN(12))})
		},
		func() { h.set(func() { h.latest = version }) },
		func() { h.set(func() { h.failure = peer.ErrLost }) },
		func() { h.set(func() { h.failure = nil }) },
		func() { h.set(func() { h.completeFailure = &peer.Error{Code: peer.CodeUncertain} }) },
		func() { h.set(func() { h.completeFailure = nil }) },
		func() { h.set(func() { h.pullDelay = time.Duration(random.IntN(3000)) * time.Millisecond }) },
		func() { h.opener.supersedeRandom(random) },
		func() {
			refused := h.recorders[fmt.Sprintf("e%02d", random.IntN(3))]
			refused.failGenerate(platform.ErrRejected)
			time.AfterFunc(5*time.Second, func() { refused.failGenerate(nil) })
		},
	}
	faults[random.IntN(len(faults))]()
}
