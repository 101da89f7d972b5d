package jobrun_test

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// TestItemsWithoutAnEntryNeverRun checks that a submission which came no further than its items is no job.
func TestItemsWithoutAnEntryNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		owner := w.node("owner")
		owner.own(1)
		w.write(spec("one", 3))
		time.Sleep(5 * time.Second)
		is.Equal(len(w.engines.Runs()), 0)
		owner.release()
	})
}

// TestAJobWhoseItemsLieBeforeTheTakeoverIsRun checks that an owner runs a job that the index had no entry of when it took the
// partition over, though it reads the partition from there on only.
func TestAJobWhoseItemsLieBeforeTheTakeoverIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		earlier, late, next := spec("earlier", 1), spec("late", 4), spec("next", 4)
		w.submit(earlier)
		items := w.write(late)
		owner := w.node("owner")
		owner.own(1)
		time.Sleep(2 * time.Second)
		w.enter(late, items)
		w.submit(next)
		time.Sleep(3 * time.Second)
		owner.checkWhole(late)
		owner.checkWhole(next)
		owner.release()
	})
}

// TestSettledJobs checks when the index says that a job is settled, and that nothing is listed after that.
func TestSettledJobs(t *testing.T) {
	tests := []struct {
		name string
		// end is when the job is ended, 0 for never.
		end     time.Duration
		settled time.Duration
	}{
		{"all is listed", 0, 3 * time.Second},
		{"ended before its first event", time.Millisecond, 300 * time.Millisecond},
		{"ended in mid-run", 5 * pace, 600 * time.Millisecond},
		{"ended while results are listed", eventCount*pace + 40*time.Millisecond, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2)
				owner := w.node("owner")
				owner.own(1)
				time.Sleep(time.Second)
				w.submit(spec("one", 8))
				if test.end > 0 {
					time.Sleep(test.end)
					status, _ := owner.index.Job("one")
					is.True(!status.Settled)
					w.end("one")
				}
				time.Sleep(test.settled)
				status, known := owner.index.Job("one")
				is.True(known)
				is.True(status.Settled)
				time.Sleep(5 * time.Second)
				for _, record := range w.store.Records(jobsPartition()) {
					if strings.HasPrefix(record.Key, "r/") {
						is.True(record.Offset < status.SettledEnd)
					}
				}
				owner.release()
			})
		})
	}
}

// TestTheNextOwnerSettlesAJob checks that a job that ended while nobody owned its partition is settled by the next owner, which
// lists nothing of it.
func TestTheNextOwnerSettlesAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		first, second := w.node("first"), w.node("second")
		first.own(1)
		w.submit(spec("one", 8))
		time.Sleep(5 * pace)
		first.release()
		w.end("one")
		runs := len(w.engines.Runs())
		second.own(2)
		time.Sleep(2 * time.Second)
		status, _ := second.index.Job("one")
		is.True(status.Settled)
		is.Equal(len(second.results("one")), 0)
		is.Equal(len(w.engines.Runs()), runs)
		second.release()
	})
}

// TestAnIndexThatCannotBeReadDelaysTheTakeover checks that an owner runs nothing before it knows all ends that were
// acknowledged before its epoch.
func TestAnIndexThatCannotBeReadDelaysTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.node("owner")
		time.Sleep(time.Second)
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "owner" && call.Partition == keyedlog.JobIndex {
				return memorylog.Down
			}
			return memorylog.None
		})
		w.submit(spec("one", 4))
		w.end("one")
		owner.own(1)
		time.Sleep(2 * time.Second)
		is.Equal(len(w.engines.Runs()), 0)
		w.store.Heal()
		time.Sleep(3 * time.Second)
		is.Equal(len(w.engines.Runs()), 0)
		status, _ := owner.index.Job("one")
		is.True(status.Settled)
		owner.release()
	})
}

// TestATakeoverWaitsForTheIndexToBeInStep checks that an owner which knows of a job, but not yet of its end, runs nothing of it.
func TestATakeoverWaitsForTheIndexToBeInStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.node("owner")
		w.submit(spec("one", 4))
		time.Sleep(time.Second)
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "owner" && call.Partition == keyedlog.JobIndex && call.Operation == "read" {
				return memorylog.Down
			}
			return memorylog.None
		})
		w.end("one")
		owner.own(1)
		time.Sleep(2 * time.Second)
		is.Equal(len(w.engines.Runs()), 0)
		w.store.Heal()
		time.Sleep(3 * time.Second)
		is.Equal(len(w.engines.Runs()), 0)
		owner.release()
	})
}

// TestExpiredJobsLeaveNothingInTheStore checks that the owner drops every record of a job that nobody may ask for any more,
// also of jobs that were settled before it took the partition over.
func TestExpiredJobsLeaveNothingInTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		first, second := w.node("first"), w.node("second")
		first.own(1)
		w.submit(spec("one", 4))
		time.Sleep(2 * time.Second)
		w.submit(spec("two", 4))
		time.Sleep(3 * time.Second)
		first.release()
		w.submit(spec("three", 4))
		second.own(2)
		time.Sleep(3 * time.Second)
		second.checkWhole(spec("three", 4))
		is.True(len(kept(t, w, jobsPartition())) > 0)
		time.Sleep(2 * time.Minute)
		// The owner's own record names no job.
		is.Equal(kept(t, w, jobsPartition()), []string{keyedlog.OwnerKey})
		is.Equal(kept(t, w, keyedlog.JobIndex), nil)
		_, known := second.index.Job("one")
		is.True(!known)
		second.release()
	})
}

// kept returns the keys of which a partition holds a record for good.
func kept(t *testing.T, w *world, partition keyedlog.Partition) []string {
	var keys []string
	after := ""
	for {
		page, err := w.store.For("test").Newest(t.Context(), partition, after)
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range page.Records {
			keys = append(keys, record.Key)
			after = record.Key
		}
		if !page.More {
			return keys
		}
	}
}

// TestASettledJobTellsWhatItTook checks that the index learns how long a job's items held engines, and nothing where no owner has run
// the whole job: a part would pass for little work.
func TestASettledJobTellsWhatItTook(t *testing.T) {
	tests := []struct {
		name string
		// handedOver passes the job on in the middle of its items.
		handedOver bool
	}{
		{"one owner", false},
		{"two owners", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const items = 8
				w := newWorld(t, 2)
				first, second := w.node("first"), w.node("second")
				first.own(1)
				time.Sleep(time.Second)
				w.submit(spec("one", items))
				if test.handedOver {
					time.Sleep(eventCount / 2 * pace)
					first.release()
					second.own(2)
				}
				time.Sleep(4 * time.Second)
				status, _ := second.index.Job("one")
				is.True(status.Settled)
				took := status.SlotTime
				if test.handedOver {
					is.Equal(took, job.SlotTime{})
					second.release()
					return
				}
				is.True(took.Longest >= eventCount*pace && took.Longest < 2*eventCount*pace)
				is.True(took.Items >= items*eventCount*pace && took.Items <= items*took.Longest)
				first.release()
			})
		})
	}
}

// TestAnInterruptedCloseKeepsOlderResultsInPlace has an owner end between closing a job, some of whose results an earlier version listed, and
// saying so in the index, and the store forget its history: the next owner closes the job again by the newest records.
func TestAnInterruptedCloseKeepsOlderResultsInPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const items, older = 8, 4
		w := newWorld(t, 2)
		first, second := w.node("first"), w.node("second")
		one := spec("one", items)
		w.submit(one)
		for position := range older {
			w.listOlder(one, position, one.Items[older-1-position])
		}
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "first" && call.Partition == keyedlog.JobIndex && call.Operation == "append" {
				return memorylog.Down
			}
			return memorylog.None
		})
		first.own(1)
		time.Sleep(3 * time.Second)
		first.release()
		w.store.Forget()
		second.own(2)
		time.Sleep(3 * time.Second)
		// A node that followed the job holds what the store has dropped.
		later := w.node("later")
		time.Sleep(time.Second)
		later.checkWhole(one)
		for position, result := range later.results("one") {
			if position < older {
				is.Equal(result.ItemID, one.Items[older-1-position].ID)
			}
		}
		status, _ := later.index.Job("one")
		is.True(status.Settled)
		second.release()
	})
}

// listOlder lists a result as an earlier version does, under a key without padding.
func (w *world) listOlder(spec job.Spec, position int, item job.Item) {
	w.test.Helper()
	records, err := job.EncodeResult(spec.ID, position, job.Result{
		ItemID: item.ID, Text: strings.Join(memoryengine.Text(item.ID, eventCount), "\n"), Versions: []int64{2}, Score: memoryengine.Stamp,
	}, 1<<18)
	if err == nil {
		records[0].Key = job.ResultPrefix(spec.ID) + strconv.Itoa(position)
	}
	w.append(jobsPartition(), records, err)
}
