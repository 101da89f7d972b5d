package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// owner simulates an owner of items with a directory: it requests engines for all waiting items, at the interval of the
// queues.
type owner struct {
	directory *fleet.Directory
	waiting   int
	sent      map[string]int
}

func (o *owner) assign(want fleet.Want) []fleet.Engine {
	wants := make([]fleet.Want, o.waiting)
	for i := range wants {
		wants[i] = want
	}
	var engines []fleet.Engine
	for _, engine := range o.directory.Assign(wants) {
		if engine.ID == "" {
			continue
		}
		o.waiting--
		o.sent[engine.ID]++
		engines = append(engines, engine)
	}
	return engines
}

// TestUnreachableEngineGetsOnlyTrials has 60 items wait for ten full engines and one engine that refuses connections and
// so always has free slots. Each refused item waits again after 50 ms, as items do. Without ejection, 640 runs are sent
// to the unreachable engine in 4 s; with it 11: one for each of its slots, and trials at 0.3, 0.9 and 2.1 s. As runs on
// the full engines end, all items get slots. A run's slot is released before its failure is reported, as owners do.
func TestUnreachableEngineGetsOnlyTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		for i := range 10 {
			directory.Upsert(fleet.Engine{ID: fmt.Sprint("live", i), Pool: "p", Slots: 8})
		}
		o := &owner{directory: directory, waiting: 80, sent: make(map[string]int)}
		want := fleet.Want{Pool: "p", Share: 1, Events: 50}
		full := o.assign(want)
		is.Equal(len(full), 80)
		directory.Upsert(fleet.Engine{ID: "gone", Pool: "p", Slots: 8})
		o.waiting = 60
		simulate := func(duration time.Duration, placed func(fleet.Engine)) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, engine := range o.assign(want) {
					if engine.ID != "gone" {
						placed(engine)
						continue
					}
					directory.Release("gone")
					directory.Failed("gone", policy.FailureToConnect, "refused")
					o.waiting++
				}
			}
		}
		simulate(4*time.Second, func(fleet.Engine) {})
		is.True(o.sent["gone"] > 8) // it is tried again
		is.True(o.sent["gone"] <= 8+4)
		is.Equal(directory.Ejected(), 1)

		// 60 of the runs end; the waiting items get their slots.
		for _, engine := range full[:60] {
			directory.Release(engine.ID)
		}
		simulate(100*time.Millisecond, func(fleet.Engine) {})
		is.Equal(o.waiting, 0)
	})
}

// ejected returns a directory with a number of engines of which some were ejected.
func ejected(engines int, gone ...string) *fleet.Directory {
	directory := fleet.NewDirectory()
	for i := range engines {
		directory.Upsert(fleet.Engine{ID: fmt.Sprint(i), Pool: "p", Slots: 2, Versions: map[string]int64{"m": 1, "n": 1}})
	}
	for _, id := range gone {
		directory.Failed(id, policy.FailureToConnect, "refused")
	}
	return directory
}

// TestOneTrialAtATime checks that one piece of work, whatever its kind, is sent to an engine whose ejection is over, and
// further work only once the engine has responded.
func TestOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := ejected(3, "0")
		var events []fleet.Ejection
		directory.OnEjection(func(ejection fleet.Ejection) { events = append(events, ejection) })
		m := fleet.Want{Pool: "p", Model: "m", Share: 1}
		n := fleet.Want{Pool: "p", Model: "n", Share: 1}
		placed := func(wants ...fleet.Want) int {
			count := 0
			for _, engine := range directory.Assign(wants) {
				if engine.ID == "0" {
					count++
				}
			}
			return count
		}
		is.Equal(placed(m, m, n, n, m, n), 0) // the others are full from here on
		time.Sleep(300 * time.Millisecond)
		is.Equal(placed(m, n, m, n), 1)
		is.Equal(placed(m, n), 0)
		_, found := directory.Acquire(m)
		is.True(!found)
		directory.Answered("0", time.Now().Add(-time.Millisecond))
		is.Equal(placed(m, n), 0) // an older run is not the trial
		directory.Answered("0", time.Now())
		is.Equal(placed(m, n), 1) // its second slot
		is.Equal(directory.Ejected(), 0)
		is.Equal(len(events), 1)
		is.True(events[0].Readmitted)
	})
}

// TestNoTrialWorkIsNotSentAsTrial checks that work which must not be repeated leaves trials to other work, but not
// indefinitely, and that it is sent to an ejected engine where hardly any other is left.
func TestNoTrialWorkIsNotSentAsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		want := fleet.Want{Pool: "p", Exclude: []string{"1"}, NoTrial: true}
		directory := ejected(2, "0")
		_, found := directory.Acquire(want)
		is.True(!found)
		time.Sleep(4 * time.Second)
		_, found = directory.Acquire(want)
		is.True(!found)
		time.Sleep(300 * time.Millisecond)
		_, found = directory.Acquire(want)
		is.True(found)

		directory = ejected(1, "0")
		_, found = directory.Acquire(want)
		is.True(found)
	})
}

// TestEjectionsOfMostEnginesAreIgnored checks that work can try an engine when more than half of those fit for it fail,
// since then the network link of this process is the likelier fault, and that a success there counts.
func TestEjectionsOfMostEnginesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		want := fleet.Want{Pool: "p", Model: "m", Share: 1}
		directory := ejected(4, "0", "1")
		for range 4 {
			engine, found := directory.Acquire(want)
			is.True(found)
			is.True(engine.ID == "2" || engine.ID == "3")
		}
		_, found := directory.Acquire(want)
		is.True(!found) // two of four full, two of four ejected

		directory = ejected(4, "0", "1", "2", "3")
		for range 8 {
			_, found := directory.Acquire(want)
			is.True(found)
		}
		directory.Answered("2", time.Now())
		is.Equal(directory.Ejected(), 3)
	})
}

// TestEnginesAreReadmittedUnderLoad has all of four engines fail at once, as when the network link of this process is
// lost; three of them respond again from then on. Three requests arrive every 20 ms and are answered after 100 ms, so
// that there is always work newer than the last response; a refused request is sent to another engine. The three engines
// must be readmitted, and the unreachable one must get only trials.
func TestEnginesAreReadmittedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := ejected(4, "0", "1", "2", "3")
		refused := 0
		send := func() {
			engine, found := directory.Acquire(fleet.Want{Pool: "p"})
			is.True(found)
			if engine.ID == "0" {
				refused++
				directory.Failed("0", policy.FailureToConnect, "refused")
				directory.Release("0")
				engine, found = directory.Acquire(fleet.Want{Pool: "p", Exclude: []string{"0"}})
				is.True(found)
			}
			sentAt := time.Now()
			time.AfterFunc(100*time.Millisecond, func() {
				directory.Answered(engine.ID, sentAt)
				directory.Succeeded(engine.ID, 100*time.Millisecond)
				directory.Release(engine.ID)
			})
		}
		for range 250 {
			for range 3 {
				send()
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Log("refused", refused)
		is.Equal(directory.Ejected(), 1)
		is.True(refused <= 40) // those of the first 100 ms, and trials
	})
}

// TestUnreachableMajorityGetsOnlyTrials has 20 items wait for two full engines and three that refuse connections.
// Although these are more than half, they must get only their first runs and trials while the others work.
func TestUnreachableMajorityGetsOnlyTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := fleet.NewDirectory()
		for i := range 2 {
			directory.Upsert(fleet.Engine{ID: fmt.Sprint("live", i), Pool: "p", Slots: 8})
		}
		o := &owner{directory: directory, waiting: 16, sent: make(map[string]int)}
		want := fleet.Want{Pool: "p", Share: 1, Events: 50}
		is.Equal(len(o.assign(want)), 16)
		for i := range 3 {
			directory.Upsert(fleet.Engine{ID: fmt.Sprint("gone", i), Pool: "p", Slots: 8})
		}
		o.waiting = 20
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, engine := range o.assign(want) {
				directory.Release(engine.ID)
				directory.Failed(engine.ID, policy.FailureToConnect, "refused")
				o.waiting++
			}
		}
		for i := range 3 {
			is.True(o.sent[fmt.Sprint("gone", i)] <= 8+4)
		}
		_, found := directory.Acquire(fleet.Want{Pool: "p", Share: 1, Exclude: []string{"live0", "live1"}})
		is.True(found) // where no other engine may run it
	})
}

// TestLoadingAndExcludedEnginesCountAsFit checks that engines that load or rejected the work count as fit. Otherwise an
// ejected engine beside a few live engines that are full would get work only because its slots are free.
func TestLoadingAndExcludedEnginesCountAsFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := ejected(4, "0")
		for _, id := range []string{"1", "2", "3"} {
			directory.SetLoading(id, "m", time.Now().Add(time.Second))
		}
		_, found := directory.Acquire(fleet.Want{Pool: "p", Model: "m", Share: 1})
		is.True(!found)
		_, found = directory.Acquire(fleet.Want{Pool: "p", Exclude: []string{"1", "2", "3"}})
		is.True(!found)
	})
}

// TestAcquireBetterSendsNoTrial checks that a run is not moved to an engine that has yet to be readmitted, however fast
// the engine was.
func TestAcquireBetterSendsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := ejected(2)
		for range 40 {
			directory.RecordGap("0", 20*time.Millisecond)
			directory.RecordGap("1", 80*time.Millisecond)
		}
		want := fleet.Want{Pool: "p", Share: 1, Events: 50}
		directory.Failed("0", policy.FailureToConnect, "refused")
		_, better := directory.AcquireBetter("1", want)
		is.True(!better)
		time.Sleep(time.Second)
		_, better = directory.AcquireBetter("1", want)
		is.True(!better)
		directory.Acquire(fleet.Want{Pool: "p", Exclude: []string{"1"}})
		directory.Rejected("0")
		_, better = directory.AcquireBetter("1", want)
		is.True(better)
	})
}

// TestAcquireBetterSkipsEnginesOnTrial checks that a run moves to a fast engine that works although an idle one of the
// same pace waits for a trial for which there is no work.
func TestAcquireBetterSkipsEnginesOnTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := ejected(3)
		for range 40 {
			directory.RecordGap("0", 20*time.Millisecond)
			directory.RecordGap("1", 80*time.Millisecond)
			directory.RecordGap("2", 20*time.Millisecond)
		}
		_, found := directory.Acquire(fleet.Want{Pool: "p", Exclude: []string{"0", "1"}})
		is.True(found)
		directory.Failed("0", policy.FailureToConnect, "refused")
		for range 3 {
			time.Sleep(3 * time.Second)
			engine, better := directory.AcquireBetter("1", fleet.Want{Pool: "p", Share: 1, Events: 100})
			is.True(better)
			is.Equal(engine.ID, "2")
			directory.Release(engine.ID)
		}
	})
}

// TestReplacedEnginesStartWithClosedBreaker checks that the state of an engine is dropped once its record belongs to
// another one: it was removed and recorded again, or has another address.
func TestReplacedEnginesStartWithClosedBreaker(t *testing.T) {
	is := is.New(t)
	directory := ejected(3, "0", "1")
	is.Equal(directory.Ejected(), 2)
	directory.Remove("0")
	directory.Upsert(fleet.Engine{ID: "0", Pool: "p", Slots: 2})
	is.Equal(directory.Ejected(), 1)
	directory.Upsert(fleet.Engine{ID: "1", Pool: "p", Slots: 2})
	is.Equal(directory.Ejected(), 1) // a record that was merely renewed changes nothing
	directory.Upsert(fleet.Engine{ID: "1", Pool: "p", Slots: 2, Address: "elsewhere"})
	is.Equal(directory.Ejected(), 0)
}
