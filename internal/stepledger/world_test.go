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

const testName = "drafter"

// world is a log, a bundle, and the process that owns the shards now.
type world struct {
	t       *testing.T
	log     *memoryLog
	bundles *memoryBundles
	scorer  *lengthScorer
	opener  *memoryOpener
	service *Service
	// failpoint is called with every failpoint's name.
	failpoint func(string)
}

func newWorld(t *testing.T, workload bundle.Workload) *world {
	w := &world{t: t, log: newMemoryLog(), bundles: newBundles(workload), scorer: &lengthScorer{}}
	w.restart()
	return w
}

// restart replaces the owning process by a new one over the same log.
func (w *world) restart() {
	if w.service != nil {
		w.opener.die()
		w.service.Close()
	}
	w.opener = w.log.opener()
	w.service = New(Config{
		Opener:    w.opener,
		Bundles:   w.bundles,
		Confirmer: w.bundles,
		Scorer:    w.scorer,
		Failpoint: func(name string) {
			if w.failpoint != nil {
				w.failpoint(name)
			}
		},
	})
}

// step submits a step of one-token prompts with two samples each.
func (w *world) step(number uint64, prompts int) error {
	request := &peerapi.SubmitStep{Workload: testName, Step: number, SamplesPerPrompt: 2, MaxTokens: 20}
	for i := range prompts {
		request.Prompts = append(request.Prompts, []uint32{uint32(i + 1)})
	}
	_, err := w.service.SubmitStep(context.Background(), request)
	return err
}

func (w *world) publish(version uint64) error {
	_, err := w.service.PublishVersion(context.Background(), &peerapi.PublishVersion{Workload: testName, Version: version})
	return err
}

// pull takes work of a step's shard for an engine.
func (w *world) pull(step uint64, engine string, served uint64, slots int) []peerapi.Assignment {
	result, err := w.service.PullWork(context.Background(), &peerapi.PullWork{
		Workload: testName, Shard: ShardOf(step), Engine: engine, ServedVersion: served, FreeSlots: slots, WaitMillis: 3000,
		KnownLatest: 1 << 60,
	})
	if err != nil {
		return nil
	}
	return result.Assignments
}

// answer is the tokens of an attempt: the same for everybody, so that a delivery can be checked.
func answer(index int, attempt uint32) []uint32 {
	tokens := make([]uint32, 2+index%5)
	for i := range tokens {
		tokens[i] = attempt*100 + uint32(index)
	}
	return tokens
}

// complete hands in the answer of an attempt, all from one version.
func (w *world) complete(step uint64, index int, attempt uint32, version uint64) (peerapi.CompleteOutcome, error) {
	tokens := answer(index, attempt)
	result, err := w.service.CompleteSample(context.Background(), &peerapi.CompleteSample{
		Workload: testName, Step: step, Index: index, Attempt: attempt, Engine: "e1", Tokens: tokens,
		Spans:               []peerapi.Span{{From: 0, To: len(tokens), Version: version}},
		CompletedUnixMillis: time.Now().UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	return result.Outcome, nil
}

// generate pulls and completes until there is no more work.
func (w *world) generate(step, version uint64) {
	for {
		assignments := w.pull(step, "e1", version, 8)
		if len(assignments) == 0 {
			return
		}
		for _, assignment := range assignments {
			if _, err := w.complete(assignment.Step, assignment.Index, assignment.Attempt, version); err != nil {
				return
			}
		}
	}
}

func (w *world) fetch(step uint64, cursor int, version uint64, most int) (*peerapi.FetchSamplesResult, error) {
	return w.service.FetchSamples(context.Background(), &peerapi.FetchSamples{
		Workload: testName, Step: step, Cursor: cursor, TrainerVersion: version, MaxSamples: most, WaitMillis: 2000,
	})
}

// codeOf is the code of a refusal; CodeInternal for any other error.
func codeOf(err error) peer.Code {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return peer.CodeInternal
}

// expectCode fails unless err is a refusal with the code.
func expectCode(is *is.I, err error, code peer.Code) {
	is.Helper()
	is.True(err != nil)
	is.Equal(codeOf(err), code)
}
