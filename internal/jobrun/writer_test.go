package jobrun

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// TestClosedJobListsNothing checks that results and progress of a job are dropped after the job was closed, and kept if they
// were queued before.
func TestClosedJobListsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: 1})
		partition := keyedlog.Partition{Topic: keyedlog.TopicJobs}
		logger := log.New(io.Discard)
		w := newWriter(fencing.New(fencing.Config{
			Log: store.For("owner"), Partition: partition, Name: writerName, Generation: 1, Logger: logger,
		}), Limits{RecordBytes: 1 << 18, CallBytes: 1 << 21}, logger)
		end := int64(0)
		w.list("one", &job.Result{ItemID: "a"}, func() {})
		w.save("one", []keyedlog.Record{{Key: "p/one/0", Value: []byte("x")}})
		w.closeJob("one", []string{"p/one/0/1"}, func(offset int64) { end = offset })
		w.list("one", &job.Result{ItemID: "b"}, func() { t.Error("listed after the close") })
		w.save("one", []keyedlog.Record{{Key: "p/one/1", Value: []byte("x")}})
		w.list("two", &job.Result{ItemID: "c"}, func() {})
		go w.run(t.Context())
		synctest.Wait()
		var results, progress, drops []string
		for _, record := range store.Records(partition) {
			switch {
			case strings.HasPrefix(record.Key, "r/"):
				results = append(results, record.Key)
			case record.Value == nil:
				drops = append(drops, record.Key)
			case strings.HasPrefix(record.Key, "p/"):
				progress = append(progress, record.Key)
			}
		}
		is.Equal(results, []string{"r/one/00000000", "r/two/00000000"})
		is.Equal(progress, []string{"p/one/0"})
		is.Equal(drops, []string{"p/one/0/1"})
		is.True(end >= 2)
	})
}

// TestResultThatCannotBeStoredIsGivenUp guards against jobs that never end, and partitions that list nothing more: a result that does not
// encode was dropped without a word and counted as listed, and one that no append can hold was sent to the store for good.
func TestResultThatCannotBeStoredIsGivenUp(t *testing.T) {
	const callBytes = 1 << 16
	random := rand.New(rand.NewPCG(1, 1))
	noise := make([]byte, 2*callBytes)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	for name, text := range map[string]string{"does not encode": strings.Repeat("a", job.MaxTextBytes+1<<20), "fits no append": string(noise)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := memorylog.New(memorylog.Config{Partitions: 1})
				partition := keyedlog.Partition{Topic: keyedlog.TopicJobs}
				logger := log.New(io.Discard)
				w := newWriter(fencing.New(fencing.Config{
					Log: store.For("owner"), Partition: partition, Name: writerName, Generation: 1, Logger: logger,
				}), Limits{RecordBytes: 1 << 14, CallBytes: callBytes}, logger)
				listed := 0
				for _, result := range []*job.Result{{ItemID: "a", Text: text}, {ItemID: "b", Text: "whole"}} {
					w.list("one", result, func() { listed++ })
				}
				go w.run(t.Context())
				synctest.Wait()
				is.Equal(listed, 2)
				ledger := job.NewLedger(job.NewIndex(), partition)
				for _, record := range store.Records(partition) {
					is.True(len(record.Value) <= 1<<14)
					is.NoErr(ledger.Apply(record))
				}
				results := ledger.Results("one", 0, 1<<20)
				is.Equal(len(results), 2)
				is.True(results[0].ItemID == "a" && results[0].Dead && results[0].Text == "")
				is.True(results[1].ItemID == "b" && !results[1].Dead && results[1].Text == "whole")
			})
		})
	}
}
