package fleet_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

func engine(id string, version int64) fleet.Engine {
	return fleet.Engine{ID: id, Pool: "p", Zone: "z", Slots: 4, Versions: map[string]int64{"m": version}}
}

func TestPick(t *testing.T) {
	want := fleet.Want{Pool: "p", Model: "m", MinVersion: 2, Zone: "z", Share: 1}
	exact := want
	exact.ExactVersion = 2
	excluding := want
	excluding.Exclude = []string{"a"}
	alone := want
	alone.Alone = true
	draining := engine("a", 3)
	draining.Draining = true
	otherPool := engine("a", 3)
	otherPool.Pool = "q"
	far := engine("a", 3)
	far.Zone = "y"
	tests := []struct {
		name       string
		want       fleet.Want
		candidates []fleet.Candidate
		picked     string
	}{
		{"the less busy engine", want, []fleet.Candidate{{Engine: engine("a", 3), InFlight: 2}, {Engine: engine("b", 3), InFlight: 1}}, "b"},
		{"no engine with an old version", want, []fleet.Candidate{{Engine: engine("a", 1)}, {Engine: engine("b", 2), InFlight: 3}}, "b"},
		{"the exact version", exact, []fleet.Candidate{{Engine: engine("a", 3)}, {Engine: engine("b", 2), InFlight: 3}}, "b"},
		{"no draining engine", want, []fleet.Candidate{{Engine: draining}, {Engine: engine("b", 3), InFlight: 3}}, "b"},
		{"no engine of another pool", want, []fleet.Candidate{{Engine: otherPool}}, ""},
		{"no excluded engine", excluding, []fleet.Candidate{{Engine: engine("a", 3)}, {Engine: engine("b", 3), InFlight: 3}}, "b"},
		{"no loading engine", want, []fleet.Candidate{{Engine: engine("a", 3), Loading: true}}, ""},
		{"no full engine", want, []fleet.Candidate{{Engine: engine("a", 3), InFlight: 4}}, ""},
		{"an engine that failed recently is the last choice", want, []fleet.Candidate{{Engine: engine("a", 3), Avoided: true}, {Engine: engine("b", 3), InFlight: 3}}, "b"},
		{"an engine that failed recently rather than none", want, []fleet.Candidate{{Engine: engine("a", 3), Avoided: true}}, "a"},
		{"the same zone among equals", want, []fleet.Candidate{{Engine: far}, {Engine: engine("b", 3)}}, "b"},
		{"another zone rather than a busy engine", want, []fleet.Candidate{{Engine: far}, {Engine: engine("b", 3), InFlight: 1}}, "a"},
		{
			"an engine without other work, for work that should run alone", alone, []fleet.Candidate{
				{Engine: engine("a", 3), InFlight: 1}, {Engine: far}, {Engine: engine("c", 3), PeerHeld: 1},
			}, "a",
		},
		{"a busy engine rather than none, for work that should run alone", alone, []fleet.Candidate{{Engine: engine("a", 3), InFlight: 1}}, "a"},
		{
			"a slow engine is the last choice", want, []fleet.Candidate{
				{Engine: engine("a", 3), Forecast: policy.ConstantPace(100 * time.Millisecond)}, {Engine: engine("b", 3), Forecast: policy.ConstantPace(30 * time.Millisecond), InFlight: 3},
				{Engine: engine("c", 3), Forecast: policy.ConstantPace(30 * time.Millisecond), InFlight: 4},
			}, "b",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			picked, found := fleet.Pick(test.candidates, test.want, time.Now())
			is.Equal(found, test.picked != "")
			is.Equal(picked.Engine.ID, test.picked)
		})
	}
}

// TestAffinityKeepsWorkOnOneEngine checks that work that shares a prompt prefers one engine while that engine is no
// busier than others.
func TestAffinityKeepsWorkOnOneEngine(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	for _, id := range []string{"a", "b", "c"} {
		directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 100})
	}
	used := make(map[string]int)
	for range 5 {
		picked, found := directory.Acquire(fleet.Want{Pool: "p", Affinity: "group", Share: 1})
		is.True(found)
		used[picked.ID]++
		directory.Release(picked.ID)
	}
	is.Equal(len(used), 1)
}

// TestStaleRecordsAreIgnored checks that what was learned from an engine itself is not undone by an older record of it.
func TestStaleRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	directory.Upsert(engine("a", 1))
	directory.SetServedVersion("a", "m", 3)
	directory.Upsert(engine("a", 1))
	known, _ := directory.Engine("a")
	is.Equal(known.ServedVersion("m"), int64(3))

	leaving := engine("a", 1)
	leaving.Draining = true
	directory.Upsert(leaving)
	directory.Upsert(engine("a", 1))
	_, found := directory.Acquire(fleet.Want{Pool: "p", Model: "m"})
	is.True(!found)

	directory.Remove("a")
	_, exists := directory.Engine("a")
	is.True(!exists)
}

func TestAvoidanceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		directory.Upsert(fleet.Engine{ID: "a", Pool: "p", Slots: 1, Zone: "z"})
		directory.Upsert(fleet.Engine{ID: "b", Pool: "p", Slots: 1, Zone: "y"})
		want := fleet.Want{Pool: "p", Zone: "z"}
		directory.Failed("a", policy.FailureInWork, "broken")
		picked, _ := directory.Acquire(want)
		is.Equal(picked.ID, "b")
		directory.Release("b")
		time.Sleep(time.Second)
		picked, _ = directory.Acquire(want)
		is.Equal(picked.ID, "a")
	})
}

// TestAcquireBetterLeavesSlowEngine checks that work moves only if that saves much time, and only to an engine with a
// free slot, where it is counted at once.
func TestAcquireBetterLeavesSlowEngine(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	for _, id := range []string{"a", "b", "c"} {
		directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 2})
		directory.RecordGap(id, 30*time.Millisecond)
	}
	long, short := fleet.Want{Pool: "p", Share: 1, Events: 50}, fleet.Want{Pool: "p", Share: 1, Events: 2}
	better := func(want fleet.Want) bool {
		_, found := directory.AcquireBetter("a", want)
		return found
	}
	is.True(!better(long))
	for range 30 {
		directory.RecordGap("a", 120*time.Millisecond)
	}
	is.True(!better(short))
	for range 4 {
		is.True(better(long))
	}
	// No other engine has a free slot: staying is better than waiting.
	is.True(!better(long))
}

// TestLongWorkWaitsForFastEngine uses two engines of which one is slower. Long work waits for the fast engine while it
// may still end sooner there; short work takes any free slot.
func TestLongWorkWaitsForFastEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		for id, pace := range map[string]time.Duration{"fast": 40 * time.Millisecond, "slow": 50 * time.Millisecond} {
			directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 2})
			directory.RecordGap(id, pace)
		}
		since := time.Now()
		want := func(events float64) fleet.Want {
			return fleet.Want{Pool: "p", Share: 1, Events: events, Since: since}
		}
		assigned := func(wants ...fleet.Want) []string {
			ids := make([]string, len(wants))
			for i, engine := range directory.Assign(wants) {
				ids[i] = engine.ID
			}
			return ids
		}
		is.Equal(assigned(want(100), want(100), want(100), want(10)), []string{"fast", "fast", "", ""})
		time.Sleep(100 * time.Millisecond)
		is.Equal(assigned(want(100), want(10)), []string{"", "slow"})
		time.Sleep(900 * time.Millisecond)
		is.Equal(assigned(want(100)), []string{"slow"})
	})
}

// TestWorkPrefersEnginesOfItsModel checks that work avoids engines assigned to other models while engines of its own
// model may run it, and takes few of the others' slots after a long wait. In a pool shared by eight models without this
// preference, three quarters of the runs of the first seconds ran beside another model's on an engine, and 578 were
// rejected.
func TestWorkPrefersEnginesOfItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		directory.SetAssignedModels("p", map[string]string{"own": "m", "other": "n"})
		for _, id := range []string{"own", "other"} {
			directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 6, Versions: map[string]int64{"m": 1, "n": 1}})
			directory.RecordGap(id, 30*time.Millisecond)
		}
		want := fleet.Want{Pool: "p", Model: "m", Share: 1, Since: time.Now()}
		placed := func() map[string]int {
			count := make(map[string]int)
			for _, engine := range directory.Assign(slices.Repeat([]fleet.Want{want}, 20)) {
				count[engine.ID]++
			}
			return count
		}
		is.Equal(placed(), map[string]int{"own": 6, "": 14})
		time.Sleep(2 * time.Second)
		is.Equal(placed(), map[string]int{"other": 3, "": 17})

		// A slow run is not moved to an engine of another model.
		for range 40 {
			directory.RecordGap("own", time.Second)
		}
		is.True(!directory.Exists(fleet.Want{Pool: "q"}))
		moving := want
		moving.Events = 50
		_, better := directory.AcquireBetter("own", moving)
		is.True(!better)

		// Without an engine of its own model that may run it, work goes to any engine at once.
		want.MinVersion = 2
		want.Since = time.Now()
		directory.SetServedVersion("other", "m", 2)
		is.Equal(placed(), map[string]int{"other": 3, "": 17})

		// The same applies where engines are not assigned.
		fresh := fleet.NewDirectory()
		fresh.Upsert(fleet.Engine{ID: "any", Pool: "p", Slots: 6, Versions: map[string]int64{"m": 1}})
		_, found := fresh.Acquire(fleet.Want{Pool: "p", Model: "m", Share: 1})
		is.True(found)
	})
}

// TestRestartResetsEngine checks that an engine that restarts under the same ID serves the versions that it then
// reports, whatever was learned of the earlier incarnation, and that a delayed record of the earlier incarnation changes
// nothing.
func TestRestartResetsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		want := fleet.Want{Pool: "p", Model: "m", MinVersion: 3, Zone: "z", Share: 1}
		first := engine("a", 3)
		first.StartedAt = time.UnixMilli(1000)
		directory.Upsert(first)
		directory.SetServedVersion("a", "m", 5)
		directory.SetLoading("a", "m", time.Now().Add(time.Minute))
		leaving := first
		leaving.Draining = true
		directory.Upsert(leaving)
		directory.Failed("a", policy.FailureToConnect, "gone")
		_, found := directory.Acquire(want)
		is.True(!found)
		directory.Upsert(engine("b", 3))
		for range 2 {
			picked, found := directory.Acquire(want)
			is.True(found)
			is.Equal(picked.ID, "b")
		}

		second := engine("a", 3)
		second.StartedAt = time.UnixMilli(2000)
		directory.Upsert(second)
		directory.Upsert(leaving)
		known, _ := directory.Engine("a")
		is.Equal(known.ServedVersion("m"), int64(3))
		is.True(!known.Draining)
		// It is neither loading nor avoided any more, and the other engine is half full.
		picked, found := directory.Acquire(want)
		is.True(found)
		is.Equal(picked.ID, "a")
	})
}

// TestRestartedNeedsBothStartTimes checks that an engine without a start time counts as the known incarnation.
func TestRestartedNeedsBothStartTimes(t *testing.T) {
	is := is.New(t)
	old, later, undated := engine("a", 1), engine("a", 1), engine("a", 1)
	old.StartedAt, later.StartedAt = time.UnixMilli(1000), time.UnixMilli(1001)
	is.True(later.Restarted(old))
	is.True(!old.Restarted(later))
	is.True(!old.Restarted(old))
	is.True(!undated.Restarted(old))
	is.True(!later.Restarted(undated))
}

// TestFastSlotsAreLeftToCriticalWork assigns a step with a few items much longer than the others to 3 fast and 8 slow
// engines; the queue is ordered by length. Callers wait for the longest item, so each long item must get a fast slot.
// The short ones have slack for any slot, so that no slot may stay free while an item waits.
func TestFastSlotsAreLeftToCriticalWork(t *testing.T) {
	const (
		fast, slow           = 27 * time.Millisecond, 60 * time.Millisecond
		fastCount, slowCount = 3, 8
		slots                = 4
		long, short          = 140.0, 20.0
	)
	slack := policy.Slack(long, fast)
	tests := []struct {
		name        string
		long, short int
		waiting     int
	}{
		{"slots for all items", 8, 32, 0},
		{"fast slots are left over", 2, 40, 0},
		{"short items fill the pool", 4, 60, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				directory := fleet.NewDirectory()
				for i := range fastCount + slowCount {
					id, pace := string(rune('a'+i)), slow
					if i < fastCount {
						pace = fast
					}
					directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: slots})
					directory.RecordGap(id, pace)
				}
				want := fleet.Want{Pool: "p", Share: 1, Since: time.Now(), Slack: slack, Events: long}
				wants := slices.Repeat([]fleet.Want{want}, test.long)
				want.Events = short
				wants = append(wants, slices.Repeat([]fleet.Want{want}, test.short)...)
				waiting := 0
				for i, engine := range directory.Assign(wants) {
					if engine.ID == "" {
						waiting++
					}
					if wants[i].Events == long {
						is.True(engine.ID != "" && engine.ID < string(rune('a'+fastCount)))
					}
				}
				is.Equal(waiting, test.waiting)
			})
		})
	}
}

// TestWorkWithinSlackIsNotMoved checks that work moves only if it would exceed its slack.
func TestWorkWithinSlackIsNotMoved(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	for id, pace := range map[string]time.Duration{"fast": 27 * time.Millisecond, "slow": 60 * time.Millisecond} {
		directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 2})
		directory.RecordGap(id, pace)
	}
	want := fleet.Want{Pool: "p", Share: 1, Events: 40, Slack: policy.Slack(140, directory.FastestPace("p", ""))}
	_, better := directory.AcquireBetter("slow", want)
	is.True(!better)
	is.True(directory.SuitableEngines(want)["slow"])
	want.Slack = policy.Slack(45, directory.FastestPace("p", ""))
	is.True(!directory.SuitableEngines(want)["slow"])
	_, better = directory.AcquireBetter("slow", want)
	is.True(better)
}

// TestRunYieldsOnlyWhereWaitingWorkTakesTheSlot covers work that waits while engines are full of runs that could yield. Runs at
// engines that would not take the work used to yield to it again and again: another item took each slot that they gave up.
func TestRunYieldsOnlyWhereWaitingWorkTakesTheSlot(t *testing.T) {
	want := fleet.Want{Pool: "p", Share: 1, Model: "m", MinVersion: 1, Events: 20}
	const longWait = 2 * time.Second
	tests := []struct {
		name       string
		pace       time.Duration
		model      string
		heldByPeer int
		waited     time.Duration
		suitable   bool
	}{
		{"engine of its model", 40 * time.Millisecond, "m", 0, 0, true},
		{"engine of another model", 40 * time.Millisecond, "other", 0, 0, false},
		{"engine of another model after a long wait", 40 * time.Millisecond, "other", 0, longWait, false},
		{"slower engine that the work waits to avoid", 50 * time.Millisecond, "m", 0, 0, false},
		{"slower engine after a long wait", 50 * time.Millisecond, "m", 0, longWait, true},
		{"engine that other processes fill", 40 * time.Millisecond, "m", 4, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				directory := fleet.NewDirectory()
				for id, pace := range map[string]time.Duration{"own": 40 * time.Millisecond, "tested": test.pace} {
					directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 4, Versions: map[string]int64{"m": 1}})
					directory.RecordGap(id, pace)
				}
				for range 8 {
					_, ok := directory.Acquire(fleet.Want{Pool: "p", Share: 1})
					is.True(ok)
				}
				directory.SetAssignedModels("p", map[string]string{"own": "m", "tested": test.model})
				if test.heldByPeer > 0 {
					directory.SetPeerView("peer", []fleet.EngineView{{Engine: "tested", Held: test.heldByPeer}}, false)
				}
				want := want
				want.Since = time.Now().Add(-test.waited)
				is.Equal(directory.SuitableEngines(want)["tested"], test.suitable)
			})
		})
	}
}
