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

// TestItemsWithoutIndexEntryAreNotRun checks that a submission without an entry in the index is not treated as a job.
func TestItemsWithoutIndexEntryAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		owner := w.newNode("owner")
		owner.own(1)
		w.writeItems(spec("one", 3))
		time.Sleep(5 * time.Second)
		is.Equal(len(w.engines.Runs()), 0)
		owner.release()
	})
}

// TestJobIndexedAfterTakeoverIsRun checks that an owner runs a job whose index entry was written after the owner took the
// partition over, although its items were written before and the owner follows the partition only from the takeover on.
func TestJobIndexedAfterTakeoverIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		earlier, late, next := spec("earlier", 1), spec("late", 4), spec("next", 4)
		w.submit(earlier)
		items := w.writeItems(late)
		owner := w.newNode("owner")
		owner.own(1)
		time.Sleep(2 * time.Second)
		w.addToIndex(late, items, "attempt")
		w.submit(next)
		time.Sleep(3 * time.Second)
		owner.checkComplete(late)
		owner.checkComplete(next)
		owner.release()
	})
}

// TestSettledJobs checks when the index marks a job as settled, and that nothing is listed after that.
func TestSettledJobs(t *testing.T) {
	tests := []struct {
		name string
		// end is when the job is ended, 0 for never.
		end     time.Duration
		settled time.Duration
	}{
		{"all results listed", 0, 3 * time.Second},
		{"ended before its first event", time.Millisecond, 300 * time.Millisecond},
		{"ended while items run", 5 * pace, 600 * time.Millisecond},
		{"ended while results are listed", eventCount*pace + 40*time.Millisecond, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2)
				owner := w.newNode("owner")
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

// TestNextOwnerSettlesEndedJob checks that a job that ended while its partition had no owner is settled by the next owner,
// which lists none of its results.
func TestNextOwnerSettlesEndedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		first, second := w.newNode("first"), w.newNode("second")
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

// TestUnreadableIndexDelaysTakeover checks that an owner runs no items before it has read all ends of jobs that were
// acknowledged before its epoch.
func TestUnreadableIndexDelaysTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.newNode("owner")
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

// TestTakeoverWaitsForIndex checks that an owner that has read a job but not yet its end runs none of its items.
func TestTakeoverWaitsForIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		owner := w.newNode("owner")
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

// TestExpiredJobsAreDeleted checks that the owner deletes every record of a job past its retention, also of jobs that were
// settled before it took the partition over, and that it keeps a job that its caller has not ended.
func TestExpiredJobsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		first, second := w.newNode("first"), w.newNode("second")
		first.own(1)
		w.submit(spec("one", 4))
		time.Sleep(2 * time.Second)
		w.submit(spec("two", 4))
		time.Sleep(3 * time.Second)
		first.release()
		w.submit(spec("three", 4))
		second.own(2)
		time.Sleep(3 * time.Second)
		second.checkComplete(spec("three", 4))
		w.submit(spec("open", 4))
		time.Sleep(3 * time.Second)
		for _, id := range []string{"one", "two", "three"} {
			w.end(id)
		}
		is.True(len(keptKeys(t, w, jobsPartition())) > 0)
		time.Sleep(2 * time.Minute)
		second.checkComplete(spec("open", 4))
		_, known := second.index.Job("open")
		is.True(known)
		_, known = second.index.Job("one")
		is.True(!known)
		w.end("open")
		time.Sleep(time.Minute)
		// The record with the owner's epoch belongs to no job.
		is.Equal(keptKeys(t, w, jobsPartition()), []string{keyedlog.OwnerKey})
		is.Equal(keptKeys(t, w, keyedlog.JobIndex), nil)
		second.release()
	})
}

// keptKeys returns the keys for which the store keeps a record of the partition.
func keptKeys(t *testing.T, w *world, partition keyedlog.Partition) []string {
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

// TestSettledJobReportsEngineTime checks that the index records how long a job's items held engine slots, and records nothing
// if no single owner has run the whole job: a partial time would look like a small amount of work.
func TestSettledJobReportsEngineTime(t *testing.T) {
	tests := []struct {
		name string
		// handedOver moves the partition to another owner while the items run.
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
				first, second := w.newNode("first"), w.newNode("second")
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
				usage := status.SlotTime
				if test.handedOver {
					is.Equal(usage, job.SlotTime{})
					second.release()
					return
				}
				is.True(usage.Longest >= eventCount*pace && usage.Longest < 2*eventCount*pace)
				is.True(usage.Items >= items*eventCount*pace && usage.Items <= items*usage.Longest)
				first.release()
			})
		})
	}
}

// TestInterruptedCloseKeepsOldKeysInPlace stops an owner after it has closed a job and before it has recorded that in the
// index. Some of the job's results were listed by an earlier version of the software, and the store then drops all but the
// newest record of each key. The next owner closes the job again, based on these newest records.
func TestInterruptedCloseKeepsOldKeysInPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const items, older = 8, 4
		w := newWorld(t, 2)
		first, second := w.newNode("first"), w.newNode("second")
		one := spec("one", items)
		w.submit(one)
		for position := range older {
			w.listOldFormat(one, position, one.Items[older-1-position])
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
		// The result is read by a new node, since nodes that followed the job still have the records that the store has dropped.
		later := w.newNode("later")
		time.Sleep(time.Second)
		later.checkComplete(one)
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

// listOldFormat lists a result like an earlier version of the software, with a key without padding.
func (w *world) listOldFormat(spec job.Spec, position int, item job.Item) {
	w.test.Helper()
	records, err := job.EncodeResult(spec.ID, position, job.Result{
		ItemID: item.ID, Text: strings.Join(memoryengine.Text(item.ID, eventCount), "\n"), Versions: []int64{2}, Score: memoryengine.Stamp,
	}, 1<<18)
	if err == nil {
		records[0].Key = job.ResultPrefix(spec.ID) + strconv.Itoa(position)
	}
	w.append(jobsPartition(), records, err)
}
