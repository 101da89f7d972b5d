package fencing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestWindowExpiry checks that a window ends after SendWindow, and that time in suspension counts although the
// monotonic clock does not advance.
func TestWindowExpiry(t *testing.T) {
	defer func(before func() time.Duration) { suspended = before }(suspended)
	var suspendedFor time.Duration
	suspended = func() time.Duration { return suspendedFor }
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		window := BeginWindow()
		time.Sleep(SendWindow - time.Nanosecond)
		is.True(!window.Ended())
		ctx, cancel := window.Context(t.Context())
		defer cancel()
		is.NoErr(ctx.Err())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		is.True(window.Ended())
		is.True(ctx.Err() != nil)

		window = BeginWindow()
		suspendedFor += 4 * time.Second
		is.True(window.Ended())
		late, cancelLate := window.Context(t.Context())
		defer cancelLate()
		is.True(late.Err() != nil)
		is.True(!BeginWindow().Ended())
	})
}
