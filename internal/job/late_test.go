package job_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// repeatLater draws some records of a log and repeats each at a later place, as a store does that applies calls without an answer
// seconds later.
func repeatLater(t *rapid.T, log []keyedlog.Record) []keyedlog.Record {
	log = slices.Clone(log)
	for range rapid.IntRange(0, 4).Draw(t, "repeats") {
		from := rapid.IntRange(0, len(log)-1).Draw(t, "from")
		to := rapid.IntRange(from+1, len(log)).Draw(t, "to")
		log = slices.Insert(log, to, log[from])
	}
	for i := range log {
		log[i].Offset = int64(i)
	}
	return log
}

// readFrom returns the records that a process reads that starts when the log has start records: the newest of each key by then in the
// order of keys, and all records after that.
func readFrom(log []keyedlog.Record, start int) []keyedlog.Record {
	newest := make(map[string]keyedlog.Record)
	for _, record := range log[:start] {
		newest[record.Key] = record
	}
	var read []keyedlog.Record
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		read = append(read, newest[key])
	}
	return append(read, log[start:]...)
}

// TestIndexIgnoresLateCopies guards against processes that disagree on a job: whatever record of the index is stored once more behind
// newer ones, a process that starts at any time has the same state as one that has read every record.
func TestIndexIgnoresLateCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := indexHistory(t)
		for i, offset := range []int64{40, 3, 60} {
			record, err := job.EncodeEntry(job.NewEntry(spec("one", 5), jobsPartition(3), offset, offset+6, 1000), fmt.Sprint("attempt", i))
			if err != nil {
				t.Fatal(err)
			}
			log = append(log, record)
		}
		log = repeatLater(t, log)
		start := rapid.IntRange(0, len(log)).Draw(t, "start")
		want, got := describeIndex(newIndex(t, log, false)), describeIndex(newIndex(t, readFrom(log, start), true))
		if got != want {
			t.Fatalf("read from %d on:\n%s\nread whole:\n%s", start, got, want)
		}
	})
}

// describeJobs formats what a ledger returns for the jobs of history, except for progress: of that a process that starts late may know
// less.
func describeJobs(t interface{ Fatal(...any) }, ledger *job.Ledger) string {
	var text strings.Builder
	for _, id := range []string{"one", "two"} {
		view, known := ledger.Job(id)
		fmt.Fprintln(&text, id, known, view.Listed, view.Ended)
		for _, result := range ledger.Results(id, 0, 1<<20) {
			fmt.Fprintln(&text, " ", *result)
		}
		for _, open := range ledger.Open(id) {
			fmt.Fprintln(&text, "  open", open.Item.ID)
			if progress := open.Progress; progress != nil && !strings.HasPrefix("abcd", strings.Join(progress.Events, "")) {
				t.Fatal("progress is no prefix of the item's text: ", progress.Events)
			}
		}
	}
	return text.String()
}

// TestLedgerIgnoresLateCopies guards against owners and readers that disagree on the results of a job: whatever record of a partition
// is stored once more behind newer ones, a process that starts at any time has the same results and open items, and progress that
// is a prefix of the item's text.
func TestLedgerIgnoresLateCopies(t *testing.T) {
	want := describeJobs(t, fold(t, history(t)))
	rapid.Check(t, func(t *rapid.T) {
		log := repeatLater(t, history(t))
		start := rapid.IntRange(0, len(log)).Draw(t, "start")
		if got := describeJobs(t, fold(t, readFrom(log, start))); got != want {
			t.Fatalf("read from %d on:\n%s\nread whole:\n%s", start, got, want)
		}
	})
}

// TestSettledJobIsNotOpen guards against a settled job that runs again: its items were read, but not its results, which lie below the
// offset from which on the partition is read.
func TestSettledJobIsNotOpen(t *testing.T) {
	is := is.New(t)
	index := newIndex(t, indexHistory(t), false)
	items, err := job.EncodeSpec(spec("one", 5), recordLimit)
	is.NoErr(err)
	ledger := job.NewLedger(index, jobsPartition(3))
	for _, record := range items {
		is.NoErr(ledger.Apply(record))
	}
	is.Equal(len(ledger.OpenJobs()), 1)
	is.Equal(len(ledger.Open("one")), 5)
	settled, err := job.EncodeSettled("one", 30, job.SlotTime{})
	is.NoErr(err)
	is.NoErr(index.Apply(settled, false))
	is.Equal(len(ledger.OpenJobs()), 0)
	is.Equal(len(ledger.Open("one")), 0)
}

// TestJobIsOpenOnceItsSubmissionIsCovered guards against a job that runs again from its first result because its owner has read only a
// late copy of its items, and not the records between the submission and that copy.
func TestJobIsOpenOnceItsSubmissionIsCovered(t *testing.T) {
	is := is.New(t)
	index := job.NewIndex()
	entry, err := job.EncodeEntry(job.NewEntry(spec("one", 5), jobsPartition(3), 10, 16, 1000), "attempt")
	is.NoErr(err)
	is.NoErr(index.Apply(entry, false))
	index.Advanced(1)
	ledger := job.NewLedger(index, jobsPartition(3))
	ledger.SetReadFrom(20)
	items, err := job.EncodeSpec(spec("one", 5), recordLimit)
	is.NoErr(err)
	for _, record := range items {
		is.NoErr(ledger.Apply(record))
	}
	is.Equal(len(ledger.OpenJobs()), 0)
	is.Equal(len(ledger.Open("one")), 0)
	ledger.SetReadFrom(10)
	is.Equal(len(ledger.OpenJobs()), 1)
	is.Equal(len(ledger.Open("one")), 5)
}
