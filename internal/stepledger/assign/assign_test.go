package assign

import (
	"testing"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	steps := []Step{
		{Number: 4, MinStepsAhead: 2, MaxStepsAhead: 2, Samples: 1, Candidates: []Candidate{{Index: 0, Predicted: 99}}},
		{Number: 2, Samples: 3, Candidates: []Candidate{{Index: 0, Predicted: 5}, {Index: 1, Predicted: 9}, {Index: 2, Predicted: 9}}},
	}
	cases := []struct {
		name     string
		snapshot Snapshot
		want     []Choice
	}{
		{"older step, then longest, then index", Snapshot{FreeSlots: 9}, []Choice{{2, 1}, {2, 2}, {2, 0}, {4, 0}}},
		{"as many as fit", Snapshot{FreeSlots: 2}, []Choice{{2, 1}, {2, 2}}},
		{"no slots", Snapshot{}, nil},
		{"in-flight bound", Snapshot{FreeSlots: 9, InFlight: 3, MaxInFlight: 4}, []Choice{{2, 1}}},
		{"engine below the versions", Snapshot{FreeSlots: 9, MinVersion: 3, ServedVersion: 2}, nil},
		{"engine above the versions", Snapshot{FreeSlots: 9, MaxVersion: 3, ServedVersion: 4}, nil},
		{"no look-ahead", Snapshot{FreeSlots: 9, AheadBounded: true}, []Choice{{2, 1}, {2, 2}, {2, 0}}},
		{"no look-ahead, trainer not seen", Snapshot{FreeSlots: 9, AheadBounded: true, PositionUnknown: true}, nil},
		{"in order of arrival", Snapshot{FreeSlots: 2, ArrivalOrder: true}, []Choice{{2, 0}, {2, 1}}},
		{"later step would be out of bound", Snapshot{FreeSlots: 9, Bounded: true, Latest: 5, ServedVersion: 5, MaxVersionsBehind: 1},
			[]Choice{{2, 1}, {2, 2}, {2, 0}}},
		{"later step would just be in bound", Snapshot{FreeSlots: 9, Bounded: true, Latest: 5, ServedVersion: 5, MaxVersionsBehind: 2},
			[]Choice{{2, 1}, {2, 2}, {2, 0}, {4, 0}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.snapshot.Steps = steps
			is.New(t).Equal(Decide(c.snapshot), c.want)
		})
	}
}

func TestPredict(t *testing.T) {
	is := is.New(t)
	var history History
	is.Equal(history.Mean(), defaultTokens)
	for range historySize {
		history.Add(1000)
	}
	for range historySize {
		history.Add(100)
	}
	is.Equal(history.Mean(), 100) // the first lengths were overwritten
	is.Equal(Predict(Siblings{}, 100, 500), 100)
	is.Equal(Predict(Siblings{Finished: 3, Tokens: 900}, 100, 500), 250)
	is.Equal(Predict(Siblings{Finished: 3, Tokens: 900, LongestRunning: 400}, 100, 500), 400)
	is.Equal(Predict(Siblings{LongestRunning: 400}, 100, 300), 300)
}
