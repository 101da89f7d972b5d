package jobrun_test

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

func TestItemsAreRunScoredAndListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		owner, reader := w.node("owner"), w.node("reader")
		owner.own(1)
		one := spec("one", 10)
		w.submit(one)
		time.Sleep(2 * eventCount * pace)
		reader.checkWhole(one)
		is.Equal(len(w.engines.Runs()), 20)
		owner.release()
	})
}

// TestTroublesOfEngines brings about each trouble of an engine in the middle of a step, on one of three engines, and checks
// that every item is whole in time.
func TestTroublesOfEngines(t *testing.T) {
	troubles := map[string]memoryengine.Behaviour{
		"down":     {Down: true},
		"silent":   {Silent: true},
		"stalled":  {Pace: time.Hour},
		"breaking": {Pace: pace, BreakAfter: 7},
		"full":     {Full: true},
		"slow":     {Pace: 8 * pace},
		"foreign":  {Pace: pace, Foreign: true},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				owner := w.node("owner")
				owner.own(1)
				one, two := spec("one", 10), spec("two", 10)
				w.submit(one)
				time.Sleep(5 * pace)
				w.engines.Behave("model0", trouble)
				time.Sleep(time.Second)
				w.submit(two)
				time.Sleep(5 * time.Second)
				owner.checkWhole(one)
				owner.checkWhole(two)
				owner.release()
			})
		})
	}
}

// TestItemsThatAlwaysFailAreGivenUp checks when an item may be given up, and that it is listed then.
func TestItemsThatAlwaysFailAreGivenUp(t *testing.T) {
	tests := []struct {
		name      string
		behaviour memoryengine.Behaviour
		runs      int
	}{
		{"answers of 500", memoryengine.Behaviour{Status: 500}, attempts},
		{"an answer of 422", memoryengine.Behaviour{Status: 422}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 1)
				w.engines.Behave("model0", test.behaviour)
				owner := w.node("owner")
				owner.own(1)
				w.submit(spec("one", 1))
				time.Sleep(3 * time.Second)
				results := owner.results("one")
				is.Equal(len(results), 1)
				is.True(results[0].Dead)
				is.Equal(len(w.engines.Runs()), test.runs)
				owner.release()
			})
		})
	}
}

func TestItemsAreGivenUpInTimeAndNotBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		owner := w.node("owner")
		owner.own(1)
		// The job is seen as it is accepted, not afterwards, when its age would be an estimate.
		time.Sleep(time.Second)
		w.submit(spec("one", 2))
		time.Sleep(maxWait - 10*time.Millisecond)
		is.Equal(len(owner.results("one")), 0)
		time.Sleep(200 * time.Millisecond)
		is.Equal(len(owner.results("one")), 2)
		is.True(owner.results("one")[0].Dead)
		owner.release()
	})
}

// TestAnEndedJobReachesNoEngine checks that nothing of a job runs after its end.
func TestAnEndedJobReachesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		owner := w.node("owner")
		owner.own(1)
		w.submit(spec("one", 30))
		time.Sleep(10 * pace)
		w.end("one")
		time.Sleep(100 * time.Millisecond)
		runs := len(w.engines.Runs())
		for _, item := range spec("one", 30).Items {
			is.Equal(w.engines.Running(item.ID), 0)
		}
		time.Sleep(10 * time.Second)
		is.Equal(len(w.engines.Runs()), runs)
		owner.release()
	})
}

// TestEnginesOfOldVersionsGetNothing checks the oldest version allowed, and that a change in mid-run is told.
func TestEnginesOfOldVersionsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.node("owner")
		owner.directory.SetServedVersion("model1", modelName, 3)
		w.load("model1", 3)
		time.Sleep(time.Second)
		owner.own(1)
		one := spec("one", 3)
		one.MinVersion = 3
		w.submit(one)
		time.Sleep(5 * pace)
		w.load("model1", 4)
		time.Sleep(3 * time.Second)
		owner.checkWhole(one)
		is.Equal(fmt.Sprint(owner.results("one")[0].Versions), "[3 4]")
		for _, run := range w.engines.Runs() {
			is.True(run.Engine != "model0")
		}
		owner.release()
	})
}

// TestABeliefThatIsWrongMakesNoStaleText checks that the engine's word counts, not what is believed of it.
func TestABeliefThatIsWrongMakesNoStaleText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.node("owner")
		// Both are believed to serve version 3; one does not.
		owner.directory.SetServedVersion("model0", modelName, 3)
		owner.directory.SetServedVersion("model1", modelName, 3)
		w.load("model1", 3)
		time.Sleep(time.Second)
		owner.own(1)
		one := spec("one", 6)
		one.MinVersion = 3
		w.submit(one)
		time.Sleep(6 * time.Second)
		owner.checkWhole(one)
		owner.release()
	})
}

// TestTextsOfOneVersion checks, with loads at any moment, that a text never mixes versions where it may not, and lacks no
// event. It failed for a text that started anew in the middle of a run.
func TestTextsOfOneVersion(t *testing.T) {
	for seed := range int64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewSource(seed))
				w := newWorld(t, 3)
				w.singleVersion = true
				owner := w.node("owner")
				owner.own(1)
				one := spec("one", 12)
				w.submit(one)
				for version := int64(3); version < 5; version++ {
					for _, engine := range w.models {
						time.Sleep(time.Duration(random.Intn(400)) * time.Millisecond)
						mode := []engineapi.LoadMode{engineapi.LoadCuts, engineapi.LoadKeeps}[random.Intn(2)]
						w.loadBy(engine.ID, version, mode)
						owner.directory.SetServedVersion(engine.ID, modelName, version)
						owner.directory.SetLoading(engine.ID, modelName, time.Now().Add(500*time.Millisecond))
					}
				}
				time.Sleep(8 * time.Second)
				owner.checkWhole(one)
				for _, result := range owner.results("one") {
					is.Equal(len(result.Versions), 1)
				}
				owner.release()
			})
		})
	}
}

// TestTakeovers lets owners take the partition from each other at any moment, some cut off from the store, over a store that
// loses answers, and checks that every item is listed once and whole.
func TestTakeovers(t *testing.T) {
	for seed := range int64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playTakeovers(t, rand.New(rand.NewSource(seed)))
			})
		})
	}
}

func playTakeovers(t *testing.T, random *rand.Rand) {
	w := newWorld(t, 3)
	nodes := []*node{w.node("a"), w.node("b")}
	reader := w.node("reader")
	losses := rand.New(rand.NewSource(random.Int63()))
	silenced := ""
	rule := func(call memorylog.Call) memorylog.Fault {
		switch {
		case call.Caller == silenced:
			return memorylog.Silent
		case call.Caller != "gateway" && call.Operation == "append" && losses.Intn(5) == 0:
			return memorylog.LostAfter
		default:
			return memorylog.None
		}
	}
	w.store.SetRule(rule)
	one, two := spec("one", 10), spec("two", 10)
	w.submit(one)
	for epoch := range int64(5) {
		next := nodes[epoch%2]
		if next.work != nil {
			next.release()
		}
		w.store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.None })
		silenced = ""
		if random.Intn(2) == 0 {
			silenced = nodes[(epoch+1)%2].name
		}
		w.store.SetRule(rule)
		next.own(epoch + 1)
		time.Sleep(time.Duration(random.Intn(500)) * time.Millisecond)
		if epoch == 2 {
			w.submit(two)
		}
	}
	w.store.Heal()
	time.Sleep(6 * time.Second)
	reader.checkWhole(one)
	reader.checkWhole(two)
	for _, each := range nodes {
		each.release()
	}
}

// TestFinishedWorkOutlivesItsOwner is the fault found on days with lapses of the store: what the old owner had finished while
// the store was away was run again by the next.
func TestFinishedWorkOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		old, next := w.node("old"), w.node("next")
		old.own(1)
		one := spec("one", 6)
		w.submit(one)
		time.Sleep(4 * pace)
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "old" {
				return memorylog.Down
			}
			return memorylog.None
		})
		time.Sleep(2 * time.Second)
		finished := len(w.engines.Runs())
		is.Equal(finished, 12)
		w.store.Heal()
		next.own(2)
		old.release()
		time.Sleep(time.Second)
		next.checkWhole(one)
		for _, run := range w.engines.Runs()[finished:] {
			// Runs that the next owner began at once were stopped when the old one's texts came.
			is.True(!strings.HasPrefix(run.RequestID, "score-"))
		}
		next.release()
	})
}

// TestGroupsThatComeAgainStartFromWhatIsKept checks that text of an earlier job is used where its versions fit.
func TestGroupsThatComeAgainStartFromWhatIsKept(t *testing.T) {
	for _, fits := range []bool{true, false} {
		t.Run(fmt.Sprint("fits ", fits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2)
				owner := w.node("owner")
				owner.own(1)
				one := spec("one", 2)
				w.submit(one)
				time.Sleep(10*pace + pace/2)
				w.end("one")
				time.Sleep(100 * time.Millisecond)
				again := job.Spec{ID: "two", Route: "items", Host: "h", Model: modelName, MinVersion: 2, Items: one.Items}
				if !fits {
					again.MinVersion = 3
					for _, engine := range w.models {
						w.load(engine.ID, 3)
						owner.directory.SetServedVersion(engine.ID, modelName, 3)
					}
				}
				before := len(w.engines.Runs())
				w.submit(again)
				time.Sleep(4 * time.Second)
				owner.checkWhole(again)
				is.Equal(w.engines.Runs()[before].ResumeAfter > 0, fits)
				owner.release()
			})
		})
	}
}

// TestTextThatDoesNotFitHidesNoProgress is the fault found at the end of days: items that came again in a second job began anew
// when its owner died, since the whole text of the first job, which the second doesn't allow, went before their own progress.
func TestTextThatDoesNotFitHidesNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		first, next := w.node("first"), w.node("next")
		first.own(1)
		one := spec("one", 2)
		w.submit(one)
		time.Sleep(time.Second)
		first.checkWhole(one)
		w.end("one")
		for _, engine := range w.models {
			w.load(engine.ID, 3)
			first.directory.SetServedVersion(engine.ID, modelName, 3)
			next.directory.SetServedVersion(engine.ID, modelName, 3)
		}
		time.Sleep(time.Second)
		again := job.Spec{ID: "two", Route: "items", Host: "h", Model: modelName, MinVersion: 3, Items: one.Items}
		w.submit(again)
		time.Sleep(17 * pace)
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "first" {
				return memorylog.Silent
			}
			return memorylog.None
		})
		first.cancel()
		before := len(w.engines.Runs())
		next.own(2)
		time.Sleep(2 * time.Second)
		next.checkWhole(again)
		is.True(len(w.engines.Runs()) > before)
		for _, run := range w.engines.Runs()[before:] {
			if !strings.HasPrefix(run.RequestID, "score-") {
				is.True(run.ResumeAfter >= 12)
			}
		}
		next.release()
	})
}

// TestAnItemIsGivenUpInTimeByAnOwnerThatLearnsItsRouteLate has the owner take up a job before it knows the configuration: the item had no time
// at which it may be given up, and engines were given no bound on its runs.
func TestAnItemIsGivenUpInTimeByAnOwnerThatLearnsItsRouteLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		w.unconfigured = true
		owner := w.node("owner")
		owner.own(1)
		time.Sleep(time.Second)
		w.submit(spec("one", 2))
		time.Sleep(time.Second)
		owner.configure(w)
		time.Sleep(maxWait - 1100*time.Millisecond)
		is.Equal(len(owner.results("one")), 0)
		time.Sleep(400 * time.Millisecond)
		is.Equal(len(owner.results("one")), 2)
		owner.release()
	})
}
