package requestledger

import (
	"bytes"
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
)

// run is one key under way on this owner: an execution, or the cancelling of an ask. Everyone who asks for the key
// meanwhile waits for it.
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

// answers tells whether the run's end is also the end of another ask's. Others look up anew what the run recorded, for an
// ask that was said not to have run stays so whatever a later one came to.
func (r *run) answers(wanted run) bool {
	return r.ask == wanted.ask && bytes.Equal(r.digest, wanted.digest)
}

// drive works out the end of a run.
type drive func(ctx context.Context, run *run) (result, error)

// settle joins the run of a key, or begins one, until there is an end that holds for the ask.
func (s *Service) settle(ctx context.Context, wanted run, budget time.Duration, begin drive) (*run, error) {
	for {
		joined, err := s.join(wanted, budget, begin)
		if err != nil {
			return nil, err
		}
		select {
		case <-joined.done:
		case <-ctx.Done():
			return nil, uncertain("the request is still under way")
		}
		if joined.answers(wanted) {
			return joined, joined.err
		}
	}
}

// join returns the run under way for the key, or begins it.
func (s *Service) join(wanted run, budget time.Duration, begin drive) (*run, error) {
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
	s.running.Go(func() { s.perform(fresh, budget, begin) })
	return fresh, nil
}

// perform runs on the service's own lifetime: a caller that leaves does not stop a run.
func (s *Service) perform(run *run, budget time.Duration, begin drive) {
	ctx, cancel := context.WithTimeout(s.lifetime, budget)
	defer cancel()
	run.result, run.err = begin(ctx, run)
	s.mu.Lock()
	delete(s.runs, run.key)
	s.mu.Unlock()
	close(run.done)
}

func uncertain(message string) *peer.Error {
	return &peer.Error{Code: peer.CodeUncertain, Message: message}
}
