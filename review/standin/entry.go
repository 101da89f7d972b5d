package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lateBy is how much later the append is done that gets no answer; the pages allow 1 to 6 s.
const lateBy = 1200 * time.Millisecond

// resendAfter is how old the 202 is when another client sends the job again.
const resendAfter = 220 * time.Millisecond

// seenResult is a result as a client has read it.
type seenResult struct {
	id, state, text, where string
}

// watcher reads a batch job as its clients do, and checks that positions keep their results.
type watcher struct {
	site  *site
	id    string
	items map[string]item

	mutex sync.Mutex
	seen  map[int]seenResult
	at    map[string]int
}

func (w *watcher) check(r *replica, from int, read listing) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i, result := range read.Results {
		position := from + i
		next := seenResult{result.ID, result.State, result.Text, r.name}
		known, ok := w.seen[position]
		if !ok {
			w.seen[position] = next
			w.site.record.printf("read at %s: position %d of %s holds item %s, %s", r.name, position, w.id, result.ID, result.State)
			if other, twice := w.at[result.ID]; twice {
				w.site.record.broke("TWICE: item %s stands at positions %d and %d of %s", result.ID, other, position, w.id)
			}
			w.at[result.ID] = position
		} else if known.id != next.id || known.state != next.state || known.text != next.text {
			w.site.record.broke("TWICE: position %d of %s holds item %s (%s) at %s, and held item %s (%s) when it was read at %s",
				position, w.id, next.id, next.state, r.name, known.id, known.state, known.where)
		}
		if asked, ok := w.items[result.ID]; result.State == "completed" && (!ok || result.Text != outputOf(result.ID, asked.Path)) {
			w.site.record.broke("MIXED: the text of item %s is not its output", result.ID)
		}
	}
}

func (w *watcher) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.seen)
}

// readAll reads the whole job at a replica from its start, and reports how many results it gave.
func (w *watcher) readAll(r *replica) (results int, status int) {
	for {
		read, status := w.site.read(r, w.id, results)
		if status != 200 {
			return results, status
		}
		w.check(r, results, read)
		if len(read.Results) == 0 {
			return results, status
		}
		results += len(read.Results)
	}
}

// entryCase has the store lose the answer to one append of a job's index entry, which is done 1.2 s later, while the job is
// sent a second time to another node. Meanwhile machines are stopped and started in turn, with or without the trouble.
func entryCase(ctx context.Context, s *site, trouble bool) error {
	if err := s.build(ctx, 12, nil); err != nil {
		return err
	}
	if !waitFor(10*time.Second, func() bool { return s.holder(jobsGroup, "keyed.jobs/0") != nil }) {
		return errors.New("no node holds the partition of jobs")
	}
	time.Sleep(4 * time.Second)
	owner := s.holder(jobsGroup, "keyed.jobs/0")
	first, second, other, next := s.rolesFor(owner)
	if second == nil || next == nil {
		return errors.New("every node holds a partition whose holder reads the index at once")
	}
	s.record.printf("%s runs the jobs of the model; the job is sent to %s and again to %s; %s is stopped and started first",
		owner.name, first.name, second.name, next.name)

	// Steps of the other trainer, as on any day.
	for step := range 3 {
		id := fmt.Sprintf("warm%d", step)
		if status := s.submit(first, jobsPrefix, id, s.lot(otherModel, id, step, 8, func(int) int { return 3 })); status != 202 {
			return fmt.Errorf("a job before was answered %d", status)
		}
		w := &watcher{site: s, id: id, items: s.itemsOf(otherModel, id, 8, func(int) int { return 3 }), seen: make(map[int]seenResult), at: make(map[string]int)}
		if !waitFor(6*time.Second, func() bool { _, _ = w.readAll(first); return w.count() == 8 }) {
			return errors.New("a job before was not run")
		}
		if step < 2 {
			s.end(first, id)
		}
	}
	time.Sleep(1500 * time.Millisecond)

	const id, count = "first0", 40
	lengths := func(i int) int {
		if i%8 < 5 {
			return 1 + i%4
		}
		return 80 + i
	}
	var lost atomic.Bool
	if trouble {
		s.store.mutex.Lock()
		s.store.lateAppend = func(call appendCall) (time.Duration, bool) {
			if call.replica != first.name || call.topic != "keyed.jobindex" || !strings.HasPrefix(call.keys[0], "s/"+id+"/") || !lost.CompareAndSwap(false, true) {
				return 0, false
			}
			s.record.printf("the store gives no answer to an append of %s and does it %v later", first.name, lateBy)
			return lateBy, true
		}
		s.store.mutex.Unlock()
	}
	// The machines are stopped and started in turn. The first of them is one that holds no partition.
	stopped := next.stop()
	time.Sleep(2 * time.Second)
	// The other trainer ends its step just before.
	if status := s.end(other, "warm2"); status != 200 {
		return fmt.Errorf("the end of the other trainer's step was answered %d", status)
	}
	endedAt := time.Now()
	if status := s.submit(first, jobsPrefix, id, s.lot(model, id, 0, count, lengths)); status != 202 {
		return fmt.Errorf("the job was answered %d", status)
	}
	acceptedAt := time.Now()
	s.record.printf("the job was accepted %v after the end of the other trainer's step", acceptedAt.Sub(endedAt).Round(time.Millisecond))
	// Another client sends the job again.
	time.Sleep(resendAfter)
	if status := s.submit(second, jobsPrefix, id, s.lot(model, id, 0, count, lengths)); status != 202 {
		return fmt.Errorf("the job that was sent again was answered %d", status)
	}
	w := &watcher{site: s, id: id, items: s.itemsOf(model, id, count, lengths), seen: make(map[int]seenResult), at: make(map[string]int)}
	readers := []*replica{first, other, second}
	for i := 0; time.Since(acceptedAt) < lateBy+500*time.Millisecond; i++ {
		r := readers[i%len(readers)]
		from := w.count()
		if read, status := s.read(r, id, from); status == 200 {
			w.check(r, from, read)
		}
		time.Sleep(150 * time.Millisecond)
	}
	s.record.printf("%d results were read", w.count())
	s.record.printf("index entries: %s", s.store.Offsets("keyed.jobindex", "s/"+id+"/"))
	<-stopped
	if err := s.replace(next, owner); err != nil {
		return err
	}
	for i := 0; time.Since(acceptedAt) < 14*time.Second && w.count() < count && len(s.record.broken) == 0; i++ {
		r := readers[i%len(readers)]
		from := w.count()
		if read, status := s.read(r, id, from); status == 200 {
			w.check(r, from, read)
		}
		time.Sleep(150 * time.Millisecond)
	}
	s.record.printf("%d of %d results were read", w.count(), count)
	s.end(first, id)
	time.Sleep(4 * time.Second)
	// At the end the job is read from the start, at each node.
	for _, r := range s.replicas {
		results, status := w.readAll(r)
		s.record.printf("at the end %s gives %d results, answer %d", r.name, results, status)
		if status == 200 && results < w.count() {
			s.record.broke("LOST: %s gives %d results of %s, of which %d were read before", r.name, results, id, w.count())
		}
	}
	return nil
}

// replace starts a machine again whose process has ended, stops the owner as planned once the other one is ready, and starts it
// again too.
func (s *site) replace(next, owner *replica) error {
	if err := next.start(); err != nil {
		return err
	}
	if !waitFor(10*time.Second, next.isReady) {
		return errors.New("a node that was started again did not become ready")
	}
	time.Sleep(500 * time.Millisecond)
	ended := owner.stop()
	go func() {
		<-ended
		_ = owner.start()
	}()
	if !waitFor(2*time.Second, func() bool { holder := s.holder(jobsGroup, "keyed.jobs/0"); return holder != nil && holder != owner }) {
		return errors.New("the partition was not handed over")
	}
	s.record.printf("%s runs the jobs of the model now", s.holder(jobsGroup, "keyed.jobs/0").name)
	return nil
}

// rolesFor returns a node to which the job is sent, one that holds no partition for which it reads the index at once, a third, and
// the one to which the store deals the next partition that is open.
func (s *site) rolesFor(owner *replica) (first, second, other, next *replica) {
	holds := make(map[string]bool)
	for number := range partitions {
		holds[machineOf(s.store.Holder(jobsGroup, fmt.Sprintf("keyed.jobs/%d", number)))] = true
	}
	for _, r := range s.replicas {
		if !holds[r.name] && (next == nil || r.name < next.name) {
			next = r
		}
	}
	busy := make(map[string]bool)
	for number := range partitions {
		busy[machineOf(s.store.Holder(jobsGroup, fmt.Sprintf("keyed.jobs/%d", number)))] = true
	}
	for _, part := range []string{
		partitionOf("keyed.weights", modelPool), partitionOf("keyed.enginelist", modelPool), partitionOf("keyed.enginelist", appPool),
	} {
		busy[machineOf(s.store.Holder("hillfork-weights", part))] = true
	}
	for _, r := range s.replicas {
		switch {
		case r == owner, r == next:
		case !busy[r.name] && second == nil:
			second = r
		case busy[r.name] && first == nil:
			first = r
		case other == nil:
			other = r
		}
	}
	return first, second, other, next
}

func (s *site) itemsOf(trained, id string, count int, lengths func(int) int) map[string]item {
	items := make(map[string]item, count)
	for i := range count {
		next := newItem(trained, fmt.Sprintf("%s.i%02d", id, i), lengths(i), i/4)
		items[next.ID] = next
	}
	return items
}

// lot returns the body of a batch job.
func (s *site) lot(trained, id string, step, count int, lengths func(int) int) map[string]any {
	items := s.itemsOf(trained, id, count, lengths)
	requests := make([]item, 0, count)
	for i := range count {
		requests = append(requests, items[fmt.Sprintf("%s.i%02d", id, i)])
	}
	return map[string]any{"step": step, "model": trained, "minVersion": 1, "desired": max(1, count/4), "requests": requests}
}
