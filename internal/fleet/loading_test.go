package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
)

// TestRejectionDoesNotShortenLoad covers a step that is requested while the engines of its model load weights. An item
// that was sent before the load order was known is rejected, and the other items must not be sent each time its short
// pause is over.
func TestRejectionDoesNotShortenLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const load, pause = 1200 * time.Millisecond, 150 * time.Millisecond
		directory := fleet.NewDirectory()
		directory.Upsert(fleet.Engine{ID: "e", Pool: "pool", Slots: 4, Versions: map[string]int64{"m": 1}})
		want := fleet.Want{Pool: "pool", Model: "m", MinVersion: 1, Share: 1}
		sent := 0
		directory.SetLoading("e", "m", time.Now().Add(load))
		directory.SetLoading("e", "m", time.Now().Add(pause))
		for range int(load/pause) - 1 {
			time.Sleep(pause)
			if _, found := directory.Acquire(want); found {
				sent++
				directory.Release("e")
				directory.SetLoading("e", "m", time.Now().Add(pause))
			}
		}
		is.Equal(sent, 0)
		// The report that it serves the version ends the load, whatever its expected duration was.
		directory.SetServedVersion("e", "m", 2)
		_, found := directory.Acquire(want)
		is.True(found)
	})
}
