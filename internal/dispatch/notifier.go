package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// notifier wakes all who wait for a change. Take the channel before looking at what may change.
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

// waitUntil returns once holds is true, or with the context's error.
func (n *notifier) waitUntil(ctx context.Context, holds func() bool) error {
	for {
		changed := n.changed()
		if holds() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// maxWatched is how many changes one waitFor can watch.
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

// jittered spreads a delay by a fifth around itself.
func jittered(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (0.9 + 0.2*rand.Float64()))
}

// newBackoff returns the pauses after failures in a row.
func (t Timing) newBackoff() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = t.RetryMin
	pauses.MaxInterval = t.RetryMax
	pauses.Reset()
	return pauses
}
