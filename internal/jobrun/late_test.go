package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
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

// gateway returns the gateway side of jobs at a node, which is closed at the end of the test.
func (n *node) gateway() *jobs.Service {
	gateway := jobs.New(jobs.Config{
		Log: n.log, Index: n.index, IndexFollower: n.indexFollower, RecordBytes: 1 << 18, CallBytes: 1 << 21, Logger: log.New(io.Discard),
	})
	n.world.test.Cleanup(gateway.Close)
	return gateway
}

// listings checks that a position of a job never changes its result, whichever node is asked.
type listings struct {
	test *testing.T
	seen map[string]string
}

// read reads all results of a job at a gateway, and returns how many there are.
func (l *listings) read(gateway *jobs.Service, id string) int {
	listing, outcome := gateway.Results(l.test.Context(), id, 0, 0)
	if outcome != jobs.Done {
		return 0
	}
	for position, result := range listing.Results {
		key := fmt.Sprint(id, "/", position)
		if known, found := l.seen[key]; found && known != result.ItemID {
			l.test.Errorf("position %s holds %s, and held %s", key, result.ItemID, known)
		}
		l.seen[key] = result.ItemID
	}
	return len(listing.Results)
}

// TestPositionsKeepTheirResults guards against results that change their positions: a store that applies appends of gateways and owners
// later or twice, owners that take the partition over as planned, and jobs that are sent again at other nodes.
func TestPositionsKeepTheirResults(t *testing.T) {
	for seed := range int64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLateAppends(t, rand.New(rand.NewSource(seed))) })
		})
	}
}

func runLateAppends(t *testing.T, random *rand.Rand) {
	w := newWorld(t, 3)
	var nodes []*node
	var gateways []*jobs.Service
	for i := range 3 {
		started := w.newNode(fmt.Sprint("node", i))
		nodes, gateways = append(nodes, started), append(gateways, started.gateway())
	}
	faults := []memorylog.Fault{memorylog.LostLate, memorylog.LostAfter, memorylog.LostBefore}
	losses := rand.New(rand.NewSource(random.Int63()))
	w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
		isJob := call.Partition.Topic == keyedlog.TopicJobs || call.Partition.Topic == keyedlog.TopicJobIndex
		if call.Operation == "append" && isJob && losses.Intn(3) == 0 {
			return faults[losses.Intn(len(faults))]
		}
		return memorylog.None
	})
	read := &listings{test: t, seen: make(map[string]string)}
	submitted := make(map[string]job.Spec)
	submit := func(id string, gateway *jobs.Service) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		next := spec(id, 6)
		if gateway.Submit(ctx, next) == jobs.Done {
			submitted[id] = next
		}
	}
	time.Sleep(time.Second)
	owner := 0
	nodes[owner].own(1)
	for epoch := int64(2); epoch < 7; epoch++ {
		id := fmt.Sprint("job", epoch)
		for range 1 + random.Intn(3) {
			submit(id, gateways[random.Intn(len(gateways))])
		}
		for range 20 + random.Intn(20) {
			read.read(gateways[random.Intn(len(gateways))], fmt.Sprint("job", 2+random.Int63n(epoch-1)))
			time.Sleep(50 * time.Millisecond)
		}
		nodes[owner].release()
		owner = (owner + 1) % len(nodes)
		nodes[owner].own(epoch)
	}
	w.store.Heal()
	time.Sleep(6 * time.Second)
	for id, expected := range submitted {
		for _, gateway := range append(gateways, w.newNode("late"+id).gateway()) {
			time.Sleep(time.Second)
			if listed := read.read(gateway, id); listed != len(expected.Items) {
				t.Errorf("%d of %d results of %s are listed", listed, len(expected.Items), id)
			}
		}
	}
	nodes[owner].release()
}
