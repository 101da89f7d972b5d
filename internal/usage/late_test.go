package usage

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// TestOldCountsAreNotStoredBehindNewer guards against requests that the next reporter leaves out: the store applies an append of counts
// that was given up behind the counts that followed, and the next reporter reads only the newest counts of each process.
func TestOldCountsAreNotStoredBehindNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		counting := env.replica("machine-a")
		var lost atomic.Bool
		env.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Operation == "append" && call.Partition.Topic == keyedlog.TopicUsage && lost.CompareAndSwap(false, true) {
				return memorylog.LostLate
			}
			return memorylog.None
		})
		counting.counter.Ran("tenant", time.Now())
		time.Sleep(time.Second)
		counting.counter.Ran("tenant", time.Now())
		time.Sleep(2500 * time.Millisecond)
		newest := make(map[string]keyedlog.Record)
		for number := range 4 {
			for _, record := range env.store.Records(keyedlog.Partition{Topic: keyedlog.TopicUsage, Number: number}) {
				newest[record.Key] = record
			}
		}
		is.Equal(len(newest), 1)
		for _, record := range newest {
			var counts windowCounts
			_, err := counts.UnmarshalMsg(record.Value)
			is.NoErr(err)
			is.Equal(counts.Counts["tenant"], int64(2))
		}
		counting.stop()
	})
}
