package forward_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestEjectedEngineGetsOnlyTrials checks which requests the nearest engine gets when it fails for 2 s under a constant request rate: none
// while it is ejected, then one repeatable request as a trial, and all requests again once the trial was answered.
func TestEjectedEngineGetsOnlyTrials(t *testing.T) {
	good := memoryengine.Behaviour{Work: work}
	tests := []struct {
		name string
		// bad is the engine's behaviour for the first 2 s.
		bad       memoryengine.Behaviour
		mayRepeat bool
		// maxOffered limits the requests offered to the engine while it fails, maxLost those that are not answered.
		maxOffered, maxLost int
		// recovery is the time from the end of the failure until the engine is checked for requests again.
		recovery time.Duration
	}{
		{"connection refused, repeatable requests", memoryengine.Behaviour{Down: true}, true, 3, 0, 2 * time.Second},
		{"connection refused, requests that may not be repeated", memoryengine.Behaviour{Down: true}, false, 1, 0, 5 * time.Second},
		{"foreign responses, repeatable requests", memoryengine.Behaviour{Work: work, Foreign: true}, true, 5, 0, 2 * time.Second},
		{"foreign responses, requests that may not be repeated", memoryengine.Behaviour{Work: work, Foreign: true}, false, 3, 3, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(map[string]memoryengine.Behaviour{"a": test.bad, "b": good, "c": good})
				offered, lost := 0, 0
				sendFor := func(duration time.Duration) {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						answer := env.forwarder.Do(t.Context(), request(test.mayRepeat))
						if answer.Outcome != forward.Answered {
							lost++
						}
						if slices.Contains(answer.Tried, "a") {
							offered++
						}
					}
				}
				sendFor(2 * time.Second)
				is.True(offered >= 1)
				is.True(offered <= test.maxOffered)
				is.True(lost <= test.maxLost)

				env.engines.Behave("a", good)
				sendFor(test.recovery)
				offered, lost = 0, 0
				sendFor(time.Second)
				is.True(offered > 5)
				is.Equal(lost, 0)
			})
		})
	}
}
