package jobrun_test

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// hinted returns a job of so many items of so many events each, as many as their hint says.
func hinted(id string, items, events int) job.Spec {
	hinted := spec(id, items)
	for i := range hinted.Items {
		hinted.Items[i].LengthHint = events
		hinted.Items[i].Header = map[string]string{"Model": modelName, memoryengine.EventsHeader: strconv.Itoa(events)}
	}
	return hinted
}

// TestNoItemWaitsLongBesideFreeEngines has one quick engine, full of long items for 7 s, and two slow ones that are free. One item more comes,
// and an item gives its place up to it. That one declined the slow engines for as long as they would delay it, and stood at no
// engine for 6 s; callers allow 5 s where engines are free. It begins on a slow engine in time, and may move on to the quick one when
// that has room.
func TestNoItemWaitsLongBesideFreeEngines(t *testing.T) {
	const (
		events     = 240
		allowed    = 4 * time.Second
		quickSlots = 4
		stepTime   = 9 * time.Second
		look       = 50 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		for i, factor := range []time.Duration{1, 6, 6} {
			engine := fleet.Engine{ID: fmt.Sprint("model", i), Pool: "models", Slots: quickSlots, Versions: map[string]int64{modelName: 2}}
			w.models = append(w.models, engine)
			w.engines.Add(engine, memoryengine.Behaviour{Pace: factor * pace})
		}
		owner := w.node("owner")
		owner.own(1)
		time.Sleep(time.Second)
		w.submit(hinted("warm", 3*quickSlots, eventCount))
		time.Sleep(10 * time.Second)
		long := hinted("long", quickSlots+1, events)
		w.submit(long)
		waited, longest := make(map[string]time.Duration), make(map[string]time.Duration)
		for passed := time.Duration(0); passed < stepTime; passed += look {
			time.Sleep(look)
			listed := make(map[string]bool)
			for _, result := range owner.results(long.ID) {
				listed[result.ItemID] = true
			}
			for _, item := range long.Items {
				if listed[item.ID] || w.engines.Running(item.ID) > 0 {
					waited[item.ID] = 0
					continue
				}
				waited[item.ID] += look
				longest[item.ID] = max(longest[item.ID], waited[item.ID])
			}
		}
		for _, item := range long.Items {
			if longest[item.ID] > allowed {
				t.Errorf("%s stood at no engine for %v", item.ID, longest[item.ID])
			}
		}
		owner.release()
	})
}

// TestATextOfOneVersionDoesNotWaitForGood has an item break off whose result may hold one version only. The one engine that still serves the
// version of its text turns it away for long; another one is free. The item waited for the first for as long as that was listed.
func TestATextOfOneVersionDoesNotWaitForGood(t *testing.T) {
	const allowed = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.singleVersion = true
		owner := w.node("owner")
		owner.own(1)
		time.Sleep(time.Second)
		w.engines.Behave("model1", memoryengine.Behaviour{Full: true, Load: time.Millisecond})
		one := spec("one", 1)
		w.submit(one)
		time.Sleep(10 * pace)
		w.load("model1", 3)
		owner.directory.SetServedVersion("model1", modelName, 3)
		w.engines.Behave("model1", memoryengine.Behaviour{Pace: pace})
		w.engines.Behave("model0", memoryengine.Behaviour{Down: true})
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		time.Sleep(allowed)
		owner.checkWhole(one)
		owner.release()
	})
}

// TestATextOfOneVersionIsNotGivenUpForAFullEngine has an item break off whose result may hold one version only. Its engine turns it away for
// 4 s; the other engine serves another version and is full of work of another process, which says so all the while. The text goes on where
// it began: nothing is won by starting anew.
func TestATextOfOneVersionIsNotGivenUpForAFullEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		w.singleVersion = true
		owner := w.node("owner")
		owner.own(1)
		time.Sleep(time.Second)
		w.engines.Behave("model1", memoryengine.Behaviour{Full: true, Load: time.Millisecond})
		one := spec("one", 1)
		w.submit(one)
		time.Sleep(10 * pace)
		w.load("model1", 3)
		owner.directory.SetServedVersion("model1", modelName, 3)
		w.engines.Behave("model0", memoryengine.Behaviour{Down: true})
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		for range 40 {
			owner.directory.SetPeerView("other", []fleet.EngineView{{Engine: "model1", Held: 4}}, false)
			time.Sleep(100 * time.Millisecond)
		}
		w.engines.Behave("model0", memoryengine.Behaviour{Pace: pace})
		for range 20 {
			owner.directory.SetPeerView("other", []fleet.EngineView{{Engine: "model1", Held: 4}}, false)
			time.Sleep(100 * time.Millisecond)
		}
		owner.checkWhole(one)
		var resumed []int64
		for _, run := range w.engines.Runs() {
			if run.RequestID == one.Items[0].ID {
				resumed = append(resumed, run.ResumeAfter)
			}
		}
		is.True(len(resumed) > 1)
		is.True(resumed[len(resumed)-1] > 0) // from where it broke off
		owner.release()
	})
}

// TestItemsThatAreTurnedAwayGoElsewhere has both engines turn away all that comes, as engines that others fill, until one of them is free. Items
// whose group prefers the other one asked that again and again: by then they came back only after the time for which an engine that
// turned work away is left alone.
func TestItemsThatAreTurnedAwayGoElsewhere(t *testing.T) {
	const jobs, full, allowed = 12, 2 * time.Second, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.node("owner")
		owner.own(1)
		time.Sleep(time.Second)
		w.engines.Behave("model0", memoryengine.Behaviour{Full: true})
		for number := range jobs {
			w.engines.Behave("model1", memoryengine.Behaviour{Full: true})
			one := spec(fmt.Sprint("job", number), 1)
			one.Items[0].Group = fmt.Sprint("group", number)
			w.submit(one)
			time.Sleep(full)
			w.engines.Behave("model1", memoryengine.Behaviour{Pace: pace})
			time.Sleep(allowed)
			owner.checkWhole(one)
		}
		owner.release()
	})
}
