package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lateBy is how much later the append is done that gets no answer; the pages allow 1 to 6 s.
const lateBy = 2500 * time.Millisecond

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

// lateCase has the store give no answer to the first append of a batch job's items, and do it 2.5 s later. The node repeats the append,
// the job is accepted and run, and its results are read. Another job follows. Then, with the trouble or without it, the machine
// that runs the jobs is stopped as planned and started again.
func lateCase(ctx context.Context, s *site, trouble bool) error {
	if err := s.build(ctx, 12, nil); err != nil {
		return err
	}
	const partition = "keyed.jobs/0"
	if !waitFor(10*time.Second, func() bool { return s.holder(jobsGroup, partition) != nil }) {
		return errors.New("no node holds the partition of jobs")
	}
	time.Sleep(4 * time.Second)
	owner := s.holder(jobsGroup, partition)
	var others []*replica
	for _, r := range s.replicas {
		if r != owner {
			others = append(others, r)
		}
	}
	first := others[0]
	s.record.printf("%s runs the jobs of the model, %s is sent the job", owner.name, first.name)
	if trouble {
		var lost atomic.Bool
		s.store.mutex.Lock()
		s.store.lateAppend = func(call appendCall) (time.Duration, bool) {
			if call.replica != first.name || call.topic != "keyed.jobs" || !lost.CompareAndSwap(false, true) {
				return 0, false
			}
			s.record.printf("the store gives no answer to an append of %s, and does it %v later", first.name, lateBy)
			return lateBy, true
		}
		s.store.mutex.Unlock()
	}
	const id, next = "job1", "job2"
	lengths := func(i int) int { return 1 + (i*7)%12 }
	sentAt := time.Now()
	if status := s.submit(first, jobsPrefix, id, s.lot(id, 1, 20, lengths)); status != 202 {
		return fmt.Errorf("the job was answered %d", status)
	}
	w := s.watch(id, 20, lengths)
	if !waitFor(8*time.Second, func() bool { _, _ = w.readAll(others[1]); return w.count() == 20 }) {
		return errors.New("the job was not run")
	}
	s.record.printf("all results of %s were read", id)
	if status := s.submit(others[2], jobsPrefix, next, s.lot(next, 2, 8, lengths)); status != 202 {
		return fmt.Errorf("the next job was answered %d", status)
	}
	w2 := s.watch(next, 8, lengths)
	if !waitFor(8*time.Second, func() bool { _, _ = w2.readAll(others[1]); return w2.count() == 8 }) {
		return errors.New("the next job was not run")
	}
	s.record.printf("all results of %s were read", next)
	time.Sleep(time.Until(sentAt.Add(lateBy + time.Second)))
	ended := owner.stop()
	if !waitFor(2*time.Second, func() bool { holder := s.holder(jobsGroup, partition); return holder != nil && holder != owner }) {
		return errors.New("the partition was not handed over")
	}
	s.record.printf("%s runs the jobs of the model now", s.holder(jobsGroup, partition).name)
	for i := 0; i < 12; i++ {
		r := others[i%len(others)]
		_, _ = w.readAll(r)
		_, _ = w2.readAll(r)
		time.Sleep(250 * time.Millisecond)
	}
	<-ended
	if err := owner.start(); err != nil {
		return err
	}
	if !waitFor(10*time.Second, owner.isReady) {
		return errors.New("the machine that was stopped did not become ready again")
	}
	// Each node is asked for the whole jobs.
	for _, r := range s.replicas {
		for _, known := range []*watcher{w, w2} {
			results, status := known.readAll(r)
			s.record.printf("at the end %s gives %d results of %s, answer %d", r.name, results, known.id, status)
			if status == 200 && results < known.count() {
				s.record.broke("LOST: %s gives %d results of %s, of which %d were read before", r.name, results, known.id, known.count())
			}
		}
	}
	s.end(first, id)
	s.end(first, next)
	return nil
}

func (s *site) watch(id string, count int, lengths func(int) int) *watcher {
	return &watcher{site: s, id: id, items: s.itemsOf(id, count, lengths), seen: make(map[int]seenResult), at: make(map[string]int)}
}

func (s *site) itemsOf(id string, count int, lengths func(int) int) map[string]item {
	items := make(map[string]item, count)
	for i := range count {
		next := newItem(fmt.Sprintf("%s.i%02d", id, i), lengths(i), i/4)
		items[next.ID] = next
	}
	return items
}

// lot returns the body of a batch job.
func (s *site) lot(id string, step, count int, lengths func(int) int) map[string]any {
	items := s.itemsOf(id, count, lengths)
	requests := make([]item, 0, count)
	for i := range count {
		requests = append(requests, items[fmt.Sprintf("%s.i%02d", id, i)])
	}
	return map[string]any{"step": step, "model": model, "minVersion": 1, "desired": max(1, count/4), "requests": requests}
}
