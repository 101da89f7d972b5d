package jobrun_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// restartTime is how long an engine is away after a crash.
const restartTime = time.Second

const crashPrompt = "crash"

// crashAndReplaceModels makes every model engine crash when it runs crashPrompt, and replaces each crashed engine by one with a
// new ID, for the given duration. It returns the engines that are left.
func (w *world) crashAndReplaceModels(n *node, duration time.Duration) []fleet.Engine {
	return w.crashAndReplace(n, w.models, memoryengine.Behaviour{Pace: pace}, duration)
}

// crashAndReplace does the same with the given engines, which otherwise have the given behaviour.
func (w *world) crashAndReplace(n *node, engines []fleet.Engine, behaviour memoryengine.Behaviour, duration time.Duration) []fleet.Engine {
	behaviour.Crashes = func(call engineapi.Call) bool { return string(call.Body) == crashPrompt }
	for _, engine := range engines {
		w.engines.Behave(engine.ID, behaviour)
	}
	current := slices.Clone(engines)
	for passed := time.Duration(0); passed < duration; passed += restartTime {
		time.Sleep(restartTime)
		for i, engine := range current {
			if !w.engines.Ended(w.ctx, engine) {
				continue
			}
			n.directory.Remove(engine.ID)
			engine.ID = fmt.Sprintf("%s-back%d-%s", engine.Pool, i, passed)
			current[i] = engine
			w.engines.Add(engine, behaviour)
			n.directory.Upsert(engine)
		}
	}
	return current
}

// runsOf returns when the runs of an item began.
func (w *world) runsOf(item job.Item) []time.Time {
	var starts []time.Time
	for _, run := range w.engines.Runs() {
		if run.RequestID == item.ID {
			starts = append(starts, run.At)
		}
	}
	return starts
}

// crashSpec returns a job whose fourth item has the body crashPrompt. Each other item has a body of its own.
func crashSpec() (job.Spec, job.Item) {
	one := spec("one", 10)
	for i := range one.Items {
		one.Items[i].Body = []byte(fmt.Sprint("prompt", i))
	}
	one.Items[3].Body = []byte(crashPrompt)
	return one, one.Items[3]
}

// TestCrashingItemStaysOwed makes one item of a job crash every engine that runs it. It must run again and again until its deadline, since
// an item is owed whatever crashed under it, but only after a pause, so that it ends one engine in each pause. It must be abandoned at its
// deadline and not before, and the other items must be complete.
func TestCrashingItemStaysOwed(t *testing.T) {
	const minPause, maxPause = time.Second, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 4)
		owner := w.newNode("owner")
		owner.own(1)
		one, crashing := crashSpec()
		submitted := time.Now()
		go func() {
			time.Sleep(time.Millisecond)
			w.submit(one)
		}()
		w.crashAndReplaceModels(owner, maxWait+2*time.Second)
		starts := w.runsOf(crashing)
		is.True(len(starts) > policy.ItemCrashLimit)
		for i, start := range starts[policy.ItemCrashLimit:] {
			previous := starts[policy.ItemCrashLimit+i-1]
			is.True(start.Sub(previous) >= minPause)
			is.True(start.Sub(previous) <= maxPause)
		}
		is.True(submitted.Add(maxWait).Sub(starts[len(starts)-1]) <= maxPause)
		completed := 0
		for _, result := range owner.results(one.ID) {
			is.Equal(result.Dead, result.ItemID == crashing.ID)
			if !result.Dead {
				completed++
			}
		}
		is.Equal(completed, len(one.Items)-1)
		is.True(time.Since(submitted) > maxWait)
		owner.release()
	})
}

// TestUnluckyItemRunsAgain guards against an item that is never placed again after engines crashed under it, by chance, in its trials too: it
// was withheld for ten minutes while engines were free and its job was open. Once the crashes are over it must run within seconds, also
// where another process has become its owner.
func TestUnluckyItemRunsAgain(t *testing.T) {
	const crashTime, runTime = 6 * time.Second, 5 * time.Second
	for _, handOver := range []bool{false, true} {
		t.Run(fmt.Sprint("handed over ", handOver), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4)
				owner := w.newNode("owner")
				owner.own(1)
				one, _ := crashSpec()
				go func() {
					time.Sleep(time.Millisecond)
					w.submit(one)
				}()
				for _, engine := range w.crashAndReplaceModels(owner, crashTime) {
					w.engines.Behave(engine.ID, memoryengine.Behaviour{Pace: pace})
				}
				if handOver {
					next := w.newNode("next")
					for _, model := range w.models {
						next.directory.Remove(model.ID)
					}
					for _, engine := range owner.directory.Pool("models") {
						next.directory.Upsert(engine)
					}
					owner.release()
					owner = next
					owner.own(2)
				}
				time.Sleep(runTime)
				owner.checkComplete(one)
				owner.release()
			})
		})
	}
}

// TestUnluckyScoreIsTriedAgain guards against an item that is never listed after engines crashed, by chance, under the call that scores it and
// under the first trial of that call: the second trial came ten minutes later, when its job had ended.
func TestUnluckyScoreIsTriedAgain(t *testing.T) {
	const crashTime = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		owner := w.newNode("owner")
		owner.own(1)
		one, _ := crashSpec()
		for i := range one.Items {
			one.Items[i].Scorer.Body = one.Items[i].Body
			one.Items[i].Body = nil
		}
		go func() {
			time.Sleep(time.Millisecond)
			w.submit(one)
		}()
		for _, engine := range w.crashAndReplace(owner, w.scorers, memoryengine.Behaviour{Work: pace}, crashTime) {
			w.engines.Behave(engine.ID, memoryengine.Behaviour{Work: pace})
		}
		time.Sleep(maxWait - crashTime - time.Second)
		owner.checkComplete(one)
		owner.release()
	})
}

// TestItemWithheldByEarlierBuildRunsAgain guards against items that stay withheld after an upgrade: the build before had counted the crashes
// and both of its trials.
func TestItemWithheldByEarlierBuildRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		one, crashing := crashSpec()
		content := quarantine.ContentOf(engineapi.Call{Host: "h", Method: http.MethodPost, Target: crashing.Path, Body: crashing.Body}).String()
		var history []keyedlog.Record
		for _, event := range []string{"ended/a@1700000000123", "ended/b@1700000000123", "ended/c", "trial/1/old#1", "ended/d", "trial/2/old#2", "ended/e"} {
			history = append(history, keyedlog.Record{Key: content + "/" + event, Value: []byte{0x80}})
		}
		w.append(keyedlog.Crashes, history, nil)
		owner := w.newNode("owner")
		owner.own(1)
		w.submit(one)
		time.Sleep(5 * time.Second)
		owner.checkComplete(one)
		owner.release()
	})
}

// TestCallsContinueOnceContentIsCleared ends the scorers during calls with equal content, three at once by coincidence, so that
// the calls are withheld. Once a trial has been answered, the other calls must not wait for the next trial.
func TestCallsContinueOnceContentIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		owner := w.newNode("owner")
		third := fleet.Engine{ID: "scorer2", Pool: "scorers", Slots: 4}
		w.scorers = append(w.scorers, third)
		w.engines.Add(third, memoryengine.Behaviour{Work: pace})
		owner.directory.Upsert(third)
		for _, scorer := range w.scorers {
			w.engines.Behave(scorer.ID, memoryengine.Behaviour{Work: 2 * time.Second})
		}
		owner.own(1)
		one := spec("one", 10)
		w.submit(one)
		time.Sleep(eventCount*pace + 200*time.Millisecond)
		for _, scorer := range w.scorers {
			w.engines.Behave(scorer.ID, memoryengine.Behaviour{Down: true})
		}
		time.Sleep(time.Second)
		for _, scorer := range w.scorers {
			w.engines.Behave(scorer.ID, memoryengine.Behaviour{Work: pace})
		}
		time.Sleep(5 * time.Second)
		owner.checkComplete(one)
		owner.release()
	})
}

// TestTrialRejectedByEngineIsRepeated ends three engines during runs of one item by coincidence. The engine that gets the item
// for its trial rejects it for a moment, like one that is full. That trial used to count as made, and the item ran on no engine
// for the ten minutes until the next trial.
func TestTrialRejectedByEngineIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		owner := w.newNode("owner")
		owner.own(1)
		time.Sleep(time.Second)
		one := spec("one", 1)
		one.Items[0].Body = []byte(crashPrompt)
		for _, model := range w.models[:3] {
			w.engines.Behave(model.ID, memoryengine.Behaviour{
				Pace: pace, Crashes: func(call engineapi.Call) bool { return string(call.Body) == crashPrompt },
			})
		}
		last := w.models[3].ID
		w.engines.Behave(last, memoryengine.Behaviour{Full: true})
		w.submit(one)
		time.Sleep(4500 * time.Millisecond)
		w.engines.Behave(last, memoryengine.Behaviour{Pace: pace})
		time.Sleep(3 * time.Second)
		owner.checkComplete(one)
		owner.release()
	})
}
