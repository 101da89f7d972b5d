package job_test

import (
	"bytes"
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
)

// TestEntriesOfBothBuildsNameTheirPartition reads entries with and without homes with this build and with one that does not know the field. An
// owner of the partition of the same number, outside the homes, would find a job of its own there, and read and run its items.
func TestEntriesOfBothBuildsNameTheirPartition(t *testing.T) {
	is := is.New(t)
	homes := keyedlog.NewHomeSet([]string{"ma", "at-east"})
	for number := range 100 {
		for _, partition := range []keyedlog.Partition{{Topic: homes.Topic(), Number: number}, jobsPartition(number)} {
			record, err := job.EncodeEntry(job.NewEntry(spec("one", 2), partition, 0, 3, 100), "t")
			is.NoErr(err)
			var read, before job.Entry
			_, err = read.UnmarshalMsg(record.Value)
			is.NoErr(err)
			is.Equal(read.StorePartition(), partition)
			_, err = before.UnmarshalMsg(bytes.Replace(record.Value, []byte("homes"), []byte("other"), 1))
			is.NoErr(err)
			if partition.Topic == keyedlog.TopicJobs {
				is.Equal(before.StorePartition(), partition)
			} else {
				is.True(before.StorePartition().Number > 1000) // no partition of this number has an owner
			}
		}
	}
}

// TestJobOfHomeSetIsInNoOtherPartition guards against an owner of another home set, or of none, that takes a job for one of its own because
// the partitions have the same number: it would settle and expire the job. A read that skips a submission of another home set would lose the
// results at its offsets.
func TestJobOfHomeSetIsInNoOtherPartition(t *testing.T) {
	is := is.New(t)
	east, both := keyedlog.NewHomeSet([]string{"east"}), keyedlog.NewHomeSet([]string{"east", "west"})
	in := func(homes keyedlog.HomeSet) keyedlog.Partition {
		return keyedlog.Partition{Topic: homes.Topic(), Number: 3}
	}
	record, err := job.EncodeEntry(job.NewEntry(spec("one", 5), in(east), 0, 6, 1000), "z")
	is.NoErr(err)
	index := newIndex(t, []keyedlog.Record{record}, false)
	for homes, own := range map[keyedlog.HomeSet]bool{east: true, both: false, "": false} {
		is.Equal(len(index.Unsettled(in(homes))) == 1, own)
		is.Equal(index.StartOffset(in(homes), 9) == 0, own)
		is.Equal(len(index.Submissions(in(homes), 0, 100)) == 1, own)
	}
}
