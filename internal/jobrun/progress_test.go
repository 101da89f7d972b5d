package jobrun

import (
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/matryer/is"
)

// TestCheckpointsContainEachEventOnce checks that all checkpoints of an item together contain each event once and in order,
// however often checkpoint is called, and that only a few of the last events are missing.
func TestCheckpointsContainEachEventOnce(t *testing.T) {
	is := is.New(t)
	e := &execution{}
	var stored []string
	line := uint64(0)
	pieces := 0
	for i := range 200 {
		e.events = append(e.events, string(rune('a'+i%26)))
		progress, piece, due := e.checkpoint()
		if due {
			is.Equal(progress.From, len(stored))
			is.Equal(piece, pieces)
			is.True(progress.Line != 0 && (line == 0 || progress.Line == line))
			stored = append(stored, progress.Events...)
			line = progress.Line
			pieces++
		}
		is.True(len(e.events) < minCheckpointEvents || len(stored) > len(e.events)-minPieceEvents)
	}
	is.Equal(stored, e.events[:len(stored)])
	total, due := e.progress()
	is.True(due == (len(stored) < 200))
	is.Equal(total.Events, e.events)
	is.Equal(total.From, 0)
}

// TestReplacedProgressStartsNewLine checks that an item never continues the line of the run that produced its text, since that
// run may still append pieces to it.
func TestReplacedProgressStartsNewLine(t *testing.T) {
	is := is.New(t)
	e := &execution{events: make([]string, 20)}
	first, _, due := e.checkpoint()
	is.True(due)
	e.setProgress(&job.Progress{Events: make([]string, 40), Line: first.Line})
	_, _, due = e.checkpoint()
	is.True(!due)
	e.events = append(e.events, make([]string, minPieceEvents)...)
	next, piece, due := e.checkpoint()
	is.True(due)
	is.True(next.Line != first.Line)
	is.Equal(next.From, 0)
	is.Equal(piece, 0)
	is.Equal(len(next.Events), 40+minPieceEvents)
}
