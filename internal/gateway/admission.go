package gateway

import (
	"context"
	"sync"
	"time"
)

// Times that refused callers are told to stay away.
const (
	drainRetryAfter    = 100 * time.Millisecond
	overloadRetryAfter = time.Second
	notReadyRetryAfter = time.Second
)

// refusal says why work was refused before any of it ran.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// admission counts the calls under way and refuses those beyond a bound, or all while the node drains.
type admission struct {
	mu       sync.Mutex
	inFlight map[string]int
	total    int
	draining bool
	// idle is closed once the gateway drains and nothing is under way.
	idle chan struct{}
}

func newAdmission() *admission {
	return &admission{inFlight: make(map[string]int), idle: make(chan struct{})}
}

// enter admits one call of a workload; leave must be called at its end. A refusal is not nil when the call may not run.
func (a *admission) enter(workload string, limit int) (leave func(), refused *refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return nil, &refusal{"the node is stopping; ask another one", drainRetryAfter}
	}
	if a.inFlight[workload] >= limit {
		return nil, &refusal{"too many calls of the workload are under way at this node", overloadRetryAfter}
	}
	a.inFlight[workload]++
	a.total++
	return func() { a.leave(workload) }, nil
}

func (a *admission) leave(workload string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight[workload]--
	if a.inFlight[workload] == 0 {
		delete(a.inFlight, workload)
	}
	a.total--
	a.closeIfIdle()
}

// closeIfIdle needs the lock.
func (a *admission) closeIfIdle() {
	if !a.draining || a.total > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

func (a *admission) drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.closeIfIdle()
	a.mu.Unlock()
	select {
	case <-a.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
