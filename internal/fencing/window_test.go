package fencing

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestWindow checks that a window ends with its time, and that time in suspension counts although the steady clock stands still.
func TestWindow(t *testing.T) {
	defer func(before func() time.Duration) { suspended = before }(suspended)
	var asleep time.Duration
	suspended = func() time.Duration { return asleep }
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		window := BeginWindow()
		time.Sleep(SendWindow - time.Nanosecond)
		is.True(!window.Over())
		ctx, cancel := window.Context(t.Context())
		defer cancel()
		is.NoErr(ctx.Err())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		is.True(window.Over())
		is.True(ctx.Err() != nil)

		window = BeginWindow()
		asleep += 4 * time.Second
		is.True(window.Over())
		late, cancelLate := window.Context(t.Context())
		defer cancelLate()
		is.True(late.Err() != nil)
		is.True(!BeginWindow().Over())
	})
}
