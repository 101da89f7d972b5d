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

// withTestEnv runs a test with a new testEnv in virtual time.
func withTestEnv(t *testing.T, workload bundle.Workload, run func(is *is.I, env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, workload)
		defer func() { env.service.Close() }()
		run(is.New(t), env)
	})
}

func TestStepIsDeliveredOnce(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(4, 3))
		is.NoErr(env.step(4, 3)) // the same content again
		expectCode(is, env.step(4, 2), peer.CodeConflict)
		env.completeAll(4, 1)
		first, err := env.fetch(4, 0, 1, 4)
		is.NoErr(err)
		is.Equal(len(first.Samples), 4)
		again, err := env.fetch(4, 0, 1, 4)
		is.NoErr(err)
		is.Equal(again, first) // fetching again returns the same samples
		rest, err := env.fetch(4, 4, 1, 4)
		is.NoErr(err)
		is.Equal(len(rest.Samples), 2)
		is.True(rest.StepComplete)
		_, err = env.fetch(4, 0, 1, 4)
		expectCode(is, err, peer.CodeInvalid) // below the acknowledged cursor
		_, err = env.fetch(4, 7, 1, 4)
		expectCode(is, err, peer.CodeInvalid) // above the assigned positions
		end, err := env.fetch(4, 6, 1, 4)
		is.NoErr(err)
		is.True(end.StepComplete)
		is.Equal(len(end.Samples), 0)
		is.NoErr(env.step(4, 3)) // a retired step is still known
		expectCode(is, env.step(4, 2), peer.CodeConflict)
		outcome, err := env.complete(4, 0, 99, 1)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteUnknownSample)
		_, err = env.fetch(6, 0, 1, 4)
		expectCode(is, err, peer.CodeNotFound)
	})
}

func TestSubmitStepLimits(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
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
				c.request.Workload = testWorkloadName
			}
			_, err := env.service.SubmitStep(context.Background(), &c.request)
			if codeOf(err) != c.code {
				env.t.Errorf("%s: got %v, want code %d", name, err, c.code)
			}
		}
		long := peerapi.SubmitStep{Workload: testWorkloadName, Step: 8, SamplesPerPrompt: 1, MaxTokens: 1}
		for range 30 {
			long.Prompts = append(long.Prompts, slices.Repeat([]uint32{1 << 30}, 10000))
		}
		limits := testWorkload()
		limits.Limits.MaxPromptTokens = 10000
		env.bundles.set(acceptedWith(2, limits), true)
		is.Equal(len(stepRecords(&long)), 3) // 1.5 MB of prompts
		env.log.afterRecord = func() bool { return false }
		_, err := env.service.SubmitStep(context.Background(), &long)
		expectCode(is, err, peer.CodeUncertain)
		env.log.afterRecord = nil
		env.restart()
		is.Equal(len(env.pull(8, "e1", 1, 40)), 0) // prompts of the step are still missing
		_, err = env.service.SubmitStep(context.Background(), &long)
		is.NoErr(err)
		assigned := env.pull(8, "e1", 1, 40)
		is.Equal(len(assigned), 30)
		is.Equal(assigned[29].Prompt, long.Prompts[29])
		env.bundles.set(nil, true)
		expectCode(is, env.step(1, 1), peer.CodeNotReady)
	})
}

func TestCompletionsAreValidated(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		is.NoErr(env.publish(5))
		assigned := env.pull(2, "e1", 5, 1)
		is.Equal(len(assigned), 1)
		is.Equal(assigned[0].MinVersion, uint64(4))
		base := peerapi.CompleteSample{
			Workload: testWorkloadName, Step: 2, Index: assigned[0].Index, Attempt: assigned[0].Attempt,
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
			_, err := env.service.CompleteSample(context.Background(), &request)
			if codeOf(err) != peer.CodeInvalid {
				env.t.Errorf("%s: got %v", name, err)
			}
		}
		outcome, err := env.complete(2, assigned[0].Index, assigned[0].Attempt, 3)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteStale) // two versions behind
		old := base
		old.Spans = []peerapi.Span{{From: 0, To: 2, Version: 5}}
		old.CompletedUnixMillis -= time.Hour.Milliseconds()
		result, err := env.service.CompleteSample(context.Background(), &old)
		is.NoErr(err)
		is.Equal(result.Outcome, peerapi.CompleteStale) // over the max age
		outcome, err = env.complete(2, assigned[0].Index, assigned[0].Attempt, 4)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteRecorded) // a late answer within the bounds is recorded
		outcome, err = env.complete(2, assigned[0].Index, assigned[0].Attempt+1, 5)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteDuplicate)
	})
}
