package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestWhatWaitsForRoomAtTheCutIsNotRun checks that a request that every engine has turned away is answered as not run when it is cut off, and
// isn't counted as one that began to run.
func TestWhatWaitsForRoomAtTheCutIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]memoryengine.Behaviour{"a": {Full: true}, "b": {Full: true}})
		waiting := request(false)
		waiting.Patience = time.Second
		time.AfterFunc(10*time.Millisecond, w.forwarder.CutOff)
		answer := w.forwarder.Do(t.Context(), waiting)
		is.Equal(answer.Outcome.String(), forward.NotRun.String())
		is.True(answer.RanAt.IsZero())
		is.Equal(len(w.engines.Runs()), 0)
	})
}
