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

// hintedSpec returns a job with the given number of items, each of which produces the given number of events and has that as
// its length hint.
func hintedSpec(id string, items, events int) job.Spec {
	spec := spec(id, items)
	for i := range spec.Items {
		spec.Items[i].LengthHint = events
		spec.Items[i].Header = map[string]string{"Model": modelName, memoryengine.EventsHeader: strconv.Itoa(events)}
	}
	return spec
}

// TestItemStartsOnSlowEngineWhenFastIsFull checks that an item does not wait for long while engines are free. One fast engine
// is full of long items for 7 s, and two slow engines are free. When one more item is submitted, a running item yields its slot
// to it. The yielding item used to decline the slow engines for as long as they would delay it, and ran on no engine for 6 s;
// callers accept 5 s while engines are free. It must start on a slow engine in time, and may move to the fast one once that has
// a free slot.
func TestItemStartsOnSlowEngineWhenFastIsFull(t *testing.T) {
	const (
		events       = 240
		maxWaiting   = 4 * time.Second
		fastSlots    = 4
		stepTime     = 9 * time.Second
		pollInterval = 50 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		for i, factor := range []time.Duration{1, 6, 6} {
			engine := fleet.Engine{ID: fmt.Sprint("model", i), Pool: "models", Slots: fastSlots, Versions: map[string]int64{modelName: 2}}
			w.models = append(w.models, engine)
			w.engines.Add(engine, memoryengine.Behaviour{Pace: factor * pace})
		}
		owner := w.newNode("owner")
		owner.own(1)
		time.Sleep(time.Second)
		w.submit(hintedSpec("warm", 3*fastSlots, eventCount))
		time.Sleep(10 * time.Second)
		long := hintedSpec("long", fastSlots+1, events)
		w.submit(long)
		waited, longest := make(map[string]time.Duration), make(map[string]time.Duration)
		for elapsed := time.Duration(0); elapsed < stepTime; elapsed += pollInterval {
			time.Sleep(pollInterval)
			listed := make(map[string]bool)
			for _, result := range owner.results(long.ID) {
				listed[result.ItemID] = true
			}
			for _, item := range long.Items {
				if listed[item.ID] || w.engines.Running(item.ID) > 0 {
					waited[item.ID] = 0
					continue
				}
				waited[item.ID] += pollInterval
				longest[item.ID] = max(longest[item.ID], waited[item.ID])
			}
		}
		for _, item := range long.Items {
			if longest[item.ID] > maxWaiting {
				t.Errorf("%s ran on no engine for %v", item.ID, longest[item.ID])
			}
		}
		owner.release()
	})
}

// TestSingleVersionItemRestartsOnFreeEngine interrupts an item whose result must have one weight version. The only engine that
// still serves the version of its text rejects it for a long time, while another engine is free. The item used to wait for the
// first engine for as long as that engine was in the directory.
func TestSingleVersionItemRestartsOnFreeEngine(t *testing.T) {
	const allowed = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.singleVersion = true
		owner := w.newNode("owner")
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
		owner.checkComplete(one)
		owner.release()
	})
}

// TestSingleVersionItemResumesWhenOthersAreFull interrupts an item whose result must have one weight version. Its engine
// rejects it for 4 s; the other engine serves another version and is full of work of another process, which reports its slots
// all the time. The item must resume its text on its engine, since starting over would not be faster.
func TestSingleVersionItemResumesWhenOthersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		w.singleVersion = true
		owner := w.newNode("owner")
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
		owner.checkComplete(one)
		var resumed []int64
		for _, run := range w.engines.Runs() {
			if run.RequestID == one.Items[0].ID {
				resumed = append(resumed, run.ResumeAfter)
			}
		}
		is.True(len(resumed) > 1)
		is.True(resumed[len(resumed)-1] > 0) // resumes after the last event before the interruption
		owner.release()
	})
}

// TestRejectedItemsTryOtherEngines makes both engines reject all items, like engines that other processes have filled, until
// one of them is free. Items whose group prefers the other engine used to be sent to that one again and again, because they
// were retried only after the backoff of an engine that rejected work had ended.
func TestRejectedItemsTryOtherEngines(t *testing.T) {
	const jobs, full, allowed = 12, 2 * time.Second, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		owner := w.newNode("owner")
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
			owner.checkComplete(one)
		}
		owner.release()
	})
}
