package job_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// describeIndex formats what an index returns for the jobs of indexHistory, except for the times of acceptance.
func describeIndex(index *job.Index) string {
	text := ""
	for _, id := range []string{"one", "two"} {
		status, known := index.Job(id)
		status.AcceptedAt, status.Estimated = time.Time{}, false
		text += fmt.Sprintln(id, known, status)
	}
	return text + fmt.Sprintln(len(index.Unsettled(jobsPartition(3))), index.StartOffset(jobsPartition(3), 30), index.Skipped())
}

// TestIndexIndependentOfOrder checks that all processes agree on a job that was submitted twice, in whatever order they read
// its records.
func TestIndexIndependentOfOrder(t *testing.T) {
	want := describeIndex(newIndex(t, indexHistory(t), false))
	rapid.Check(t, func(t *rapid.T) {
		records := indexHistory(t)
		seed := rapid.Int64().Draw(t, "seed")
		rand.New(rand.NewSource(seed)).Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		if got := describeIndex(newIndex(t, records, true)); got != want {
			t.Fatalf("folded in another order:\n%s\nas appended:\n%s", got, want)
		}
	})
}

func TestFirstEntryOfJobCounts(t *testing.T) {
	is := is.New(t)
	index := newIndex(t, indexHistory(t), false)
	status, known := index.Job("one")
	is.True(known)
	is.Equal(status.Entry.Offset, int64(0))
	is.Equal(status.Entry.Items, 5)
	is.True(!status.Ended && !status.Settled)
	status, _ = index.Job("two")
	is.True(status.Ended && status.Settled)
	is.Equal(status.SettledEnd, int64(21))
}

// TestIndexEmptyUntilCaughtUp checks that an index that was read only in part returns no job: the first entry of a job that
// was submitted twice may not have been read yet.
func TestIndexEmptyUntilCaughtUp(t *testing.T) {
	is := is.New(t)
	index := job.NewIndex()
	for _, record := range indexHistory(t) {
		is.NoErr(index.Apply(record, true))
		_, known := index.Job("one")
		is.True(!known)
	}
	index.Advanced(5)
	_, known := index.Job("one")
	is.True(known)
}

// TestStartOffset checks from which offset a partition has to be read, depending on which jobs are settled.
func TestStartOffset(t *testing.T) {
	is := is.New(t)
	index := job.NewIndex()
	offset := int64(0)
	apply := func(record keyedlog.Record, err error) {
		is.NoErr(err)
		record.Offset = offset
		offset++
		is.NoErr(index.Apply(record, false))
	}
	for i, at := range []int64{10, 20, 30, 40} {
		partition := keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: 1}
		apply(job.EncodeEntry(job.NewEntry(spec(fmt.Sprint("job", i), 1), partition, at, at+2, 100), "t"))
	}
	is.Equal(index.StartOffset(jobsPartition(1), 50), int64(10))
	is.Equal(index.StartOffset(jobsPartition(2), 50), int64(50))
	apply(job.EncodeSettled("job0", 25, job.SlotTime{}))
	apply(job.EncodeSettled("job1", 29, job.SlotTime{}))
	// The text of the newest settled job may be reused.
	is.Equal(index.StartOffset(jobsPartition(1), 50), int64(20))
	apply(job.EncodeSettled("job2", 45, job.SlotTime{}))
	apply(job.EncodeSettled("job3", 49, job.SlotTime{}))
	is.Equal(index.StartOffset(jobsPartition(1), 50), int64(40))
	// A job that was submitted after the end of the partition was read does not affect the offset.
	is.Equal(index.StartOffset(jobsPartition(1), 40), int64(30))
}

// expired returns the jobs of a partition that expire if all that were accepted before a time from now do.
func expired(index *job.Index, partition int, fromNow time.Duration) []job.Expired {
	before := time.Now().Add(fromNow)
	return index.Expired(jobsPartition(partition), before, before)
}

// TestExpiredJobDropsAllRecords checks that dropping the keys of an expired job drops every record of it.
func TestExpiredJobDropsAllRecords(t *testing.T) {
	is := is.New(t)
	index := newIndex(t, indexHistory(t), false)
	is.Equal(len(expired(index, 3, -time.Minute)), 0)
	is.Equal(len(expired(index, 4, time.Minute)), 0)
	is.Equal(len(expired(index, 3, time.Minute)), 1)
	settled, err := job.EncodeSettled("one", 30, job.SlotTime{})
	is.NoErr(err)
	settled.Offset = int64(len(indexHistory(t)))
	is.NoErr(index.Apply(settled, false))
	is.Equal(len(expired(index, 3, time.Minute)), 2)
	dropped := make(map[string]bool)
	for _, past := range expired(index, 3, time.Minute) {
		for _, key := range slices.Concat(past.IndexKeys, past.JobKeys) {
			dropped[key] = true
		}
		for _, key := range past.IndexKeys {
			is.NoErr(index.Apply(keyedlog.Record{Key: key}, false))
		}
		_, known := index.Job(past.JobID)
		is.True(!known)
	}
	for _, record := range append(indexHistory(t), settled) {
		is.True(dropped[record.Key])
	}
	for _, records := range [][]keyedlog.Record{allRecordKinds(t, "one", 5), allRecordKinds(t, "two", 2)} {
		for _, record := range records {
			is.True(dropped[record.Key])
		}
	}
}

// allRecordKinds returns a record of every kind that a job's partition may contain, none of them split into parts.
func allRecordKinds(t *testing.T, id string, items int) []keyedlog.Record {
	const limit = 1 << 16
	records, err := job.EncodeSpec(spec(id, items), limit)
	if err != nil {
		t.Fatal(err)
	}
	for index := range items {
		result, err := job.EncodeResult(id, index, job.Result{Text: "text"}, limit)
		if err != nil {
			t.Fatal(err)
		}
		progress, err := job.EncodeProgress(id, index, 0, job.Progress{}, limit)
		if err != nil {
			t.Fatal(err)
		}
		records = append(append(records, result...), progress...)
	}
	return append(records, job.EncodeSettledMarker(id))
}

func TestIndexSkipsInvalidRecords(t *testing.T) {
	is := is.New(t)
	index := newIndex(t, indexHistory(t), false)
	before := describeIndex(index)
	garbage := []keyedlog.Record{
		{Key: "", Value: []byte("x")}, {Key: "s/one", Value: []byte("x")}, {Key: "s/one/t", Value: []byte{0xc1}}, {Key: "e/", Value: []byte{1}},
		{Key: "e/one/t", Value: []byte{1}}, {Key: "z/one", Value: []byte{1}}, {Key: "x/one", Value: []byte{0xc1}},
	}
	for _, record := range garbage {
		is.True(index.Apply(record, false) != nil)
	}
	is.Equal(index.Skipped(), len(garbage))
	is.Equal(describeIndex(index), before[:len(before)-2]+fmt.Sprintln(len(garbage)))
}

func FuzzIndex(f *testing.F) {
	for _, record := range indexHistory(f) {
		f.Add(record.Key, record.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		index := newIndex(t, indexHistory(t), false)
		_ = index.Apply(keyedlog.Record{Key: key, Value: value}, false)
		_ = describeIndex(index)
		_ = index.JobsByModel()
	})
}

// TestUnsettledJobDoesNotExpire checks that a job that is not settled never expires, however long ago it was accepted.
// Otherwise its owner drops the job with its results, and nodes answer that it does not exist.
func TestUnsettledJobDoesNotExpire(t *testing.T) {
	is := is.New(t)
	partition := keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: 3}
	index := job.NewIndex()
	offset := int64(0)
	apply := func(record keyedlog.Record, err error) {
		is.NoErr(err)
		record.Offset = offset
		offset++
		is.NoErr(index.Apply(record, false))
	}
	apply(job.EncodeEntry(job.NewEntry(spec("one", 2), partition, 0, 3, 100), "t"))
	index.Advanced(offset)
	is.Equal(len(expired(index, 3, time.Hour)), 0)
	apply(job.EncodeEnd("one"), nil)
	is.Equal(len(expired(index, 3, time.Hour)), 0)
	apply(job.EncodeSettled("one", 9, job.SlotTime{}))
	is.Equal(len(expired(index, 3, time.Hour)), 1)
}

// TestOpenJobOutlivesItsRetention guards against results that are gone while their caller may still read them: a job whose results are all
// listed is settled, and its caller has not ended it.
func TestOpenJobOutlivesItsRetention(t *testing.T) {
	is := is.New(t)
	index := newIndex(t, indexHistory(t), false)
	settled, err := job.EncodeSettled("one", 30, job.SlotTime{})
	is.NoErr(err)
	is.NoErr(index.Apply(settled, false))
	now := time.Now()
	past, future := now.Add(-time.Hour), now.Add(time.Hour)
	is.Equal(len(index.Expired(jobsPartition(3), future, past)), 1)
	is.Equal(index.Expired(jobsPartition(3), future, past)[0].JobID, "two")
	is.Equal(len(index.Expired(jobsPartition(3), future, future)), 2)
	is.Equal(len(index.Expired(jobsPartition(3), past, future)), 1)
}
