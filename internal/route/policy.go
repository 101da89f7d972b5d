// Package route calls the owner of a key. It finds the owner by what peers hinted last, or else by placement; follows
// hints when the owner has moved; and retries what is safe to retry, with backoff and under a budget shared by all calls
// of a process.
package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
)

// ErrNoOwner says that placement knows no member that could own the key. It is returned wrapped together with
// peer.ErrNotSent.
var ErrNoOwner = errors.New("no member is alive to own the key")

// Policy tells how a call may be retried.
type Policy struct {
	// Idempotent says that the call may be repeated after an attempt that may have had effect.
	Idempotent bool
	// MaxAttempts bounds the attempts, the first included; 0 leaves the bound to the context.
	MaxAttempts int
	// AttemptTimeout bounds one attempt of CallOwner; 0 leaves the bound to the context. An attempt that times out may
	// have had effect.
	AttemptTimeout time.Duration
	// FollowOnly gives every refusal but a hint at the owner to the caller at once, for a caller that has somewhere else to
	// go.
	FollowOnly bool
}

// UncertainError says that a call may have had effect at some attempt, although no answer tells so. It wraps
// peer.ErrLost, and the context's error where that ended the call, but no refusal: a refusal of the last attempt says
// nothing about those before it.
type UncertainError struct {
	Method   string
	Key      string
	Attempts int
	// Last is how the last attempt ended.
	Last error
}

// Error tells the call and how its last attempt ended.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s for %q may have had effect after %d attempts: %v", e.Method, e.Key, e.Attempts, e.Last)
}

// Unwrap lets errors.Is find peer.ErrLost and the context's errors.
func (e *UncertainError) Unwrap() []error {
	wrapped := []error{peer.ErrLost}
	for _, contextError := range []error{context.Canceled, context.DeadlineExceeded} {
		if errors.Is(e.Last, contextError) {
			wrapped = append(wrapped, contextError)
		}
	}
	return wrapped
}

// action is what to do after a failed attempt.
type action uint8

const (
	// actionFail gives the error to the caller.
	actionFail action = iota
	// actionFollow calls the hinted owner at once.
	actionFollow
	// actionRetry tries again after a pause.
	actionRetry
)

// decision is the judgement of one failed attempt.
type decision struct {
	action action
	// mayHaveRun says that the attempt may have had effect.
	mayHaveRun bool
	// evictOwner says that the address is not known to own the key any more.
	evictOwner bool
	// hint is the address of the owner, where the refusal named it.
	hint string
	// wait is the least pause before the next attempt.
	wait time.Duration
}

// decide decides what follows from a failed attempt. It is a pure function.
func decide(err error, idempotent bool) decision {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return decideRefusal(refusal, idempotent)
	}
	if errors.Is(err, peer.ErrNotSent) {
		return decision{action: actionRetry, evictOwner: true}
	}
	// Lost contact, and everything else that does not prove that nothing was sent.
	result := decision{mayHaveRun: true, evictOwner: true}
	if idempotent {
		result.action = actionRetry
	}
	return result
}

func decideRefusal(refusal *peer.Error, idempotent bool) decision {
	switch refusal.Code {
	case peer.CodeNotOwner:
		if refusal.OwnerHint != "" {
			return decision{action: actionFollow, evictOwner: true, hint: refusal.OwnerHint}
		}
		return decision{action: actionRetry, evictOwner: true, wait: refusal.RetryAfter}
	case peer.CodeNotReady:
		return decision{action: actionRetry, evictOwner: true, wait: refusal.RetryAfter}
	case peer.CodeOverloaded:
		return decision{action: actionRetry, wait: refusal.RetryAfter}
	case peer.CodeUncertain:
		if idempotent {
			return decision{action: actionRetry, mayHaveRun: true, wait: refusal.RetryAfter}
		}
		return decision{mayHaveRun: true}
	case peer.CodeInternal:
		return decision{mayHaveRun: true}
	default:
		return decision{}
	}
}
