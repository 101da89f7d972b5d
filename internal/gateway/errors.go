package gateway

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/peer"
)

// Headers with the delay after which a refused client may retry.
const (
	// RetryAfterHeader is the delay in whole seconds, rounded up.
	RetryAfterHeader = "Retry-After"
	// RetryAfterMillisHeader is the delay in milliseconds.
	RetryAfterMillisHeader = "Retry-After-Millis"
)

// connectCodes maps error codes of peers to Connect codes. Codes without an entry become CodeInternal.
var connectCodes = map[peer.Code]connect.Code{
	peer.CodeNotOwner:   connect.CodeUnavailable,
	peer.CodeNotReady:   connect.CodeUnavailable,
	peer.CodeOverloaded: connect.CodeResourceExhausted,
	peer.CodeInvalid:    connect.CodeInvalidArgument,
	peer.CodeNotFound:   connect.CodeNotFound,
	peer.CodeConflict:   connect.CodeAlreadyExists,
	peer.CodeUncertain:  connect.CodeUnavailable,
}

// connectError converts the error of a peer call to the error that is returned to the client.
func connectError(err error) error {
	var refused *peer.Error
	switch {
	case errors.As(err, &refused):
		return refusalError(refused)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return unavailable(err.Error(), notReadyRetryAfter)
	}
}

func refusalError(refused *peer.Error) error {
	code, known := connectCodes[refused.Code]
	if !known {
		code = connect.CodeInternal
	}
	retryAfter := refused.RetryAfter
	if retryAfter == 0 && (code == connect.CodeUnavailable || code == connect.CodeResourceExhausted) {
		retryAfter = notReadyRetryAfter
	}
	return withRetryAfter(connect.NewError(code, refused), retryAfter)
}

func unavailable(message string, retryAfter time.Duration) error {
	return withRetryAfter(connect.NewError(connect.CodeUnavailable, errors.New(message)), retryAfter)
}

func invalidArgument(message string) error {
	return connect.NewError(connect.CodeInvalidArgument, errors.New(message))
}

func notFound(message string) error {
	return connect.NewError(connect.CodeNotFound, errors.New(message))
}

func withRetryAfter(refused *connect.Error, retryAfter time.Duration) error {
	if retryAfter <= 0 {
		return refused
	}
	refused.Meta().Set(RetryAfterHeader, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	refused.Meta().Set(RetryAfterMillisHeader, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	return refused
}
