package jobrun_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// itemIDs returns the items of the results that a node has read, in order of their positions.
func (n *node) itemIDs(id string) []string {
	var ids []string
	for _, result := range n.results(id) {
		ids = append(ids, result.ItemID)
	}
	return ids
}

// TestLateCopyOfItemsDoesNotReopenSettledJob guards against results that change their positions: the store applies an append of a
// job's items a second time, behind the job's results, and an owner that reads the partition from a later job on takes the settled
// job for one without results.
func TestLateCopyOfItemsDoesNotReopenSettledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		first, second := w.newNode("first"), w.newNode("second")
		first.own(1)
		one, two := spec("one", 10), spec("two", 4)
		w.submit(one)
		time.Sleep(3 * time.Second)
		w.submit(two)
		time.Sleep(3 * time.Second)
		listed, runs := first.itemIDs("one"), len(w.engines.Runs())
		is.Equal(len(listed), len(one.Items))
		w.writeItems(one)
		first.release()
		second.own(2)
		time.Sleep(5 * time.Second)
		is.Equal(len(w.engines.Runs()), runs)
		late := w.newNode("late")
		time.Sleep(time.Second)
		is.True(slices.Equal(late.itemIDs("one"), listed))
		second.release()
	})
}
