package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdEnginesCountWhatTheyCanHandle guards against shares, orders and choices that count on slots of cold engines that
// can't be filled, and against a lower count where they can.
func TestColdEnginesCountWhatTheyCanHandle(t *testing.T) {
	const pace, s = 10 * time.Millisecond, time.Second
	for _, test := range []struct {
		rate                   float64
		item, coldFor, horizon time.Duration
		slots                  float64
		slowness               time.Duration
	}{
		{0, s / 5, 3 * s, 3 * s, 8, 1}, {10, 0, 3 * s, 3 * s, 8, 1}, {10, s / 5, -s, 3 * s, 8, 1}, {10, 2 * s, 3 * s, 3 * s, 8, 1},
		{10, s / 5, 5 * s, 3 * s, 2, 4}, {10, s / 5, 3 * s, 6 * s, 5, 4},
	} {
		is := is.New(t)
		is.Equal(ColdSlots(8, test.rate, test.item, test.coldFor, test.horizon), test.slots)
		is.Equal(ColdForecast(ConstantPace(pace), float64(test.item/pace), 8, test.rate, test.coldFor).Current, test.slowness*pace)
	}
	is.New(t).Equal(MeanItem([]StepLoad{{Item: s}, {}, {Item: 3 * s}}), 2*s)
}
