package jobrun

import (
	"sync"
	"time"
)

// maxBatchDelay limits how long a batch delays assignment after all its items were started. Items enter the queue within
// milliseconds, on a throttled machine within tens of milliseconds; those that wait for something else leave the batch.
const maxBatchDelay = 100 * time.Millisecond

// Batch delays the assignment of slots until the items of the jobs that start have entered the queue, so that one pass assigns
// slots to all of them in the order of their rank. If slots were assigned to items as they arrive, short items would begin first
// and be requested at once to yield to the longest items of their own job, each at the cost of a connection.
type Batch struct {
	queue *Queue
	// missing is the number of items that have not entered the queue, plus one until Close; deadline is when the batch stops
	// delaying assignment, zero until Close. The queue's mutex guards both. A batch without items is not among the
	// queue's batches: most scans of open jobs start no items, and should not cause a pass of assignment.
	missing  int
	deadline time.Time
}

// BeginBatch returns a batch without items. The caller must call Close once all items were added.
func (q *Queue) BeginBatch() *Batch {
	return &Batch{queue: q, missing: 1}
}

// Add adds an item. It returns the function that the item calls once it waits in the queue, or once it will not enter the queue
// soon. Further calls have no effect.
func (b *Batch) Add() (arrived func()) {
	b.queue.mutex.Lock()
	defer b.queue.mutex.Unlock()
	b.missing++
	b.queue.batches[b] = struct{}{}
	return sync.OnceFunc(b.arrived)
}

// Close states that all items were added. The batch delays assignment for maxBatchDelay from now on, or until all items arrived.
func (b *Batch) Close() {
	b.queue.mutex.Lock()
	b.deadline = time.Now().Add(maxBatchDelay)
	b.queue.mutex.Unlock()
	b.arrived()
}

func (b *Batch) arrived() {
	b.queue.mutex.Lock()
	b.missing--
	_, holds := b.queue.batches[b]
	complete := holds && b.missing == 0
	if complete {
		delete(b.queue.batches, b)
	}
	b.queue.mutex.Unlock()
	if complete {
		b.queue.wake()
	}
}

// batchDelay returns the maximum remaining delay of assignment for incomplete batches, 0 if there are none. The mutex must be held.
func (q *Queue) batchDelay() time.Duration {
	var longest time.Duration
	for batch := range q.batches {
		remaining := maxBatchDelay
		if !batch.deadline.IsZero() {
			remaining = time.Until(batch.deadline)
		}
		if remaining <= 0 {
			delete(q.batches, batch)
		}
		longest = max(longest, remaining)
	}
	return longest
}
