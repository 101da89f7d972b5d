package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestRequestsWhereAllEnginesAreCold guards against requests that wait although all engines are cold, against several
// processes that send to one cold engine, and against use of a cold engine beside a warm one. The only sender of engine a
// must serve requests there; all other processes must refuse them at once until the first engine is warm.
func TestRequestsWhereAllEnginesAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := func(term fleet.SenderTerm) *testEnv {
			env := newTestEnv(map[string]memoryengine.Behaviour{"a": {Work: work}, "b": {Work: work}})
			env.directory.SetColdSenders(func(engine fleet.Engine, _ string) (fleet.SenderTerm, bool) { return term, engine.ID == "a" })
			env.directory.SetColdLimit("p", fleet.ColdLimit{Rate: 8.6})
			for id, coldFor := range map[string]time.Duration{"a": 3 * time.Second, "b": 1500 * time.Millisecond} {
				known, _ := env.directory.Engine(id)
				known.ColdUntil = time.Now().Add(coldFor)
				env.directory.Upsert(known)
			}
			return env
		}
		begun := time.Now()
		other, only := start(fleet.SenderTerm{}), start(fleet.SenderTerm{Until: begun.Add(time.Hour)})
		refusal := other.forwarder.Do(t.Context(), request(true))
		is.True(refusal.Outcome == forward.NotRun && refusal.RetryAfter == 1500*time.Millisecond)
		is.Equal(other.forwarder.Stream(t.Context(), streamRequest(true, 1), new(receiver)).RetryAfter, 1500*time.Millisecond)
		is.Equal(time.Since(begun), time.Duration(0))
		is.Equal(only.forwarder.Do(t.Context(), request(true)).EngineID, "a")
		time.Sleep(1500 * time.Millisecond)
		is.Equal(other.forwarder.Do(t.Context(), request(true)).EngineID, "b")
		is.Equal(only.forwarder.Do(t.Context(), request(true)).EngineID, "b")
	})
}
