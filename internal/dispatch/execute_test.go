package dispatch

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

func executeRequest(id string, length int) peerapi.Execute {
	return peerapi.Execute{
		Workload: "search", RequestID: id, Attempt: 1, Engine: "e1", Prompt: promptForLength(length, 1), MaxTokens: 10000,
	}
}

func TestRequestOutcomes(t *testing.T) {
	cases := []struct {
		name string
		// change prepares the request and the harness; during runs while the request is in flight.
		change  func(*harness, *peerapi.Execute)
		during  func(*harness, context.CancelFunc)
		outcome peerapi.Outcome
		refusal peer.Code
		whole   bool
	}{
		{name: "whole answer", outcome: peerapi.OutcomeCompleted, whole: true},
		{name: "disordered chunks", change: func(h *harness, _ *peerapi.Execute) {
			h.engines["e1"].SetDisorder(engine.Disorder{Duplicate: 0.5, Reorder: 0.5, Stray: 0.5})
		}, outcome: peerapi.OutcomeCompleted, whole: true},
		{name: "resumed", change: func(_ *harness, r *peerapi.Execute) {
			r.Resume = engine.ExpectedTokens(r.Prompt, 0, 10000)[:30]
		}, outcome: peerapi.OutcomeCompleted, whole: true},
		{name: "engine crashes", during: func(h *harness, _ context.CancelFunc) { h.engines["e1"].Crash() },
			outcome: peerapi.OutcomeUnknown},
		{name: "engine hangs", during: func(h *harness, _ context.CancelFunc) { h.engines["e1"].Hang() },
			outcome: peerapi.OutcomeUnknown},
		{name: "deadline passes", change: func(_ *harness, r *peerapi.Execute) { r.TimeoutMillis = 1500 },
			outcome: peerapi.OutcomeCancelled},
		{name: "caller is gone", during: func(_ *harness, cancel context.CancelFunc) { cancel() },
			outcome: peerapi.OutcomeCancelled},
		{name: "engine refuses", change: func(h *harness, _ *peerapi.Execute) {
			h.engines["e1"].Leave()
			time.Sleep(engine.DefaultLeavingGrace)
			h.owner("e1").state.update(func() { h.owner("e1").state.leaving = false })
			h.machines.MarkLive("e1") // as if the node had not learned that the engine is leaving
		}, outcome: peerapi.OutcomeNotRun},
		{name: "call that never left", change: func(h *harness, _ *peerapi.Execute) {
			h.recorders["e1"].failGenerate(platform.ErrNotSent)
		}, outcome: peerapi.OutcomeNotRun},
		{name: "call that may have left", change: func(h *harness, _ *peerapi.Execute) {
			h.recorders["e1"].failGenerate(io.ErrUnexpectedEOF)
		}, outcome: peerapi.OutcomeUnknown},
		{name: "leaving", change: func(h *harness, _ *peerapi.Execute) { h.machines.MarkLeaving("e1") }, refusal: peer.CodeNotReady},
		{name: "other engine", change: func(_ *harness, r *peerapi.Execute) { r.Engine = "e9" }, refusal: peer.CodeNotOwner},
		{name: "training workload", change: func(_ *harness, r *peerapi.Execute) { r.Workload = "a" }, refusal: peer.CodeInvalid},
		{name: "too many tokens", change: func(_ *harness, r *peerapi.Execute) { r.MaxTokens = 1 << 30 }, refusal: peer.CodeInvalid},
		{name: "deadline is over", change: func(_ *harness, r *peerapi.Execute) { r.TimeoutMillis = -1 }, refusal: peer.CodeInvalid},
		{name: "version not accepted", change: func(h *harness, _ *peerapi.Execute) {
			next := h.bundles.Current().Bundle
			next.Workloads[1].MinVersion = 6
			h.bundles.roll(next)
		}, refusal: peer.CodeNotReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), engineConfig("e1"))
				request := executeRequest("r1", 100)
				if c.change != nil {
					c.change(h, &request)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stream := h.request(ctx, request)
				time.Sleep(time.Second)
				if c.during != nil {
					c.during(h, cancel)
				}
				tokens, last, refusal := stream.wait(request.Resume)
				is.Equal(last.Outcome, c.outcome)
				is.Equal(refusal != nil, c.outcome == peerapi.OutcomeNone)
				if refusal != nil {
					is.Equal(refusal.Code, c.refusal)
					is.Equal(len(stream.events), 0)
				}
				expected := engine.ExpectedTokens(request.Prompt, 0, 10000)
				is.Equal(slices.Equal(tokens, expected), c.whole)
				is.True(slices.Equal(tokens, expected[:len(tokens)]))
				time.Sleep(5 * time.Second)
				_, cancels := h.recorders["e1"].counts("search/r1")
				is.Equal(cancels > 0, c.outcome == peerapi.OutcomeUnknown || c.outcome == peerapi.OutcomeCancelled)
				if c.outcome != peerapi.OutcomeUnknown {
					status, err := h.engines["e1"].Status(t.Context())
					is.NoErr(err)
					is.Equal(status.Running, 0) // no stream continues without a caller
				}
				is.Equal(h.owner("e1").requestCount(), 0)
				is.True(h.owner("e1").slots.idle())
			})
		})
	}
}

func TestRequestsPreemptTraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), engineConfig("e1"))
		h.add("a", 8, 3000, 0)
		time.Sleep(5 * time.Second)
		began := time.Now()
		stream := h.request(t.Context(), executeRequest("r1", 10))
		_, last, _ := stream.wait(nil)
		is.Equal(last.Outcome, peerapi.OutcomeCompleted)
		is.True(time.Since(began) < time.Second)
		is.Equal(h.Counters().Preemptions.Load(), uint64(1))
		time.Sleep(time.Hour)
		checkCompleted(t, h, 8, 3000) // the preempted sample is resumed and completed once
	})
}

func TestOverloadIsRefusedBeforeExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		search := interactive("search", 0.5)
		search.Limits.MaxQueue = 3
		h := newHarness(t, bundleOf(search), engineConfig("e1"))
		var streams []*fakeStream
		for i := range 20 {
			streams = append(streams, h.request(t.Context(), executeRequest(string(rune('a'+i)), 100)))
		}
		completed, shed := 0, 0
		for _, stream := range streams {
			_, last, refusal := stream.wait(nil)
			switch {
			case refusal != nil:
				is.Equal(refusal.Code, peer.CodeOverloaded)
				is.True(refusal.RetryAfter > 0)
				shed++
			case last.Outcome == peerapi.OutcomeCompleted:
				completed++
			}
		}
		is.Equal(completed, 7) // four slots and three queue entries
		is.Equal(shed, 13)
	})
}

func TestConcurrentDuplicateAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		first := h.request(t.Context(), executeRequest("r1", 100))
		synctest.Wait()
		_, _, refusal := h.request(t.Context(), executeRequest("r1", 100)).wait(nil)
		is.Equal(refusal.Code, peer.CodeConflict)
		_, last, _ := first.wait(nil)
		is.Equal(last.Outcome, peerapi.OutcomeCompleted)
	})
}

// TestHandoverDoesNotInterruptRequests checks for each way in which an engine moves to another dispatcher that requests
// in flight finish on this node, that later ones are refused, and that training work is handed back.
func TestHandoverDoesNotInterruptRequests(t *testing.T) {
	moves := map[string]func(*harness, context.Context) error{
		"drain": func(h *harness, ctx context.Context) error {
			go func() { _ = h.Drain(ctx) }()
			return nil
		},
		"placement": func(h *harness, _ context.Context) error {
			h.placer.moveAway()
			return nil
		},
		"handover": func(h *harness, ctx context.Context) error {
			h.placer.moveAway()
			go h.Handover(ctx, EngineKey("e1"))
			return nil
		},
		"superseded": func(h *harness, _ context.Context) error {
			h.placer.moveAway()
			close(h.opener.current().done)
			return nil
		},
	}
	for name, move := range moves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), engineConfig("e1"))
				h.add("a", 2, 100000, 0)
				long := h.request(t.Context(), executeRequest("long", 3000))
				time.Sleep(5 * time.Second)
				claimed := h.opener.current()
				is.NoErr(move(h, t.Context()))
				time.Sleep(2 * time.Second)
				late := h.request(t.Context(), executeRequest("late", 10))
				_, _, refusal := late.wait(nil)
				is.True(refusal != nil) // refused, so proven not run
				_, failures := h.snapshot()
				is.Equal(len(failures), 2) // training work is handed back at once, with its tokens
				is.True(len(failures[0].Partial) > 0)
				time.Sleep(defaultTiming.DrainTimeout + 5*time.Second)
				is.True(!broadcast.Closed(long.done))
				is.NoErr(h.Drain(t.Context()))
				synctest.Wait()                      // the handler returns at the same simulated time, in its own goroutine
				is.True(broadcast.Closed(long.done)) // no request is left, even at an engine that another node owns by now
				tokens, last, _ := long.wait(nil)
				is.Equal(last.Outcome, peerapi.OutcomeCompleted)
				is.Equal(len(tokens), 3000)
				time.Sleep(time.Minute)
				is.True(broadcast.Closed(claimed.done))
				is.Equal(len(h.Engines()), 0)
				status, _ := h.engines["e1"].Status(t.Context())
				is.Equal(status.Running, 0)
			})
		})
	}
}

func TestDrainReturnsErrorOnTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		stream := h.request(t.Context(), executeRequest("long", 3000))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(h.Drain(ctx) != nil)
		_, last, _ := stream.wait(nil)
		is.Equal(last.Outcome, peerapi.OutcomeCompleted) // the timeout of the drain does not cut the request off
		is.NoErr(h.Drain(t.Context()))
	})
}

// TestQueuedRequestsOfQuarantinedEngineAreNotRun guards against running a request that was queued before the engine was
// quarantined and gets its slot afterwards.
func TestQueuedRequestsOfQuarantinedEngineAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		for _, id := range []string{"a", "b", "c", "d"} {
			h.request(t.Context(), executeRequest(id, 100))
		}
		synctest.Wait()
		queued := h.request(t.Context(), executeRequest("e", 100))
		time.Sleep(time.Second)
		h.owner("e1").quarantine("m", 9)
		_, _, refusal := queued.wait(nil)
		is.Equal(refusal.Code, peer.CodeNotReady)
		generations, _ := h.recorders["e1"].counts("")
		is.Equal(generations, 4)
	})
}

// TestQueueTimeoutEndsRequestUnrun checks that a request whose caller limits the queue time is refused at that limit
// and never reaches the engine.
func TestQueueTimeoutEndsRequestUnrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		for _, id := range []string{"a", "b", "c", "d"} {
			h.request(t.Context(), executeRequest(id, 3000))
		}
		synctest.Wait()
		impatient := executeRequest("e", 100)
		impatient.TimeoutMillis = time.Hour.Milliseconds()
		impatient.QueueMillis = 700
		began := time.Now()
		_, _, refusal := h.request(t.Context(), impatient).wait(nil)
		is.True(refusal != nil) // refused, so proven not run
		is.Equal(time.Since(began), 700*time.Millisecond)
		time.Sleep(time.Hour)
		generations, _ := h.recorders["e1"].counts("")
		is.Equal(generations, 4)
	})
}
