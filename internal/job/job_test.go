package job_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const recordLimit = 400

func spec(id string, items int) job.Spec {
	spec := job.Spec{ID: id, Host: "h", Model: "m", MinVersion: 2, Desired: items}
	for i := range items {
		spec.Items = append(spec.Items, job.Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/p", Body: []byte(strings.Repeat("x", 90)), Group: fmt.Sprint(i / 2),
		})
	}
	return spec
}

// history returns the records in the partition of two jobs as owners and gateways write them: values split into several
// parts, progress and results. Job "one" is submitted twice and has not ended, job "two" has ended.
func history(t interface{ Fatal(...any) }) []keyedlog.Record {
	var records []keyedlog.Record
	must := func(more []keyedlog.Record, err error) {
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, more...)
	}
	must(job.EncodeSpec(spec("one", 5), recordLimit))
	must(job.EncodeSpec(spec("two", 2), recordLimit))
	must(job.EncodeSpec(spec("one", 5), recordLimit))
	progress := job.Progress{ItemID: "one-1", Events: []string{"a", "b"}, Versions: []int64{2}, Line: 7}
	must(job.EncodeProgress("one", 1, 0, progress, recordLimit))
	progress.From, progress.Events, progress.Versions = 2, []string{"c"}, []int64{2, 3}
	must(job.EncodeProgress("one", 1, 1, progress, recordLimit))
	progress.From, progress.Events = 3, []string{"d"}
	must(job.EncodeProgress("one", 1, 2, progress, recordLimit))
	must(job.EncodeResult("one", 0, job.Result{ItemID: "one-3", Text: strings.Repeat("long ", 200), Versions: []int64{2, 3}}, recordLimit))
	must(job.EncodeResult("one", 1, job.Result{ItemID: "one-0", Text: "short", Score: "s"}, recordLimit))
	must(job.EncodeResult("two", 0, job.Result{ItemID: "two-1", Dead: true}, recordLimit))
	records = append(records, job.EncodeSettledMarker("two"))
	for i := range records {
		records[i].Offset = int64(i)
	}
	return records
}

// jobsPartition returns the partition with a number of the topic of jobs without homes.
func jobsPartition(number int) keyedlog.Partition {
	return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: number}
}

// indexHistory returns the index records of the jobs of history.
func indexHistory(t interface{ Fatal(...any) }) []keyedlog.Record {
	var records []keyedlog.Record
	must := func(record keyedlog.Record, err error) {
		if err != nil {
			t.Fatal(err)
		}
		record.Offset = int64(len(records))
		records = append(records, record)
	}
	partition := jobsPartition(3)
	must(job.EncodeEntry(job.NewEntry(spec("one", 5), partition, 0, 6, 1000), "z"))
	must(job.EncodeEntry(job.NewEntry(spec("two", 2), partition, 6, 9, 400), "m"))
	must(job.EncodeEntry(job.NewEntry(spec("one", 5), partition, 9, 15, 1000), "a"))
	must(job.EncodeEnd("two"), nil)
	must(job.EncodeSettled("two", 21, job.SlotTime{}))
	return records
}

func newIndex(t interface{ Fatal(...any) }, records []keyedlog.Record, recovered bool) *job.Index {
	index := job.NewIndex()
	for _, record := range records {
		if err := index.Apply(record, recovered); err != nil {
			t.Fatal(err)
		}
	}
	index.Advanced(int64(len(records)))
	return index
}

// fold applies records to a ledger whose index contains both jobs.
func fold(t interface{ Fatal(...any) }, records []keyedlog.Record) *job.Ledger {
	ledger := job.NewLedger(newIndex(t, indexHistory(t), false), jobsPartition(3))
	for _, record := range records {
		if err := ledger.Apply(record); err != nil {
			t.Fatal(err)
		}
	}
	return ledger
}

func describe(ledger *job.Ledger) string {
	var text strings.Builder
	for _, id := range []string{"one", "two"} {
		view, known := ledger.Job(id)
		fmt.Fprintln(&text, id, known, view.Listed, view.Ended)
		for _, result := range ledger.Results(id, 0, 1<<20) {
			fmt.Fprintln(&text, " ", *result)
		}
		for _, open := range ledger.Open(id) {
			fmt.Fprintln(&text, "  open", open.Item.ID, open.Progress)
		}
	}
	return text.String()
}

// TestFoldIndependentOfOrder applies the newest record of each key in a random order, as read by a process that starts late,
// and compares the result with that of applying every record in the order of the log.
func TestFoldIndependentOfOrder(t *testing.T) {
	want := describe(fold(t, history(t)))
	rapid.Check(t, func(t *rapid.T) {
		newest := make(map[string]keyedlog.Record)
		for _, record := range history(t) {
			newest[record.Key] = record
		}
		records := make([]keyedlog.Record, 0, len(newest))
		for _, key := range slices.Sorted(maps.Keys(newest)) {
			records = append(records, newest[key])
		}
		seed := rapid.Int64().Draw(t, "seed")
		rand.New(rand.NewSource(seed)).Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		if got := describe(fold(t, records)); got != want {
			t.Fatalf("folded in another order:\n%s\nas appended:\n%s", got, want)
		}
	})
}

func TestPositionNotOverwritten(t *testing.T) {
	is := is.New(t)
	ledger := fold(t, history(t))
	again, err := job.EncodeResult("one", 0, job.Result{ItemID: "one-4", Text: "other"}, recordLimit)
	is.NoErr(err)
	for _, record := range again {
		is.NoErr(ledger.Apply(record))
	}
	is.Equal(ledger.Results("one", 0, 1)[0].ItemID, "one-3")
}

// TestResultsStopAtFirstGap checks that a position is not returned before all positions below it are listed.
func TestResultsStopAtFirstGap(t *testing.T) {
	is := is.New(t)
	ledger := fold(t, history(t))
	late, err := job.EncodeResult("one", 3, job.Result{ItemID: "one-4"}, recordLimit)
	is.NoErr(err)
	is.NoErr(ledger.Apply(late[0]))
	is.Equal(len(ledger.Results("one", 0, 1<<20)), 2)
	is.Equal(len(ledger.Results("one", 9, 1<<20)), 0)
	between, err := job.EncodeResult("one", 2, job.Result{ItemID: "one-2"}, recordLimit)
	is.NoErr(err)
	is.NoErr(ledger.Apply(between[0]))
	is.Equal(len(ledger.Results("one", 0, 1<<20)), 4)
}

func TestResultsReturnsAtLeastOne(t *testing.T) {
	is := is.New(t)
	ledger := fold(t, history(t))
	is.Equal(len(ledger.Results("one", 0, 1)), 1)
	is.Equal(len(ledger.Results("one", 1, 1)), 1)
	is.Equal(len(ledger.Results("unknown", 0, 1)), 0)
}

// TestLedgerSkipsInvalidRecords applies records that no encoder of this package produces.
func TestLedgerSkipsInvalidRecords(t *testing.T) {
	is := is.New(t)
	ledger := fold(t, history(t))
	before := describe(ledger)
	garbage := []keyedlog.Record{
		{Key: "", Value: []byte("x")}, {Key: "s", Value: []byte("x")}, {Key: "z/one", Value: []byte("x")},
		{Key: "s/three", Value: []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		{Key: "s/three", Value: []byte{0, 0xc1}}, {Key: "r/one/x", Value: []byte{0, 0x80}}, {Key: "r/one/-1", Value: []byte{0, 0x80}},
		{Key: "r/one/7#x", Value: []byte{0}}, {Key: "p/one/", Value: []byte{0}}, {Key: "i/one/-1", Value: []byte{0, 0x80}},
		{Key: "i/three/x", Value: []byte{0, 0x80}}, {Key: "x/one/more", Value: []byte{1}}, {Key: "e/one", Value: []byte{1}},
	}
	for _, record := range garbage {
		is.True(ledger.Apply(record) != nil)
	}
	is.Equal(ledger.Skipped(), len(garbage))
	is.Equal(describe(ledger), before)
	_, known := ledger.Job("three")
	is.True(!known)
}

func TestDroppedSubmissionRemovesJob(t *testing.T) {
	is := is.New(t)
	ledger := fold(t, history(t))
	is.NoErr(ledger.Apply(keyedlog.Record{Key: "s/one"}))
	_, known := ledger.Job("one")
	is.True(!known)
}

// TestJobsOfModelSharePartition checks that one owner sees all jobs of a model.
func TestJobsOfModelSharePartition(t *testing.T) {
	is := is.New(t)
	is.Equal(job.PartitionOf(spec("a", 1), 8, nil), job.PartitionOf(spec("b", 1), 8, nil))
	models := []string{"l", "m", "n"}
	is.Equal(job.PartitionOf(spec("a", 1), 8, models), job.PartitionOf(spec("b", 1), 8, models))
}

// TestModelsGetSeparatePartitions checks that the jobs of different models do not share a partition while there are enough
// partitions, whether the models are trained by one host or by several.
func TestModelsGetSeparatePartitions(t *testing.T) {
	is := is.New(t)
	models := []string{"caption", "description", "material", "provenance"}
	for hosts := range 8 {
		seen := make(map[int]bool)
		for index, model := range models {
			host := fmt.Sprint("host", hosts*index)
			partition := job.PartitionOf(job.Spec{Host: host, Model: model}, 4, models)
			is.True(partition.Number >= 0 && partition.Number < 4)
			seen[partition.Number] = true
		}
		is.Equal(len(seen), len(models))
	}
}

func FuzzApply(f *testing.F) {
	for _, record := range history(f) {
		f.Add(record.Key, record.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		ledger := fold(t, history(t))
		_ = ledger.Apply(keyedlog.Record{Key: key, Value: value})
		_ = describe(ledger)
	})
}

// TestJobOpenInOnePartition checks that a submission that was written to two partitions, by nodes with different lists of
// models, is open only in the partition that its first entry names.
func TestJobOpenInOnePartition(t *testing.T) {
	is := is.New(t)
	index := newIndex(t, indexHistory(t), false)
	for partition := range 5 {
		ledger := job.NewLedger(index, jobsPartition(partition))
		for _, record := range history(t) {
			is.NoErr(ledger.Apply(record))
		}
		open := partition == 3
		is.Equal(len(ledger.OpenJobs()) == 1, open)
		is.Equal(len(ledger.Open("one")) > 0, open)
		_, known := ledger.Job("one")
		is.Equal(known, open)
	}
}
