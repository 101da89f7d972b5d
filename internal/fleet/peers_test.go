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

func newTestDirectory(count, slots int) *Directory {
	directory := NewDirectory()
	for i := range count {
		directory.Upsert(Engine{ID: fmt.Sprintf("e%02d", i), Pool: "p", Slots: slots})
	}
	return directory
}

func itemWant() Want {
	return Want{Pool: "p", Share: 1, Since: time.Now()}
}

// TestSlotsHeldByPeersAreTaken covers several owners whose items fill the same engines: a slot that another owner holds
// is not requested while that owner's view is fresh and the work has not waited for long.
func TestSlotsHeldByPeersAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := newTestDirectory(2, 4)
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}, {Engine: "e01", Held: 3}}, false)
		first, found := directory.Acquire(itemWant())
		is.True(found)
		is.Equal(first.ID, "e01")
		_, found = directory.Acquire(itemWant())
		is.True(!found) // both are full according to the view
		is.Equal(directory.Assign([]Want{itemWant()})[0].ID, "")

		directory.SetPeerView("other", nil, false)
		_, found = directory.Acquire(itemWant())
		is.True(found) // the view was removed
	})
}

// TestPeerViewExpires checks that a process which has died or is disconnected does not hold slots indefinitely: its
// slots don't count after heldTTL, its paces after paceTTL.
func TestPeerViewExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := newTestDirectory(1, 4)
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4, Pace: 20 * time.Millisecond}}, false)
		time.Sleep(heldTTL - time.Millisecond)
		_, found := directory.Acquire(itemWant())
		is.True(!found)
		time.Sleep(mergeInterval)
		_, found = directory.Acquire(itemWant())
		is.True(found)
		is.Equal(directory.TypicalPace("p"), 20*time.Millisecond)
		time.Sleep(paceTTL)
		is.Equal(directory.TypicalPace("p"), time.Duration(0))
		is.Equal(directory.PeerSummary(), PeerSummary{})
	})
}

// TestSuspendedTimeAgesPeerView checks that a machine that was suspended, while its monotonic clock did not advance,
// doesn't use views from before.
func TestSuspendedTimeAgesPeerView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var slept time.Duration
		before := suspended
		suspended = func() time.Duration { return slept }
		defer func() { suspended = before }()
		directory := newTestDirectory(1, 4)
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}}, false)
		slept = heldTTL
		time.Sleep(mergeInterval)
		_, found := directory.Acquire(itemWant())
		is.True(found)
	})
}

// TestWaitingWorkProbesFullEngines checks that work which has waited for longer than a dead process's view counts probes
// engines, whatever other processes publish, one piece of work at a time.
func TestWaitingWorkProbesFullEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := newTestDirectory(1, 4)
		waiting := itemWant()
		for time.Since(waiting.Since) < probeAfter {
			directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}}, false)
			is.Equal(directory.Assign([]Want{waiting})[0].ID, "")
			time.Sleep(mergeInterval)
		}
		directory.SetPeerView("other", []EngineView{{Engine: "e00", Held: 4}}, false)
		engines := directory.Assign([]Want{itemWant(), waiting, waiting})
		is.Equal([]string{engines[0].ID, engines[1].ID, engines[2].ID}, []string{"", "e00", ""})
		time.Sleep(probeInterval)
		is.Equal(directory.Assign([]Want{waiting})[0].ID, "e00")
	})
}

// TestLocalPaceTakesPrecedence checks that the pace measured here is used, or else the median of the peers' paces. Slots
// of a recovered view don't count.
func TestLocalPaceTakesPrecedence(t *testing.T) {
	is := is.New(t)
	directory := newTestDirectory(2, 4)
	directory.RecordGap("e00", 10*time.Millisecond)
	for i, pace := range []time.Duration{20, 90, 30} {
		views := []EngineView{{Engine: "e00", Pace: pace * time.Millisecond}, {Engine: "e01", Pace: pace * time.Millisecond, Held: 9}}
		directory.SetPeerView(fmt.Sprint("other", i), views, true)
	}
	is.Equal(directory.UsualPaces("p"), map[string]time.Duration{"e00": 10 * time.Millisecond, "e01": 30 * time.Millisecond})
	is.Equal(directory.PeerSummary().Held, 0)
	is.Equal(directory.PeerSummary().Engines, 1)
	is.Equal(directory.LocalView(map[string]int{"e01": 2})[1], EngineView{Engine: "e01", Held: 2})
}

// TestExpiredLocalPaceYieldsToPeers checks that a pace measured here while the engine was slowed counts only as long as
// it is reported to peers, and not over their reports after that: the process that assigns engines may never run
// anything there again.
func TestExpiredLocalPaceYieldsToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := newTestDirectory(1, 4)
		directory.RecordGap("e00", 90*time.Millisecond)
		publish := func() {
			directory.SetPeerView("other", []EngineView{{Engine: "e00", Pace: 30 * time.Millisecond}}, false)
		}
		publish()
		is.Equal(directory.UsualPaces("p")["e00"], 90*time.Millisecond)
		time.Sleep(paceTTL)
		is.Equal(directory.UsualPaces("p")["e00"], 90*time.Millisecond) // no peer reports a pace
		publish()
		is.Equal(directory.UsualPaces("p")["e00"], 30*time.Millisecond)
		is.Equal(directory.FastestPace("p", ""), 30*time.Millisecond)
	})
}

// TestNewOwnerStartsOnFastEngines covers an owner that takes a partition over: with 16 items for the 16 slots of the two
// fast engines of eight, it must start there although it has measured nothing.
func TestNewOwnerStartsOnFastEngines(t *testing.T) {
	is := is.New(t)
	directory := newTestDirectory(8, 8)
	var views []EngineView
	for i := range 8 {
		pace := 40 * time.Millisecond
		if i%4 == 3 {
			pace /= 2
		}
		views = append(views, EngineView{Engine: fmt.Sprintf("e%02d", i), Pace: pace})
	}
	directory.SetPeerView("before", views, true)
	want := itemWant()
	want.Events = 300
	used := make(map[string]int)
	for _, engine := range directory.Assign(slices.Repeat([]Want{want}, 16)) {
		used[engine.ID]++
	}
	is.Equal(used, map[string]int{"e03": 8, "e07": 8})
}

// TestPeerViewsReduceRejections simulates four owners whose steps of 128 items begin a second apart, on 44 engines with
// 8 slots, with runs of 4 to 8 s. An item that arrives at a full engine is rejected and retries 100 ms later. Each owner
// reads the views of the others 300 ms late, as through the store. On average at most one rejection per two items is
// allowed, which costs an item 50 ms of a run of seconds: several owners request a released slot until its new holder is
// known. Without views of each other, owners have ten times as many rejections.
func TestPeerViewsReduceRejections(t *testing.T) {
	is := is.New(t)
	without, with := placeSteps(t, false), placeSteps(t, true)
	t.Logf("rejected without views of peers: %d of %d, with them: %d of %d", without.rejected, without.arrived, with.rejected, with.arrived)
	is.Equal(without.arrived-without.rejected, 4*128)
	is.Equal(with.arrived-with.rejected, 4*128)
	is.True(2*with.rejected <= 4*128)
	is.True(10*with.rejected <= without.rejected)
}

// arrivals counts items that arrived at engines, and those that were rejected.
type arrivals struct{ arrived, rejected int }

// placer is an owner together with its items.
type placer struct {
	directory *Directory
	// zone makes each owner prefer other engines among equals, as different hash seeds do across processes.
	zone string
	held map[string]int
	// waiting holds when each item began to wait and when it may retry.
	waiting []struct{ since, next time.Time }
	ending  map[time.Time][]string
}

// placeSteps lets four owners place a step each, and counts arrivals and rejections.
func placeSteps(t *testing.T, share bool) arrivals {
	const owners, items, engines, slots = 4, 128, 44, 8
	const tick, delay, retryAfter = 50 * time.Millisecond, 6, 100 * time.Millisecond
	var count arrivals
	synctest.Test(t, func(t *testing.T) {
		placers := make([]*placer, owners)
		for i := range placers {
			placers[i] = &placer{directory: newTestDirectory(engines, slots), zone: fmt.Sprint(i), held: make(map[string]int), ending: make(map[time.Time][]string)}
			for range items {
				at := time.Now().Add(time.Duration(i) * time.Second)
				placers[i].waiting = append(placers[i].waiting, struct{ since, next time.Time }{at, at})
			}
		}
		busy := make(map[string]int)
		var published [][][]EngineView
		for range 30 * time.Second / tick {
			now := time.Now()
			views := make([][]EngineView, owners)
			for i, owner := range placers {
				for _, id := range owner.ending[now] {
					owner.held[id]--
					busy[id]--
					owner.directory.Release(id)
				}
				owner.place(now, busy, slots, retryAfter, tick, &count)
				views[i] = owner.directory.LocalView(owner.held)
			}
			published = append(published, views)
			if index := len(published) - delay; share && index >= 0 {
				for i, owner := range placers {
					for j, view := range published[index] {
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

// place sends the items that may be sent now to engines.
func (p *placer) place(now time.Time, busy map[string]int, slots int, retryAfter, tick time.Duration, count *arrivals) {
	var wants []Want
	var indexes []int
	for i, next := range p.waiting {
		if !now.Before(next.next) {
			wants = append(wants, Want{Pool: "p", Zone: p.zone, Share: 1, Since: next.since})
			indexes = append(indexes, i)
		}
	}
	placed := make(map[int]bool)
	for i, engine := range p.directory.Assign(wants) {
		switch {
		case engine.ID == "":
			continue
		case busy[engine.ID] >= slots:
			count.arrived++
			count.rejected++
			p.directory.Release(engine.ID)
			p.waiting[indexes[i]].next = now.Add(retryAfter)
		default:
			count.arrived++
			placed[indexes[i]] = true
			busy[engine.ID]++
			p.held[engine.ID]++
			duration := 4*time.Second + time.Duration(count.arrived*37%80)*tick
			p.ending[now.Add(duration)] = append(p.ending[now.Add(duration)], engine.ID)
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

// TestWorkWaitsForHeldSlotsRatherThanFailingEngine covers a pool that is full according to the views of peers, except
// for an engine that breaks every run off: it always has free slots, and would take run after run.
func TestWorkWaitsForHeldSlotsRatherThanFailingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := newTestDirectory(2, 4)
		directory.Failed("e00", policy.FailureInWork, "broke off")
		directory.SetPeerView("other", []EngineView{{Engine: "e01", Held: 4}}, false)
		_, found := directory.Acquire(itemWant())
		is.True(!found)
		waiting := itemWant()
		waiting.Since = waiting.Since.Add(-probeAfter)
		engine, found := directory.Acquire(waiting)
		is.True(found)
		is.Equal(engine.ID, "e01") // the view may be wrong
		directory.Remove("e01")
		engine, found = directory.Acquire(itemWant())
		is.True(found)
		is.Equal(engine.ID, "e00") // there is nothing to wait for
	})
}
