package fault

import (
	"context"
	"errors"

	"connectrpc.com/connect"
)

// ConnectError gives err the Connect code that its kind has on the wire: CodeUnavailable for ErrUnavailable, the
// context's codes for its errors, and fallback for the rest.
func ConnectError(err error, fallback connect.Code) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return connect.NewError(fallback, err)
	}
}
