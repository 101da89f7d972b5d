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
	"github.com/hillfork/hillfork/internal/policy"
)

// Rank orders items that wait for an engine.
type Rank struct {
	// LatestStart is the time of the job's acceptance less what is left of the item; the earliest goes first.
	LatestStart time.Time
	// Carried says that the item's group was handed in before and was not whole; the trainer waits for it.
	Carried bool
	// Length is the estimated output; longer items go first.
	Length int
	// MayHold says that the item may be the one that holds its job.
	MayHold bool
	// Yielded is how often the item has given its place up.
	Yielded int
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
	places  map[*Place]struct{}
	arrived chan struct{}
	counter int
}

// Place is an item's place at an engine. Release must follow.
type Place struct {
	Engine fleet.Engine

	queue *Queue
	rank  Rank
	taken time.Time
	// yield asks the item to give the place up, nil if it must not; asked says that it was.
	yield func()
	asked bool
	// reservation gets the place once it is released, nil if any item may.
	reservation *Reservation
}

// Release gives the place back, or to its reservation. It does nothing the second time.
func (p *Place) Release() {
	p.queue.mutex.Lock()
	_, held := p.queue.places[p]
	delete(p.queue.places, p)
	passedOn := held && p.reservation != nil && !p.reservation.dropped
	if passedOn {
		p.reservation.given <- p.queue.take(p.Engine, p.reservation.rank, nil)
	}
	p.queue.mutex.Unlock()
	if held && !passedOn {
		p.queue.directory.Release(p.Engine.ID)
	}
}

// Reservation is the claim of an item that runs to a place at a better engine, which another run gives up. Drop must follow.
type Reservation struct {
	queue *Queue
	rank  Rank
	// given holds the place once the other run has released it.
	given chan *Place
	// dropped is guarded by the queue's mutex.
	dropped bool
}

// Take returns the place once it is there, nil before.
func (r *Reservation) Take() *Place {
	select {
	case place := <-r.given:
		return place
	default:
		return nil
	}
}

// Drop gives the place back unless it was taken.
func (r *Reservation) Drop() {
	r.queue.mutex.Lock()
	r.dropped = true
	r.queue.mutex.Unlock()
	if place := r.Take(); place != nil {
		place.Release()
	}
}

type waiter struct {
	rank  Rank
	want  fleet.Want
	yield func()
	// number keeps the order of arrival among equals.
	number int
	place  int
	given  chan *Place
}

// NewQueue returns a queue; Run serves it.
func NewQueue(directory *fleet.Directory) *Queue {
	return &Queue{directory: directory, places: make(map[*Place]struct{}), arrived: make(chan struct{}, 1)}
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
	var kept []*waiter
	for i, engine := range q.directory.Assign(wants) {
		if engine.ID != "" {
			ordered[i].given <- q.take(engine, ordered[i].rank, ordered[i].yield)
			continue
		}
		heap.Push(&q.waiting, ordered[i])
		kept = append(kept, ordered[i])
	}
	q.makeRoom(kept)
	return len(kept)
}

// take notes a place that was acquired in the directory. The mutex must be held.
func (q *Queue) take(engine fleet.Engine, rank Rank, yield func()) *Place {
	place := &Place{Engine: engine, queue: q, rank: rank, taken: time.Now(), yield: yield}
	q.places[place] = struct{}{}
	return place
}

// Held returns how many places items hold, by engine.
func (q *Queue) Held() map[string]int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := make(map[string]int)
	for place := range q.places {
		held[place.Engine.ID]++
	}
	return held
}

// makeRoom asks runs that can wait to give their places up to items that can't, given in order of their rank. A place that is
// being given up is for the first of them.
func (q *Queue) makeRoom(waiting []*waiter) {
	coming := 0
	for place := range q.places {
		if place.asked && place.reservation == nil {
			coming++
		}
	}
	for _, next := range waiting {
		if coming > 0 {
			coming--
			continue
		}
		place := q.leastUrgent(next)
		if place == nil {
			return
		}
		place.asked = true
		place.yield()
	}
}

// leastUrgent returns the place of the run that can wait longest among those that yield to a waiting item, nil if there is none.
func (q *Queue) leastUrgent(next *waiter) *Place {
	if !next.rank.MayHold {
		return nil
	}
	return q.leastUrgentAt(q.directory.SuitableEngines(next.want), next.rank)
}

// leastUrgentAt returns the place, at one of some engines, of the run that can wait longest of those that yield to an item of a rank.
func (q *Queue) leastUrgentAt(engines map[string]bool, rank Rank) *Place {
	now := time.Now()
	var found *Place
	var latest time.Time
	for place := range q.places {
		if place.asked || place.yield == nil || !engines[place.Engine.ID] {
			continue
		}
		// A run's latest start moves on with what comes of it.
		start := place.rank.LatestStart.Add(now.Sub(place.taken))
		if policy.Yields(start, rank.LatestStart, place.rank.Yielded) && (found == nil || start.After(latest)) {
			found, latest = place, start
		}
	}
	return found
}

// Acquire waits for an engine. yield is called when the item should give its place up, at any moment until it releases it.
func (q *Queue) Acquire(ctx context.Context, rank Rank, want fleet.Want, yield func()) (*Place, error) {
	next := &waiter{rank: rank, want: want, yield: yield, given: make(chan *Place, 1)}
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
	case place := <-next.given:
		return place, nil
	case <-ctx.Done():
		if place := q.withdraw(next); place != nil {
			return place, nil
		}
		return nil, ctx.Err()
	}
}

// AcquireBetter returns a place at an engine to which work that runs elsewhere is worth moving, nil if there is none.
func (q *Queue) AcquireBetter(current string, rank Rank, want fleet.Want) *Place {
	engine, found := q.directory.AcquireBetter(current, want)
	if !found {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.take(engine, rank, nil)
}

// Reserve asks a run that can wait to give its place up to an item that may hold its step and runs at a slower engine. It returns nil if
// there is no such run. Without a reservation the place would go to an item that waits: freed places are taken at once.
func (q *Queue) Reserve(current string, rank Rank, want fleet.Want) *Reservation {
	if !rank.MayHold {
		return nil
	}
	better := q.directory.BetterEngines(current, want)
	if len(better) == 0 {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	place := q.leastUrgentAt(better, rank)
	if place == nil {
		return nil
	}
	place.asked = true
	place.reservation = &Reservation{queue: q, rank: rank, given: make(chan *Place, 1)}
	place.yield()
	return place.reservation
}

// withdraw takes a waiter out, and returns the place that it has been given meanwhile, nil if none: given back unused, one at an engine on trial
// would keep others away as a trial without a word does.
func (q *Queue) withdraw(next *waiter) *Place {
	q.mutex.Lock()
	if next.place >= 0 && next.place < q.waiting.Len() && q.waiting[next.place] == next {
		heap.Remove(&q.waiting, next.place)
	}
	q.mutex.Unlock()
	select {
	case place := <-next.given:
		return place
	default:
		return nil
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
