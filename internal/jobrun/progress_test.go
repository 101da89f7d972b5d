package jobrun

import (
	"testing"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/matryer/is"
)

// TestCheckpointsHoldTheTextOnce checks that all checkpoints of an item together hold each event once, in order, however often
// the item is looked at, and that no more than a few events are missing.
func TestCheckpointsHoldTheTextOnce(t *testing.T) {
	is := is.New(t)
	e := &execution{}
	var kept []string
	line := uint64(0)
	pieces := 0
	for i := range 200 {
		e.events = append(e.events, string(rune('a'+i%26)))
		progress, piece, worth := e.checkpoint()
		if worth {
			is.Equal(progress.From, len(kept))
			is.Equal(piece, pieces)
			is.True(progress.Line != 0 && (line == 0 || progress.Line == line))
			kept = append(kept, progress.Events...)
			line = progress.Line
			pieces++
		}
		is.True(len(e.events) < checkpointEvents || len(kept) > len(e.events)-pieceEvents)
	}
	is.Equal(kept, e.events[:len(kept)])
	whole, worth := e.progress()
	is.True(worth == (len(kept) < 200))
	is.Equal(whole.Events, e.events)
	is.Equal(whole.From, 0)
}

// TestATextTakenOverBeginsALine checks that an item never goes on with the line of whoever made its text: that one may still
// write pieces of it.
func TestATextTakenOverBeginsALine(t *testing.T) {
	is := is.New(t)
	e := &execution{events: make([]string, 20)}
	first, _, worth := e.checkpoint()
	is.True(worth)
	e.takeOver(&job.Progress{Events: make([]string, 40), Line: first.Line})
	_, _, worth = e.checkpoint()
	is.True(!worth)
	e.events = append(e.events, make([]string, pieceEvents)...)
	next, piece, worth := e.checkpoint()
	is.True(worth)
	is.True(next.Line != first.Line)
	is.Equal(next.From, 0)
	is.Equal(piece, 0)
	is.Equal(len(next.Events), 40+pieceEvents)
}
