package assign

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/policy"
)

func TestStartableLimitsStepAfterLookAhead(t *testing.T) {
	// A step of eight samples of two prompts, of which two are started. The first sample of each prompt is always eligible.
	waiting := []Candidate{
		{Index: 0}, {Index: 1, Sibling: 1}, {Index: 2, Sibling: 2},
		{Index: 4, Predicted: 90}, {Index: 5, Sibling: 1, Predicted: 90}, {Index: 6, Sibling: 2, Predicted: 90},
	}
	cases := []struct {
		name     string
		distance int
		depth    float64
		want     int
	}{
		{"step of the trainer", 0, 0, 6},
		{"ahead without look-ahead", 1, 0, 0},
		{"within the look-ahead", 1, 1, 6},
		{"part: first samples and long ones, less the two started", 1, 0.75, 4},
		{"a smaller part", 1, 0.5, 2},
		{"a part that is already started", 1, 0.25, 0},
		{"part of the second step ahead", 2, 1.5, 2},
		{"beyond the part", 2, 0.75, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			snapshot := Snapshot{AheadBounded: true, LookAhead: policy.LookAheadOf(c.depth), LongTokens: 50}
			startable := snapshot.Startable(Step{Number: 2, MaxStepsAhead: c.distance, Samples: 8, Candidates: waiting})
			is.Equal(len(startable), c.want)
			if c.want == 2 {
				is.Equal(startable[0].Index, 4) // the longest predicted answer comes first
			}
		})
	}
}

func TestFreshOnlySkipsOutdatedEngines(t *testing.T) {
	is := is.New(t)
	snapshot := Snapshot{
		FreshOnly: true, Latest: 3, ServedVersion: 2, FreeSlots: 1,
		Steps: []Step{{Number: 2, Samples: 1, Candidates: []Candidate{{Index: 0}}}},
	}
	is.Equal(len(Decide(snapshot)), 0)
	snapshot.MaxVersion = 2
	is.Equal(len(Decide(snapshot)), 1)
	snapshot.MaxVersion, snapshot.ServedVersion = 0, 3
	is.Equal(len(Decide(snapshot)), 1)
}
