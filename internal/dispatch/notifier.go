package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// notifier wakes all goroutines that wait for a change. Get the channel before reading the state that may change.
type notifier struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newNotifier() *notifier {
	return &notifier{channel: make(chan struct{})}
}

func (n *notifier) changed() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.channel
}

func (n *notifier) notify() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.channel)
	n.channel = make(chan struct{})
}

// waitUntil returns nil once condition is true, or the context's error.
func (n *notifier) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		changed := n.changed()
		if condition() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// maxWatched is the maximum number of changes that one waitFor can watch.
const maxWatched = 3

// waitFor returns after the delay, at the first of at most maxWatched changes, or when the context ends.
func waitFor(ctx context.Context, delay time.Duration, changes ...<-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var watched [maxWatched]<-chan struct{}
	copy(watched[:], changes)
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-watched[0]:
	case <-watched[1]:
	case <-watched[2]:
	}
}

// jittered returns the delay multiplied by a random factor from 0.9 to 1.1.
func jittered(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.9 + 0.2*rand.Float64()))
}

// newBackoff returns the backoff between retries after consecutive failures.
func (t Timing) newBackoff() *backoff.ExponentialBackOff {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = t.RetryMin
	retryBackoff.MaxInterval = t.RetryMax
	retryBackoff.Reset()
	return retryBackoff
}
