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
	// testCritical is the number of critical events of the jobs in these tests.
	testCritical = 150
)

// newTestQueue returns a running queue over engines with the given slots and paces, and the function that stops it.
func newTestQueue(slots int, paces ...time.Duration) (*Queue, func()) {
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

// acquire requests a slot for work with the given number of events, of a job that was accepted at the given time. The slot is
// sent on the returned channel.
func acquire(queue *Queue, accepted time.Time, events float64, yield func()) <-chan *Slot {
	assigned := make(chan *Slot, 1)
	rank := Rank{LatestStart: policy.LatestStart(accepted, events, testPace), MayBeCritical: policy.MayBeCritical(events, testCritical)}
	want := fleet.Want{Pool: "p", Share: 1, Events: events, Since: time.Now()}
	go func() {
		slot, _ := queue.Acquire(context.Background(), rank, want, yield)
		assigned <- slot
	}()
	return assigned
}

// TestRunsThatCanWaitYield fills an engine with short work. Urgent work takes over as many slots as it needs, beginning with
// those of the runs that can wait longest; a run that yielded is assigned a slot again after the urgent work.
func TestRunsThatCanWaitYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := newTestQueue(3, testPace)
		defer stop()
		accepted := time.Now()
		var requests [3]atomic.Int32
		requestCounts := func() []int32 { return []int32{requests[0].Load(), requests[1].Load(), requests[2].Load()} }
		slots := make([]*Slot, 3)
		for i, events := range []float64{10, 20, 90} {
			slots[i] = <-acquire(queue, accepted, events, func() { requests[i].Add(1) })
		}
		time.Sleep(100 * time.Millisecond)
		long := acquire(queue, accepted, 150, nil)
		time.Sleep(200 * time.Millisecond)
		is.Equal(requestCounts(), []int32{1, 0, 0})
		again := acquire(queue, accepted, 8, nil)
		time.Sleep(100 * time.Millisecond)
		// One slot is already being given up; the short work that waits too requests no further yield.
		is.Equal(requestCounts(), []int32{1, 0, 0})
		slots[0].Release()
		first := <-long
		is.Equal(len(again), 0)
		second := acquire(queue, accepted, 160, nil)
		third := acquire(queue, accepted, 155, nil)
		time.Sleep(200 * time.Millisecond)
		// 90 events may start 2.4 s later than 150 events, 20 events 5.2 s later.
		is.Equal(requestCounts(), []int32{1, 1, 1})
		slots[1].Release()
		slots[2].Release()
		for _, slot := range []*Slot{first, <-second, <-third} {
			slot.Release()
		}
		(<-again).Release()
		// Releasing a slot twice has no effect.
		slots[0].Release()
		is.Equal(len(queue.slots), 0)
	})
}

// TestRunsDoNotYieldToWorkThatCanWait checks that a run keeps its slot if the waiting work can wait as long, if that work would
// not use the run's engine, and if the run has yielded before.
func TestRunsDoNotYieldToWorkThatCanWait(t *testing.T) {
	tests := []struct {
		name          string
		paces         []time.Duration
		running       float64
		yields        int
		waiting       float64
		yieldRequests int
	}{
		{"work is urgent", []time.Duration{testPace}, 10, 0, 150, 1},
		{"work can wait as long as the run", []time.Duration{testPace}, 130, 0, 150, 0},
		{"work is not critical", []time.Duration{testPace}, 10, 0, 100, 0},
		{"work would not use the slow engine", []time.Duration{testPace, 2 * testPace}, 10, 0, 150, 1},
		{"run has yielded before", []time.Duration{testPace}, 10, 2, 150, 0},
		{"remaining events are unknown", []time.Duration{testPace}, 10, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				queue, stop := newTestQueue(1, test.paces...)
				defer stop()
				accepted := time.Now()
				requests := make([]atomic.Int32, len(test.paces))
				var slots []*Slot
				for i := range test.paces {
					rank := Rank{LatestStart: policy.LatestStart(accepted, test.running, testPace), Yields: test.yields}
					slot, err := queue.Acquire(t.Context(), rank, fleet.Want{Pool: "p", Share: 1, Events: test.running}, func() {
						requests[i].Add(1)
					})
					is.NoErr(err)
					slots = append(slots, slot)
				}
				waiting := acquire(queue, accepted, test.waiting, nil)
				time.Sleep(100 * time.Millisecond)
				for i, slot := range slots {
					if slot.Engine.ID == "engine0" {
						is.Equal(int(requests[i].Load()), test.yieldRequests)
					} else {
						is.Equal(int(requests[i].Load()), 0)
					}
					slot.Release()
				}
				(<-waiting).Release()
			})
		})
	}
}

// TestLongRunReservesFastSlot covers items that turn out to be much the longest only while they run on slow engines. Without a
// reservation they stay there for up to 9 s while short items start and end on the fast engines, since a free slot is assigned
// to a waiting item. Callers wait for the longest item, so it must get the slot of a run that can wait, once, and no matter
// which items wait.
func TestLongRunReservesFastSlot(t *testing.T) {
	tests := []struct {
		name string
		// left is the number of remaining events of the run on the slow engine, slack its slack in events of the fast engine.
		left, slack   float64
		mayBeCritical bool
		reserves      bool
	}{
		{"run may be critical", 100, 75, true, true},
		{"run is not critical", 100, 75, false, false},
		{"run ends in time on its engine", 30, 75, true, false},
		{"few events remain", 5, 0, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				queue, stop := newTestQueue(1, 2*testPace, testPace)
				defer stop()
				accepted := time.Now()
				var yieldRequests atomic.Int32
				short := <-acquire(queue, accepted, 20, func() { yieldRequests.Add(1) })
				is.Equal(short.Engine.ID, "engine1")
				long := <-acquire(queue, accepted.Add(-5*time.Second), 5, nil)
				is.Equal(long.Engine.ID, "engine0")
				rank := Rank{LatestStart: policy.LatestStart(accepted, test.left, testPace), MayBeCritical: test.mayBeCritical}
				want := fleet.Want{Pool: "p", Share: 1, Events: test.left, Slack: policy.ConstantPace(testPace).Time(test.slack)}
				reservation := queue.Reserve("engine0", rank, want)
				is.Equal(reservation != nil, test.reserves)
				is.Equal(yieldRequests.Load() == 1, test.reserves)
				waiting := acquire(queue, accepted, 10, nil)
				time.Sleep(100 * time.Millisecond)
				if !test.reserves {
					short.Release()
					(<-waiting).Release()
					long.Release()
					return
				}
				is.True(reservation.Take() == nil)
				is.True(queue.Reserve("engine0", rank, want) == nil)
				short.Release()
				slot := reservation.Take()
				is.Equal(slot.Engine.ID, "engine1")
				time.Sleep(100 * time.Millisecond)
				is.Equal(len(waiting), 0)
				slot.Release()
				reservation.Drop()
				(<-waiting).Release()
				long.Release()
				is.Equal(len(queue.slots), 0)
			})
		})
	}
}

// TestReservationOfEndedRunIsReleased checks that a slot that is given up for a run that has ended is available to others, no
// matter whether the slot is released first or the reservation dropped first.
func TestReservationOfEndedRunIsReleased(t *testing.T) {
	for _, droppedFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue, stop := newTestQueue(1, 2*testPace, testPace)
			defer stop()
			short := <-acquire(queue, time.Now(), 20, func() {})
			rank := Rank{LatestStart: policy.LatestStart(time.Now(), 100, testPace), MayBeCritical: true}
			reservation := queue.Reserve("engine0", rank, fleet.Want{Pool: "p", Share: 1, Events: 100})
			if droppedFirst {
				reservation.Drop()
				short.Release()
			} else {
				short.Release()
				reservation.Drop()
			}
			is.Equal(len(queue.slots), 0)
			slot := <-acquire(queue, time.Now(), 100, nil)
			is.Equal(slot.Engine.ID, "engine1")
			slot.Release()
		})
	}
}

// TestFreeSlotIsAssignedDuringRepeatedRequests makes items that have waited for long repeat their requests all the time, as on
// a full pool. A slot that becomes free must be assigned at once.
func TestFreeSlotIsAssignedDuringRepeatedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := newTestQueue(1, testPace)
		defer stop()
		held := <-acquire(queue, time.Now(), 10, nil)
		since := time.Now().Add(-time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		assigned := make(chan time.Time, 1)
		for range 20 {
			go func() {
				for ctx.Err() == nil {
					attempt, cancelAttempt := context.WithTimeout(ctx, 20*time.Millisecond)
					slot, err := queue.Acquire(attempt, Rank{}, fleet.Want{Pool: "p", Share: 1, Since: since}, nil)
					cancelAttempt()
					if err != nil {
						continue
					}
					select {
					case assigned <- time.Now():
					default:
					}
					slot.Release()
				}
			}()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		freed := time.Now()
		held.Release()
		is.Equal((<-assigned).Sub(freed), time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// TestTrialIsNotLostToExpiredWait makes an engine's ejection end at the same time as the wait of an item. Whether or not that
// item gets the slot, the engine must accept an item at once: a slot that was assigned but not used would block the engine
// until the trial times out.
func TestTrialIsNotLostToExpiredWait(t *testing.T) {
	for range 40 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			queue, stop := newTestQueue(1, testPace, testPace)
			defer stop()
			full := <-acquire(queue, time.Now(), 10, nil)
			defer full.Release()
			ejected := map[string]string{"engine0": "engine1", "engine1": "engine0"}[full.Engine.ID]
			queue.directory.Failed(ejected, policy.FailureToConnect, "refused")
			acquireWithin := func(timeout time.Duration) *Slot {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				slot, _ := queue.Acquire(ctx, Rank{}, fleet.Want{Pool: "p", Share: 1, Since: time.Now()}, nil)
				return slot
			}
			slot := acquireWithin(300 * time.Millisecond)
			if slot == nil {
				slot = acquireWithin(200 * time.Millisecond)
			}
			is.True(slot != nil)
			slot.Release()
		})
	}
}

// TestRunsYieldToEachModel makes the longest items of two models wait, of which the more urgent one finds only runs that cannot
// wait. The run that can wait must yield to the item of the other model, which otherwise waits as long as the first one.
func TestRunsYieldToEachModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := newTestQueue(1)
		defer stop()
		assigned := map[string]string{"engineA": "a", "engineB": "b"}
		for id := range assigned {
			queue.directory.Upsert(fleet.Engine{ID: id, Pool: "p", Slots: 1, Versions: map[string]int64{"a": 1, "b": 1}})
			queue.directory.RecordGap(id, testPace)
		}
		queue.directory.SetAssignedModels("p", assigned)
		acquire := func(model string, events float64, yield func()) <-chan *Slot {
			granted := make(chan *Slot, 1)
			rank := Rank{LatestStart: policy.LatestStart(time.Now(), events, testPace), MayBeCritical: policy.MayBeCritical(events, testCritical)}
			want := fleet.Want{Pool: "p", Model: model, MinVersion: 1, Share: 1, Events: events, Since: time.Now()}
			go func() {
				slot, _ := queue.Acquire(t.Context(), rank, want, yield)
				granted <- slot
			}()
			return granted
		}
		var urgentYields, shortYields atomic.Int32
		running := <-acquire("a", 170, func() { urgentYields.Add(1) })
		short := <-acquire("b", 10, func() { shortYields.Add(1) })
		time.Sleep(time.Millisecond)
		batch := queue.BeginBatch()
		arrived := batch.Add()
		urgent, other := acquire("a", 170, nil), acquire("b", 150, nil)
		synctest.Wait()
		arrived()
		batch.Close()
		time.Sleep(100 * time.Millisecond)
		is.Equal(urgentYields.Load(), int32(0))
		is.Equal(shortYields.Load(), int32(1))
		short.Release()
		(<-other).Release()
		running.Release()
		(<-urgent).Release()
	})
}
