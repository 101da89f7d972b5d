package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// cutAfter is how long after a request began the tests have it cut off.
const cutAfter = 1200 * time.Millisecond

// TestCutOffAnswersWhatIsUnderWay checks that a request and a stream at silent engines end when they are cut off, that neither is told to
// have not run, and that the engines are not blamed, though others stand at their addresses soon after.
func TestCutOffAnswersWhatIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := quarantinedWorld(t)
		for _, id := range []string{"a", "b", "c"} {
			w.engines.Behave(id, memoryengine.Behaviour{Silent: true})
		}
		began := time.Now()
		time.AfterFunc(cutAfter, w.forwarder.CutOff)
		streamed := make(chan forward.Answer, 1)
		go func() { streamed <- w.forwarder.Stream(t.Context(), streamRequest(true, 10), new(receiver)) }()
		answer := w.forwarder.Do(t.Context(), crashRequest(false))
		is.Equal(answer.Outcome, forward.TimedOut)
		is.Equal(answer.RanAt, began)
		is.Equal((<-streamed).Outcome, forward.TimedOut)
		is.Equal(time.Since(began), cutAfter)
		synctest.Wait()
		for _, id := range []string{"a", "b", "c"} {
			engine, _ := w.directory.Engine(id)
			engine.ID = "next-" + id
			w.directory.Upsert(engine)
		}
		time.Sleep(15 * time.Second) // longer than a successor is looked for
		is.Equal(w.held.Contents(), 0)
	})
}

// TestWhatComesAfterTheCutIsNotRun checks that requests that come after the others were cut off are refused and reach no engine.
func TestWhatComesAfterTheCutIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]memoryengine.Behaviour{"a": {Work: work, Pace: work}})
		w.forwarder.CutOff()
		is.Equal(w.forwarder.Do(t.Context(), request(true)).Outcome, forward.NotRun)
		is.Equal(w.forwarder.Stream(t.Context(), streamRequest(true, 10), new(receiver)).Outcome, forward.NotRun)
		is.Equal(len(w.engines.Runs()), 0)
	})
}
