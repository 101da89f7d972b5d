package uptime

import (
	"testing"
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
