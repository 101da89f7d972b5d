package stepledger

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peerapi"
)

// crashRun runs one scenario in which the owner crashes at given events. Events are the times before and after each record
// is written, and each failpoint.
type crashRun struct {
	*testEnv
	is *is.I

	mutex   sync.Mutex
	events  int
	crashAt []int
	// pause makes the owner lose the shard at a failpoint of a fetch and continue without noticing, instead of crashing.
	pause      bool
	crashed    bool
	crashes    int
	takingOver bool

	cursor    int
	seen      map[int]bool
	delivered map[int]peerapi.DeliveredSample
}

// continueAfterEvent counts one event and reports whether the owner continues.
func (r *crashRun) continueAfterEvent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.takingOver {
		return true
	}
	at := r.events
	r.events++
	if !slices.Contains(r.crashAt, at) {
		return true
	}
	r.crashes++
	r.crashed = !r.pause
	return false
}

// consumeCrash reports whether the owner has crashed since the last call.
func (r *crashRun) consumeCrash() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	crashed := r.crashed
	r.crashed = false
	return crashed
}

// onFailpoint handles a failpoint as an event.
func (r *crashRun) onFailpoint(name string) {
	if r.pause && !strings.HasPrefix(name, "fetch.") {
		return
	}
	if r.continueAfterEvent() {
		return
	}
	if r.pause {
		r.takeOver()
		return
	}
	r.opener.kill()
}

// takeOver replaces the owner by another process while the first one is paused. The new owner serves a fetch whose response
// is lost.
func (r *crashRun) takeOver() {
	r.takingOver = true
	paused := r.service
	r.service = nil
	r.restart()
	_, err := r.fetch(2, r.cursor, 5, 3)
	r.is.NoErr(err)
	r.t.Cleanup(paused.Close)
	r.takingOver = false
}

// retryOnCrash runs an operation and repeats it if the owner crashed meanwhile, so that the result was lost.
func (r *crashRun) retryOnCrash(operation func() error) {
	r.t.Helper()
	for {
		err := operation()
		if r.consumeCrash() {
			r.restart()
			continue
		}
		if r.pause && err != nil {
			err = operation()
		}
		r.is.NoErr(err)
		return
	}
}

// completeWaiting completes all waiting samples in spite of crashes.
func (r *crashRun) completeWaiting(version uint64) {
	r.retryOnCrash(func() error {
		r.completeAll(2, version)
		return nil
	})
	synctest.Wait()
	r.retryOnCrash(func() error { return nil })
}

// fetchOnce fetches once at the cursor. If keep is false, the response is lost.
func (r *crashRun) fetchOnce(version uint64, keep bool) {
	var result *peerapi.FetchSamplesResult
	r.retryOnCrash(func() (err error) {
		result, err = r.fetch(2, r.cursor, version, 2)
		return err
	})
	for i, sample := range result.Samples {
		r.checkSample(sample, r.cursor+i, version)
		if keep {
			r.is.True(!r.seen[sample.Index]) // each sample is delivered once
			r.seen[sample.Index] = true
		}
	}
	r.is.Equal(result.NextCursor, r.cursor+len(result.Samples))
	if keep {
		r.cursor = result.NextCursor
	}
}

// checkSample checks one delivered sample.
func (r *crashRun) checkSample(sample peerapi.DeliveredSample, position int, version uint64) {
	tokens := answer(sample.Index, sample.Attempt)
	r.is.Equal(sample.Position, position)
	r.is.Equal(sample.Tokens, tokens)
	r.is.Equal(sample.Reward, float64(len(tokens)))
	r.is.True(sample.Scored)
	r.is.True(r.inBound(sample, version)) // within the staleness bound
	if before, repeated := r.delivered[position]; repeated && before.Attempt != sample.Attempt {
		r.is.Equal(before.Index, sample.Index) // a position keeps its sample
		r.is.True(!r.inBound(before, version)) // an answer is only replaced if it is out of bounds
	}
	r.delivered[position] = sample
}

func (r *crashRun) inBound(sample peerapi.DeliveredSample, version uint64) bool {
	age := time.Since(time.UnixMilli(sample.CompletedUnixMillis))
	return sample.Spans[0].Version+1 >= version && age <= time.Minute-maxHandoverAllowance
}

// runScenario runs a whole step with lost responses, answers that exceed the max age with and without a position, and
// answers that are out of bounds after a new version.
func (r *crashRun) runScenario() {
	r.retryOnCrash(func() error { return r.step(2, 3) })
	r.retryOnCrash(func() error { return r.publish(5) })
	r.completeWaiting(5)
	r.fetchOnce(5, false) // the response is lost
	r.fetchOnce(5, true)
	r.is.Equal(r.cursor, 2)
	r.fetchOnce(5, false)
	time.Sleep(time.Minute) // all but the first two answers exceed the max age
	r.fetchOnce(5, true)
	r.is.Equal(r.cursor, 2)
	r.completeWaiting(5)
	r.fetchOnce(5, true)
	r.is.Equal(r.cursor, 4)
	r.retryOnCrash(func() error { return r.publish(7) }) // the last two answers are two versions behind
	r.fetchOnce(7, true)
	r.completeWaiting(7)
	for r.cursor < 6 {
		r.fetchOnce(7, true)
	}
	r.fetchOnce(7, true) // acknowledges the last samples
	r.is.Equal(len(r.seen), 6)
	r.retryOnCrash(func() error { return r.step(2, 3) })
}

// runWithCrashes runs the scenario with crashes at the given events and returns the number of crashes and of events.
func runWithCrashes(t *testing.T, pause bool, crashAt ...int) (crashes, events int) {
	synctest.Test(t, func(t *testing.T) {
		workload := testWorkload()
		workload.Scorer = "judge"
		r := &crashRun{
			testEnv:   newTestEnv(t, workload),
			is:        is.New(t),
			crashAt:   crashAt,
			pause:     pause,
			seen:      make(map[int]bool),
			delivered: make(map[int]peerapi.DeliveredSample),
		}
		r.failpoint = r.onFailpoint
		if !pause {
			r.log.beforeRecord = r.continueAfterEvent
			r.log.afterRecord = r.continueAfterEvent
		}
		r.runScenario()
		r.service.Close()
		crashes, events = r.crashes, r.events
		if t.Failed() {
			t.Logf("crash at events %v, pause %v", crashAt, pause)
		}
	})
	return crashes, events
}

// crashAtEveryPoint runs the scenario once for each event with a crash at that event. It fails if there are fewer than
// minPoints events.
func crashAtEveryPoint(t *testing.T, pause bool, minPoints int) {
	points := 0
	for {
		if crashes, _ := runWithCrashes(t, pause, points); crashes == 0 || t.Failed() {
			break
		}
		points++
	}
	if points < minPoints {
		t.Errorf("only %d points were tried", points)
	}
	t.Logf("%d points", points)
}

// TestOwnerCrashAtEveryPoint crashes the owner before and after each record and at each failpoint, once per run. It guards
// against samples that are lost, delivered twice or over the staleness bound.
func TestOwnerCrashAtEveryPoint(t *testing.T) { crashAtEveryPoint(t, false, 150) }

// TestPausedOwnerAtEveryPoint replaces the owner at each failpoint of a fetch. The old owner continues the fetch without
// noticing; it must not hand over samples that contradict those of the new owner.
func TestPausedOwnerAtEveryPoint(t *testing.T) { crashAtEveryPoint(t, true, 20) }

// TestOwnerCrashTwice crashes the owner at each event and its successor at each of the next 6 events.
func TestOwnerCrashTwice(t *testing.T) {
	const within = 6
	_, events := runWithCrashes(t, false)
	for first := range events {
		for second := first + 1; second <= first+within && !t.Failed(); second++ {
			runWithCrashes(t, false, first, second)
		}
	}
}
