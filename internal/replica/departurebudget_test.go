package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDepartureBudgetFitsItsLimit guards against steps whose sum exceeds the time that is allowed, though each of them is short.
func TestDepartureBudgetFitsItsLimit(t *testing.T) {
	for _, limit := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		is := is.New(t)
		r := &Replica{config: Config{Settings: Settings{DrainLimit: limit}}}
		steps := r.departureBudget()
		for _, step := range steps {
			t.Logf("%s: %v, with a failure %v", step.name, step.usual, step.failed)
		}
		t.Logf("limit %v: worst %v", limit, worstOf(steps))
		is.True(worstOf(steps) <= limit)
	}
}
