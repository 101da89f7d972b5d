package job_test

import (
	"math/rand"
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/matryer/is"
)

// TestPiecesOfLineAreJoined stores two lines of one item, with pieces at the same event counts, and applies their records in
// many orders. Text of one run must never be appended to the line of another run, and a gap must end the text.
func TestPiecesOfLineAreJoined(t *testing.T) {
	is := is.New(t)
	piece := func(line uint64, number, from int, events ...string) keyedlog.Record {
		records, err := job.EncodeProgress("one", 0, number, job.Progress{
			ItemID: "one-0", Events: events, Versions: []int64{int64(line)}, Line: line, From: from,
		}, recordLimit)
		is.NoErr(err)
		is.Equal(len(records), 1)
		return records[0]
	}
	spec, err := job.EncodeSpec(spec("one", 1), recordLimit)
	is.NoErr(err)
	records := append(spec,
		piece(2, 0, 0, "a2", "b2"), piece(2, 1, 2, "c2"), piece(2, 2, 3, "d2"),
		piece(3, 0, 0, "a3", "b3", "c3"), piece(3, 2, 5, "f3", "g3", "h3"),
	)
	for seed := range int64(50) {
		shuffled := append([]keyedlog.Record(nil), records...)
		rand.New(rand.NewSource(seed)).Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		index := newIndex(t, indexHistory(t), false)
		ledger := job.NewLedger(index, jobsPartition(3))
		for _, record := range shuffled {
			is.NoErr(ledger.Apply(record))
		}
		open := ledger.Open("one")
		is.Equal(len(open), 1)
		is.Equal(open[0].Progress.Events, []string{"a2", "b2", "c2", "d2"})
		is.Equal(open[0].Progress.Versions, []int64{2})
		is.Equal(ledger.PieceKeys("one"), []string{"p/one/0/1", "p/one/0/2"})
	}
}
