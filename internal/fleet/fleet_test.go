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
	draining := engine("a", 3)
	draining.Draining = true
	foreign := engine("a", 3)
	foreign.Pool = "q"
	far := engine("a", 3)
	far.Zone = "y"
	tests := []struct {
		name       string
		want       fleet.Want
		candidates []fleet.Candidate
		picked     string
	}{
		{"the idler engine", want, []fleet.Candidate{{Engine: engine("a", 3), InFlight: 2}, {Engine: engine("b", 3), InFlight: 1}}, "b"},
		{"none that is too old", want, []fleet.Candidate{{Engine: engine("a", 1)}, {Engine: engine("b", 2), InFlight: 3}}, "b"},
		{"the one version that is allowed", exact, []fleet.Candidate{{Engine: engine("a", 3)}, {Engine: engine("b", 2), InFlight: 3}}, "b"},
		{"none that is leaving", want, []fleet.Candidate{{Engine: draining}, {Engine: engine("b", 3), InFlight: 3}}, "b"},
		{"none of another pool", want, []fleet.Candidate{{Engine: foreign}}, ""},
		{"none that was tried", excluding, []fleet.Candidate{{Engine: engine("a", 3)}, {Engine: engine("b", 3), InFlight: 3}}, "b"},
		{"none that loads", want, []fleet.Candidate{{Engine: engine("a", 3), Loading: true}}, ""},
		{"none that is full", want, []fleet.Candidate{{Engine: engine("a", 3), InFlight: 4}}, ""},
		{"one that failed lately last", want, []fleet.Candidate{{Engine: engine("a", 3), Avoided: true}, {Engine: engine("b", 3), InFlight: 3}}, "b"},
		{"one that failed lately rather than none", want, []fleet.Candidate{{Engine: engine("a", 3), Avoided: true}}, "a"},
		{"the own zone among equals", want, []fleet.Candidate{{Engine: far}, {Engine: engine("b", 3)}}, "b"},
		{"another zone rather than a busy engine", want, []fleet.Candidate{{Engine: far}, {Engine: engine("b", 3), InFlight: 1}}, "a"},
		{
			"a slow one last", want, []fleet.Candidate{
				{Engine: engine("a", 3), Outlook: policy.Steady(100 * time.Millisecond)}, {Engine: engine("b", 3), Outlook: policy.Steady(30 * time.Millisecond), InFlight: 3},
				{Engine: engine("c", 3), Outlook: policy.Steady(30 * time.Millisecond), InFlight: 4},
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

// TestWorkOfOneGroupStaysTogether checks that work that shares a prompt prefers one engine while that is no busier.
func TestWorkOfOneGroupStaysTogether(t *testing.T) {
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

// TestLaggingRecordsUndoNothing checks that what was learnt from an engine stands against an older record of it.
func TestLaggingRecordsUndoNothing(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	directory.Upsert(engine("a", 1))
	directory.SetServes("a", "m", 3)
	directory.Upsert(engine("a", 1))
	known, _ := directory.Engine("a")
	is.Equal(known.Serves("m"), int64(3))

	leaving := engine("a", 1)
	leaving.Draining = true
	directory.Upsert(leaving)
	directory.Upsert(engine("a", 1))
	_, found := directory.Acquire(fleet.Want{Pool: "p", Model: "m"})
	is.True(!found)

	directory.Remove("a")
	_, known2 := directory.Engine("a")
	is.True(!known2)
}

func TestFailuresAreForgottenInTime(t *testing.T) {
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

// TestSlowEngineIsLeftForABetterOne checks that work moves only if that saves much, and only to an engine with room, which is
// counted there at once.
func TestSlowEngineIsLeftForABetterOne(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	for _, id := range []string{"a", "b", "c"} {
		directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 2})
		directory.Paced(id, 30*time.Millisecond)
	}
	long, short := fleet.Want{Pool: "p", Share: 1, Events: 50}, fleet.Want{Pool: "p", Share: 1, Events: 2}
	better := func(want fleet.Want) bool {
		_, found := directory.AcquireBetter("a", want)
		return found
	}
	is.True(!better(long))
	for range 30 {
		directory.Paced("a", 120*time.Millisecond)
	}
	is.True(!better(short))
	for range 4 {
		is.True(better(long))
	}
	// Nobody else has room: the slow engine is better than waiting.
	is.True(!better(long))
}

// TestWorkGoesWhereItEndsFirst gives places on two engines of which one is slower. Long work waits for the quick engine while
// that may still end it sooner, short work takes what there is.
func TestWorkGoesWhereItEndsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		for id, pace := range map[string]time.Duration{"quick": 40 * time.Millisecond, "slow": 50 * time.Millisecond} {
			directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 2})
			directory.Paced(id, pace)
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
		is.Equal(assigned(want(100), want(100), want(100), want(10)), []string{"quick", "quick", "", ""})
		time.Sleep(100 * time.Millisecond)
		is.Equal(assigned(want(100), want(10)), []string{"", "slow"})
		time.Sleep(900 * time.Millisecond)
		is.Equal(assigned(want(100)), []string{"slow"})
	})
}

// TestWorkKeepsToTheEnginesOfItsModel checks that work of one model leaves the engines of another alone, as far as it has engines
// of its own, and takes few of their places once it has waited for long. On a pool that eight models shared, three quarters of the
// runs of the first seconds stood beside another model's at an engine, and 578 were turned away.
func TestWorkKeepsToTheEnginesOfItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		directory.SetDealt("p", map[string]string{"own": "m", "other": "n"})
		for _, id := range []string{"own", "other"} {
			directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 6, Versions: map[string]int64{"m": 1, "n": 1}})
			directory.Paced(id, 30*time.Millisecond)
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

		// A run that is slow where it is moves to no engine of another model.
		for range 40 {
			directory.Paced("own", time.Second)
		}
		is.True(!directory.Exists(fleet.Want{Pool: "q"}))
		moving := want
		moving.Events = 50
		_, better := directory.AcquireBetter("own", moving)
		is.True(!better)

		// Without an engine of its own that may run it, work goes to any at once.
		want.MinVersion = 2
		want.Since = time.Now()
		directory.SetServes("other", "m", 2)
		is.Equal(placed(), map[string]int{"other": 3, "": 17})

		// So it does where nobody said what engines are for.
		fresh := fleet.NewDirectory()
		fresh.Upsert(fleet.Engine{ID: "any", Pool: "p", Slots: 6, Versions: map[string]int64{"m": 1}})
		_, found := fresh.Acquire(fleet.Want{Pool: "p", Model: "m", Share: 1})
		is.True(found)
	})
}

// TestARestartedEngineKnowsNothing: a process that starts again under its id serves what it then says, whatever was learnt of the one
// before; and a record of the one before, read late, brings nothing back.
func TestARestartedEngineKnowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		want := fleet.Want{Pool: "p", Model: "m", MinVersion: 3, Zone: "z", Share: 1}
		first := engine("a", 3)
		first.StartedAt = time.UnixMilli(1000)
		directory.Upsert(first)
		directory.SetServes("a", "m", 5)
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
		is.Equal(known.Serves("m"), int64(3))
		is.True(!known.Draining)
		// It neither loads nor is avoided any more, and the other one is half full.
		picked, found := directory.Acquire(want)
		is.True(found)
		is.Equal(picked.ID, "a")
	})
}

// TestRestartedNeedsBothStarts: an entry that does not say when it started is taken for the incarnation that is known.
func TestRestartedNeedsBothStarts(t *testing.T) {
	is := is.New(t)
	old, later, unsaid := engine("a", 1), engine("a", 1), engine("a", 1)
	old.StartedAt, later.StartedAt = time.UnixMilli(1000), time.UnixMilli(1001)
	is.True(later.Restarted(old))
	is.True(!old.Restarted(later))
	is.True(!old.Restarted(old))
	is.True(!unsaid.Restarted(old))
	is.True(!later.Restarted(unsaid))
}

// TestQuickPlacesAreLeftToWorkThatHoldsAStep answers a step of which a few items are much longer than the others, on 3 quick and 8 slow
// engines, which the queue gives in order of their lengths. Callers wait for the longest item, thus each long one gets a quick place; the
// short ones have time for any place, so that none stands idle while an item waits.
func TestQuickPlacesAreLeftToWorkThatHoldsAStep(t *testing.T) {
	const (
		quick, slow           = 27 * time.Millisecond, 60 * time.Millisecond
		quickCount, slowCount = 3, 8
		slots                 = 4
		long, short           = 140.0, 20.0
	)
	slack := policy.Slack(long, quick)
	tests := []struct {
		name        string
		long, short int
		waiting     int
	}{
		{"there is room for all", 8, 32, 0},
		{"quick places are left over", 2, 40, 0},
		{"short items fill the pool", 4, 60, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				directory := fleet.NewDirectory()
				for i := range quickCount + slowCount {
					id, pace := string(rune('a'+i)), slow
					if i < quickCount {
						pace = quick
					}
					directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: slots})
					directory.Paced(id, pace)
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
						is.True(engine.ID != "" && engine.ID < string(rune('a'+quickCount)))
					}
				}
				is.Equal(waiting, test.waiting)
			})
		})
	}
}

// TestWorkWithSlackStays checks that work moves only once it is past its slack.
func TestWorkWithSlackStays(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	for id, pace := range map[string]time.Duration{"quick": 27 * time.Millisecond, "slow": 60 * time.Millisecond} {
		directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 2})
		directory.Paced(id, pace)
	}
	want := fleet.Want{Pool: "p", Share: 1, Events: 40, Slack: policy.Slack(140, directory.QuickestPace("p", ""))}
	_, better := directory.AcquireBetter("slow", want)
	is.True(!better)
	is.True(directory.Suitable(want)["slow"])
	want.Slack = policy.Slack(45, directory.QuickestPace("p", ""))
	is.True(!directory.Suitable(want)["slow"])
	_, better = directory.AcquireBetter("slow", want)
	is.True(better)
}
