package jobrun_test

import (
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
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

// TestLateEntryDoesNotReopenJob guards against a job that runs again under a second entry: a process that did not know the job yet
// stored it again, and a process that starts later reads the first entry behind the second one, since the store applied the append of
// the first one twice.
func TestLateEntryDoesNotReopenJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		first := w.newNode("first")
		first.own(1)
		one := spec("one", 10)
		// The last item is still running when the next owner takes the partition over.
		one.Items[9].Header[memoryengine.EventsHeader] = strconv.Itoa(10 * eventCount)
		items := w.writeItems(one)
		w.addToIndex(one, items, "first")
		time.Sleep(3 * time.Second)
		listed := first.itemIDs("one")
		is.Equal(len(listed), len(one.Items)-1)
		w.addToIndex(one, w.writeItems(one), "second")
		w.addToIndex(one, items, "first")
		first.release()
		second := w.newNode("second")
		second.own(2)
		time.Sleep(8 * time.Second)
		is.True(slices.Equal(second.itemIDs("one"), append(listed, one.Items[9].ID)))
		positions := make(map[string]bool)
		for _, record := range w.store.Records(jobsPartition()) {
			if job.IsResultKey(record.Key, "one") {
				is.True(!positions[record.Key])
				positions[record.Key] = true
			}
		}
		second.release()
	})
}
