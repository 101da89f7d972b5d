package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConsideredEnginesAreBounded places work in a pool of thousands of engines of which some are assigned to its model.
// These and a bounded number of others must be considered, the same ones while engines come and go, and never all of
// them.
func TestConsideredEnginesAreBounded(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	assigned := make(map[string]string)
	for i := range 4000 {
		id := fmt.Sprint("engine-", i)
		d.Upsert(Engine{ID: id, Pool: "p", Slots: 6, Versions: map[string]int64{"a": 1, "b": 1}})
		if i < 300 {
			assigned[id] = []string{"a", "b"}[i%2]
		}
	}
	d.SetAssignedModels("p", assigned)
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
	is.True(len(before) <= maxConsidered+maxForeign)
	for id, model := range assigned {
		is.True(model != "a" || slices.Contains(before, id))
	}
	is.Equal(len(considered(Want{Pool: "p"})), maxConsidered)

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

	d.SetAssignedModels("p", map[string]string{"engine-5": "a"})
	is.True(slices.Contains(considered(work), "engine-5"))
	is.True(len(considered(work)) <= maxConsidered+maxForeign)
}

// TestPoolReflectsChanges checks that the list of a pool's engines is correct after each kind of change, and that a list
// that was returned earlier does not change.
func TestPoolReflectsChanges(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	for _, id := range []string{"c", "a", "b"} {
		d.Upsert(Engine{ID: id, Pool: "p", Slots: 1, Versions: map[string]int64{"m": 1}})
	}
	first := d.Pool("p")
	is.Equal(len(first), 3)
	d.SetServedVersion("b", "m", 2)
	second := d.Pool("p")
	is.Equal(first[1].ServedVersion("m"), int64(1))
	is.Equal(second[1].ServedVersion("m"), int64(2))
	d.Upsert(Engine{ID: "a", Pool: "q", Slots: 1})
	is.Equal(len(d.Pool("p")), 2)
	is.Equal(len(d.Pool("q")), 1)
	d.Remove("c")
	is.Equal(len(d.Pool("p")), 1)
	is.Equal(d.Pool("p")[0].ID, "b")
}
