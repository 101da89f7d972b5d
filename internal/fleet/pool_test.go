package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestALargePoolIsConsideredInPart has work placed in a pool of thousands of engines of which some are kept up to date for its model. It
// must be looked at these and at a bounded number of others, the same ones while engines come and go, and never at all of them.
func TestALargePoolIsConsideredInPart(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	dealt := make(map[string]string)
	for i := range 4000 {
		id := fmt.Sprint("engine-", i)
		d.Upsert(Engine{ID: id, Pool: "p", Slots: 6, Versions: map[string]int64{"a": 1, "b": 1}})
		if i < 300 {
			dealt[id] = []string{"a", "b"}[i%2]
		}
	}
	d.SetDealt("p", dealt)
	considered := func(want Want) []string {
		var ids []string
		for _, candidate := range d.candidates(want, time.Now()) {
			ids = append(ids, candidate.Engine.ID)
		}
		slices.Sort(ids)
		return ids
	}
	work := Want{Pool: "p", Model: "a", MinVersion: 1}
	before := considered(work)
	is.True(len(before) <= consideredMost+foreignMost)
	for id, model := range dealt {
		is.True(model != "a" || slices.Contains(before, id))
	}
	is.Equal(len(considered(Want{Pool: "p"})), consideredMost)

	for i := range 100 {
		d.Upsert(Engine{ID: fmt.Sprint("new-", i), Pool: "p", Slots: 6, Versions: map[string]int64{"a": 1}})
		d.Remove(fmt.Sprint("engine-", 3000+i))
	}
	kept := 0
	for _, id := range considered(work) {
		if slices.Contains(before, id) {
			kept++
		}
	}
	is.True(kept > len(before)*9/10)

	d.SetDealt("p", map[string]string{"engine-5": "a"})
	is.True(slices.Contains(considered(work), "engine-5"))
	is.True(len(considered(work)) <= consideredMost+foreignMost)
}

// TestPoolsFollowTheirEngines checks that the list of a pool's engines is as it should be after each kind of change, and that a list which
// was handed out stays as it was.
func TestPoolsFollowTheirEngines(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	for _, id := range []string{"c", "a", "b"} {
		d.Upsert(Engine{ID: id, Pool: "p", Slots: 1, Versions: map[string]int64{"m": 1}})
	}
	first := d.Pool("p")
	is.Equal(len(first), 3)
	d.SetServes("b", "m", 2)
	second := d.Pool("p")
	is.Equal(first[1].Serves("m"), int64(1))
	is.Equal(second[1].Serves("m"), int64(2))
	d.Upsert(Engine{ID: "a", Pool: "q", Slots: 1})
	is.Equal(len(d.Pool("p")), 2)
	is.Equal(len(d.Pool("q")), 1)
	d.Remove("c")
	is.Equal(len(d.Pool("p")), 1)
	is.Equal(d.Pool("p")[0].ID, "b")
}
