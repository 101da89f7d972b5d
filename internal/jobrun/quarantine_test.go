package jobrun_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// restartTime is how long an engine is away after a crash.
const restartTime = time.Second

const crashPrompt = "crash"

// crashAndReplaceModels makes every model engine crash when it runs crashPrompt, and replaces each crashed engine by one with a
// new ID, for the given duration.
func (w *world) crashAndReplaceModels(n *node, duration time.Duration) {
	behaviour := memoryengine.Behaviour{
		Pace: pace, Crashes: func(call engineapi.Call) bool { return string(call.Body) == crashPrompt },
	}
	for _, model := range w.models {
		w.engines.Behave(model.ID, behaviour)
	}
	current := append([]fleet.Engine(nil), w.models...)
	for passed := time.Duration(0); passed < duration; passed += restartTime {
		time.Sleep(restartTime)
		for i, engine := range current {
			if !w.engines.Ended(w.ctx, engine) {
				continue
			}
			n.directory.Remove(engine.ID)
			engine.ID = fmt.Sprintf("back%d-%s", i, passed)
			current[i] = engine
			w.engines.Add(engine, behaviour)
			n.directory.Upsert(engine)
		}
	}
}

// TestCrashingItemIsWithheld makes one item of a job crash every engine that runs it. It may reach as many engines as are
// needed to withhold it, and one for each trial. It must be abandoned at its deadline and not before, and the other items must
// be complete.
func TestCrashingItemIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 4)
		owner := w.newNode("owner")
		owner.own(1)
		one := spec("one", 10)
		for i := range one.Items {
			one.Items[i].Body = []byte(fmt.Sprint("prompt", i))
		}
		one.Items[3].Body = []byte(crashPrompt)
		submitted := time.Now()
		go func() {
			time.Sleep(time.Millisecond)
			w.submit(one)
		}()
		w.crashAndReplaceModels(owner, maxWait+2*time.Second)
		runs := 0
		for _, run := range w.engines.Runs() {
			if run.RequestID == one.Items[3].ID {
				runs++
			}
		}
		is.True(runs >= policy.ItemCrashLimit)
		is.True(runs <= policy.ItemCrashLimit+2)
		completed := 0
		for _, result := range owner.results(one.ID) {
			is.Equal(result.Dead, result.ItemID == one.Items[3].ID)
			if !result.Dead {
				completed++
			}
		}
		is.Equal(completed, len(one.Items)-1)
		is.True(time.Since(submitted) > maxWait)
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
