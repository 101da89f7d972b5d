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
		owner, reader := w.newNode("owner"), w.newNode("reader")
		owner.own(1)
		one := spec("one", 10)
		w.submit(one)
		time.Sleep(2 * eventCount * pace)
		reader.checkComplete(one)
		is.Equal(len(w.engines.Runs()), 20)
		owner.release()
	})
}

// TestItemsSurviveEngineFaults causes each kind of engine fault during a step, on one of three engines, and checks that every
// item is complete in time.
func TestItemsSurviveEngineFaults(t *testing.T) {
	faults := map[string]memoryengine.Behaviour{
		"down":     {Down: true},
		"silent":   {Silent: true},
		"stalled":  {Pace: time.Hour},
		"breaking": {Pace: pace, BreakAfter: 7},
		"full":     {Full: true},
		"slow":     {Pace: 8 * pace},
		"foreign":  {Pace: pace, Foreign: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				owner := w.newNode("owner")
				owner.own(1)
				one, two := spec("one", 10), spec("two", 10)
				w.submit(one)
				time.Sleep(5 * pace)
				w.engines.Behave("model0", fault)
				time.Sleep(time.Second)
				w.submit(two)
				time.Sleep(5 * time.Second)
				owner.checkComplete(one)
				owner.checkComplete(two)
				owner.release()
			})
		})
	}
}

// TestFailingItemsAreAbandoned checks after how many failures an item is abandoned, and that it is listed then.
func TestFailingItemsAreAbandoned(t *testing.T) {
	tests := []struct {
		name      string
		behaviour memoryengine.Behaviour
		runs      int
	}{
		{"status 500", memoryengine.Behaviour{Status: 500}, attempts},
		{"status 422", memoryengine.Behaviour{Status: 422}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 1)
				w.engines.Behave("model0", test.behaviour)
				owner := w.newNode("owner")
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

func TestItemsAreAbandonedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		owner := w.newNode("owner")
		owner.own(1)
		// The owner must see the job when it is accepted: its age would be an estimate if it read the job later.
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

// TestEndedJobReachesNoEngine checks that no item of a job runs after the job's end.
func TestEndedJobReachesNoEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		owner := w.newNode("owner")
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

// TestOldVersionsAreNotUsed checks that engines below the job's minimum version get no items, and that a change of version
// during a run is reported in the result.
func TestOldVersionsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.newNode("owner")
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
		owner.checkComplete(one)
		is.Equal(fmt.Sprint(owner.results("one")[0].Versions), "[3 4]")
		for _, run := range w.engines.Runs() {
			is.True(run.Engine != "model0")
		}
		owner.release()
	})
}

// TestVersionReportedByEngineTakesPrecedence checks that an engine with an outdated version in the directory produces no text:
// the version in the engine's answer takes precedence over the directory's.
func TestVersionReportedByEngineTakesPrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.newNode("owner")
		// The directory has version 3 for both engines; model0 serves version 2.
		owner.directory.SetServedVersion("model0", modelName, 3)
		owner.directory.SetServedVersion("model1", modelName, 3)
		w.load("model1", 3)
		time.Sleep(time.Second)
		owner.own(1)
		one := spec("one", 6)
		one.MinVersion = 3
		w.submit(one)
		time.Sleep(6 * time.Second)
		owner.checkComplete(one)
		owner.release()
	})
}

// TestSingleVersionTexts checks with loads at random times that a text never mixes versions where it must not, and lacks no
// event. It failed for a text that was restarted during a run.
func TestSingleVersionTexts(t *testing.T) {
	for seed := range int64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewSource(seed))
				w := newWorld(t, 3)
				w.singleVersion = true
				owner := w.newNode("owner")
				owner.own(1)
				one := spec("one", 12)
				w.submit(one)
				for version := int64(3); version < 5; version++ {
					for _, engine := range w.models {
						time.Sleep(time.Duration(random.Intn(400)) * time.Millisecond)
						mode := []engineapi.LoadMode{engineapi.LoadCuts, engineapi.LoadKeeps}[random.Intn(2)]
						w.loadWithMode(engine.ID, version, mode)
						owner.directory.SetServedVersion(engine.ID, modelName, version)
						owner.directory.SetLoading(engine.ID, modelName, time.Now().Add(500*time.Millisecond))
					}
				}
				time.Sleep(8 * time.Second)
				owner.checkComplete(one)
				for _, result := range owner.results("one") {
					is.Equal(len(result.Versions), 1)
				}
				owner.release()
			})
		})
	}
}

// TestTakeovers makes owners take the partition over from each other at random times, some of them cut off from the store, with
// a store that loses answers, and checks that every item is listed once and complete.
func TestTakeovers(t *testing.T) {
	for seed := range int64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runTakeovers(t, rand.New(rand.NewSource(seed)))
			})
		})
	}
}

func runTakeovers(t *testing.T, random *rand.Rand) {
	w := newWorld(t, 3)
	nodes := []*node{w.newNode("a"), w.newNode("b")}
	reader := w.newNode("reader")
	losses := rand.New(rand.NewSource(random.Int63()))
	cutOff := ""
	rule := func(call memorylog.Call) memorylog.Fault {
		switch {
		case call.Caller == cutOff:
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
		cutOff = ""
		if random.Intn(2) == 0 {
			cutOff = nodes[(epoch+1)%2].name
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
	reader.checkComplete(one)
	reader.checkComplete(two)
	for _, each := range nodes {
		each.release()
	}
}

// TestResultsOfSupersededOwnerAreReused guards against repeated work after an outage of the store: texts that the old owner had
// completed during the outage were generated again by the next owner.
func TestResultsOfSupersededOwnerAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		old, next := w.newNode("old"), w.newNode("next")
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
		next.checkComplete(one)
		for _, run := range w.engines.Runs()[finished:] {
			// Runs that the next owner started in the meantime are stopped once it reads the old owner's texts.
			is.True(!strings.HasPrefix(run.RequestID, "score-"))
		}
		next.release()
	})
}

// TestResubmittedGroupsResumeEarlierText checks that the text of an earlier job is used if the new job allows its versions.
func TestResubmittedGroupsResumeEarlierText(t *testing.T) {
	for _, fits := range []bool{true, false} {
		t.Run(fmt.Sprint("fits ", fits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2)
				owner := w.newNode("owner")
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
				owner.checkComplete(again)
				is.Equal(w.engines.Runs()[before].ResumeAfter > 0, fits)
				owner.release()
			})
		})
	}
}

// TestProgressIsUsedWhenEarlierTextIsNotAllowed guards against lost progress of items that are submitted again in a second job.
// They started over when the job's owner failed, since the complete text of the first job, whose versions the second job does
// not allow, took precedence over their own progress.
func TestProgressIsUsedWhenEarlierTextIsNotAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		first, next := w.newNode("first"), w.newNode("next")
		first.own(1)
		one := spec("one", 2)
		w.submit(one)
		time.Sleep(time.Second)
		first.checkComplete(one)
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
		next.checkComplete(again)
		is.True(len(w.engines.Runs()) > before)
		for _, run := range w.engines.Runs()[before:] {
			if !strings.HasPrefix(run.RequestID, "score-") {
				is.True(run.ResumeAfter >= 12)
			}
		}
		next.release()
	})
}

// TestDeadlineAppliesWhenRouteIsLearnedLate makes the owner start a job before it has read the catalog. The item used to have
// no deadline then, and its requests to engines had no time limit.
func TestDeadlineAppliesWhenRouteIsLearnedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		w.withoutRoutes = true
		owner := w.newNode("owner")
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
