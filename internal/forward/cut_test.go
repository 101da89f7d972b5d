package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// cutOffDelay is the time between the start of a request and CutOff.
const cutOffDelay = 1200 * time.Millisecond

// TestCutOffEndsRunningRequests checks that CutOff ends a request and a stream at silent engines, that neither is reported as not run,
// and that the quarantine counts no engine as ended under them, although new engines replace the silent ones soon after.
func TestCutOffEndsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newQuarantineEnv(t)
		for _, id := range []string{"a", "b", "c"} {
			env.engines.Behave(id, memoryengine.Behaviour{Silent: true})
		}
		started := time.Now()
		time.AfterFunc(cutOffDelay, env.forwarder.CutOff)
		streamed := make(chan forward.Answer, 1)
		go func() { streamed <- env.forwarder.Stream(t.Context(), streamRequest(true, 10), new(receiver)) }()
		answer := env.forwarder.Do(t.Context(), crashRequest(false))
		is.Equal(answer.Outcome, forward.TimedOut)
		is.Equal(answer.StartedAt, started)
		is.Equal((<-streamed).Outcome, forward.TimedOut)
		is.Equal(time.Since(started), cutOffDelay)
		synctest.Wait()
		for _, id := range []string{"a", "b", "c"} {
			engine, _ := env.directory.Engine(id)
			engine.ID = "next-" + id
			env.directory.Upsert(engine)
		}
		time.Sleep(15 * time.Second) // longer than the quarantine waits for a silent engine's successor
		is.Equal(env.quarantine.Contents(), 0)
	})
}

// TestRequestsAfterCutOffAreNotRun checks that requests that arrive after CutOff are refused and reach no engine.
func TestRequestsAfterCutOffAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(map[string]memoryengine.Behaviour{"a": {Work: work, Pace: work}})
		env.forwarder.CutOff()
		is.Equal(env.forwarder.Do(t.Context(), request(true)).Outcome, forward.NotRun)
		is.Equal(env.forwarder.Stream(t.Context(), streamRequest(true, 10), new(receiver)).Outcome, forward.NotRun)
		is.Equal(len(env.engines.Runs()), 0)
	})
}
