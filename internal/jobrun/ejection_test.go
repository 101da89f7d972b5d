package jobrun_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// TestItemsGoByEjections has twelve items before an engine of four places and one that is gone. The gone one is ejected, all items get
// their texts at the other, and the first item that runs at it once it is back takes it back.
func TestItemsGoByEjections(t *testing.T) {
	const events = 100
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		good := memoryengine.Behaviour{Pace: pace}
		w.engines.Behave("model1", memoryengine.Behaviour{Down: true})
		owner := w.node("owner")
		ejections, back := 0, 0
		owner.directory.OnEjection(func(ejection fleet.Ejection) {
			if ejection.Readmitted {
				back++
			} else {
				ejections++
			}
		})
		owner.own(1)
		time.Sleep(time.Second)
		gone := hinted("gone", 12, events)
		w.submit(gone)
		time.Sleep(3 * time.Second)
		is.Equal(owner.directory.Ejected(), 1)
		is.True(ejections >= 2) // trials failed
		is.True(ejections <= 5)
		is.Equal(back, 0)
		w.engines.Behave("model1", good)
		time.Sleep(20 * time.Second)
		results := owner.results(gone.ID)
		is.Equal(len(results), len(gone.Items))
		for _, result := range results {
			is.Equal(result.Text, strings.Join(memoryengine.Text(result.ItemID, events), "\n"))
		}
		w.submit(hinted("back", 12, events))
		time.Sleep(20 * time.Second)
		is.Equal(owner.directory.Ejected(), 0)
		is.Equal(back, 1)
	})
}
