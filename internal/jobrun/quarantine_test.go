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

// engineBack is how long an engine that crashed is away.
const engineBack = time.Second

// crashPrompt is the body of an item that crashes each engine that runs it.
const crashPrompt = "crash"

// reviveModels has every model engine crash under the prompt, and brings each that ended back under a new id, for a while.
func (w *world) reviveModels(n *node, duration time.Duration) {
	behaviour := memoryengine.Behaviour{
		Pace: pace, Crashes: func(call engineapi.Call) bool { return string(call.Body) == crashPrompt },
	}
	for _, model := range w.models {
		w.engines.Behave(model.ID, behaviour)
	}
	living := append([]fleet.Engine(nil), w.models...)
	for passed := time.Duration(0); passed < duration; passed += engineBack {
		time.Sleep(engineBack)
		for i, engine := range living {
			if !w.engines.Ended(w.ctx, engine) {
				continue
			}
			n.directory.Remove(engine.ID)
			engine.ID = fmt.Sprintf("back%d-%s", i, passed)
			living[i] = engine
			w.engines.Add(engine, behaviour)
			n.directory.Upsert(engine)
		}
	}
}

// TestAnItemThatCrashesEnginesIsWithheld has one item of a job crash every engine that runs it. It may reach as many engines as it takes
// to withhold it and one for each trial; it is given up in its time and not before, and the others are listed whole.
func TestAnItemThatCrashesEnginesIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 4)
		owner := w.node("owner")
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
		w.reviveModels(owner, maxWait+2*time.Second)
		runs := 0
		for _, run := range w.engines.Runs() {
			if run.RequestID == one.Items[3].ID {
				runs++
			}
		}
		is.True(runs >= policy.ItemCrashLimit)
		is.True(runs <= policy.ItemCrashLimit+2)
		whole := 0
		for _, result := range owner.results(one.ID) {
			is.Equal(result.Dead, result.ItemID == one.Items[3].ID)
			if !result.Dead {
				whole++
			}
		}
		is.Equal(whole, len(one.Items)-1)
		is.True(time.Since(submitted) > maxWait)
		owner.release()
	})
}

// TestCallsOfOneContentGoOnOnceCleared has the scorers end under calls that all ask the same, three of them at once by chance, so that the calls
// are withheld. Once a trial was answered, none of the others waits for the next trial.
func TestCallsOfOneContentGoOnOnceCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		owner := w.node("owner")
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
		owner.checkWhole(one)
		owner.release()
	})
}

// TestAnItemThatWasTurnedAwayAtItsTrialIsTriedAgain has three engines end under an item by chance. The engine that it goes to for its trial
// turns it away for a moment, as one that is full does: the trial counted as made, and the item stood at no engine for the ten minutes
// before the next one.
func TestAnItemThatWasTurnedAwayAtItsTrialIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		owner := w.node("owner")
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
		owner.checkWhole(one)
		owner.release()
	})
}
