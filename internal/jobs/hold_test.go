package jobs

import (
	"testing"
	"time"
)

// TestHoldTime guards against reads that are held although their answer is of use now, or so long that the caller gets it after
// its next read is due, after the run deadline, or after it has given up.
func TestHoldTime(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		change func(read *heldRead)
		want   time.Duration
	}{
		"results arrive":         {func(*heldRead) {}, maxHold},
		"part has passed":        {func(r *heldRead) { r.waited = 200 * ms }, maxHold - 200*ms},
		"short wait time":        {func(r *heldRead) { r.wait = 300 * ms }, 300 * ms},
		"no wait time":           {func(r *heldRead) { r.wait = 0 }, 0},
		"no trainer":             {func(r *heldRead) { r.trainer = false }, 0},
		"caller can act":         {func(r *heldRead) { r.actionable = true }, 0},
		"call ends soon":         {func(r *heldRead) { r.callEnds = 150 * ms }, 150*ms - answerMargin},
		"deadline is near":       {func(r *heldRead) { r.deadline = 250 * ms }, 250*ms - answerMargin},
		"deadline within margin": {func(r *heldRead) { r.deadline = answerMargin }, 0},
		"deadline has passed":    {func(r *heldRead) { r.deadline = -time.Second }, 0},
		"deadline is unknown":    {func(r *heldRead) { r.deadlineKnown = false }, 0},
		"deadline is inexact":    {func(r *heldRead) { r.estimated, r.deadline = true, estimatedMargin }, 0},
	} {
		read := heldRead{trainer: true, wait: time.Second, callEnds: 2 * time.Second, deadlineKnown: true, deadline: 7 * time.Second}
		test.change(&read)
		if got := holdTime(read); got != test.want {
			t.Errorf("%s: held for %v, want %v", name, got, test.want)
		}
	}
}
