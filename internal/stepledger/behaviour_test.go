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

// report sends one report of engine e1 on one attempt.
func (w *world) report(engine string, progress peerapi.Progress) *peerapi.ReportWorkResult {
	w.t.Helper()
	result, err := w.service.ReportWork(context.Background(), &peerapi.ReportWork{
		Workload: testName, Shard: ShardOf(progress.Step), Engine: engine, Attempts: []peerapi.Progress{progress},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return result
}

func progressOf(given peerapi.Assignment) peerapi.Progress {
	return peerapi.Progress{Step: given.Step, Index: given.Index, Attempt: given.Attempt, Tokens: 1}
}

func TestSilentAttemptIsGivenToAnother(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		first := w.pull(2, "e1", 1, 2)
		is.Equal(len(first), 2)
		for range 8 { // the first stays in touch, the second does not
			time.Sleep(time.Second)
			is.Equal(len(w.report("e1", progressOf(first[0])).Cancel), 0)
		}
		second := w.pull(2, "e2", 1, 2)
		is.Equal(len(second), 1)
		is.Equal(second[0].Index, first[1].Index)
		is.True(second[0].Attempt != first[1].Attempt)
		is.Equal(second[0].Seed, first[1].Seed)
		is.Equal(len(w.report("e1", progressOf(first[1])).Cancel), 1) // superseded
		outcome, err := w.complete(2, first[1].Index, first[1].Attempt, 1)
		is.NoErr(err)
		is.Equal(outcome, peerapi.CompleteRecorded)                    // though superseded, it was first
		is.Equal(len(w.report("e2", progressOf(second[0])).Cancel), 1) // already complete
		counters := w.service.Counters()
		is.Equal(counters.Silent.Load(), uint64(1))
		is.Equal(counters.Cancelled.Load(), uint64(2))
	})
}

func TestFailedAttemptIsResumed(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.publish(5))
		is.NoErr(w.step(2, 1))
		given := w.pull(2, "e1", 5, 1)[0]
		failed := progressOf(given)
		failed.Failed = true
		failed.Partial = []uint32{7, 8}
		failed.Spans = []peerapi.Span{{From: 0, To: 2, Version: 5}}
		w.report("e1", failed)
		resumed := w.pull(2, "e2", 6, 2)
		is.Equal(len(resumed), 2)
		is.Equal(resumed[0].Index, given.Index)
		is.Equal(resumed[0].Resume, failed.Partial)
		is.Equal(resumed[0].ResumeSpans, failed.Spans)
		failed.Attempt = resumed[0].Attempt
		w.report("e2", failed)
		began := time.Now()
		again := w.pull(2, "e2", 6, 2)
		is.Equal(len(again), 1)
		is.Equal(time.Since(began), firstFailureDelay) // a second failure waits a moment
		failed.Attempt = again[0].Attempt
		w.report("e2", failed)
		is.NoErr(w.publish(7)) // version 5 is out of bound now
		time.Sleep(time.Second)
		again = w.pull(2, "e2", 7, 2)
		is.Equal(len(again), 1)
		is.Equal(len(again[0].Resume), 0)
	})
}

func TestSampleStartsAfreshWhenItCannotResume(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.publish(5))
		is.NoErr(w.step(2, 1))
		given := w.pull(2, "e1", 5, 2)
		is.Equal(len(given), 2)
		failed := progressOf(given[0])
		failed.Failed = true
		failed.Partial = []uint32{7, 8}
		failed.Spans = []peerapi.Span{{From: 0, To: 2, Version: 5}}
		w.report("e1", failed)
		time.Sleep(time.Second)
		resumed := w.pull(2, "e2", 6, 1)
		is.Equal(len(resumed), 1)
		is.Equal(resumed[0].Resume, failed.Partial)
		refused := progressOf(resumed[0])
		refused.Failed = true
		w.report("e2", refused) // as when weights were swapped under a workload that restarts then
		time.Sleep(time.Second)
		afresh := w.pull(2, "e2", 6, 1)
		is.Equal(len(afresh), 1)
		is.Equal(len(afresh[0].Resume), 0)
	})
}

func TestWorkOutOfBoundIsCancelledEarly(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.publish(5))
		is.NoErr(w.step(2, 1))
		given := w.pull(2, "e1", 5, 1)[0]
		is.NoErr(w.publish(7))
		for range 3 { // however often it is reported
			is.Equal(len(w.report("e1", progressOf(given)).Cancel), 1)
			time.Sleep(time.Second)
		}
		is.Equal(len(w.pull(2, "e1", 5, 1)), 0) // that engine would only do it again
		is.Equal(len(w.pull(2, "e1", 6, 2)), 2)
	})
}

func TestUnassignedAnswersAreReplacedOnNewVersion(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.publish(5))
		is.NoErr(w.step(2, 1))
		w.generate(2, 5)
		is.NoErr(w.publish(7))
		is.Equal(len(w.pull(2, "e1", 7, 2)), 2) // without any fetch
		is.Equal(w.service.Counters().Replaced.Load(), uint64(2))
	})
}

func TestNewOwnerAdoptsAttempts(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		first := w.pull(2, "e1", 1, 2)
		w.restart()
		w.report("e1", progressOf(first[0]))
		began := time.Now()
		second := w.pull(2, "e2", 1, 2)
		is.True(time.Since(began) >= adoptionGrace)
		is.Equal(len(second), 1) // the other still runs
		is.Equal(second[0].Index, first[1].Index)
		is.True(second[0].Attempt>>attemptBits != first[1].Attempt>>attemptBits)
	})
}

func TestPullIsHeldUntilThereIsNews(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		request := &peerapi.PullWork{Workload: testName, Shard: 0, Engine: "e1", ServedVersion: 5, WaitMillis: 60000}
		go func() {
			time.Sleep(time.Second)
			_ = w.publish(5)
			time.Sleep(time.Second)
			_ = w.step(2, 1)
		}()
		began := time.Now()
		result, err := w.service.PullWork(context.Background(), request)
		is.NoErr(err)
		is.Equal(result.Latest, uint64(5))
		is.Equal(time.Since(began), time.Second)
		request.KnownLatest = 5
		result, err = w.service.PullWork(context.Background(), request)
		is.NoErr(err)
		is.Equal(result.Backlog, 2)
		is.Equal(time.Since(began), 2*time.Second)
		w.service.OnHandover(context.Background(), StreamName(testName, 0))
		is.Equal(len(w.pull(2, "e1", 5, 2)), 0) // a shard about to be released gives no work
	})
}

func TestTightenedBundleHoldsAtHandover(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.publish(5))
		is.NoErr(w.step(2, 1))
		w.generate(2, 4)
		w.failpoint = func(name string) {
			if name == "fetch.before_append" { // the node has not heard of the new bundle yet
				tight := testWorkload()
				tight.Staleness = &bundle.Staleness{MaxAge: bundle.Duration(time.Minute)}
				w.bundles.set(acceptedWith(2, tight), false)
			}
		}
		result, err := w.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 0)
		is.Equal(result.BundleVersion, uint64(2))
		w.bundles.set(w.bundles.confirmed, true)
		w.generate(2, 5)
		result, err = w.fetch(2, 0, 5, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 2)
		for _, sample := range result.Samples {
			is.Equal(sample.Spans[0].Version, uint64(5))
		}
	})
}

func TestSupersededOwnerAnswersNothing(t *testing.T) {
	for cursor := range 3 { // handed over to another since, what is next, and what this one takes for the future
		supersede(t, cursor)
	}
}

func supersede(t *testing.T, cursor int) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		w.generate(2, 1)
		_, err := w.fetch(2, 0, 1, 1)
		is.NoErr(err)
		old := *w
		w.service = nil
		w.restart()
		defer old.service.Close()
		_, err = w.fetch(2, 1, 1, 1)
		is.NoErr(err)
		_, err = old.fetch(2, cursor, 1, 1)
		expectCode(is, err, peer.CodeNotOwner)
	})
}

func TestSlowLogStillDelivers(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		w.generate(2, 1)
		w.opener.opened[StreamName(testName, 0)].slow = 10 * time.Second
		result, err := w.fetch(2, 0, 1, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 2)
	})
}

func TestPausedProcessChecksAgain(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		w.generate(2, 1)
		pauses := 1
		w.failpoint = func(name string) {
			if name == "fetch.before_handover" && pauses > 0 {
				pauses--
				time.Sleep(time.Hour)
			}
		}
		result, err := w.fetch(2, 0, 1, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 0) // an hour too old
	})
}

func TestOldAnswersWithoutPositionAreReplaced(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		given := w.pull(2, "e1", 1, 2)
		for _, assignment := range given { // by an engine whose clock is an hour ahead
			tokens := []uint32{1}
			_, err := w.service.CompleteSample(context.Background(), &peerapi.CompleteSample{
				Workload: testName, Step: 2, Index: assignment.Index, Attempt: assignment.Attempt, Tokens: tokens,
				Spans: []peerapi.Span{{To: 1, Version: 1}}, CompletedUnixMillis: time.Now().Add(time.Hour).UnixMilli(),
			})
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		is.Equal(len(w.pull(2, "e1", 1, 2)), 0) // nobody fetches, so nothing runs again
		result, err := w.fetch(2, 0, 1, 1)
		is.NoErr(err)
		is.Equal(len(result.Samples), 0)
		is.Equal(len(w.pull(2, "e1", 1, 2)), 2)
	})
}

func TestFetchTellsTheTrainersVersion(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		_, err := w.fetch(2, 0, 9, 1)
		is.NoErr(err)
		is.Equal(len(w.pull(2, "e1", 7, 2)), 0) // two behind
		is.Equal(len(w.pull(2, "e1", 8, 2)), 2)
	})
}

func TestSamplesInFlightAreBounded(t *testing.T) {
	workload := testWorkload()
	workload.Limits.MaxInFlight = 2 * ShardsPerWorkload
	inWorld(t, workload, func(is *is.I, w *world) {
		is.NoErr(w.step(2, 2))
		is.Equal(len(w.pull(2, "e1", 1, 4)), 2)
		is.Equal(len(w.pull(2, "e2", 1, 4)), 0)
	})
}

func TestSkippedStepHoldsNothingBack(t *testing.T) {
	workload := testWorkload()
	workload.Staleness.MaxVersionsBehind = 0
	inWorld(t, workload, func(is *is.I, w *world) {
		for number := uint64(2); number <= 6; number += 2 {
			is.NoErr(w.step(number, 1))
		}
		w.generate(2, 1)
		is.Equal(len(w.pull(4, "e1", 1, 4)), 0) // the trainer is still expected to take step 2 first
		_, err := w.fetch(4, 0, 1, 1)
		is.NoErr(err)
		is.Equal(len(w.pull(4, "e1", 1, 4)), 2) // it does not, and step 6 is still too far ahead
	})
}

func TestOpenStepsAreBounded(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		for number := range uint64(maxOpenSteps) {
			is.NoErr(w.step(2*number, 1))
		}
		expectCode(is, w.step(2*maxOpenSteps, 1), peer.CodeOverloaded)
		is.NoErr(w.step(0, 1)) // a known one is still answered
	})
}

func TestScorerIsRetried(t *testing.T) {
	workload := testWorkload()
	workload.Scorer = "judge"
	inWorld(t, workload, func(is *is.I, w *world) {
		w.scorer.failures.Store(12) // more than the time that generate waits for more work
		is.NoErr(w.step(2, 1))
		w.generate(2, 1)
		held := 0
		for held < 2 {
			result, err := w.fetch(2, held, 1, 2)
			is.NoErr(err)
			for _, sample := range result.Samples {
				is.True(sample.Scored)
			}
			held = result.NextCursor
		}
		is.True(w.bundles.confirms <= 4) // the version, a cursor and two hand-overs; waiting for scores asked nobody
	})
}

// TestAnswerIsScoredThoughItsAppendWasGivenUp lets the last answer of a step reach the log after its call has failed, and
// nobody hand it in again.
func TestAnswerIsScoredThoughItsAppendWasGivenUp(t *testing.T) {
	workload := testWorkload()
	workload.Scorer = "judge"
	inWorld(t, workload, func(is *is.I, w *world) {
		is.NoErr(w.step(2, 1))
		given := w.pull(2, "e1", 1, 2)
		is.Equal(len(given), 2)
		_, err := w.complete(2, given[0].Index, given[0].Attempt, 1)
		is.NoErr(err)
		time.Sleep(time.Second) // the first is scored
		w.log.mutex.Lock()
		w.log.lostAnswers = 1
		w.log.mutex.Unlock()
		_, err = w.complete(2, given[1].Index, given[1].Attempt, 1)
		is.True(err != nil)
		time.Sleep(5 * time.Second)
		result, err := w.fetch(2, 0, 1, 2)
		is.NoErr(err)
		is.Equal(len(result.Samples), 2)
	})
}

func TestUnacknowledgedStepsAreBounded(t *testing.T) {
	inWorld(t, testWorkload(), func(is *is.I, w *world) {
		const steps = keepHandedOver + 2
		for number := uint64(2); number <= 2*steps; number += 2 {
			is.NoErr(w.step(number, 1))
			w.generate(number, 1)
			result, err := w.fetch(number, 0, 1, 2)
			is.NoErr(err)
			is.True(result.StepComplete)
		}
		time.Sleep(time.Second)
		list, err := w.service.ListSteps(context.Background(), &peerapi.ListSteps{Workload: testName})
		is.NoErr(err)
		is.Equal(len(list.Steps), keepHandedOver+1)
		_, err = w.fetch(2, 0, 1, 2)
		expectCode(is, err, peer.CodeConflict) // lost for good, and said so
		_, err = w.fetch(2, 2, 1, 2)
		is.NoErr(err)
	})
}
