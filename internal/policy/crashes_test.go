package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashesAccess is the table of decisions on work under which engines terminated. A caller's request and a call that scores an item may
// crash each engine that runs them, so that they get two trials after they are withheld; an item is owed to its caller and only pauses.
func TestCrashesAccess(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name            string
		class           CrashClass
		engines, trials int
		since           time.Duration
		access          Access
		wait            time.Duration
	}{
		{"request: no crash", CrashRequest, 0, 0, time.Hour, AccessAllowed, 0},
		{"request: one crash is below the limit", CrashRequest, 1, 0, 0, AccessAllowed, 0},
		{"request: two crashes reach the limit", CrashRequest, 2, 0, 0, AccessWithheld, 3 * time.Second},
		{"request: delay before the first trial", CrashRequest, 2, 0, time.Second, AccessWithheld, 2 * time.Second},
		{"request: first trial", CrashRequest, 2, 0, 3 * time.Second, AccessTrial, 0},
		{"request: withheld during a trial", CrashRequest, 2, 1, 0, AccessWithheld, 2 * time.Second},
		{"request: withheld after a failed trial", CrashRequest, 3, 1, 2 * time.Second, AccessWithheld, 10*time.Minute - 2*time.Second},
		{"request: second trial", CrashRequest, 3, 1, 10 * time.Minute, AccessTrial, 0},
		{"request: no third trial", CrashRequest, 4, 2, 12 * time.Hour, AccessWithheld, 12 * time.Hour},
		{"request: crashes expire after a day", CrashRequest, 4, 2, 24 * time.Hour, AccessAllowed, 0},

		{"score: two crashes are below the limit", CrashScore, 2, 0, 0, AccessAllowed, 0},
		{"score: three crashes reach the limit", CrashScore, 3, 0, 0, AccessWithheld, 3 * time.Second},
		{"score: first trial", CrashScore, 3, 0, 3 * time.Second, AccessTrial, 0},
		{"score: withheld after a failed trial", CrashScore, 4, 1, 2 * time.Second, AccessWithheld, 2500 * time.Millisecond},
		{"score: second trial while its step waits", CrashScore, 4, 1, 4500 * time.Millisecond, AccessTrial, 0},
		{"score: no third trial", CrashScore, 5, 2, 12 * time.Hour, AccessWithheld, 12 * time.Hour},

		{"item: two crashes are below the limit", CrashItem, 2, 0, 0, AccessAllowed, 0},
		{"item: pause after three crashes", CrashItem, 3, 0, 0, AccessPaused, time.Second},
		{"item: runs again after the pause", CrashItem, 3, 0, time.Second, AccessAlone, 0},
		{"item: longer pause after the fourth", CrashItem, 4, 1, time.Second, AccessPaused, time.Second},
		{"item: runs again after four", CrashItem, 4, 1, 2 * time.Second, AccessAlone, 0},
		{"item: the pause is bounded", CrashItem, 100, 0, time.Second, AccessPaused, 2 * time.Second},
		{"item: trials that others made don't count", CrashItem, 5, 2, 3 * time.Second, AccessAlone, 0},
		{"item: crashes expire after a day", CrashItem, 5, 2, 24 * time.Hour, AccessAllowed, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			last := now.Add(-test.since)
			crashes := Crashes{Engines: test.engines, Trials: test.trials, Last: last, LastEnd: last}
			access, wait := crashes.Access(test.class, now)
			is.Equal(access, test.access)
			is.Equal(wait, test.wait)
		})
	}
}

// TestTrialsAreFew checks that work that crashes every engine is sent no more than three times after the third crash, whenever
// it arrives and whatever the limit is.
func TestTrialsAreFew(t *testing.T) {
	for _, class := range []CrashClass{CrashRequest, CrashScore} {
		is := is.New(t)
		var known Crashes
		now := time.Now()
		for start := now; now.Sub(start) < CrashMemory; now = now.Add(500 * time.Millisecond) {
			access, _ := known.Access(class, now)
			if access == AccessWithheld {
				continue
			}
			if access == AccessTrial {
				known.Trials++
			}
			known.Engines++
			known.Last, known.LastEnd = now, now
		}
		is.True(known.Engines <= 6)
	}
}

// TestItemIsNeverGivenUp guards against items that are never sent again: whatever crashed under an item, it runs again within the 5 s that a
// platform allows, and after a pause, so that an item that does crash engines ends no more than one in each pause.
func TestItemIsNeverGivenUp(t *testing.T) {
	const allowed = 5 * time.Second
	is := is.New(t)
	var known Crashes
	now := time.Now()
	for known.Engines < 50 {
		access, wait := known.Access(CrashItem, now)
		switch access {
		case AccessPaused:
			is.True(wait > 0 && wait < allowed)
			now = now.Add(wait)
		case AccessAllowed:
			is.True(known.Engines < ItemCrashLimit)
			known.Engines++
		case AccessAlone:
			is.True(now.Sub(known.LastEnd) >= time.Second)
			known.Engines++
		default:
			t.Fatal(access)
		}
		if access != AccessPaused {
			known.Last, known.LastEnd = now, now
		}
	}
}
