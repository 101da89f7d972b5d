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

func ask(id string, length int) peerapi.Execute {
	return peerapi.Execute{
		Workload: "search", RequestID: id, Attempt: 1, Engine: "e1", Prompt: promptOf(length, 1), MaxTokens: 10000,
	}
}

func TestRequestOutcomes(t *testing.T) {
	cases := []struct {
		name string
		// change prepares the request and the world; during happens while the request runs.
		change  func(*world, *peerapi.Execute)
		during  func(*world, context.CancelFunc)
		outcome peerapi.Outcome
		refusal peer.Code
		whole   bool
	}{
		{name: "whole answer", outcome: peerapi.OutcomeCompleted, whole: true},
		{name: "disordered chunks", change: func(w *world, _ *peerapi.Execute) {
			w.engines["e1"].SetDisorder(engine.Disorder{Duplicate: 0.5, Reorder: 0.5, Stray: 0.5})
		}, outcome: peerapi.OutcomeCompleted, whole: true},
		{name: "resumed", change: func(_ *world, r *peerapi.Execute) {
			r.Resume = engine.ExpectedTokens(r.Prompt, 0, 10000)[:30]
		}, outcome: peerapi.OutcomeCompleted, whole: true},
		{name: "engine crashes", during: func(w *world, _ context.CancelFunc) { w.engines["e1"].Crash() },
			outcome: peerapi.OutcomeUnknown},
		{name: "engine hangs", during: func(w *world, _ context.CancelFunc) { w.engines["e1"].Hang() },
			outcome: peerapi.OutcomeUnknown},
		{name: "deadline passes", change: func(_ *world, r *peerapi.Execute) { r.TimeoutMillis = 1500 },
			outcome: peerapi.OutcomeCancelled},
		{name: "caller is gone", during: func(_ *world, cancel context.CancelFunc) { cancel() },
			outcome: peerapi.OutcomeCancelled},
		{name: "engine refuses", change: func(w *world, _ *peerapi.Execute) {
			w.engines["e1"].Leave()
			time.Sleep(engine.DefaultLeavingGrace)
			w.owner("e1").state.update(func() { w.owner("e1").state.leaving = false })
			w.machines.MarkLive("e1") // as if the word had not come through
		}, outcome: peerapi.OutcomeNotRun},
		{name: "call that never left", change: func(w *world, _ *peerapi.Execute) {
			w.probes["e1"].failGenerate(platform.ErrNotSent)
		}, outcome: peerapi.OutcomeNotRun},
		{name: "call that may have left", change: func(w *world, _ *peerapi.Execute) {
			w.probes["e1"].failGenerate(io.ErrUnexpectedEOF)
		}, outcome: peerapi.OutcomeUnknown},
		{name: "leaving", change: func(w *world, _ *peerapi.Execute) { w.machines.MarkLeaving("e1") }, refusal: peer.CodeNotReady},
		{name: "other engine", change: func(_ *world, r *peerapi.Execute) { r.Engine = "e9" }, refusal: peer.CodeNotOwner},
		{name: "training workload", change: func(_ *world, r *peerapi.Execute) { r.Workload = "a" }, refusal: peer.CodeInvalid},
		{name: "too many tokens", change: func(_ *world, r *peerapi.Execute) { r.MaxTokens = 1 << 30 }, refusal: peer.CodeInvalid},
		{name: "deadline is over", change: func(_ *world, r *peerapi.Execute) { r.TimeoutMillis = -1 }, refusal: peer.CodeInvalid},
		{name: "version not accepted", change: func(w *world, _ *peerapi.Execute) {
			next := w.bundles.Current().Bundle
			next.Workloads[1].MinVersion = 6
			w.bundles.roll(next)
		}, refusal: peer.CodeNotReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), engineConfig("e1"))
				request := ask("r1", 100)
				if c.change != nil {
					c.change(w, &request)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stream := w.request(ctx, request)
				time.Sleep(time.Second)
				if c.during != nil {
					c.during(w, cancel)
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
				_, cancels := w.probes["e1"].counts("search/r1")
				is.Equal(cancels > 0, c.outcome == peerapi.OutcomeUnknown || c.outcome == peerapi.OutcomeCancelled)
				if c.outcome != peerapi.OutcomeUnknown {
					status, err := w.engines["e1"].Status(t.Context())
					is.NoErr(err)
					is.Equal(status.Running, 0) // nothing goes on for nobody
				}
				is.Equal(w.owner("e1").requestCount(), 0)
				is.True(w.owner("e1").slots.idle())
			})
		})
	}
}

func TestRequestsTakeSlotsBackFromTraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), engineConfig("e1"))
		w.add("a", 8, 3000, 0)
		time.Sleep(5 * time.Second)
		began := time.Now()
		stream := w.request(t.Context(), ask("r1", 10))
		_, last, _ := stream.wait(nil)
		is.Equal(last.Outcome, peerapi.OutcomeCompleted)
		is.True(time.Since(began) < time.Second)
		is.Equal(w.Counters().Preemptions.Load(), uint64(1))
		time.Sleep(time.Hour)
		checkWhole(t, w, 8, 3000) // what was cut is resumed and completed once
	})
}

func TestOverloadIsShedUnrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		search := interactive("search", 0.5)
		search.Limits.MaxQueue = 3
		w := newWorld(t, bundleOf(search), engineConfig("e1"))
		var streams []*fakeStream
		for i := range 20 {
			streams = append(streams, w.request(t.Context(), ask(string(rune('a'+i)), 100)))
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
		is.Equal(completed, 7) // four slots and three places in the queue
		is.Equal(shed, 13)
	})
}

func TestSameAttemptIsNotRunTwiceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		first := w.request(t.Context(), ask("r1", 100))
		synctest.Wait()
		_, _, refusal := w.request(t.Context(), ask("r1", 100)).wait(nil)
		is.Equal(refusal.Code, peer.CodeConflict)
		_, last, _ := first.wait(nil)
		is.Equal(last.Outcome, peerapi.OutcomeCompleted)
	})
}

func TestNothingIsCutOffWhenWorkMovesOn(t *testing.T) {
	moves := map[string]func(*world, context.Context) error{
		"drain": func(w *world, ctx context.Context) error {
			go func() { _ = w.Drain(ctx) }()
			return nil
		},
		"placement": func(w *world, _ context.Context) error {
			w.placer.move()
			return nil
		},
		"handover": func(w *world, ctx context.Context) error {
			w.placer.move()
			go w.Handover(ctx, EngineKey("e1"))
			return nil
		},
		"superseded": func(w *world, _ context.Context) error {
			w.placer.move()
			close(w.opener.current().done)
			return nil
		},
	}
	for name, move := range moves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, bundleOf(training("a", 0.5), interactive("search", 0.5)), engineConfig("e1"))
				w.add("a", 2, 100000, 0)
				long := w.request(t.Context(), ask("long", 3000))
				time.Sleep(5 * time.Second)
				claimed := w.opener.current()
				is.NoErr(move(w, t.Context()))
				time.Sleep(2 * time.Second)
				late := w.request(t.Context(), ask("late", 10))
				_, _, refusal := late.wait(nil)
				is.True(refusal != nil) // refused, so proven not run
				_, failures := w.snapshot()
				is.Equal(len(failures), 2) // training work is handed back at once, with its tokens
				is.True(len(failures[0].Partial) > 0)
				time.Sleep(defaultTiming.Settle + 5*time.Second)
				is.True(!broadcast.Closed(long.done))
				is.NoErr(w.Drain(t.Context()))
				synctest.Wait()                      // the handler returns in the same instant, in a goroutine of its own
				is.True(broadcast.Closed(long.done)) // a drain that is over has nothing left, whoever has the engine by now
				tokens, last, _ := long.wait(nil)
				is.Equal(last.Outcome, peerapi.OutcomeCompleted)
				is.Equal(len(tokens), 3000)
				time.Sleep(time.Minute)
				is.True(broadcast.Closed(claimed.done))
				is.Equal(len(w.Engines()), 0)
				status, _ := w.engines["e1"].Status(t.Context())
				is.Equal(status.Running, 0)
			})
		})
	}
}

func TestDrainTellsWhatItCouldNotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		stream := w.request(t.Context(), ask("long", 3000))
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(w.Drain(ctx) != nil)
		_, last, _ := stream.wait(nil)
		is.Equal(last.Outcome, peerapi.OutcomeCompleted) // still not cut off
		is.NoErr(w.Drain(t.Context()))
	})
}

func TestRequestsInTheQueueOfAQuarantinedEngineAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		for _, id := range []string{"a", "b", "c", "d"} {
			w.request(t.Context(), ask(id, 100))
		}
		synctest.Wait()
		queued := w.request(t.Context(), ask("e", 100))
		time.Sleep(time.Second)
		w.owner("e1").quarantine("m", 9)
		_, _, refusal := queued.wait(nil)
		is.Equal(refusal.Code, peer.CodeNotReady)
		generations, _ := w.probes["e1"].counts("")
		is.Equal(generations, 4)
	})
}

func TestWorkThatNobodyWaitsForDoesNotLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, bundleOf(interactive("search", 1)), engineConfig("e1"))
		for _, id := range []string{"a", "b", "c", "d"} {
			w.request(t.Context(), ask(id, 3000))
		}
		synctest.Wait()
		impatient := ask("e", 100)
		impatient.TimeoutMillis = time.Hour.Milliseconds()
		impatient.QueueMillis = 700
		began := time.Now()
		_, _, refusal := w.request(t.Context(), impatient).wait(nil)
		is.True(refusal != nil) // refused, so proven not run
		is.Equal(time.Since(began), 700*time.Millisecond)
		time.Sleep(time.Hour)
		generations, _ := w.probes["e1"].counts("")
		is.Equal(generations, 4)
	})
}
