// Package route calls the owner of a key. It finds the owner by the last hint of a peer, or else by placement. It follows
// hints when the owner has moved, and retries what is safe to retry, with backoff and under a retry budget that all calls
// of a Router share.
package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
)

// ErrNoOwner means that placement has no member that could own the key. It is returned wrapped together with
// peer.ErrNotSent.
var ErrNoOwner = errors.New("no member is alive to own the key")

// Policy defines how a call may be retried.
type Policy struct {
	// Idempotent allows the call to be repeated after an attempt that may have had effect.
	Idempotent bool
	// MaxAttempts limits the attempts, the first included. 0 sets no limit besides the context.
	MaxAttempts int
	// AttemptTimeout limits one attempt of CallOwner. 0 sets no limit besides the context. An attempt that times out may
	// have had effect.
	AttemptTimeout time.Duration
	// FollowOnly follows hints to the owner but returns every other refusal without a retry, for callers that can call
	// another member instead.
	FollowOnly bool
}

// UncertainError means that some attempt of a call may have had effect although no response confirms it. It wraps
// peer.ErrLost, and the context's error if that ended the call. It wraps no refusal, since a refusal of the last attempt
// says nothing about the attempts before it.
type UncertainError struct {
	Method   string
	Key      string
	Attempts int
	// Last is the error of the last attempt.
	Last error
}

// Error describes the call and the error of its last attempt.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s for %q may have had effect after %d attempts: %v", e.Method, e.Key, e.Attempts, e.Last)
}

// Unwrap returns peer.ErrLost and the context errors that Last wraps.
func (e *UncertainError) Unwrap() []error {
	wrapped := []error{peer.ErrLost}
	for _, contextError := range []error{context.Canceled, context.DeadlineExceeded} {
		if errors.Is(e.Last, contextError) {
			wrapped = append(wrapped, contextError)
		}
	}
	return wrapped
}

// action is the next step after a failed attempt.
type action uint8

const (
	// actionFail returns the error to the caller.
	actionFail action = iota
	// actionFollow calls the hinted owner without a delay.
	actionFollow
	// actionRetry makes another attempt after a backoff.
	actionRetry
)

// decision is the result of classifying one failed attempt.
type decision struct {
	action action
	// mayHaveRun is set if the attempt may have had effect.
	mayHaveRun bool
	// evictOwner removes the called address from the owner cache, since it may not own the key.
	evictOwner bool
	// hint is the address of the owner if the refusal contains it, else empty.
	hint string
	// wait is the minimum delay before the next attempt.
	wait time.Duration
}

// decide returns what to do after a failed attempt. It is a pure function.
func decide(err error, idempotent bool) decision {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return decideRefusal(refusal, idempotent)
	}
	if errors.Is(err, peer.ErrNotSent) {
		return decision{action: actionRetry, evictOwner: true}
	}
	// peer.ErrLost, and every other error that does not prove that nothing was sent.
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
