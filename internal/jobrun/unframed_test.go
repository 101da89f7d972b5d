package jobrun_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestTextsWithoutALengthAreWhole guards against items that are listed as completed with a part of their text: the stream has no length and
// ends with its connection, and the end of the engine's process ends the connection in the same way.
func TestTextsWithoutALengthAreWhole(t *testing.T) {
	tests := []struct {
		name    string
		engines [2]memoryengine.Behaviour
	}{
		{"cut, the other engine has lengths", [2]memoryengine.Behaviour{{Unframed: true, EndAfter: 7}, {}}},
		{"cut at both, none has lengths", [2]memoryengine.Behaviour{{Unframed: true, EndAfter: 7}, {Unframed: true, EndAfter: 13}}},
		{"whole, none has lengths", [2]memoryengine.Behaviour{{Unframed: true}, {Unframed: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 2)
				for i, behaviour := range test.engines {
					behaviour.Pace, behaviour.Load = pace, 500*time.Millisecond
					w.engines.Behave(w.models[i].ID, behaviour)
				}
				owner := w.newNode("owner")
				owner.own(1)
				one := spec("one", 8)
				w.submit(one)
				time.Sleep(5 * time.Second)
				is.Equal(len(owner.results("one")), len(one.Items))
				owner.checkComplete(one)
				owner.release()
			})
		})
	}
}
