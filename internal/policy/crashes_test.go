package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCrashesAccess(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name            string
		engines, trials int
		since           time.Duration
		access          Access
		wait            time.Duration
	}{
		{"no crash", 0, 0, time.Hour, AccessAllowed, 0},
		{"one crash is below the limit", 1, 0, 0, AccessAllowed, 0},
		{"two crashes reach the limit", 2, 0, 0, AccessWithheld, 3 * time.Second},
		{"delay before the first trial", 2, 0, time.Second, AccessWithheld, 2 * time.Second},
		{"first trial", 2, 0, 3 * time.Second, AccessTrial, 0},
		{"withheld during a trial", 2, 1, 0, AccessWithheld, 2 * time.Second},
		{"withheld after a failed trial", 3, 1, 2 * time.Second, AccessWithheld, 10*time.Minute - 2*time.Second},
		{"second trial", 3, 1, 10 * time.Minute, AccessTrial, 0},
		{"no third trial", 4, 2, 12 * time.Hour, AccessWithheld, 12 * time.Hour},
		{"crashes expire after a day", 4, 2, 24 * time.Hour, AccessAllowed, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			crashes := Crashes{Engines: test.engines, Trials: test.trials, Last: now.Add(-test.since)}
			access, wait := crashes.Access(RequestCrashLimit, now)
			is.Equal(access, test.access)
			is.Equal(wait, test.wait)
		})
	}
}

// TestTrialsAreFew checks that a request that crashes every engine is sent no more than three times after the third
// crash, whenever it arrives and whatever the limit is.
func TestTrialsAreFew(t *testing.T) {
	for _, strikes := range []int{RequestCrashLimit, ItemCrashLimit} {
		is := is.New(t)
		var known Crashes
		now := time.Now()
		for start := now; now.Sub(start) < CrashMemory; now = now.Add(time.Second) {
			access, _ := known.Access(strikes, now)
			if access == AccessWithheld {
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
