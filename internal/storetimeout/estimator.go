// Package storetimeout limits the duration of calls to the store by its recent response times, as TCP does with its
// retransmission timeout (RFC 6298). A store that loses an answer sends nothing further on that connection; a caller that waited
// as long as the slowest store may take would be blocked for seconds after each lost answer. The package does not retry calls.
package storetimeout

import (
	"sync"
	"time"
)

const (
	// minTimeout and maxTimeout limit the timeout; initialTimeout is used before the first answer.
	minTimeout     = 120 * time.Millisecond
	maxTimeout     = 2 * time.Second
	initialTimeout = 700 * time.Millisecond
	// smoothedGain and variationGain are the gains of the smoothed response time and of its variation; variationFactor is the
	// multiple of the variation that is added to the smoothed time (RFC 6298, section 2).
	smoothedGain    = 0.125
	variationGain   = 0.25
	variationFactor = 4
)

// estimator tracks the response times of a kind of call.
type estimator struct {
	mutex     sync.Mutex
	smoothed  time.Duration
	variation time.Duration
	// backoff is the number of calls that timed out since the last answer; each one doubles the timeout.
	backoff uint
}

// timeout returns the timeout of a call that is sent now.
func (e *estimator) timeout() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return min(maxTimeout, e.base()<<e.backoff)
}

// base returns the timeout without backoff. The caller must hold mutex.
func (e *estimator) base() time.Duration {
	if e.smoothed == 0 {
		return initialTimeout
	}
	return max(minTimeout, e.smoothed+variationFactor*e.variation)
}

// recordAnswer updates the estimate with the response time of an answered call.
func (e *estimator) recordAnswer(elapsed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.backoff = 0
	if e.smoothed == 0 {
		e.smoothed, e.variation = elapsed, elapsed/2
		return
	}
	deviation := (elapsed - e.smoothed).Abs()
	e.variation += time.Duration(variationGain * float64(deviation-e.variation))
	e.smoothed += time.Duration(smoothedGain * float64(elapsed-e.smoothed))
}

// recordTimeout updates the backoff after a call timed out whose timeout was allowed. Many calls may time out together; the
// backoff increases only if the call had been sent with at least the current timeout.
func (e *estimator) recordTimeout(allowed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if current := e.base() << e.backoff; current <= allowed && current < maxTimeout {
		e.backoff++
	}
}
