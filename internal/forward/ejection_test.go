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

// TestRequestsGoByEjections checks which requests an engine gets that is nearest and fails: none while it is ejected, then one that may be
// repeated as a trial, and all again once that was answered. Load: callers at a steady rate beside an engine that is gone for 2 s.
func TestRequestsGoByEjections(t *testing.T) {
	good := memoryengine.Behaviour{Work: work}
	tests := []struct {
		name string
		// bad is how the engine fails for 2 s.
		bad       memoryengine.Behaviour
		mayRepeat bool
		// most bounds the requests that it is offered meanwhile, lost those that have no answer.
		most, lost int
		// back is after how long it has work again, once it is well.
		back time.Duration
	}{
		{"refusing, requests that may be repeated", memoryengine.Behaviour{Down: true}, true, 3, 0, 2 * time.Second},
		{"refusing, requests that may not", memoryengine.Behaviour{Down: true}, false, 1, 0, 5 * time.Second},
		{"answering for others, requests that may be repeated", memoryengine.Behaviour{Work: work, Foreign: true}, true, 5, 0, 2 * time.Second},
		{"answering for others, requests that may not", memoryengine.Behaviour{Work: work, Foreign: true}, false, 3, 3, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(map[string]memoryengine.Behaviour{"a": test.bad, "b": good, "c": good})
				offered, lost := 0, 0
				play := func(lasts time.Duration) {
					for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						answer := w.forwarder.Do(t.Context(), request(test.mayRepeat))
						if answer.Outcome != forward.Answered {
							lost++
						}
						if slices.Contains(answer.Tried, "a") {
							offered++
						}
					}
				}
				play(2 * time.Second)
				is.True(offered >= 1)
				is.True(offered <= test.most)
				is.True(lost <= test.lost)

				w.engines.Behave("a", good)
				play(test.back)
				offered, lost = 0, 0
				play(time.Second)
				is.True(offered > 5)
				is.Equal(lost, 0)
			})
		})
	}
}
