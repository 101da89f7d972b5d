// Package jobrun runs the items of the batch jobs whose partition this process owns: it waits for engines, runs each item,
// goes on elsewhere when a run breaks, has the text scored and lists the result. Listing is fenced by the epoch of the
// ownership, so that a superseded owner lists nothing.
package jobrun

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

// Rank orders items that wait for an engine.
type Rank struct {
	// LatestStart is the time of the job's acceptance less what is left of the item; the earliest goes first.
	LatestStart time.Time
	// Carried says that the item's group was handed in before and was not whole; the trainer waits for it.
	Carried bool
	// Length is the estimated output; longer items go first.
	Length int
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

// Queue gives engines to items in order of their rank. It is safe for concurrent use.
type Queue struct {
	directory *fleet.Directory

	mutex   sync.Mutex
	waiting waitHeap
	arrived chan struct{}
	counter int
}

type waiter struct {
	rank Rank
	want fleet.Want
	// number keeps the order of arrival among equals.
	number int
	place  int
	given  chan fleet.Engine
}

// NewQueue returns a queue; Run serves it.
func NewQueue(directory *fleet.Directory) *Queue {
	return &Queue{directory: directory, arrived: make(chan struct{}, 1)}
}

// refresh is how often waiting items are looked at when nothing is known to have changed: avoidance and loading end by time.
const refresh = 50 * time.Millisecond

// Run serves the queue until the context ends.
func (q *Queue) Run(ctx context.Context) {
	timer := time.NewTimer(refresh)
	defer timer.Stop()
	for ctx.Err() == nil {
		changed := q.directory.Changed()
		if q.serve() == 0 {
			select {
			case <-q.arrived:
			case <-ctx.Done():
			}
			continue
		}
		timer.Reset(refresh)
		select {
		case <-q.arrived:
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// serve gives engines to as many items as there is room for, and returns how many still wait.
func (q *Queue) serve() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	ordered := make([]*waiter, 0, q.waiting.Len())
	wants := make([]fleet.Want, 0, q.waiting.Len())
	for q.waiting.Len() > 0 {
		next := heap.Pop(&q.waiting).(*waiter)
		ordered = append(ordered, next)
		wants = append(wants, next.want)
	}
	kept := 0
	for i, engine := range q.directory.Assign(wants) {
		if engine.ID != "" {
			ordered[i].given <- engine
			continue
		}
		heap.Push(&q.waiting, ordered[i])
		kept++
	}
	return kept
}

// Acquire waits for an engine. The directory's Release must follow.
func (q *Queue) Acquire(ctx context.Context, rank Rank, want fleet.Want) (fleet.Engine, error) {
	next := &waiter{rank: rank, want: want, given: make(chan fleet.Engine, 1)}
	q.mutex.Lock()
	q.counter++
	next.number = q.counter
	heap.Push(&q.waiting, next)
	q.mutex.Unlock()
	select {
	case q.arrived <- struct{}{}:
	default:
	}
	select {
	case engine := <-next.given:
		return engine, nil
	case <-ctx.Done():
		q.withdraw(next)
		return fleet.Engine{}, ctx.Err()
	}
}

// withdraw takes a waiter out, and gives back the engine that it may have been given meanwhile.
func (q *Queue) withdraw(next *waiter) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if next.place >= 0 && next.place < q.waiting.Len() && q.waiting[next.place] == next {
		heap.Remove(&q.waiting, next.place)
	}
	select {
	case engine := <-next.given:
		q.directory.Release(engine.ID)
	default:
	}
}

// waitHeap is a heap of waiters by rank.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].rank.before(h[j].rank) {
		return true
	}
	return !h[j].rank.before(h[i].rank) && h[i].number < h[j].number
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push adds a waiter.
func (h *waitHeap) Push(x any) {
	next := x.(*waiter)
	next.place = len(*h)
	*h = append(*h, next)
}

// Pop takes the last waiter.
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	last.place = -1
	return last
}
