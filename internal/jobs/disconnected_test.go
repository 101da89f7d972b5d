package jobs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// TestDisconnectedNodeRefusesReadsSoon guards against reads that wait for their own deadline at a node which knows that the store does not
// answer it: the caller loses seconds in which another node could have answered.
func TestDisconnectedNodeRefusesReadsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		node := newNode(t, store, "node")
		synctest.Wait()
		is.Equal(node.service.Submit(t.Context(), spec("one")), jobs.Done)
		// The job is known before the outage begins.
		time.Sleep(time.Second)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		// The node learns of the outage by its next read of the index.
		time.Sleep(2 * time.Second)
		const soon = 400 * time.Millisecond
		started := time.Now()
		_, outcome := node.service.Results(t.Context(), "one", 0, time.Second)
		is.Equal(outcome, jobs.Unsure)
		is.True(time.Since(started) <= soon)
		started = time.Now()
		_, outcome = node.service.Body(t.Context(), "one", "i1")
		is.Equal(outcome, jobs.Unsure)
		is.True(time.Since(started) <= soon)
		store.Heal()
		time.Sleep(time.Second)
		_, outcome = node.service.Results(t.Context(), "one", 0, 0)
		is.Equal(outcome, jobs.Done)
	})
}
