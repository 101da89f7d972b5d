package uptime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSuspendedConstantWhileRunning checks that the suspended time does not increase while the process runs.
func TestSuspendedConstantWhileRunning(t *testing.T) {
	is := is.New(t)
	first := Suspended()
	for range 1000 {
		is.Equal(Between(first, Suspended()), time.Duration(0))
	}
	is.Equal(Between(first, first+4*time.Second), 4*time.Second)
}

// TestMarkAgeIncludesSuspension checks that the age of a mark increases with the monotonic clock and by suspensions, also after Moved,
// and that an unset mark stays unset.
func TestMarkAgeIncludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspended := time.Hour
		meter := Meter(func() time.Duration { return suspended })
		start := time.Now()
		mark := meter.Mark()
		is.Equal(mark.At(), start)
		time.Sleep(time.Second)
		is.Equal(mark.Age(), time.Second)

		suspended += minSuspension - time.Nanosecond
		is.Equal(mark.Age(), time.Second)
		suspended += 4*time.Second - minSuspension + time.Nanosecond
		is.Equal(mark.Age(), 5*time.Second)
		is.Equal(mark.At(), start.Add(-4*time.Second))
		is.Equal(mark.Moved(time.Now()).Age(), 4*time.Second)
		is.Equal(meter.Mark().Age(), time.Duration(0))

		is.True(Mark{}.IsZero())
		is.True(Mark{}.At().IsZero())
		is.True(!mark.IsZero())
	})
}
