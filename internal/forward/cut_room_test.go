package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestCutOffReportsWaitingRequestNotRun checks that CutOff ends a request that every engine has rejected as not run, and that the request
// is not counted as started.
func TestCutOffReportsWaitingRequestNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(map[string]memoryengine.Behaviour{"a": {Full: true}, "b": {Full: true}})
		waiting := request(false)
		waiting.MaxSlotWait = time.Second
		time.AfterFunc(10*time.Millisecond, env.forwarder.CutOff)
		answer := env.forwarder.Do(t.Context(), waiting)
		is.Equal(answer.Outcome.String(), forward.NotRun.String())
		is.True(answer.StartedAt.IsZero())
		is.Equal(len(env.engines.Runs()), 0)
	})
}
