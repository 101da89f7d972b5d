package forward

import (
	"cmp"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// retryAfter is the retry delay for a refused caller: engines free slots within fractions of a second.
	retryAfter = 250 * time.Millisecond
	// homeRetryAfter is the retry delay where a request has no engine in its regions: engines take seconds to come back.
	homeRetryAfter = time.Second
	// allLeaveRetryAfter is the retry delay where all engines of the pool leave: others need some seconds to start.
	allLeaveRetryAfter = 2 * time.Second
	// maxColdRetryAfter limits the retry delay where all engines are cold: they are cold for some seconds, and the caller may
	// reach the only sender of one of them if it retries at another process.
	maxColdRetryAfter = 2 * time.Second
)

// refusal states why a request that no engine has run is refused, and after which delay its caller should retry. The zero value
// stands for the cause of the last attempt and the default delay.
type refusal struct {
	cause      string
	retryAfter time.Duration
}

// unservable returns the refusal of a request that no engine will run soon, so that waiting for a slot is of no use. It returns
// false if an engine may run it.
func (f *Forwarder) unservable(want fleet.Want) (refusal, bool) {
	directory := f.config.Directory
	if want.Regions != nil && !directory.MayServe(want.Pool, want.Regions) {
		return refusal{causeNoHome, homeRetryAfter}, true
	}
	if directory.AllLeave(want.Pool, want.Regions) {
		return refusal{causeAllLeave, allLeaveRetryAfter}, true
	}
	if wait, allCold := directory.AllCold(want); allCold {
		return refusal{causeCold, min(max(wait, retryAfter), maxColdRetryAfter)}, true
	}
	return refusal{}, false
}

// complete completes the answer to a request that no engine has run.
func (r refusal) complete(answer Answer) Answer {
	answer.Outcome = NotRun
	answer.RetryAfter = cmp.Or(r.retryAfter, retryAfter)
	answer.Cause = cmp.Or(r.cause, answer.Cause)
	return answer
}
