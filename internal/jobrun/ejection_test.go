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

// TestItemsAvoidEjectedEngine runs twelve items on an engine with four slots and one that is down. The engine that is down must
// be ejected, all items must complete on the other one, and the first item that runs on the ejected engine after its return
// must cause its readmission.
func TestItemsAvoidEjectedEngine(t *testing.T) {
	const events = 100
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		good := memoryengine.Behaviour{Pace: pace}
		w.engines.Behave("model1", memoryengine.Behaviour{Down: true})
		owner := w.newNode("owner")
		ejections, readmitted := 0, 0
		owner.directory.OnEjection(func(ejection fleet.Ejection) {
			if ejection.Readmitted {
				readmitted++
			} else {
				ejections++
			}
		})
		owner.own(1)
		time.Sleep(time.Second)
		first := hintedSpec("gone", 12, events)
		w.submit(first)
		time.Sleep(3 * time.Second)
		is.Equal(owner.directory.Ejected(), 1)
		is.True(ejections >= 2) // the first ejection and failed trials
		is.True(ejections <= 5)
		is.Equal(readmitted, 0)
		w.engines.Behave("model1", good)
		time.Sleep(20 * time.Second)
		results := owner.results(first.ID)
		is.Equal(len(results), len(first.Items))
		for _, result := range results {
			is.Equal(result.Text, strings.Join(memoryengine.Text(result.ItemID, events), "\n"))
		}
		w.submit(hintedSpec("back", 12, events))
		time.Sleep(20 * time.Second)
		is.Equal(owner.directory.Ejected(), 0)
		is.Equal(readmitted, 1)
	})
}
