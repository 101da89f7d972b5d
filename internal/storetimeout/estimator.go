// Package storetimeout bounds the calls to the store by how long it has lately taken to answer, as TCP bounds its
// retransmissions (RFC 6298). A store that loses an answer says nothing further on that connection; a caller that waited for
// the longest time that a slow store may take would stand still for seconds after each. It repeats nothing.
package storetimeout

import (
	"sync"
	"time"
)

const (
	// least and most bound the timeout, initial is the one before the first answer.
	least   = 120 * time.Millisecond
	most    = 2 * time.Second
	initial = 700 * time.Millisecond
	// gains of the smoothed time and its variation, and how many variations are allowed for (RFC 6298, section 2).
	gain          = 0.125
	variationGain = 0.25
	variations    = 4
)

// estimator tracks how long answers take.
type estimator struct {
	mutex     sync.Mutex
	smoothed  time.Duration
	variation time.Duration
	// backoff doubles the timeout for each call that timed out since the last answer.
	backoff uint
}

// timeout returns how long to wait for an answer now.
func (e *estimator) timeout() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return min(most, e.base()<<e.backoff)
}

// base returns the timeout without backoff. The mutex must be held.
func (e *estimator) base() time.Duration {
	if e.smoothed == 0 {
		return initial
	}
	return max(least, e.smoothed+variations*e.variation)
}

// answered takes the time that an answer took.
func (e *estimator) answered(took time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.backoff = 0
	if e.smoothed == 0 {
		e.smoothed, e.variation = took, took/2
		return
	}
	deviation := (took - e.smoothed).Abs()
	e.variation += time.Duration(variationGain * float64(deviation-e.variation))
	e.smoothed += time.Duration(gain * float64(took-e.smoothed))
}

// expired takes that a call timed out. Many calls may time out together; each timeout counts for the calls after it only.
func (e *estimator) expired(allowed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if current := e.base() << e.backoff; current <= allowed && current < most {
		e.backoff++
	}
}
