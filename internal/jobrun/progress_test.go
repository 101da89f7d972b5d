package jobrun

import (
	"testing"

	"github.com/matryer/is"
)

// TestCheckpointsDouble checks that all checkpoints of an item together hold no more than twice its events, however often it is
// looked at, and that a long item is kept to half at least.
func TestCheckpointsDouble(t *testing.T) {
	is := is.New(t)
	e := &execution{}
	written, kept := 0, 0
	for range 200 {
		e.events = append(e.events, "event")
		if progress, worth := e.checkpoint(false); worth {
			kept = len(progress.Events)
			written += kept
		}
		is.True(len(e.events) < checkpointEvents || kept >= len(e.events)/checkpointGrowth)
	}
	is.True(written <= 2*len(e.events))
	progress, worth := e.checkpoint(true)
	is.True(worth)
	is.Equal(len(progress.Events), 200)
}
