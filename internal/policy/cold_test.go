package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdEnginesCountWhatTheyCanHandle guards against shares and orders that count on the slots of engines that can't be
// filled while they are cold, and against a lower count where cold engines can fill them.
func TestColdEnginesCountWhatTheyCanHandle(t *testing.T) {
	const rate, pace = 10.0, 10 * time.Millisecond
	for _, test := range []struct {
		rate                   float64
		item, coldFor, horizon time.Duration
		slots                  float64
		slowness               int
	}{
		{0, 200 * time.Millisecond, 3 * time.Second, 3 * time.Second, 8, 1},
		{rate, 0, 3 * time.Second, 3 * time.Second, 8, 1},
		{rate, 200 * time.Millisecond, -time.Second, 3 * time.Second, 8, 1},
		{rate, 200 * time.Millisecond, 5 * time.Second, 3 * time.Second, 2, 4},
		{rate, 200 * time.Millisecond, 3 * time.Second, 6 * time.Second, 5, 4},
		{rate, 2 * time.Second, 3 * time.Second, 3 * time.Second, 8, 1},
	} {
		is := is.New(t)
		is.Equal(ColdSlots(8, test.rate, test.item, test.coldFor, test.horizon), test.slots)
		forecast := ColdForecast(ConstantPace(pace), float64(test.item/pace), 8, test.rate, test.coldFor)
		is.Equal(forecast.Current, time.Duration(test.slowness)*pace)
		is.Equal(forecast.Usual, pace)
	}
	is.New(t).Equal(MeanItem([]StepLoad{{Item: time.Second}, {}, {Item: 3 * time.Second}}), 2*time.Second)
}
