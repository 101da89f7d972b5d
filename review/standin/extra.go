package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The dose of the trouble: one of the three samplers sends, for 5 s, a second copy of 3 in 100 of its answers at most.
const (
	extraShare = 0.03
	extraFor   = 5 * time.Second
)

// extraCase sends waves of requests that fill the samplers for some tens of milliseconds, and in each of them one request that may
// run once. The trouble is that one of the three samplers sends a second copy of a few of its answers late, in the place
// where the next answer on the connection is expected.
func extraCase(ctx context.Context, s *site, trouble bool) error {
	var mutex sync.Mutex
	runs := make(map[string][]string)
	onRun := func(at *sampler, r *http.Request, _ string) {
		mutex.Lock()
		defer mutex.Unlock()
		id := r.Header.Get("X-Request-Id")
		runs[id] = append(runs[id], at.id)
	}
	var affected []*sampler
	err := s.build(ctx, 6, func(next *sampler) {
		if next.service != appPool {
			return
		}
		next.onRun, next.capacity = onRun, newCapacity(next.slots, 2)
		affected = append(affected, next)
	})
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		garbled := affected[0]
		time.AfterFunc(time.Second, func() { s.garble(garbled) })
	}
	var answered sync.WaitGroup
	statuses := make(map[string]int)
	send := func(r *replica, prefix, id string) {
		answered.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			status, _ := call(callCtx, r, http.MethodPost, prefix+"one", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "2000"}, []byte(id))
			s.record.printf("%s at %s: answered %d", id, r.name, status)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[id] = status
		})
	}
	for wave := range 48 {
		for i := range 36 {
			send(s.replicas[i%(len(s.replicas)-1)], syncPrefix, fmt.Sprintf("lookup%02d-%02d", wave, i))
		}
		time.Sleep(14 * time.Millisecond)
		send(s.replicas[len(s.replicas)-1], filePrefix, fmt.Sprintf("filing%02d", wave))
		time.Sleep(136 * time.Millisecond)
	}
	answered.Wait()
	time.Sleep(time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	filings := 0
	for id, at := range runs {
		if !strings.HasPrefix(id, "filing") {
			continue
		}
		filings++
		if len(at) > 1 {
			s.record.broke("TWICE: %s, which may run once, has run %d times, at %s; its client was answered %d", id, len(at), strings.Join(at, ", "), statuses[id])
		}
		if status := statuses[id]; status == 429 || status == 503 || status == 408 || status == 421 {
			s.record.broke("REFUSED: %s has run at %s, and its client was answered %d", id, strings.Join(at, ", "), status)
		}
	}
	for _, known := range affected {
		s.record.printf("%s answered %d requests, and sent a second copy of %d answers", known.id, known.answers, known.extras)
	}
	s.record.printf("%d requests that may run once have run", filings)
	if filings == 0 {
		return errors.New("no request that may run once has run")
	}
	return nil
}

// garble has a sampler send second copies of some refusals of requests that may run once.
func (s *site) garble(garbled *sampler) {
	s.record.printf("%s begins to send a second copy of some answers", garbled.id)
	garbled.mutex.Lock()
	defer garbled.mutex.Unlock()
	before := garbled.answers
	garbled.extra = func(at *sampler, r *http.Request) bool {
		return strings.HasPrefix(r.URL.Path, filePrefix) && float64(at.extras+1) <= extraShare*float64(at.answers-before)
	}
	time.AfterFunc(extraFor, func() {
		garbled.mutex.Lock()
		defer garbled.mutex.Unlock()
		garbled.extra = nil
		s.record.printf("%s sends no more second copies: %d of %d answers", garbled.id, garbled.extras, garbled.answers-before)
	})
}
