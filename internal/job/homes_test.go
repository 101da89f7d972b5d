package job_test

import (
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
)

// withoutHomes returns an entry as a build reads it that does not know its home set.
func withoutHomes(t *testing.T, value []byte) job.Entry {
	t.Helper()
	fields, _, err := msgp.ReadMapStrIntfBytes(value, nil)
	if err != nil {
		t.Fatal(err)
	}
	delete(fields, "homes")
	value, err = msgp.AppendMapStrIntf(nil, fields)
	if err != nil {
		t.Fatal(err)
	}
	var entry job.Entry
	if _, err = entry.UnmarshalMsg(value); err != nil {
		t.Fatal(err)
	}
	return entry
}

// TestEntriesOfBothBuildsNameTheirPartition reads an entry with homes with a build that ignores them, and entries without. An owner of the
// partition of the same number, outside the homes, would find a job of its own there, and read and run its items.
func TestEntriesOfBothBuildsNameTheirPartition(t *testing.T) {
	is := is.New(t)
	homes := keyedlog.NewHomeSet([]string{"ma", "at-east"})
	for number := range 100 {
		bound := keyedlog.Partition{Topic: homes.Topic(), Number: number}
		for _, partition := range []keyedlog.Partition{bound, jobsPartition(number)} {
			record, err := job.EncodeEntry(job.NewEntry(spec("one", 2), partition, 0, 3, 100), "t")
			is.NoErr(err)
			var read job.Entry
			_, err = read.UnmarshalMsg(record.Value)
			is.NoErr(err)
			is.Equal(read.StorePartition(), partition)

			before := withoutHomes(t, record.Value)
			if partition == bound {
				is.True(before.StorePartition().Number > 1000) // no partition of this number has an owner
			} else {
				is.Equal(before.StorePartition(), partition)
			}
		}
	}
}

// TestJobOfHomeSetIsInNoOtherPartition guards against an owner of another home set, or of none, that takes a job for one of its own because
// the partitions have the same number: it would settle and expire the job.
func TestJobOfHomeSetIsInNoOtherPartition(t *testing.T) {
	is := is.New(t)
	in := func(homes keyedlog.HomeSet) keyedlog.Partition {
		return keyedlog.Partition{Topic: homes.Topic(), Number: 3}
	}
	east, both := keyedlog.NewHomeSet([]string{"east"}), keyedlog.NewHomeSet([]string{"east", "west"})
	record, err := job.EncodeEntry(job.NewEntry(spec("one", 5), in(east), 0, 6, 1000), "z")
	is.NoErr(err)
	index := newIndex(t, []keyedlog.Record{record}, false)
	for homes, own := range map[keyedlog.HomeSet]bool{east: true, both: false, "": false} {
		is.Equal(len(index.Unsettled(in(homes))) == 1, own)
		is.Equal(index.StartOffset(in(homes), 9) == 0, own)
		ledger := job.NewLedger(index, in(homes))
		for _, record := range history(t) {
			is.NoErr(ledger.Apply(record))
		}
		is.Equal(len(ledger.OpenJobs()) == 1, own)
	}
}
