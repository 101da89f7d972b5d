package jobs

import (
	"testing"
	"time"
)

// TestHoldTime guards against reads that are held although the caller needs the answer now, or until after its next read is due, the run
// deadline has passed, or it has given up.
func TestHoldTime(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, test := range map[string]struct {
		read heldRead
		want time.Duration
	}{
		"results arrive":      {heldRead{true, s, 0, s, true, s, false, false}, maxHold},
		"part has passed":     {heldRead{true, s, 200 * ms, s, true, s, false, false}, maxHold - 200*ms},
		"short wait time":     {heldRead{true, 300 * ms, 0, s, true, s, false, false}, 300 * ms},
		"no wait time":        {heldRead{true, 0, 0, s, true, s, false, false}, 0},
		"no trainer":          {heldRead{false, s, 0, s, true, s, false, false}, 0},
		"caller can act":      {heldRead{true, s, 0, s, true, s, false, true}, 0},
		"call ends soon":      {heldRead{true, s, 0, 150 * ms, true, s, false, false}, 150*ms - answerMargin},
		"deadline is near":    {heldRead{true, s, 0, s, true, 250 * ms, false, false}, 250*ms - answerMargin},
		"deadline has passed": {heldRead{true, s, 0, s, true, -s, false, false}, 0},
		"deadline is unknown": {heldRead{true, s, 0, s, false, s, false, false}, 0},
		"deadline is inexact": {heldRead{true, s, 0, s, true, estimatedMargin, true, false}, 0},
	} {
		if got := holdTime(test.read); got != test.want {
			t.Errorf("%s: held for %v, want %v", name, got, test.want)
		}
	}
}
