package uptime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSuspendedStandsStill checks that the time in suspension does not grow while the process runs.
func TestSuspendedStandsStill(t *testing.T) {
	is := is.New(t)
	first := Suspended()
	for range 1000 {
		is.Equal(Between(first, Suspended()), time.Duration(0))
	}
	is.Equal(Between(first, first+4*time.Second), 4*time.Second)
}

// TestMark checks that a mark ages with the steady clock and by suspensions, also where it was moved, and that no moment stays none.
func TestMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asleep := time.Hour
		meter := Meter(func() time.Duration { return asleep })
		began := time.Now()
		mark := meter.Mark()
		is.Equal(mark.At(), began)
		time.Sleep(time.Second)
		is.Equal(mark.Age(), time.Second)

		asleep += leastSuspension - time.Nanosecond
		is.Equal(mark.Age(), time.Second)
		asleep += 4*time.Second - leastSuspension + time.Nanosecond
		is.Equal(mark.Age(), 5*time.Second)
		is.Equal(mark.At(), began.Add(-4*time.Second))
		is.Equal(mark.Moved(time.Now()).Age(), 4*time.Second)
		is.Equal(meter.Mark().Age(), time.Duration(0))

		is.True(Mark{}.IsZero())
		is.True(Mark{}.At().IsZero())
		is.True(!mark.IsZero())
	})
}
