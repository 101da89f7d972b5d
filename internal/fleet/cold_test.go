package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAColdEngineGetsNoMoreThanItBears has three owners of jobs and a replica with requests press a cold engine, one after the other as
// partitions move. In no second may it get more than it bears, allowing for a takeover; warm, it gets all its places.
func TestAColdEngineGetsNoMoreThanItBears(t *testing.T) {
	const (
		rate     = 8.6
		most     = rate*1.5 + 5
		coldFor  = 3 * time.Second
		takeover = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		process := func() *Directory {
			d := NewDirectory()
			d.SetColdRate("p", rate)
			d.Upsert(Engine{ID: "cold", Pool: "p", Slots: 8, Versions: map[string]int64{"a": 1, "b": 1}, ColdUntil: began.Add(coldFor)})
			d.SetDealt("p", map[string]string{"cold": "a"})
			return d
		}
		before, after, other, front := process(), process(), process(), process()
		var arrivals []time.Time
		press := func(d *Directory, want Want) {
			for range 20 {
				engine, ok := d.Acquire(want)
				if !ok {
					return
				}
				arrivals = append(arrivals, time.Now())
				d.Release(engine.ID)
			}
		}
		ofA, ofB := Want{Pool: "p", Model: "a", Share: 1}, Want{Pool: "p", Model: "b", Share: 1, Since: began}
		for time.Since(began) < coldFor {
			owner := before
			if time.Since(began) >= takeover {
				owner = after
			}
			for _, engine := range owner.Assign([]Want{ofA, ofA, ofA, ofA, ofA, ofA, ofA, ofA}) {
				if engine.ID != "" {
					arrivals = append(arrivals, time.Now())
					owner.Release(engine.ID)
				}
			}
			press(owner, ofA)
			press(other, ofB)
			press(front, Want{Pool: "p"})
			time.Sleep(20 * time.Millisecond)
		}
		is.True(float64(len(arrivals)) >= 2*rate-1)
		for i, from := range arrivals {
			within := 0
			for _, at := range arrivals[i:] {
				if at.Sub(from) <= time.Second {
					within++
				}
			}
			is.True(float64(within) <= most)
		}
		_, ok := front.Acquire(Want{Pool: "p"})
		is.True(ok)
	})
}

// TestAnEvacuatedZoneGetsNothingNew evacuates a zone and takes it back, with an engine that comes meanwhile.
func TestAnEvacuatedZoneGetsNothingNew(t *testing.T) {
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
