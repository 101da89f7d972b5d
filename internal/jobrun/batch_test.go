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

// TestBatchIsAssignedInOnePass starts the items of a job in the order of their submission, the short ones first. They used to
// be assigned as they arrived: the short items began, and were asked to yield to the long ones of their job within
// milliseconds. The long items must get the slots, and no item may be asked to yield.
func TestBatchIsAssignedInOnePass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := newTestQueue(3, testPace)
		defer stop()
		accepted := time.Now()
		batch := queue.BeginBatch()
		var assigned []<-chan *Slot
		for _, events := range []float64{10, 20, 15, 150, 160, 155} {
			arrived := batch.Add()
			assigned = append(assigned, acquire(queue, accepted, events, func() { t.Errorf("item of %v events is asked to yield", events) }))
			synctest.Wait()
			arrived()
		}
		batch.Close()
		time.Sleep(200 * time.Millisecond)
		for i, slot := range assigned {
			is.Equal(len(slot) == 1, i >= 3)
		}
		for i := range assigned {
			(<-assigned[(i+3)%6]).Release()
		}
	})
}

// TestMissingItemOfBatchDelaysOthersBriefly covers an item of a batch that does not enter the queue, such as one that waits
// for its route. The others must be assigned at once if it says so, and within maxBatchDelay if it does not.
func TestMissingItemOfBatchDelaysOthersBriefly(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		t.Run(fmt.Sprint("leaves ", leaves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				queue, stop := newTestQueue(1, testPace)
				defer stop()
				batch := queue.BeginBatch()
				missing, arrived := batch.Add(), batch.Add()
				assigned := acquire(queue, time.Now(), 10, nil)
				arrived()
				batch.Close()
				began := time.Now()
				if leaves {
					missing()
					missing()
				}
				(<-assigned).Release()
				is.Equal(time.Since(began) == 0, leaves)
				is.True(time.Since(began) <= maxBatchDelay)
			})
		})
	}
}

// TestBatchWithoutItemsCausesNoPass begins and ends batches without items, as scans of open jobs do up to 200 times a second. They
// used to cause a pass of assignment each.
func TestBatchWithoutItemsCausesNoPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue, stop := newTestQueue(1, testPace)
		defer stop()
		synctest.Wait()
		passes := queue.pass
		queue.BeginBatch().Close()
		synctest.Wait()
		is.New(t).Equal(queue.pass, passes)
	})
}

// TestPassDuringBatchAssignsNothing begins a batch after the queue was woken for a pass. A pass that checked for batches only
// beforehand assigned slots to the items that had arrived by then.
func TestPassDuringBatchAssignsNothing(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	directory.Upsert(fleet.Engine{ID: "engine", Pool: "p", Slots: 1})
	queue := NewQueue(directory)
	batch := queue.BeginBatch()
	first, second := batch.Add(), batch.Add()
	item := queue.enqueue(Rank{}, fleet.Want{Pool: "p", Share: 1}, nil)
	first()
	waiting, delay := queue.assignSlots()
	is.Equal(waiting, 1)
	is.Equal(delay, maxBatchDelay)
	is.Equal(len(item.granted), 0)
	second()
	batch.Close()
	waiting, delay = queue.assignSlots()
	is.Equal(waiting, 0)
	is.Equal(delay, time.Duration(0))
	is.Equal(len(item.granted), 1)
}

// TestRunKeepsItsSlotFromItemOfItsPass covers an item that waits although a slot was free, since the engine does not take it
// yet, while a less urgent item of the same pass got the slot. Asking that run to yield at once used to end it before its first
// event without helping the waiting item. An item that comes later still gets the slot at once.
func TestRunKeepsItsSlotFromItemOfItsPass(t *testing.T) {
	for _, waitedBefore := range []bool{true, false} {
		t.Run(fmt.Sprint("waited before ", waitedBefore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				queue, stop := newTestQueue(1, testPace)
				defer stop()
				since := time.Now()
				time.Sleep(time.Millisecond)
				var yields atomic.Int32
				short := <-acquire(queue, time.Now(), 10, func() { yields.Add(1) })
				if !waitedBefore {
					since = time.Now().Add(time.Millisecond)
				}
				ctx, cancel := context.WithTimeout(t.Context(), minSlotTime/2)
				defer cancel()
				rank := Rank{LatestStart: policy.LatestStart(time.Now(), 150, testPace), MayBeCritical: true}
				_, err := queue.Acquire(ctx, rank, fleet.Want{Pool: "p", Share: 1, Events: 150, Since: since}, nil)
				is.True(err != nil)
				is.Equal(yields.Load() == 0, waitedBefore)
				short.Release()
			})
		})
	}
}

// TestYieldBeforeSendingCostsNoConnection asks an item to yield between the assignment of its slot and the sending of its
// request. It must not send.
func TestYieldBeforeSendingCostsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		queue, stop := newTestQueue(1, testPace)
		defer stop()
		slot := <-acquire(queue, time.Now(), 10, func() {})
		time.Sleep(time.Millisecond)
		long := acquire(queue, time.Now(), 150, nil)
		synctest.Wait()
		is.True(!slot.MaySend())
		slot.Release()
		next := <-long
		is.True(next.MaySend())
		next.Release()
	})
}
