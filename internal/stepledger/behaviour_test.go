package stepledger

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
)

// report sends one report of an engine on one attempt.
func (env *testEnv) report(engine string, progress peerapi.Progress) *peerapi.ReportWorkResult {
	env.t.Helper()
	result, err := env.service.ReportWork(context.Background(), &peerapi.ReportWork{
		Workload: testWorkloadName, Shard: ShardOf(progress.Step), Engine: engine, Attempts: []peerapi.Progress{progress},
	})
	if err != nil {
		env.t.Fatal(err)
	}
	return result
}

func progressOf(assigned peerapi.Assignment) peerapi.Progress {
	return peerapi.Progress{Step: assigned.Step, Index: assigned.Index, Attempt: assigned.Attempt, Tokens: 1}
}

func TestSilentAttemptIsReassigned(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		first := env.pull(2, "e1", 1, 2)
		is.Equal(len(first), 2)
		for range 8 { // only the first attempt is reported on
			time.Sleep(time.Second)
			is.Equal(len(env.report("e1", progressOf(first[0])).Cancel), 0)
		}
		second := env.pull(2, "e2", 1, 2)
		is.Equal(len(second), 1)
		is.Equal(second[0].Index, first[1].Index)
		is.True(second[0].Attempt != first[1].Attempt)
		is.Equal(second[0].Seed, first[1].Seed)
		is.Equal(len(env.report("e1", progressOf(first[1])).Cancel), 1) // superseded
		outcome, err := env.complete(2, first[1].Index, first[1].Attempt, 1)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteRecorded)                      // the first answer is recorded although its attempt was superseded
		is.Equal(len(env.report("e2", progressOf(second[0])).Cancel), 1) // the sample is complete
		counters := env.service.Counters()
		is.Equal(counters.Silent.Load(), uint64(1))
		is.Equal(counters.Cancelled.Load(), uint64(2))
	})
}

func TestFailedAttemptIsResumed(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.publish(5))
		is.NoErr(env.step(2, 1))
		assigned := env.pull(2, "e1", 5, 1)[0]
		failed := progressOf(assigned)
		failed.Failed = true
		failed.Partial = []uint32{7, 8}
		failed.Spans = []peerapi.Span{{From: 0, To: 2, Version: 5}}
		env.report("e1", failed)
		resumed := env.pull(2, "e2", 6, 2)
		is.Equal(len(resumed), 2)
		is.Equal(resumed[0].Index, assigned.Index)
		is.Equal(resumed[0].Resume, failed.Partial)
		is.Equal(resumed[0].ResumeSpans, failed.Spans)
		failed.Attempt = resumed[0].Attempt
		env.report("e2", failed)
		start := time.Now()
		again := env.pull(2, "e2", 6, 2)
		is.Equal(len(again), 1)
		is.Equal(time.Since(start), firstFailureDelay) // a second failure delays the next attempt
		failed.Attempt = again[0].Attempt
		env.report("e2", failed)
		is.NoErr(env.publish(7)) // version 5 is now out of bounds
		time.Sleep(time.Second)
		again = env.pull(2, "e2", 7, 2)
		is.Equal(len(again), 1)
		is.Equal(len(again[0].Resume), 0)
	})
}

// TestSampleRestartsWhenResumeFails guards against a sample that never completes because every attempt at it receives a
// partial answer from which the engine cannot resume.
func TestSampleRestartsWhenResumeFails(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.publish(5))
		is.NoErr(env.step(2, 1))
		assigned := env.pull(2, "e1", 5, 2)
		is.Equal(len(assigned), 2)
		failed := progressOf(assigned[0])
		failed.Failed = true
		failed.Partial = []uint32{7, 8}
		failed.Spans = []peerapi.Span{{From: 0, To: 2, Version: 5}}
		env.report("e1", failed)
		time.Sleep(time.Second)
		resumed := env.pull(2, "e2", 6, 1)
		is.Equal(len(resumed), 1)
		is.Equal(resumed[0].Resume, failed.Partial)
		refused := progressOf(resumed[0])
		refused.Failed = true
		env.report("e2", refused) // as after a weight swap, if the workload restarts samples on one
		time.Sleep(time.Second)
		restarted := env.pull(2, "e2", 6, 1)
		is.Equal(len(restarted), 1)
		is.Equal(len(restarted[0].Resume), 0)
	})
}

// TestOutOfBoundAttemptIsCancelled guards against engines that continue attempts whose answers would be refused as stale, and
// against reports that revive such attempts.
func TestOutOfBoundAttemptIsCancelled(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.publish(5))
		is.NoErr(env.step(2, 1))
		assigned := env.pull(2, "e1", 5, 1)[0]
		is.NoErr(env.publish(7))
		for range 3 { // a repeated report does not revive the attempt
			is.Equal(len(env.report("e1", progressOf(assigned)).Cancel), 1)
			time.Sleep(time.Second)
		}
		is.Equal(len(env.pull(2, "e1", 5, 1)), 0) // a new attempt at version 5 would be out of bounds too
		is.Equal(len(env.pull(2, "e1", 6, 2)), 2)
	})
}

// TestUnassignedAnswersAreReplacedOnNewVersion guards against a trainer that waits for answers because a new version has put
// the existing ones out of bounds and only its own fetch replaces them.
func TestUnassignedAnswersAreReplacedOnNewVersion(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.publish(5))
		is.NoErr(env.step(2, 1))
		env.completeAll(2, 5)
		is.NoErr(env.publish(7))
		is.Equal(len(env.pull(2, "e1", 7, 2)), 2) // no fetch is needed
		is.Equal(env.service.Counters().Replaced.Load(), uint64(2))
	})
}

// TestNewOwnerAdoptsAttempts guards against a second attempt at a sample that an engine still runs for the previous owner.
func TestNewOwnerAdoptsAttempts(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		first := env.pull(2, "e1", 1, 2)
		env.restart()
		env.report("e1", progressOf(first[0]))
		start := time.Now()
		second := env.pull(2, "e2", 1, 2)
		is.True(time.Since(start) >= adoptionGrace)
		is.Equal(len(second), 1) // the other attempt was adopted
		is.Equal(second[0].Index, first[1].Index)
		is.True(second[0].Attempt>>attemptBits != first[1].Attempt>>attemptBits)
	})
}

func TestPullWaitsForNewVersionOrWork(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		request := &peerapi.PullWork{Workload: testWorkloadName, Shard: 0, Engine: "e1", ServedVersion: 5, WaitMillis: 60000}
		go func() {
			time.Sleep(time.Second)
			_ = env.publish(5)
			time.Sleep(time.Second)
			_ = env.step(2, 1)
		}()
		start := time.Now()
		result, err := env.service.PullWork(context.Background(), request)
		is.NoErr(err)
		is.Equal(result.Latest, uint64(5))
		is.Equal(time.Since(start), time.Second)
		request.KnownLatest = 5
		result, err = env.service.PullWork(context.Background(), request)
		is.NoErr(err)
		is.Equal(result.Backlog, 2)
		is.Equal(time.Since(start), 2*time.Second)
		env.service.OnHandover(context.Background(), StreamName(testWorkloadName, 0))
		is.Equal(len(env.pull(2, "e1", 5, 2)), 0) // a shard about to be released assigns no samples
	})
}

// TestTightenedBundleAppliesAtHandover guards against handing over answers that the bundle in force excludes, because the
// node has not read that bundle yet.
func TestTightenedBundleAppliesAtHandover(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.publish(5))
		is.NoErr(env.step(2, 1))
		env.completeAll(2, 4)
		env.failpoint = func(name string) {
			if name == "fetch.before_append" { // the new bundle is in the log, but the node has not read it yet
				tight := testWorkload()
				tight.Staleness = &bundle.Staleness{MaxAge: bundle.Duration(time.Minute)}
				env.bundles.set(acceptedWith(2, tight), false)
			}
		}
		result, err := env.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 0)
		is.Equal(result.BundleVersion, uint64(2))
		env.bundles.set(env.bundles.confirmed, true)
		env.completeAll(2, 5)
		result, err = env.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 2)
		for _, sample := range result.Samples {
			is.Equal(sample.Spans[0].Version, uint64(5))
		}
	})
}

// TestSupersededOwnerRefusesFetches guards against two owners that hand over different samples at one position, because the
// first one has not noticed that it was superseded.
func TestSupersededOwnerRefusesFetches(t *testing.T) {
	for cursor := range 3 { // acknowledged at the new owner, next to assign, unknown to the old owner
		testSupersededOwner(t, cursor)
	}
}

func testSupersededOwner(t *testing.T, cursor int) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		env.completeAll(2, 1)
		_, err := env.fetch(2, 0, 1, 1)
		is.NoErr(err)
		superseded := *env
		env.service = nil
		env.restart()
		defer superseded.service.Close()
		_, err = env.fetch(2, 1, 1, 1)
		is.NoErr(err)
		_, err = superseded.fetch(2, cursor, 1, 1)
		expectCode(is, err, peer.CodeNotOwner)
	})
}

// TestFetchSucceedsWithSlowLog guards against fetches that never succeed if calls to the log take longer than
// handoverWindow, which starts at the end of the ownership proof.
func TestFetchSucceedsWithSlowLog(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		env.completeAll(2, 1)
		env.opener.opened[StreamName(testWorkloadName, 0)].slow = 10 * time.Second
		result, err := env.fetch(2, 0, 1, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 2)
	})
}

// TestPausedProcessRepeatsHandoverCheck guards against handing over answers that have exceeded the max age because the
// process was paused between the check and the response.
func TestPausedProcessRepeatsHandoverCheck(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		env.completeAll(2, 1)
		pauses := 1
		env.failpoint = func(name string) {
			if name == "fetch.before_handover" && pauses > 0 {
				pauses--
				time.Sleep(time.Hour)
			}
		}
		result, err := env.fetch(2, 0, 1, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 0) // the answers exceeded the max age during the pause
	})
}

// TestOldAnswersWithoutPositionAreReplacedByFetch guards against samples that are generated again and again while no trainer
// fetches them.
func TestOldAnswersWithoutPositionAreReplacedByFetch(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		assigned := env.pull(2, "e1", 1, 2)
		for _, assignment := range assigned { // the engine's clock is an hour ahead
			tokens := []uint32{1}
			_, err := env.service.CompleteSample(context.Background(), &peerapi.CompleteSample{
				Workload: testWorkloadName, Step: 2, Index: assignment.Index, Attempt: assignment.Attempt, Tokens: tokens,
				Spans: []peerapi.Span{{To: 1, Version: 1}}, CompletedUnixMillis: time.Now().Add(time.Hour).UnixMilli(),
			})
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		is.Equal(len(env.pull(2, "e1", 1, 2)), 0) // without a fetch no sample is generated again
		result, err := env.fetch(2, 0, 1, 1)
		is.NoErr(err)
		is.Equal(len(result.Samples), 0)
		is.Equal(len(env.pull(2, "e1", 1, 2)), 2)
	})
}

func TestFetchPublishesTrainerVersion(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		_, err := env.fetch(2, 0, 9, 1)
		is.NoErr(err)
		is.Equal(len(env.pull(2, "e1", 7, 2)), 0) // two versions behind
		is.Equal(len(env.pull(2, "e1", 8, 2)), 2)
	})
}

func TestSamplesInFlightAreBounded(t *testing.T) {
	workload := testWorkload()
	workload.Limits.MaxInFlight = 2 * ShardsPerWorkload
	withTestEnv(t, workload, func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 2))
		is.Equal(len(env.pull(2, "e1", 1, 4)), 2)
		is.Equal(len(env.pull(2, "e2", 1, 4)), 0)
	})
}

// TestSkippedStepDoesNotBlockLaterSteps guards against samples that are never assigned because the trainer has skipped an
// earlier step.
func TestSkippedStepDoesNotBlockLaterSteps(t *testing.T) {
	workload := testWorkload()
	workload.Staleness.MaxVersionsBehind = 0
	withTestEnv(t, workload, func(is *is.I, env *testEnv) {
		for number := uint64(2); number <= 6; number += 2 {
			is.NoErr(env.step(number, 1))
		}
		env.completeAll(2, 1)
		is.Equal(len(env.pull(4, "e1", 1, 4)), 0) // the trainer is expected to fetch step 2 first
		_, err := env.fetch(4, 0, 1, 1)
		is.NoErr(err)
		is.Equal(len(env.pull(4, "e1", 1, 4)), 2) // step 2 was skipped, and step 6 is still too far ahead
	})
}

func TestOpenStepsAreBounded(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		for number := range uint64(maxOpenSteps) {
			is.NoErr(env.step(2*number, 1))
		}
		expectCode(is, env.step(2*maxOpenSteps, 1), peer.CodeOverloaded)
		is.NoErr(env.step(0, 1)) // a known step is still accepted
	})
}

func TestScorerIsRetried(t *testing.T) {
	workload := testWorkload()
	workload.Scorer = "judge"
	withTestEnv(t, workload, func(is *is.I, env *testEnv) {
		env.scorer.failures.Store(12) // the retries take longer than completeAll waits for work
		is.NoErr(env.step(2, 1))
		env.completeAll(2, 1)
		cursor := 0
		for cursor < 2 {
			result, err := env.fetch(2, cursor, 1, 2)
			is.NoErr(err)
			for _, sample := range result.Samples {
				is.True(sample.Scored)
			}
			cursor = result.NextCursor
		}
		is.True(env.bundles.confirms <= 4) // the version, a cursor and two hand-overs; waiting for scores confirms no bundle
	})
}

// TestAnswerIsScoredAfterUncertainAppend guards against an answer that is never scored. The append of the step's last answer
// takes effect although its call fails, and the answer is not submitted again, so no call triggers the scoring.
func TestAnswerIsScoredAfterUncertainAppend(t *testing.T) {
	workload := testWorkload()
	workload.Scorer = "judge"
	withTestEnv(t, workload, func(is *is.I, env *testEnv) {
		is.NoErr(env.step(2, 1))
		assigned := env.pull(2, "e1", 1, 2)
		is.Equal(len(assigned), 2)
		_, err := env.complete(2, assigned[0].Index, assigned[0].Attempt, 1)
		is.NoErr(err)
		time.Sleep(time.Second) // the first answer is scored
		env.log.mutex.Lock()
		env.log.lostResponses = 1
		env.log.mutex.Unlock()
		_, err = env.complete(2, assigned[1].Index, assigned[1].Attempt, 1)
		is.True(err != nil)
		time.Sleep(5 * time.Second)
		result, err := env.fetch(2, 0, 1, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 2)
	})
}

// TestUnacknowledgedStepsAreBounded guards against steps that are kept forever because the trainer never acknowledges their
// last samples.
func TestUnacknowledgedStepsAreBounded(t *testing.T) {
	withTestEnv(t, testWorkload(), func(is *is.I, env *testEnv) {
		const steps = keepHandedOver + 2
		for number := uint64(2); number <= 2*steps; number += 2 {
			is.NoErr(env.step(number, 1))
			env.completeAll(number, 1)
			result, err := env.fetch(number, 0, 1, 2)
			is.NoErr(err)
			is.True(result.StepComplete)
		}
		time.Sleep(time.Second)
		list, err := env.service.ListSteps(context.Background(), &peerapi.ListSteps{Workload: testWorkloadName})
		is.NoErr(err)
		is.Equal(len(list.Steps), keepHandedOver+1)
		_, err = env.fetch(2, 0, 1, 2)
		expectCode(is, err, peer.CodeConflict) // the unacknowledged samples are lost and the fetch is refused
		_, err = env.fetch(2, 2, 1, 2)
		is.NoErr(err)
	})
}
