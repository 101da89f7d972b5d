package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// contact is how long a machine has to be without trouble to be in touch (contactMs).
const contact = 3 * time.Second

// mostRetries is how many retries may reach samplers later than contact after the third crash.
const mostRetries = 3

// poisonText is the body of the call that crashes each sampler that begins to run it.
const poisonText = "poison"

// arrivals notes when the call that crashes samplers began to run.
type arrivals struct {
	mutex sync.Mutex
	times []time.Time
}

func (a *arrivals) add() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.times = append(a.times, time.Now())
	return len(a.times)
}

// late returns how many arrivals came later than contact after the third one, which crashed its sampler at once.
func (a *arrivals) late() (late, all int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for i, at := range a.times {
		if i > 2 && at.After(a.times[2].Add(contact)) {
			late++
		}
	}
	return late, len(a.times)
}

// crashCase has one item's reward call crash each sampler that begins to run it. The samplers are back after 2 s under the ids that
// they had. The trouble is that one of the three samplers is lost for good before.
func crashCase(ctx context.Context, s *site, trouble bool) error {
	var seen arrivals
	err := s.build(ctx, 6, func(next *sampler) {
		if next.service != appPool {
			return
		}
		next.restartAfter = 2 * time.Second
		next.poison = func(body string) bool { return body == poisonText }
		next.onRun = func(at *sampler, r *http.Request, body string) {
			if body == poisonText {
				s.record.printf("%s crashes under %s, the %d. time in all", at.id, r.Header.Get("X-Request-Id"), seen.add())
			}
		}
	})
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		lost := s.samplers[len(s.samplers)-1]
		s.record.printf("%s is lost for good", lost.id)
		lost.mutex.Lock()
		lost.gone = true
		lost.mutex.Unlock()
		lost.crash()
		time.Sleep(5*heartbeat + contact)
	}
	const id, count = "step4", 4
	items := s.itemsOf(id, count, func(int) int { return 4 })
	var requests []item
	for i := range count {
		next := items[fmt.Sprintf("%s.i%02d", id, i)]
		next.Scorer = &scorer{ID: fmt.Sprintf("%s.score%02d", id, i), Host: host, Path: syncPrefix + "record", Body: encoded(fmt.Sprintf("record %d", i))}
		if i == count-1 {
			next.Scorer.Body = encoded(poisonText)
		}
		requests = append(requests, next)
	}
	entry := s.replicas[0]
	if status := s.submit(entry, jobsPrefix, id, map[string]any{
		"step": 4, "model": model, "minVersion": 1, "desired": 1, "requests": requests,
	}); status != http.StatusAccepted {
		return fmt.Errorf("the job was answered %d", status)
	}
	// Clients look records up all the while.
	served, asked := 0, 0
	for began := time.Now(); time.Since(began) < 32*time.Second; {
		asked++
		name := fmt.Sprintf("lookup%03d", asked)
		callCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		status, _ := call(callCtx, s.replicas[asked%len(s.replicas)], http.MethodPost, syncPrefix+"lookup", map[string]string{
			"X-Request-Id": name, "X-Deadline-Ms": "1500",
		}, []byte(name))
		cancel()
		if status == http.StatusOK {
			served++
		}
		s.record.printf("%s answered %d", name, status)
		time.Sleep(250 * time.Millisecond)
	}
	s.end(entry, id)
	late, all := seen.late()
	s.record.printf("the call reached samplers %d times, %d of them later than %v after the third; %d of %d lookups were served", all, late, contact, served, asked)
	if all == 0 {
		return errors.New("the call reached no sampler")
	}
	if late > mostRetries {
		s.record.broke("BUDGET: the call that crashes samplers reached them %d times later than %v after it had crashed the third", late, contact)
	}
	return nil
}
