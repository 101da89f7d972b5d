package gateway

import (
	"context"
	"sync"
	"time"
)

// Retry delays sent to refused callers.
const (
	drainRetryAfter    = 100 * time.Millisecond
	overloadRetryAfter = time.Second
	notReadyRetryAfter = time.Second
)

// refusal is the reason why a call was refused before it had any effect.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// admission counts the calls in flight. It refuses calls over a limit, and all calls while the node drains.
type admission struct {
	mu       sync.Mutex
	inFlight map[string]int
	total    int
	draining bool
	// idle is closed once the gateway drains and no call is in flight.
	idle chan struct{}
}

func newAdmission() *admission {
	return &admission{inFlight: make(map[string]int), idle: make(chan struct{})}
}

// enter admits one call of a workload; the caller must call leave when the call ends. If the call is refused, leave is
// nil and refused is not.
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

// closeIfIdle closes idle if the gateway drains and no call is in flight. The caller must hold mu.
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
