package jobrun

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/matryer/is"
)

const (
	testPace = 40 * time.Millisecond
	// testCritical is how many events the jobs of these tests last.
	testCritical = 150
)

// queueOf returns a queue over engines of a few slots and known paces, and the function that stops it.
func queueOf(slots int, paces ...time.Duration) (*Queue, func()) {
	directory := fleet.NewDirectory()
	for i, pace := range paces {
		id := fmt.Sprint("engine", i)
		directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: slots})
		directory.RecordGap(id, pace)
	}
	queue := NewQueue(directory)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		queue.Run(ctx)
	}()
	return queue, func() {
		cancel()
		<-done
	}
}

// acquire asks for a place for work of so many events of a job accepted at a moment, and returns it once it is given.
func acquire(queue *Queue, accepted time.Time, events float64, yield func()) <-chan *Place {
	given := make(chan *Place, 1)
	rank := Rank{LatestStart: policy.LatestStart(accepted, events, testPace), MayHold: policy.MayBeCritical(events, testCritical)}
	want := fleet.Want{Pool: "p", Share: 1, Events: events, Since: time.Now()}
	go func() {
		place, _ := queue.Acquire(context.Background(), rank, want, yield)
		given <- place
	}()
	return given
}

// TestRunsThatCanWaitYield fills an engine with short work. Work that has to begin takes the place of as many as it needs, those
// first that can wait longest; what yields comes again after it.
func TestRunsThatCanWaitYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := queueOf(3, testPace)
		defer stop()
		accepted := time.Now()
		var asked [3]atomic.Int32
		yielded := func() []int32 { return []int32{asked[0].Load(), asked[1].Load(), asked[2].Load()} }
		places := make([]*Place, 3)
		for i, events := range []float64{10, 20, 90} {
			places[i] = <-acquire(queue, accepted, events, func() { asked[i].Add(1) })
		}
		time.Sleep(100 * time.Millisecond)
		long := acquire(queue, accepted, 150, nil)
		time.Sleep(200 * time.Millisecond)
		is.Equal(yielded(), []int32{1, 0, 0})
		again := acquire(queue, accepted, 8, nil)
		time.Sleep(100 * time.Millisecond)
		// One place is coming; the short work that wants another one asks nobody.
		is.Equal(yielded(), []int32{1, 0, 0})
		places[0].Release()
		first := <-long
		is.Equal(len(again), 0)
		second := acquire(queue, accepted, 160, nil)
		third := acquire(queue, accepted, 155, nil)
		time.Sleep(200 * time.Millisecond)
		// 90 events may begin 2.4 s later than 150 do, 20 events 5.2 s.
		is.Equal(yielded(), []int32{1, 1, 1})
		places[1].Release()
		places[2].Release()
		for _, place := range []*Place{first, <-second, <-third} {
			place.Release()
		}
		(<-again).Release()
		// A place is given back once.
		places[0].Release()
		is.Equal(len(queue.places), 0)
	})
}

// TestNobodyYieldsForWorkThatCanWait checks that runs go on where the waiting work has as much time, where it would decline their
// engine, and where they have yielded before.
func TestNobodyYieldsForWorkThatCanWait(t *testing.T) {
	tests := []struct {
		name    string
		paces   []time.Duration
		running float64
		yields  int
		waiting float64
		asked   int
	}{
		{"it can't wait", []time.Duration{testPace}, 10, 0, 150, 1},
		{"it can wait as long", []time.Duration{testPace}, 130, 0, 150, 0},
		{"it holds no step", []time.Duration{testPace}, 10, 0, 100, 0},
		{"it would not run there", []time.Duration{testPace, 2 * testPace}, 10, 0, 150, 1},
		{"the run has yielded before", []time.Duration{testPace}, 10, 2, 150, 0},
		{"nothing is known of it", []time.Duration{testPace}, 10, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				queue, stop := queueOf(1, test.paces...)
				defer stop()
				accepted := time.Now()
				asked := make([]atomic.Int32, len(test.paces))
				var places []*Place
				for i := range test.paces {
					rank := Rank{LatestStart: policy.LatestStart(accepted, test.running, testPace), Yielded: test.yields}
					place, err := queue.Acquire(t.Context(), rank, fleet.Want{Pool: "p", Share: 1, Events: test.running}, func() {
						asked[i].Add(1)
					})
					is.NoErr(err)
					places = append(places, place)
				}
				waiting := acquire(queue, accepted, test.waiting, nil)
				time.Sleep(100 * time.Millisecond)
				for i, place := range places {
					if place.Engine.ID == "engine0" {
						is.Equal(int(asked[i].Load()), test.asked)
					} else {
						is.Equal(int(asked[i].Load()), 0)
					}
					place.Release()
				}
				(<-waiting).Release()
			})
		})
	}
}

// TestARunThatTurnsOutLongGetsAQuickPlace answers items that turn out much the longest only while they run, on slow engines. Without a
// reservation they stay there for up to 9 s while short ones come and go on the quick ones, since a place that becomes free goes to an item
// that waits. Callers wait for the longest, so that it gets the place of a run that can wait, once and whoever else waits.
func TestARunThatTurnsOutLongGetsAQuickPlace(t *testing.T) {
	tests := []struct {
		name string
		// left is what is left of the run on the slow engine, slack in events of the quick one.
		left, slack float64
		mayHold     bool
		reserves    bool
	}{
		{"it holds the step", 100, 75, true, true},
		{"it may not", 100, 75, false, false},
		{"it ends in time where it is", 30, 75, true, false},
		{"little is left", 5, 0, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				queue, stop := queueOf(1, 2*testPace, testPace)
				defer stop()
				accepted := time.Now()
				var asked atomic.Int32
				short := <-acquire(queue, accepted, 20, func() { asked.Add(1) })
				is.Equal(short.Engine.ID, "engine1")
				long := <-acquire(queue, accepted.Add(-5*time.Second), 5, nil)
				is.Equal(long.Engine.ID, "engine0")
				rank := Rank{LatestStart: policy.LatestStart(accepted, test.left, testPace), MayHold: test.mayHold}
				want := fleet.Want{Pool: "p", Share: 1, Events: test.left, Slack: policy.ConstantPace(testPace).Time(test.slack)}
				reserved := queue.Reserve("engine0", rank, want)
				is.Equal(reserved != nil, test.reserves)
				is.Equal(asked.Load() == 1, test.reserves)
				waiting := acquire(queue, accepted, 10, nil)
				time.Sleep(100 * time.Millisecond)
				if !test.reserves {
					short.Release()
					(<-waiting).Release()
					long.Release()
					return
				}
				is.True(reserved.Take() == nil)
				is.True(queue.Reserve("engine0", rank, want) == nil)
				short.Release()
				place := reserved.Take()
				is.Equal(place.Engine.ID, "engine1")
				time.Sleep(100 * time.Millisecond)
				is.Equal(len(waiting), 0)
				place.Release()
				reserved.Drop()
				(<-waiting).Release()
				long.Release()
				is.Equal(len(queue.places), 0)
			})
		})
	}
}

// TestAReservationOfARunThatEndedIsGivenBack checks that a place that is given up for a run which has ended is there for others, whichever
// comes first.
func TestAReservationOfARunThatEndedIsGivenBack(t *testing.T) {
	for _, droppedFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue, stop := queueOf(1, 2*testPace, testPace)
			defer stop()
			short := <-acquire(queue, time.Now(), 20, func() {})
			rank := Rank{LatestStart: policy.LatestStart(time.Now(), 100, testPace), MayHold: true}
			reserved := queue.Reserve("engine0", rank, fleet.Want{Pool: "p", Share: 1, Events: 100})
			if droppedFirst {
				reserved.Drop()
				short.Release()
			} else {
				short.Release()
				reserved.Drop()
			}
			is.Equal(len(queue.places), 0)
			place := <-acquire(queue, time.Now(), 100, nil)
			is.Equal(place.Engine.ID, "engine1")
			place.Release()
		})
	}
}

// TestFreePlacesDoNotWaitForItemsThatAskAgain lets items that have waited for long ask again all the time, as on a full pool. A place
// that becomes free is given on at once.
func TestFreePlacesDoNotWaitForItemsThatAskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := queueOf(1, testPace)
		defer stop()
		held := <-acquire(queue, time.Now(), 10, nil)
		since := time.Now().Add(-time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		given := make(chan time.Time, 1)
		for range 20 {
			go func() {
				for ctx.Err() == nil {
					attempt, giveUp := context.WithTimeout(ctx, 20*time.Millisecond)
					place, err := queue.Acquire(attempt, Rank{}, fleet.Want{Pool: "p", Share: 1, Since: since}, nil)
					giveUp()
					if err != nil {
						continue
					}
					select {
					case given <- time.Now():
					default:
					}
					place.Release()
				}
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		freed := time.Now()
		held.Release()
		is.Equal((<-given).Sub(freed), time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// TestATrialIsNotLostToAWaitThatEnds has an engine's ejection end as the wait of an item does. Whether or not that item gets the place, the
// engine takes an item at once: a place that was given and not taken would keep all away for the time of a trial without a word.
func TestATrialIsNotLostToAWaitThatEnds(t *testing.T) {
	for range 40 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue, stop := queueOf(1, testPace, testPace)
			defer stop()
			full := <-acquire(queue, time.Now(), 10, nil)
			defer full.Release()
			gone := map[string]string{"engine0": "engine1", "engine1": "engine0"}[full.Engine.ID]
			queue.directory.Failed(gone, policy.FailureToConnect, "refused")
			wait := func(most time.Duration) *Place {
				ctx, cancel := context.WithTimeout(t.Context(), most)
				defer cancel()
				place, _ := queue.Acquire(ctx, Rank{}, fleet.Want{Pool: "p", Share: 1, Since: time.Now()}, nil)
				return place
			}
			place := wait(300 * time.Millisecond)
			if place == nil {
				place = wait(200 * time.Millisecond)
			}
			is.True(place != nil)
			place.Release()
		})
	}
}
