package fleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

func poolOf(count, slots int) *Directory {
	directory := NewDirectory()
	for i := range count {
		directory.Upsert(Engine{ID: fmt.Sprintf("e%02d", i), Pool: "p", Slots: slots})
	}
	return directory
}

func item() Want {
	return Want{Pool: "p", Share: 1, Since: time.Now()}
}

// TestPlacesHeldElsewhereAreTaken answers the load of several owners whose items fill the same engines: a place that another owner
// holds is not asked for while that owner's view is fresh and the work has not waited for long.
func TestPlacesHeldElsewhereAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := poolOf(2, 4)
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}, {Engine: "e01", Held: 3}}, false)
		first, found := directory.Acquire(item())
		is.True(found)
		is.Equal(first.ID, "e01")
		_, found = directory.Acquire(item())
		is.True(!found) // both are full by what is known
		is.Equal(directory.Assign([]Want{item()})[0].ID, "")

		directory.SetPeerView("other", nil, false)
		_, found = directory.Acquire(item())
		is.True(found) // its view was removed
	})
}

// TestAViewThatIsNotRenewedExpires checks that a process which has died, or is cut off, keeps no place for ever: the places that it held
// don't count after heldTTL, its paces after paceTTL.
func TestAViewThatIsNotRenewedExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := poolOf(1, 4)
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4, Pace: 20 * time.Millisecond}}, false)
		time.Sleep(heldTTL - time.Millisecond)
		_, found := directory.Acquire(item())
		is.True(!found)
		time.Sleep(mergeInterval)
		_, found = directory.Acquire(item())
		is.True(found)
		is.Equal(directory.TypicalPace("p"), 20*time.Millisecond)
		time.Sleep(paceTTL)
		is.Equal(directory.TypicalPace("p"), time.Duration(0))
		is.Equal(directory.PeerSummary(), PeerSummary{})
	})
}

// TestTimeInSuspensionAgesAView checks that a machine that was suspended, whose steady clock stood still, doesn't use views from before.
func TestTimeInSuspensionAgesAView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var slept time.Duration
		before := suspended
		suspended = func() time.Duration { return slept }
		defer func() { suspended = before }()
		directory := poolOf(1, 4)
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}}, false)
		slept = heldTTL
		time.Sleep(mergeInterval)
		_, found := directory.Acquire(item())
		is.True(found)
	})
}

// TestAWrongViewKeepsNoWorkWaiting checks that work which has waited for longer than a dead process's view counts probes engines, whatever
// others go on publishing, one piece of it at a time.
func TestAWrongViewKeepsNoWorkWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := poolOf(1, 4)
		waiting := item()
		for time.Since(waiting.Since) < probeAfter {
			directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}}, false)
			is.Equal(directory.Assign([]Want{waiting})[0].ID, "")
			time.Sleep(mergeInterval)
		}
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}}, false)
		given := directory.Assign([]Want{item(), waiting, waiting})
		is.Equal([]string{given[0].ID, given[1].ID, given[2].ID}, []string{"", "e00", ""})
		time.Sleep(probeInterval)
		is.Equal(directory.Assign([]Want{waiting})[0].ID, "e00")
	})
}

// TestPacesOfOthers checks which pace counts: the one that was measured here, else the median of the others'. Places of a recovered view
// don't count.
func TestPacesOfOthers(t *testing.T) {
	is := is.New(t)
	directory := poolOf(2, 4)
	directory.Paced("e00", 10*time.Millisecond)
	for i, pace := range []time.Duration{20, 90, 30} {
		views := []EngineView{{Engine: "e00", Pace: pace * time.Millisecond}, {Engine: "e01", Pace: pace * time.Millisecond, Held: 9}}
		directory.SetPeerView(fmt.Sprint("other", i), views, true)
	}
	is.Equal(directory.UsualPaces("p"), map[string]time.Duration{"e00": 10 * time.Millisecond, "e01": 30 * time.Millisecond})
	is.Equal(directory.PeerSummary().Held, 0)
	is.Equal(directory.PeerSummary().Engines, 1)
	is.Equal(directory.LocalView(map[string]int{"e01": 2})[1], EngineView{Engine: "e01", Held: 2})
}

// TestAnOldPaceGivesWayToFreshWords checks that what was measured here of an engine while it was slowed counts for as long as it is told to others,
// and not before their word for good: whoever deals engines may run nothing there again.
func TestAnOldPaceGivesWayToFreshWords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := poolOf(1, 4)
		directory.Paced("e00", 90*time.Millisecond)
		tell := func() {
			directory.SetPeerView("other", []EngineView{{Engine: "e00", Pace: 30 * time.Millisecond}}, false)
		}
		tell()
		is.Equal(directory.UsualPaces("p")["e00"], 90*time.Millisecond)
		time.Sleep(paceTTL)
		is.Equal(directory.UsualPaces("p")["e00"], 90*time.Millisecond) // nobody knows better
		tell()
		is.Equal(directory.UsualPaces("p")["e00"], 30*time.Millisecond)
		is.Equal(directory.QuickestPace("p", ""), 30*time.Millisecond)
	})
}

// TestANewOwnerBeginsAtQuickEngines answers the load of an owner that takes a partition over: with 16 items for the 16 places of the
// two quick engines of eight it begins there, although it has measured nothing.
func TestANewOwnerBeginsAtQuickEngines(t *testing.T) {
	is := is.New(t)
	directory := poolOf(8, 8)
	var views []EngineView
	for i := range 8 {
		pace := 40 * time.Millisecond
		if i%4 == 3 {
			pace /= 2
		}
		views = append(views, EngineView{Engine: fmt.Sprintf("e%02d", i), Pace: pace})
	}
	directory.SetPeerView("before", views, true)
	want := item()
	want.Events = 300
	used := make(map[string]int)
	for _, engine := range directory.Assign(slices.Repeat([]Want{want}, 16)) {
		used[engine.ID]++
	}
	is.Equal(used, map[string]int{"e03": 8, "e07": 8})
}

// TestOwnersThatKnowEachOtherMeetFewFullEngines answers the load of four owners whose steps of 128 items begin a second apart, on 44
// engines of 8 places, each item running for 4 to 8 s. An item that comes to a full engine is turned away and asks again 100 ms later. Each
// owner reads the views of the others 300 ms late, as by way of the store. An item may be turned away once in two on average, which costs
// it 50 ms of a run of seconds: a place that comes free is asked for by several owners until its new holder is known. Owners that don't
// know each other have ten times as many turned away.
func TestOwnersThatKnowEachOtherMeetFewFullEngines(t *testing.T) {
	is := is.New(t)
	apart, together := placeSteps(t, false), placeSteps(t, true)
	t.Logf("turned away without views of others: %d of %d, with it: %d of %d", apart.rejected, apart.arrived, together.rejected, together.arrived)
	is.Equal(apart.arrived-apart.rejected, 4*128)
	is.Equal(together.arrived-together.rejected, 4*128)
	is.True(2*together.rejected <= 4*128)
	is.True(10*together.rejected <= apart.rejected)
}

// arrivals counts items that came to engines, and those that were turned away.
type arrivals struct{ arrived, rejected int }

// placer is an owner with the items that it places.
type placer struct {
	directory *Directory
	// zone makes each owner prefer other engines among equals, as their hash seeds do across processes.
	zone string
	held map[string]int
	// waiting holds when each item began to wait and may ask again.
	waiting []struct{ since, next time.Time }
	ending  map[time.Time][]string
}

// placeSteps has four owners place a step each, and counts.
func placeSteps(t *testing.T, share bool) arrivals {
	const owners, items, engines, places = 4, 128, 44, 8
	const tick, delay, again = 50 * time.Millisecond, 6, 100 * time.Millisecond
	var count arrivals
	synctest.Test(t, func(t *testing.T) {
		all := make([]*placer, owners)
		for i := range all {
			all[i] = &placer{directory: poolOf(engines, places), zone: fmt.Sprint(i), held: make(map[string]int), ending: make(map[time.Time][]string)}
			for range items {
				at := time.Now().Add(time.Duration(i) * time.Second)
				all[i].waiting = append(all[i].waiting, struct{ since, next time.Time }{at, at})
			}
		}
		busy := make(map[string]int)
		var published [][][]EngineView
		for range 30 * time.Second / tick {
			now := time.Now()
			views := make([][]EngineView, owners)
			for i, owner := range all {
				for _, id := range owner.ending[now] {
					owner.held[id]--
					busy[id]--
					owner.directory.Release(id)
				}
				owner.place(now, busy, places, again, tick, &count)
				views[i] = owner.directory.LocalView(owner.held)
			}
			published = append(published, views)
			if late := len(published) - delay; share && late >= 0 {
				for i, owner := range all {
					for j, view := range published[late] {
						if i != j {
							owner.directory.SetPeerView(fmt.Sprint(j), view, false)
						}
					}
				}
			}
			time.Sleep(tick)
		}
	})
	return count
}

// place sends the items that may ask to engines.
func (p *placer) place(now time.Time, busy map[string]int, places int, again, tick time.Duration, count *arrivals) {
	var wants []Want
	var asking []int
	for i, next := range p.waiting {
		if !now.Before(next.next) {
			wants = append(wants, Want{Pool: "p", Zone: p.zone, Share: 1, Since: next.since})
			asking = append(asking, i)
		}
	}
	placed := make(map[int]bool)
	for i, engine := range p.directory.Assign(wants) {
		switch {
		case engine.ID == "":
			continue
		case busy[engine.ID] >= places:
			count.arrived++
			count.rejected++
			p.directory.Release(engine.ID)
			p.waiting[asking[i]].next = now.Add(again)
		default:
			count.arrived++
			placed[asking[i]] = true
			busy[engine.ID]++
			p.held[engine.ID]++
			runs := 4*time.Second + time.Duration(count.arrived*37%80)*tick
			p.ending[now.Add(runs)] = append(p.ending[now.Add(runs)], engine.ID)
		}
	}
	kept := p.waiting[:0]
	for i, next := range p.waiting {
		if !placed[i] {
			kept = append(kept, next)
		}
	}
	p.waiting = kept
}

// TestWorkWaitsForHeldPlacesRatherThanFail answers the load of a pool that is full by the views of others but for an engine that breaks
// every run off: it has room all the time, and would take run after run.
func TestWorkWaitsForHeldPlacesRatherThanFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := poolOf(2, 4)
		directory.Failed("e00", policy.FailureInWork, "broke off")
		directory.SetPeerView("other", []EngineView{{Engine: "e01", Held: 4}}, false)
		_, found := directory.Acquire(item())
		is.True(!found)
		waiting := item()
		waiting.Since = waiting.Since.Add(-probeAfter)
		given, found := directory.Acquire(waiting)
		is.True(found)
		is.Equal(given.ID, "e01") // the view may be wrong
		directory.Remove("e01")
		given, found = directory.Acquire(item())
		is.True(found)
		is.Equal(given.ID, "e00") // there is nothing to wait for
	})
}
