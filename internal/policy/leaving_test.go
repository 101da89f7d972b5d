package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDepartures checks the decision for single situations. A run that is cut without need reads its prompt again, and takes a
// slot from waiting items; a run that stays too long breaks off.
func TestDepartures(t *testing.T) {
	const pace = 10 * time.Millisecond
	run := func(events float64, slack, leaves time.Duration) LeavingRun {
		return LeavingRun{Events: events, Pace: pace, Slack: slack, Leaves: leaves, LeavesKnown: leaves > 0}
	}
	tests := []struct {
		name     string
		runs     []LeavingRun
		free     int
		released []time.Duration
		want     []Departure
	}{
		{"ends in time", []LeavingRun{run(200, 0, 2*time.Second)}, 5, nil, []Departure{DepartureStay}},
		{"ends too late", []LeavingRun{run(201, 0, 2*time.Second)}, 5, nil, []Departure{DepartureMove}},
		{"longest first", []LeavingRun{run(300, 0, time.Second), run(400, 0, time.Second)}, 1, nil, []Departure{DepartureRequest, DepartureMove}},
		{"unknown leave, about to end", []LeavingRun{run(40, 0, 0)}, 5, nil, []Departure{DepartureStay}},
		{"unknown leave, slack, free slot", []LeavingRun{run(100, 9*time.Second, 0)}, 1, nil, []Departure{DepartureMove}},
		{"unknown leave, slack, no slot", []LeavingRun{run(100, 9*time.Second, 0)}, 0, []time.Duration{1}, []Departure{DepartureStay}},
		{"unknown leave, no slack", []LeavingRun{run(100, 0, 0)}, 0, nil, []Departure{DepartureRequest}},
		{"slack, slot released in time", []LeavingRun{run(300, 9*time.Second, time.Second)}, 0, []time.Duration{time.Second / 2}, []Departure{DepartureRequest}},
		{"slack, slot released too late", []LeavingRun{run(300, 9*time.Second, time.Second)}, 0, []time.Duration{time.Second}, []Departure{DepartureStay}},
		{"unknown length comes last", []LeavingRun{run(0, 0, time.Second), run(300, 0, time.Second)}, 1, nil, []Departure{DepartureStay, DepartureMove}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(Departures(test.runs, test.free, test.released), test.want)
		})
	}
}

// TestDeparturesKeepTheirBounds checks random situations: no more runs move than there are free slots, no run moves or requests
// a slot that ends in time, no run stays that is longer than one that moves, and no free slot is left while a run needs one.
func TestDeparturesKeepTheirBounds(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		runs := make([]LeavingRun, random.IntN(20))
		for i := range runs {
			runs[i] = LeavingRun{
				Events: float64(random.IntN(300)), Pace: time.Duration(1+random.IntN(50)) * time.Millisecond,
				Slack: time.Duration(random.IntN(5000)) * time.Millisecond, Leaves: time.Duration(random.IntN(5000)) * time.Millisecond,
				LeavesKnown: random.IntN(2) == 0,
			}
		}
		free := random.IntN(10)
		moved, needed := 0, 0
		var shortestMoved, longestLeft time.Duration
		for i, departure := range Departures(runs, free, []time.Duration{time.Second}) {
			remaining := runs[i].remaining()
			switch {
			case runs[i].endsInTime():
				if departure != DepartureStay {
					t.Fatalf("seed %d: %+v ends in time and does not stay", seed, runs[i])
				}
				continue
			case departure == DepartureMove:
				moved++
				if shortestMoved == 0 || remaining < shortestMoved {
					shortestMoved = remaining
				}
			default:
				longestLeft = max(longestLeft, remaining)
			}
			needed++
		}
		if moved != min(free, needed) || moved > 0 && longestLeft > shortestMoved {
			t.Fatalf("seed %d: %d of %d runs move to %d slots, the shortest of %v, while one of %v stays", seed, moved, needed, free, shortestMoved, longestLeft)
		}
	}
}
