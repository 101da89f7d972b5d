package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAccessToARequestThatCrashesEngines(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name            string
		engines, trials int
		since           time.Duration
		access          Access
		wait            time.Duration
	}{
		{"nothing ended", 0, 0, time.Hour, AccessFree, 0},
		{"one end is no pattern", 1, 0, 0, AccessFree, 0},
		{"two ends are", 2, 0, 0, AccessHeld, 3 * time.Second},
		{"the wait runs", 2, 0, time.Second, AccessHeld, 2 * time.Second},
		{"a first trial", 2, 0, 3 * time.Second, AccessTrial, 0},
		{"held while it is made", 2, 1, 0, AccessHeld, 2 * time.Second},
		{"and for long after it failed", 3, 1, 2 * time.Second, AccessHeld, 10*time.Minute - 2*time.Second},
		{"a second trial", 3, 1, 10 * time.Minute, AccessTrial, 0},
		{"no third", 4, 2, 12 * time.Hour, AccessHeld, 12 * time.Hour},
		{"forgotten after a day", 4, 2, 24 * time.Hour, AccessFree, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			crashes := Crashes{Engines: test.engines, Trials: test.trials, Last: now.Add(-test.since)}
			access, wait := crashes.Access(RequestStrikes, now)
			is.Equal(access, test.access)
			is.Equal(wait, test.wait)
		})
	}
}

// TestTrialsAreFew checks that a request that crashes every engine is sent no more than three times after the third end, whenever it comes
// and however many ends it takes to withhold it.
func TestTrialsAreFew(t *testing.T) {
	for _, strikes := range []int{RequestStrikes, ItemStrikes} {
		is := is.New(t)
		var known Crashes
		now := time.Now()
		for begun := now; now.Sub(begun) < CrashMemory; now = now.Add(time.Second) {
			access, _ := known.Access(strikes, now)
			if access == AccessHeld {
				continue
			}
			if access == AccessTrial {
				known.Trials++
			}
			known.Engines++
			known.Last = now
		}
		is.True(known.Engines <= 6)
	}
}
