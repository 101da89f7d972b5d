package policy

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestLookAheadFor(t *testing.T) {
	cases := []struct {
		name            string
		idle, staleness float64
		behind          uint64
		want            float64
	}{
		{"idle time only", 1, 0, 3, 3},
		{"no weights", 0, 0, 2, 2},
		{"mostly idle time", 0.8, 0.2, 3, 3},
		{"equal weights", 1, 1, 2, 2 * 0.3 / 0.55},
		{"mostly staleness", 0.3, 0.7, 2, 2 * 0.1 / 0.55},
		{"staleness only", 0, 1, 2, 0},
		{"no stale samples allowed", 1, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := LookAheadFor(c.idle, c.staleness, c.behind)
			is.New(t).True(math.Abs(float64(got.Steps)+got.Part-c.want) < 1e-9)
		})
	}
}
