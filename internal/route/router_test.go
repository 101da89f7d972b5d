package route

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
)

// fakeCaller returns scripted results for successive attempts and repeats the last one.
type fakeCaller struct {
	script []error
	// latency is the duration of each attempt.
	latency time.Duration
	calls   []string
	times   []time.Time
}

func (f *fakeCaller) next(ctx context.Context, address string) error {
	f.calls = append(f.calls, address)
	f.times = append(f.times, time.Now())
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.latency):
	}
	return f.script[min(len(f.calls), len(f.script))-1]
}

func (f *fakeCaller) Call(ctx context.Context, address, _ string, _, _ peer.Message) error {
	return f.next(ctx, address)
}

func (f *fakeCaller) Stream(context.Context, string, string, peer.Message) (peer.ClientStream, error) {
	return nil, errors.ErrUnsupported
}

// fakePlacer places every key at one address. An empty address means that keys have no owner.
type fakePlacer struct {
	mutex   sync.Mutex
	address string
	changed chan struct{}
}

func (f *fakePlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return placement.Member{PeerAddress: f.address}, f.address != ""
}

func (f *fakePlacer) Self() placement.Member { return placement.Member{} }

func (f *fakePlacer) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// place moves all keys to address and notifies the waiters of Changed.
func (f *fakePlacer) place(address string) {
	f.Changed()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.address = address
	close(f.changed)
	f.changed = nil
}

func refuse(code peer.Code) error { return &peer.Error{Code: code, Message: "refused"} }
func redirect(hint string) error  { return &peer.Error{Code: peer.CodeNotOwner, OwnerHint: hint} }
func overloaded(after time.Duration) error {
	return &peer.Error{Code: peer.CodeOverloaded, RetryAfter: after}
}
func callKey(router *Router, policy Policy) error { return callWithin(router, policy, 10*time.Second) }

func callWithin(router *Router, policy Policy, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	message := &peerapi.Drain{}
	return router.CallOwner(ctx, "key", placement.Preference{}, "method", message, message, policy)
}

var (
	errNotSent = fmt.Errorf("refused: %w", peer.ErrNotSent)
	errLost    = fmt.Errorf("reset: %w", peer.ErrLost)
)

// TestCallOwnerRetriesAndErrors checks which errors are retried and which error is returned. An attempt that may have had effect must
// not be reported as a refusal or as not sent.
func TestCallOwnerRetriesAndErrors(t *testing.T) {
	unsafe, idempotent := Policy{}, Policy{Idempotent: true}
	tests := []struct {
		name     string
		script   []error
		policy   Policy
		attempts int
		want     error
		code     peer.Code
	}{
		{name: "success", script: []error{nil}, attempts: 1},
		{name: "not sent is retried", script: []error{errNotSent, errNotSent, nil}, attempts: 3},
		{name: "not ready is retried", script: []error{refuse(peer.CodeNotReady), nil}, attempts: 2},
		{name: "not owner is retried", script: []error{redirect(""), nil}, attempts: 2},
		{name: "lost ends an unsafe call", script: []error{errLost, nil}, policy: unsafe, attempts: 1, want: peer.ErrLost},
		{name: "lost is retried if idempotent", script: []error{errLost, nil}, policy: idempotent, attempts: 2},
		{
			name: "lost after not sent is lost", script: []error{errNotSent, errLost, nil},
			policy: unsafe, attempts: 2, want: peer.ErrLost,
		},
		{
			name: "a refusal does not hide an earlier loss", script: []error{errLost, refuse(peer.CodeInvalid)},
			policy: idempotent, attempts: 2, want: peer.ErrLost,
		},
		{
			name: "not sent does not hide an earlier loss", script: []error{errLost, errNotSent},
			policy: Policy{Idempotent: true, MaxAttempts: 3}, attempts: 3, want: peer.ErrLost,
		},
		{
			name: "not sent does not hide an uncertain answer", script: []error{refuse(peer.CodeUncertain), errNotSent},
			policy: Policy{Idempotent: true, MaxAttempts: 2}, attempts: 2, want: peer.ErrLost,
		},
		{name: "an unknown error counts as lost", script: []error{io.ErrUnexpectedEOF}, attempts: 1, want: peer.ErrLost},
		{name: "uncertain ends an unsafe call", script: []error{refuse(peer.CodeUncertain)}, attempts: 1, code: peer.CodeUncertain},
		{name: "invalid is final", script: []error{refuse(peer.CodeInvalid)}, policy: idempotent, attempts: 1, code: peer.CodeInvalid},
		{name: "internal is final", script: []error{refuse(peer.CodeInternal)}, policy: idempotent, attempts: 1, want: nil, code: peer.CodeInternal},
		{name: "attempts are bounded", script: []error{errNotSent}, policy: Policy{MaxAttempts: 4}, attempts: 4, want: peer.ErrNotSent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller := &fakeCaller{script: test.script}
				err := callKey(New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}}), test.policy)
				is.Equal(len(caller.calls), test.attempts)
				var refusal *peer.Error
				switch last := test.script[min(len(test.script), test.attempts)-1]; {
				case last == nil:
					is.NoErr(err)
				case test.want != nil:
					is.True(errors.Is(err, test.want))
					is.True(!errors.As(err, &refusal)) // callers take a refusal as proof that the call had no effect
					is.True(test.want == peer.ErrNotSent || !errors.Is(err, peer.ErrNotSent))
				default:
					is.True(errors.As(err, &refusal))
					is.Equal(refusal.Code, test.code)
				}
			})
		})
	}
}

// TestHintsAreFollowedImmediatelyAndCached checks that hints are followed without a backoff, that the owner they lead to is cached, and that
// it is evicted once it refuses as not the owner.
func TestHintsAreFollowedImmediatelyAndCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := &fakeCaller{script: []error{redirect("b"), redirect("c"), nil}}
		router := New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}})
		started := time.Now()
		is.NoErr(callKey(router, Policy{}))
		is.Equal(caller.calls, []string{"a", "b", "c"})
		is.Equal(time.Since(started), time.Duration(0))
		is.NoErr(callKey(router, Policy{}))
		is.Equal(caller.calls[3:], []string{"c"})
		caller.script = []error{redirect(""), nil}
		caller.calls = nil
		is.NoErr(callKey(router, Policy{}))
		is.Equal(caller.calls, []string{"c", "a"}) // the former owner was evicted
	})
}

// TestCyclicHintsUseBackoff checks that peers that hint at each other do not cause calls without a delay.
func TestCyclicHintsUseBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := &fakeCaller{script: []error{redirect("b"), redirect("a"), redirect("b"), redirect("a"), redirect("b")}}
		err := callWithin(New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}}), Policy{}, 3*time.Second)
		var refusal *peer.Error
		is.True(errors.As(err, &refusal))
		is.True(len(caller.calls) < 50)
	})
}

// TestOverloadedWaitsForRetryAfter checks that a retry waits for the delay that the peer set, and that the call fails without waiting if the
// deadline comes first.
func TestOverloadedWaitsForRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := &fakeCaller{script: []error{overloaded(3 * time.Second), nil}}
		is.NoErr(callKey(New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}}), Policy{}))
		is.True(caller.times[1].Sub(caller.times[0]) >= 3*time.Second)
		caller = &fakeCaller{script: []error{overloaded(time.Minute)}}
		started := time.Now()
		err := callKey(New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}}), Policy{})
		var refusal *peer.Error
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.RetryAfter, time.Minute)
		is.Equal(time.Since(started), time.Duration(0)) // the deadline is before the end of the delay
	})
}

// TestNewOwnerEndsBackoff checks that a backoff ends when placement returns another owner, but not at changes that leave the owner the same.
func TestNewOwnerEndsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		placer := &fakePlacer{}
		caller := &fakeCaller{script: []error{errNotSent, nil}}
		config := Config{Caller: caller, Placer: placer, InitialBackoff: 5 * time.Second, MaxBackoff: 5 * time.Second}
		started := time.Now()
		time.AfterFunc(time.Second, func() { placer.place("a") })
		time.AfterFunc(2*time.Second, func() { placer.place("a") }) // a change that leaves the key's owner the same
		time.AfterFunc(3*time.Second, func() { placer.place("b") })
		is.NoErr(callKey(New(config), Policy{}))
		is.Equal(caller.calls, []string{"a", "b"})
		is.Equal(caller.times[0].Sub(started), time.Second)
		is.Equal(caller.times[1].Sub(started), 3*time.Second)
		placer.place("")
		err := callKey(New(config), Policy{})
		is.True(errors.Is(err, ErrNoOwner) && errors.Is(err, peer.ErrNotSent))
	})
}

func TestTimedOutAttemptMayHaveHadEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := &fakeCaller{script: []error{nil}, latency: time.Minute}
		err := callKey(New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}}), Policy{AttemptTimeout: time.Second})
		is.True(errors.Is(err, peer.ErrLost) && errors.Is(err, context.DeadlineExceeded))
		is.Equal(len(caller.calls), 1)
		policy := Policy{AttemptTimeout: time.Second, Idempotent: true}
		is.True(errors.Is(callKey(New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}}), policy), peer.ErrLost))
		is.True(len(caller.calls) > 2)
	})
}

// TestCallsShareRetryBudget checks that the retries of all calls of a Router together stay within its budget.
func TestCallsShareRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const callers, seconds, retryRate, retryBurst = 200, 10, 20, 10
		counter := &countingCaller{}
		router := New(Config{
			Caller: counter, Placer: &fakePlacer{address: "a"}, RetryRate: retryRate, RetryBurst: retryBurst,
		})
		for range callers {
			go func() { _ = callWithin(router, Policy{}, seconds*time.Second) }()
		}
		time.Sleep(seconds * time.Second)
		synctest.Wait()
		calls := int(counter.count.Load())
		is.True(calls <= callers+retryBurst+retryRate*seconds)
		is.True(calls > callers+retryRate*seconds/2) // the budget delays retries but does not stop them
	})
}

// countingCaller fails and counts every call.
type countingCaller struct {
	fakeCaller
	count atomic.Int64
}

func (c *countingCaller) Call(context.Context, string, string, peer.Message, peer.Message) error {
	c.count.Add(1)
	return errNotSent
}
