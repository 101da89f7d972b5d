// Package jobrun runs the items of the batch jobs whose partitions this process owns. It waits for a free engine, runs each
// item, continues on another engine when a run breaks off, requests the score of the text and lists the result. Listing is
// fenced by the epoch of the partition's owner, so that a superseded owner lists nothing.
package jobrun

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/policy"
)

// Rank is the priority of an item that waits for an engine.
type Rank struct {
	// LatestStart is the time of the job's acceptance minus the expected remaining run time of the item; the earliest is assigned
	// first.
	LatestStart time.Time
	// Carried reports that the item's group was submitted before and was not complete; the trainer waits for it.
	Carried bool
	// Length is the estimated output length in tokens; longer items are assigned first.
	Length int
	// MayBeCritical reports that the item may be the last of its job to complete.
	MayBeCritical bool
	// Yields is how often the item has given its slot up.
	Yields int
}

func (r Rank) before(other Rank) bool {
	switch {
	case !r.LatestStart.Equal(other.LatestStart):
		return r.LatestStart.Before(other.LatestStart)
	case r.Carried != other.Carried:
		return r.Carried
	default:
		return r.Length > other.Length
	}
}

// Queue assigns engine slots to items in the order of their rank. It is safe for concurrent use.
type Queue struct {
	directory *fleet.Directory

	mutex    sync.Mutex
	waiting  waitHeap
	slots    map[*Slot]struct{}
	wakeup   chan struct{}
	sequence int
	// pass is the number of passes of assignment so far.
	pass int
	// batches holds the batches that delay assignment.
	batches map[*Batch]struct{}
}

// Slot is an engine slot that an item holds. The holder must call Release.
type Slot struct {
	Engine fleet.Engine

	queue      *Queue
	rank       Rank
	acquiredAt time.Time
	// pass is the pass of assignment in which the slot was acquired.
	pass int
	// yield requests the item to give the slot up, nil if the item must keep it; yieldRequested reports that yield was called.
	yield          func()
	yieldRequested bool
	// reservation receives the slot once it is released, nil if it is free for any item.
	reservation *Reservation
}

// Release returns the slot to the directory, or hands it over to its reservation. Further calls have no effect.
func (s *Slot) Release() {
	s.queue.mutex.Lock()
	_, held := s.queue.slots[s]
	delete(s.queue.slots, s)
	handedOver := held && s.reservation != nil && !s.reservation.dropped && s.queue.directory.HandOver(s.Engine.ID)
	if handedOver {
		s.reservation.handover <- s.queue.addSlot(s.Engine, s.reservation.rank, nil)
	}
	s.queue.mutex.Unlock()
	if held && !handedOver {
		s.queue.directory.Release(s.Engine.ID)
	}
}

// MaySend reports whether the holder may send its request. It returns false if the holder was requested to yield the slot: sending
// and cancelling the request would cost a connection.
func (s *Slot) MaySend() bool {
	s.queue.mutex.Lock()
	defer s.queue.mutex.Unlock()
	return !s.yieldRequested
}

// Reservation is the claim of a running item to a slot at a better engine that another run gives up. The holder must call Drop.
type Reservation struct {
	queue *Queue
	rank  Rank
	// handover receives the slot once the other run has released it.
	handover chan *Slot
	// dropped is guarded by the queue's mutex.
	dropped bool
}

// Take returns the slot if it was handed over, otherwise nil.
func (r *Reservation) Take() *Slot {
	select {
	case slot := <-r.handover:
		return slot
	default:
		return nil
	}
}

// Drop gives the claim up and releases the slot if it was handed over but not taken.
func (r *Reservation) Drop() {
	r.queue.mutex.Lock()
	r.dropped = true
	r.queue.mutex.Unlock()
	if slot := r.Take(); slot != nil {
		slot.Release()
	}
}

type waiter struct {
	rank  Rank
	want  fleet.Want
	yield func()
	// sequence orders waiters of equal rank by arrival; firstPass is the first pass of assignment after the arrival.
	sequence  int
	firstPass int
	heapIndex int
	granted   chan *Slot
}

// NewQueue returns a queue. It assigns slots while Run is running.
func NewQueue(directory *fleet.Directory) *Queue {
	return &Queue{directory: directory, slots: make(map[*Slot]struct{}), wakeup: make(chan struct{}, 1), batches: make(map[*Batch]struct{})}
}

// refreshInterval is how often slots are assigned when no change is known, since backoff and loading of engines end by time
// alone.
const refreshInterval = 50 * time.Millisecond

// Run assigns slots until the context ends.
func (q *Queue) Run(ctx context.Context) {
	timer := time.NewTimer(refreshInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		changed := q.directory.Changed()
		waiting, delay := q.assignSlots()
		if delay > 0 {
			timer.Reset(delay)
			select {
			case <-q.wakeup:
			case <-timer.C:
			case <-ctx.Done():
			}
			continue
		}
		if waiting == 0 {
			select {
			case <-q.wakeup:
			case <-ctx.Done():
			}
			continue
		}
		timer.Reset(refreshInterval)
		select {
		case <-q.wakeup:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// assignSlots assigns slots to as many waiting items as free capacity allows, and returns how many still wait. If batches delay
// assignment, it assigns none and returns the maximum remaining delay.
func (q *Queue) assignSlots() (waiting int, delay time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if delay = q.batchDelay(); delay > 0 {
		return q.waiting.Len(), delay
	}
	q.pass++
	ordered := make([]*waiter, 0, q.waiting.Len())
	wants := make([]fleet.Want, 0, q.waiting.Len())
	for q.waiting.Len() > 0 {
		next := heap.Pop(&q.waiting).(*waiter)
		ordered = append(ordered, next)
		wants = append(wants, next.want)
	}
	var unassigned []*waiter
	for i, engine := range q.directory.Assign(wants) {
		if engine.ID != "" {
			ordered[i].granted <- q.addSlot(engine, ordered[i].rank, ordered[i].yield)
			continue
		}
		heap.Push(&q.waiting, ordered[i])
		unassigned = append(unassigned, ordered[i])
	}
	q.requestYields(unassigned)
	return len(unassigned), 0
}

// addSlot records a slot that was acquired in the directory. The mutex must be held.
func (q *Queue) addSlot(engine fleet.Engine, rank Rank, yield func()) *Slot {
	slot := &Slot{Engine: engine, queue: q, rank: rank, acquiredAt: time.Now(), pass: q.pass, yield: yield}
	q.slots[slot] = struct{}{}
	return slot
}

// Held returns the number of slots that items hold, by engine ID.
func (q *Queue) Held() map[string]int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := make(map[string]int)
	for slot := range q.slots {
		held[slot.Engine.ID]++
	}
	return held
}

// requestYields requests runs that can wait to give their slots up to items that can't, which are passed in the order of their
// rank. Slots that are already being given up are counted for the first of these items. An item for which no run yields takes
// the next free slot of its pool and model, so no run yields to the items after it. The mutex must be held.
func (q *Queue) requestYields(waiting []*waiter) {
	pendingYields := 0
	for slot := range q.slots {
		if slot.yieldRequested && slot.reservation == nil {
			pendingYields++
		}
	}
	blocked := make(map[poolModel]bool)
	for _, next := range waiting {
		if pendingYields > 0 {
			pendingYields--
			continue
		}
		kind := poolModel{next.want.Pool, next.want.Model}
		if blocked[kind] {
			continue
		}
		slot := q.leastUrgentFor(next)
		if slot == nil {
			blocked[kind] = true
			continue
		}
		slot.yieldRequested = true
		slot.yield()
	}
}

// leastUrgentFor returns the slot of the run that can wait longest among those that yield to a waiting item, nil if there is
// none.
func (q *Queue) leastUrgentFor(next *waiter) *Slot {
	if !next.rank.MayBeCritical {
		return nil
	}
	now := time.Now()
	return q.leastUrgentAt(q.directory.SuitableEngines(next.want), next.rank, func(slot *Slot) bool {
		return now.Sub(slot.acquiredAt) < minSlotTime && next.waitedBefore(slot)
	})
}

// minSlotTime is how long a run does not yield to an item that was already waiting when the run's slot was assigned. The engine
// did not take that item then and would most likely not take it now either, while the run would lose its connection.
const minSlotTime = 250 * time.Millisecond

// waitedBefore reports whether the waiter's item was already waiting when a slot was assigned.
func (w *waiter) waitedBefore(slot *Slot) bool {
	return w.firstPass <= slot.pass || w.want.Since.Before(slot.acquiredAt)
}

// leastUrgentAt returns the slot of the run that can wait longest among those at the given engines that yield to an item of the
// given rank, nil if there is none. Slots for which keeps returns true are not considered.
func (q *Queue) leastUrgentAt(engines map[string]bool, rank Rank, keeps func(*Slot) bool) *Slot {
	now := time.Now()
	var found *Slot
	var latest time.Time
	for slot := range q.slots {
		if slot.yieldRequested || slot.yield == nil || !engines[slot.Engine.ID] || keeps(slot) {
			continue
		}
		// A run's latest start advances with the events it has produced since.
		start := slot.rank.LatestStart.Add(now.Sub(slot.acquiredAt))
		if policy.Yields(start, rank.LatestStart, slot.rank.Yields) && (found == nil || start.After(latest)) {
			found, latest = slot, start
		}
	}
	return found
}

// Acquire waits for a slot. yield is called when the item should give the slot up, at any time until the slot is released.
func (q *Queue) Acquire(ctx context.Context, rank Rank, want fleet.Want, yield func()) (*Slot, error) {
	return q.wait(ctx, q.enqueue(rank, want, yield))
}

// enqueue adds a waiter, which must be passed to wait.
func (q *Queue) enqueue(rank Rank, want fleet.Want, yield func()) *waiter {
	next := &waiter{rank: rank, want: want, yield: yield, granted: make(chan *Slot, 1)}
	q.mutex.Lock()
	q.sequence++
	next.sequence, next.firstPass = q.sequence, q.pass+1
	heap.Push(&q.waiting, next)
	q.mutex.Unlock()
	q.wake()
	return next
}

// wake makes Run assign slots.
func (q *Queue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// wait waits until a slot is assigned to the waiter. It withdraws the waiter if the context ends before.
func (q *Queue) wait(ctx context.Context, next *waiter) (*Slot, error) {
	select {
	case slot := <-next.granted:
		return slot, nil
	case <-ctx.Done():
		if slot := q.withdraw(next); slot != nil {
			return slot, nil
		}
		return nil, ctx.Err()
	}
}

// AcquireBetter returns a slot at an engine to which it is worth moving work that runs on the current one, nil if there is
// none.
func (q *Queue) AcquireBetter(current string, rank Rank, want fleet.Want) *Slot {
	engine, found := q.directory.AcquireBetter(current, want)
	if !found {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.addSlot(engine, rank, nil)
}

// Reserve requests a run that can wait to give its slot up to an item that may be the last of its step and runs at a slower
// engine. It returns nil if there is no such run. Without the reservation the slot would be assigned to a waiting item as soon
// as it is free.
func (q *Queue) Reserve(current string, rank Rank, want fleet.Want) *Reservation {
	if !rank.MayBeCritical {
		return nil
	}
	better := q.directory.BetterEngines(current, want)
	if len(better) == 0 {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	slot := q.leastUrgentAt(better, rank, func(*Slot) bool { return false })
	if slot == nil {
		return nil
	}
	slot.yieldRequested = true
	slot.reservation = &Reservation{queue: q, rank: rank, handover: make(chan *Slot, 1)}
	slot.yield()
	return slot.reservation
}

// withdraw removes a waiter, and returns the slot that was assigned to it in the meantime, nil if none was. Such a slot must be
// used: if the engine is on trial after an ejection, releasing the slot unused would block other items until the trial times
// out.
func (q *Queue) withdraw(next *waiter) *Slot {
	q.mutex.Lock()
	if next.heapIndex >= 0 && next.heapIndex < q.waiting.Len() && q.waiting[next.heapIndex] == next {
		heap.Remove(&q.waiting, next.heapIndex)
	}
	q.mutex.Unlock()
	select {
	case slot := <-next.granted:
		return slot
	default:
		return nil
	}
}

// waitHeap is a heap of waiters, ordered by rank and then by arrival.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].rank.before(h[j].rank) {
		return true
	}
	return !h[j].rank.before(h[i].rank) && h[i].sequence < h[j].sequence
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	next := x.(*waiter)
	next.heapIndex = len(*h)
	*h = append(*h, next)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
