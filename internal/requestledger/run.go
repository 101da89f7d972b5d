package requestledger

import (
	"bytes"
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
)

// run is the active operation of one key on this owner: an execution, or the cancellation of an ask. All asks for the
// key wait for it meanwhile.
type run struct {
	key    key
	ask    uint64
	digest []byte
	done   chan struct{}
	// result and err are set before done is closed.
	result result
	err    error
}

func (r *run) stream() string { return StreamOf(r.key.workload, r.key.requestID) }

// matches reports whether the result of the run also applies to the wanted ask. Other asks look up the recorded state
// again, because an ask that was answered as not run stays not run whatever the result of a later one.
func (r *run) matches(wanted run) bool {
	return r.ask == wanted.ask && bytes.Equal(r.digest, wanted.digest)
}

// runFunc computes the result of a run.
type runFunc func(ctx context.Context, run *run) (result, error)

// settle joins the active run of a key, or starts one, and repeats this until a run's result applies to the wanted ask.
func (s *Service) settle(ctx context.Context, wanted run, budget time.Duration, execute runFunc) (*run, error) {
	for {
		joined, err := s.join(wanted, budget, execute)
		if err != nil {
			return nil, err
		}
		select {
		case <-joined.done:
		case <-ctx.Done():
			return nil, uncertainError("the request is still under way")
		}
		if joined.matches(wanted) {
			return joined, joined.err
		}
	}
}

// join returns the active run of the key, or starts one.
func (s *Service) join(wanted run, budget time.Duration, execute runFunc) (*run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime.Err() != nil {
		return nil, &peer.Error{Code: peer.CodeNotReady, Message: "request ledger is closed"}
	}
	if known := s.runs[wanted.key]; known != nil {
		return known, nil
	}
	if s.draining {
		return nil, &peer.Error{Code: peer.CodeNotReady, Message: "the node is stopping", RetryAfter: handoverRetryAfter}
	}
	if len(s.runs) >= maxRuns {
		return nil, &peer.Error{
			Code:       peer.CodeOverloaded,
			Message:    "too many unsafe requests are under way on the owner",
			RetryAfter: overloadedRetryAfter,
		}
	}
	fresh := &run{key: wanted.key, ask: wanted.ask, digest: wanted.digest, done: make(chan struct{})}
	s.runs[fresh.key] = fresh
	s.running.Go(func() { s.perform(fresh, budget, execute) })
	return fresh, nil
}

// perform executes a run under the service's lifetime instead of the caller's context: a caller that disconnects does
// not stop the run.
func (s *Service) perform(run *run, budget time.Duration, execute runFunc) {
	ctx, cancel := context.WithTimeout(s.lifetime, budget)
	defer cancel()
	run.result, run.err = execute(ctx, run)
	s.mu.Lock()
	delete(s.runs, run.key)
	s.mu.Unlock()
	close(run.done)
}

func uncertainError(message string) *peer.Error {
	return &peer.Error{Code: peer.CodeUncertain, Message: message}
}
