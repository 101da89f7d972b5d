package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

// TestColdEngineStartRateIsBounded lets three owners of jobs and a replica with requests send as much as possible to a
// cold engine; two of the owners follow each other, as when a partition moves. In no second may the engine start more
// than its rate, with an allowance for a takeover. Once it is warm, all its slots are used.
func TestColdEngineStartRateIsBounded(t *testing.T) {
	const (
		rate     = 8.6
		limit    = rate*1.5 + 5
		coldFor  = 3 * time.Second
		takeover = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		process := func() *Directory {
			d := NewDirectory()
			d.SetColdLimit("p", ColdLimit{Rate: rate})
			d.Upsert(Engine{ID: "cold", Pool: "p", Slots: 8, Versions: map[string]int64{"a": 1, "b": 1}, ColdUntil: start.Add(coldFor)})
			d.SetAssignedModels("p", map[string]string{"cold": "a"})
			return d
		}
		firstOwner, secondOwner, otherOwner, replica := process(), process(), process(), process()
		var starts []time.Time
		acquireAll := func(d *Directory, want Want) {
			for range 20 {
				engine, ok := d.Acquire(want)
				if !ok {
					return
				}
				starts = append(starts, time.Now())
				d.Release(engine.ID)
			}
		}
		ofA, ofB := Want{Pool: "p", Model: "a", Share: 1}, Want{Pool: "p", Model: "b", Share: 1, Since: start}
		for time.Since(start) < coldFor {
			owner := firstOwner
			if time.Since(start) >= takeover {
				owner = secondOwner
			}
			for _, engine := range owner.Assign([]Want{ofA, ofA, ofA, ofA, ofA, ofA, ofA, ofA}) {
				if engine.ID != "" {
					starts = append(starts, time.Now())
					owner.Release(engine.ID)
				}
			}
			acquireAll(owner, ofA)
			acquireAll(otherOwner, ofB)
			acquireAll(replica, Want{Pool: "p"})
			time.Sleep(20 * time.Millisecond)
		}
		is.True(float64(len(starts)) >= 2*rate-1)
		for i, from := range starts {
			within := 0
			for _, at := range starts[i:] {
				if at.Sub(from) <= time.Second {
					within++
				}
			}
			is.True(float64(within) <= limit)
		}
		_, ok := replica.Acquire(Want{Pool: "p"})
		is.True(ok)
	})
}

// TestEvacuatedZoneGetsNoNewWork evacuates a zone and ends the evacuation; one engine joins the zone in between.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Upsert(Engine{ID: "a1", Pool: "p", Zone: "a", Slots: 8, Versions: map[string]int64{"m": 1}})
	d.Upsert(Engine{ID: "b1", Pool: "p", Zone: "b", Slots: 8, Versions: map[string]int64{"m": 1}})
	zones := func() (zones string) {
		for range 8 {
			engine, ok := d.Acquire(Want{Pool: "p", Model: "m", Share: 0.5})
			if ok {
				zones += engine.Zone
			}
		}
		for _, id := range []string{"a1", "a2", "b1"} {
			for range 8 {
				d.Release(id)
			}
		}
		return zones
	}
	is.Equal(len(zones()), 8)
	d.SetEvacuated("a", true)
	d.Upsert(Engine{ID: "a2", Pool: "p", Zone: "a", Slots: 8, Versions: map[string]int64{"m": 1}})
	is.Equal(zones(), "bbbb")
	for _, engine := range d.Pool("p") {
		is.Equal(engine.Draining, engine.Zone == "a")
	}
	known, _ := d.Engine("a1")
	is.True(known.Draining)
	is.True(d.Exists(Want{Pool: "p", Model: "m"}))
	d.SetEvacuated("b", true)
	is.True(!d.Exists(Want{Pool: "p", Model: "m"}))
	d.SetEvacuated("a", false)
	is.Equal(zones(), "aaaaaaaa")
}

// TestColdEngineCountsAllStarts guards against starts at a cold engine that do not count: those from before it turned
// cold, and those in slots that one run hands over to another. After its model has changed, the sender for the earlier
// model may still send, so there must be none until that can't be any more.
func TestColdEngineCountsAllStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDirectory()
		d.SetColdLimit("p", ColdLimit{Rate: 4})
		engine := Engine{ID: "e", Pool: "p", Slots: 8, Versions: map[string]int64{"a": 1, "b": 1}}
		d.Upsert(engine)
		d.SetAssignedModels("p", map[string]string{"e": "a"})
		takes := func(want Want) bool {
			_, ok := d.Acquire(want)
			return ok
		}
		is.True(takes(Want{Pool: "p"}))
		engine.ColdUntil = time.Now().Add(time.Minute)
		d.Upsert(engine)
		is.True(takes(Want{Pool: "p", Model: "a"}))
		is.True(d.HandOver("e"))
		is.True(d.HandOver("e"))
		is.True(!d.HandOver("e"))
		is.True(!takes(Want{Pool: "p", Model: "a"}))

		time.Sleep(2 * coldWindow)
		d.SetAssignedModels("p", map[string]string{"e": "b"})
		is.True(!takes(Want{Pool: "p", Model: "b"}))
		is.True(!d.MayStart("e", "a"))
		time.Sleep(reassignDelay)
		is.True(takes(Want{Pool: "p", Model: "b"}))
	})
}

// TestReturnOfZoneKeepsLongerSuspicion guards against trials from every process at an engine that was ejected, and may return
// cold, because the end of its zone's evacuation shortens the suspicion to the time for which started engines are cold.
func TestReturnOfZoneKeepsLongerSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDirectory()
		d.SetColdLimit("p", ColdLimit{Rate: 4, Duration: 3 * time.Second, Checked: true})
		d.Upsert(Engine{ID: "e", Pool: "p", Zone: "a", Slots: 8})
		d.SetEvacuated("a", true)
		d.Failed("e", policy.FailureToConnect, "")
		d.SetEvacuated("a", false)
		time.Sleep(maxSuspicion - time.Second)
		is.Equal(d.Cold(), 1)
		time.Sleep(time.Second)
		is.Equal(d.Cold(), 0)
	})
}
