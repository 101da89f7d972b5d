package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestRequestIsRefusedAtOnceWhenAllEnginesLeave evacuates the only zones of a pool. If a request waited for a slot
// there, its caller would be refused only after the wait. Once a zone is back it must be served.
func TestRequestIsRefusedAtOnceWhenAllEnginesLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := memoryengine.Behaviour{Work: work, Pace: work}
		env := newTestEnv(map[string]memoryengine.Behaviour{"a": engine, "b": engine})
		env.directory.SetEvacuated("near", true)
		is.Equal(env.forwarder.Do(t.Context(), request(true)).Outcome, forward.Answered)
		env.directory.SetEvacuated("far", true)
		began := time.Now()
		for _, answer := range []forward.Answer{
			env.forwarder.Do(t.Context(), request(true)),
			env.forwarder.Stream(t.Context(), forward.StreamRequest{Request: request(false)}, nil),
		} {
			is.Equal(answer.Outcome, forward.NotRun)
			is.Equal(answer.Cause, "all engines of the pool leave or are in evacuated zones")
			is.True(answer.RetryAfter >= time.Second)
		}
		is.Equal(time.Since(began), 0*time.Second)
		env.directory.SetEvacuated("near", false)
		is.Equal(env.forwarder.Do(t.Context(), request(true)).Outcome, forward.Answered)
	})
}
