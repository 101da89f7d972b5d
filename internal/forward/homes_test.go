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

// TestRequestWithoutEngineInItsHomesIsRefusedAtOnce guards against requests that wait for a slot at engines which leave, or which their
// regions don't have: the wait takes a part of the target and no engine can end it. A request whose engines are only full waits as before.
func TestRequestWithoutEngineInItsHomesIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		draining bool
		regions  []string
		waits    bool
	}{
		"leaving": {true, []string{"home"}, false}, "none": {false, []string{"third"}, false}, "no common region": {false, []string{}, false},
		"full": {false, []string{"home"}, true}, "not bound, full": {false, nil, true}, "not bound, leaving": {true, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(map[string]memoryengine.Behaviour{"a": {Full: true}})
				env.directory.SetRegions(map[string]string{"near": "home"})
				env.directory.Upsert(fleet.Engine{ID: "a", Pool: "p", Zone: "near", Slots: 100, Draining: test.draining})
				single := request(true)
				single.Regions = test.regions
				for _, send := range []func() forward.Answer{
					func() forward.Answer { return env.forwarder.Do(t.Context(), single) },
					func() forward.Answer {
						return env.forwarder.Stream(t.Context(), forward.StreamRequest{Request: single}, &receiver{})
					},
				} {
					began := time.Now()
					answer := send()
					is.Equal(answer.Outcome, forward.NotRun)
					is.Equal(time.Since(began) > 0, test.waits)
					is.Equal(answer.RetryAfter >= time.Second, !test.waits)
				}
			})
		})
	}
}
