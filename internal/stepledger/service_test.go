package stepledger

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, workload bundle.Workload, run func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workload)
		defer func() { w.service.Close() }()
		run(is.New(t), w)
	})
}

func TestStepIsDeliveredOnce(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(4, 3))
		is.NoErr(w.step(4, 3)) // same content again
		expectCode(is, w.step(4, 2), peer.CodeConflict)
		w.generate(4, 1)
		first, err := w.fetch(4, 0, 1, 4)
		is.NoErr(err)
		is.Equal(len(first.Samples), 4)
		again, err := w.fetch(4, 0, 1, 4)
		is.NoErr(err)
		is.Equal(again, first) // a refetch is the same
		rest, err := w.fetch(4, 4, 1, 4)
		is.NoErr(err)
		is.Equal(len(rest.Samples), 2)
		is.True(rest.StepComplete)
		_, err = w.fetch(4, 0, 1, 4)
		expectCode(is, err, peer.CodeInvalid) // acknowledged earlier
		_, err = w.fetch(4, 7, 1, 4)
		expectCode(is, err, peer.CodeInvalid) // from the future
		end, err := w.fetch(4, 6, 1, 4)
		is.NoErr(err)
		is.True(end.StepComplete)
		is.Equal(len(end.Samples), 0)
		is.NoErr(w.step(4, 3)) // a finished step is recognised
		expectCode(is, w.step(4, 2), peer.CodeConflict)
		outcome, err := w.complete(4, 0, 99, 1)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteUnknownSample)
		_, err = w.fetch(6, 0, 1, 4)
		expectCode(is, err, peer.CodeNotFound)
	})
}

func TestSubmitIsBounded(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		cases := map[string]struct {
			request peerapi.SubmitStep
			code    peer.Code
		}{
			"unknown workload": {peerapi.SubmitStep{Workload: "other"}, peer.CodeNotFound},
			"no prompts":       {peerapi.SubmitStep{SamplesPerPrompt: 1, MaxTokens: 1}, peer.CodeInvalid},
			"too many samples": {peerapi.SubmitStep{Prompts: [][]uint32{{1}}, SamplesPerPrompt: 33, MaxTokens: 1}, peer.CodeInvalid},
			"overflowing":      {peerapi.SubmitStep{Prompts: [][]uint32{{1}, {1}}, SamplesPerPrompt: 1 << 62, MaxTokens: 1}, peer.CodeInvalid},
			"too many tokens":  {peerapi.SubmitStep{Prompts: [][]uint32{{1}}, SamplesPerPrompt: 1, MaxTokens: 65}, peer.CodeInvalid},
			"empty prompt":     {peerapi.SubmitStep{Prompts: [][]uint32{{}}, SamplesPerPrompt: 1, MaxTokens: 1}, peer.CodeInvalid},
			"long prompt":      {peerapi.SubmitStep{Prompts: [][]uint32{make([]uint32, 17)}, SamplesPerPrompt: 1, MaxTokens: 1}, peer.CodeInvalid},
		}
		for name, c := range cases {
			if c.request.Workload == "" {
				c.request.Workload = testName
			}
			_, err := w.service.SubmitStep(context.Background(), &c.request)
			if codeOf(err) != c.code {
				w.t.Errorf("%s: got %v, want code %d", name, err, c.code)
			}
		}
		long := peerapi.SubmitStep{Workload: testName, Step: 8, SamplesPerPrompt: 1, MaxTokens: 1}
		for range 30 {
			long.Prompts = append(long.Prompts, slices.Repeat([]uint32{1 << 30}, 10000))
		}
		limits := testWorkload()
		limits.Limits.MaxPromptTokens = 10000
		w.bundles.set(acceptedWith(2, limits), true)
		is.Equal(len(stepRecords(&long)), 3) // 1.5 MB of prompts
		w.log.afterRecord = func() bool { return false }
		_, err := w.service.SubmitStep(context.Background(), &long)
		expectCode(is, err, peer.CodeUncertain)
		w.log.afterRecord = nil
		w.restart()
		is.Equal(len(w.pull(8, "e1", 1, 40)), 0) // not whole yet
		_, err = w.service.SubmitStep(context.Background(), &long)
		is.NoErr(err)
		given := w.pull(8, "e1", 1, 40)
		is.Equal(len(given), 30)
		is.Equal(given[29].Prompt, long.Prompts[29])
		w.bundles.set(nil, true)
		expectCode(is, w.step(1, 1), peer.CodeNotReady)
	})
}

func TestCompletionsAreChecked(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		is.NoErr(w.publish(5))
		given := w.pull(2, "e1", 5, 1)
		is.Equal(len(given), 1)
		is.Equal(given[0].MinVersion, uint64(4))
		base := peerapi.CompleteSample{
			Workload: testName, Step: 2, Index: given[0].Index, Attempt: given[0].Attempt,
			Tokens: []uint32{1, 2}, CompletedUnixMillis: time.Now().UnixMilli(),
		}
		for name, spans := range map[string][]peerapi.Span{
			"none":    nil,
			"short":   {{From: 0, To: 1, Version: 5}},
			"gap":     {{From: 0, To: 1, Version: 5}, {From: 2, To: 2, Version: 5}},
			"overlap": {{From: 0, To: 2, Version: 5}, {From: 1, To: 2, Version: 5}},
			"long":    {{From: 0, To: 3, Version: 5}},
		} {
			request := base
			request.Spans = spans
			_, err := w.service.CompleteSample(context.Background(), &request)
			if codeOf(err) != peer.CodeInvalid {
				w.t.Errorf("%s: got %v", name, err)
			}
		}
		outcome, err := w.complete(2, given[0].Index, given[0].Attempt, 3)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteStale) // two versions behind
		old := base
		old.Spans = []peerapi.Span{{From: 0, To: 2, Version: 5}}
		old.CompletedUnixMillis -= time.Hour.Milliseconds()
		result, err := w.service.CompleteSample(context.Background(), &old)
		is.NoErr(err)
		is.Equal(result.Outcome, peerapi.CompleteStale) // too old
		outcome, err = w.complete(2, given[0].Index, given[0].Attempt, 4)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteRecorded) // a late answer that is in bound wins
		outcome, err = w.complete(2, given[0].Index, given[0].Attempt+1, 5)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteDuplicate)
	})
}
