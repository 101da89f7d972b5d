package stepledger

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

const testWorkloadName = "drafter"

// testEnv holds a log, a bundle, and the process that currently owns the shards.
type testEnv struct {
	t       *testing.T
	log     *memoryLog
	bundles *memoryBundles
	scorer  *lengthScorer
	opener  *memoryOpener
	service *Service
	// failpoint, if set, is called with the name of each failpoint.
	failpoint func(string)
}

func newTestEnv(t *testing.T, workload bundle.Workload) *testEnv {
	env := &testEnv{t: t, log: newMemoryLog(), bundles: newBundles(workload), scorer: &lengthScorer{}}
	env.restart()
	return env
}

// restart replaces the owning process by a new one on the same log.
func (env *testEnv) restart() {
	if env.service != nil {
		env.opener.kill()
		env.service.Close()
	}
	env.opener = env.log.opener()
	env.service = New(Config{
		Opener:    env.opener,
		Bundles:   env.bundles,
		Confirmer: env.bundles,
		Scorer:    env.scorer,
		Failpoint: func(name string) {
			if env.failpoint != nil {
				env.failpoint(name)
			}
		},
	})
}

// step submits a step of one-token prompts with two samples each.
func (env *testEnv) step(number uint64, prompts int) error {
	request := &peerapi.SubmitStep{Workload: testWorkloadName, Step: number, SamplesPerPrompt: 2, MaxTokens: 20}
	for i := range prompts {
		request.Prompts = append(request.Prompts, []uint32{uint32(i + 1)})
	}
	_, err := env.service.SubmitStep(context.Background(), request)
	return err
}

func (env *testEnv) publish(version uint64) error {
	_, err := env.service.PublishVersion(context.Background(), &peerapi.PublishVersion{Workload: testWorkloadName, Version: version})
	return err
}

// pull requests samples of a step's shard for an engine. It returns nil on an error.
func (env *testEnv) pull(step uint64, engine string, served uint64, slots int) []peerapi.Assignment {
	result, err := env.service.PullWork(context.Background(), &peerapi.PullWork{
		Workload: testWorkloadName, Shard: ShardOf(step), Engine: engine, ServedVersion: served, FreeSlots: slots, WaitMillis: 3000,
		KnownLatest: 1 << 60,
	})
	if err != nil {
		return nil
	}
	return result.Assignments
}

// answer returns the tokens of an attempt. They depend on the arguments only, so that delivered samples can be checked.
func answer(index int, attempt uint32) []uint32 {
	tokens := make([]uint32, 2+index%5)
	for i := range tokens {
		tokens[i] = attempt*100 + uint32(index)
	}
	return tokens
}

// complete submits the answer of an attempt, with all tokens from one version.
func (env *testEnv) complete(step uint64, index int, attempt uint32, version uint64) (peerapi.CompleteOutcome, error) {
	tokens := answer(index, attempt)
	result, err := env.service.CompleteSample(context.Background(), &peerapi.CompleteSample{
		Workload: testWorkloadName, Step: step, Index: index, Attempt: attempt, Engine: "e1", Tokens: tokens,
		Spans:               []peerapi.Span{{From: 0, To: len(tokens), Version: version}},
		CompletedUnixMillis: time.Now().UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	return result.Outcome, nil
}

// completeAll pulls and completes samples until there are no more or a completion fails.
func (env *testEnv) completeAll(step, version uint64) {
	for {
		assignments := env.pull(step, "e1", version, 8)
		if len(assignments) == 0 {
			return
		}
		for _, assignment := range assignments {
			if _, err := env.complete(assignment.Step, assignment.Index, assignment.Attempt, version); err != nil {
				return
			}
		}
	}
}

func (env *testEnv) fetch(step uint64, cursor int, version uint64, maxSamples int) (*peerapi.FetchSamplesResult, error) {
	return env.service.FetchSamples(context.Background(), &peerapi.FetchSamples{
		Workload: testWorkloadName, Step: step, Cursor: cursor, TrainerVersion: version, MaxSamples: maxSamples, WaitMillis: 2000,
	})
}

// codeOf returns the code of a refusal; CodeInternal for any other error.
func codeOf(err error) peer.Code {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return peer.CodeInternal
}

// expectCode fails the test unless err is a refusal with the given code.
func expectCode(is *is.I, err error, code peer.Code) {
	is.Helper()
	is.True(err != nil)
	is.Equal(codeOf(err), code)
}
