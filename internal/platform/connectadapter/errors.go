package connectadapter

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/hillfork/hillfork/internal/platform"
)

// sentTracker marks the errors of requests that never got a connection as platform.ErrNotSent.
type sentTracker struct {
	next http.RoundTripper
}

func (t sentTracker) RoundTrip(request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.next.RoundTrip(traced)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", platform.ErrNotSent, err)
	}
	return response, err
}

// codeErrors says which platform error a Connect code from the other side stands for. Codes that the client makes up
// itself, as for a lost connection, never count.
type codeErrors map[connect.Code]error

var (
	generateErrors = codeErrors{
		connect.CodeResourceExhausted:  platform.ErrRejected,
		connect.CodeFailedPrecondition: platform.ErrRejected,
		connect.CodeInvalidArgument:    platform.ErrRejected,
	}
	orderErrors = codeErrors{
		connect.CodeResourceExhausted:  platform.ErrThrottled,
		connect.CodeFailedPrecondition: platform.ErrStaleOrder,
	}
	weightErrors = codeErrors{
		connect.CodeResourceExhausted: platform.ErrThrottled,
	}
	importErrors = codeErrors{
		connect.CodeInvalidArgument: platform.ErrRejected,
	}
)

// wrap adds the platform error that err stands for, and the name of the call.
func (c codeErrors) wrap(call string, err error) error {
	if err == nil {
		return nil
	}
	if kind, ok := c[connect.CodeOf(err)]; ok && connect.IsWireError(err) {
		return fmt.Errorf("%s: %w: %w", call, kind, err)
	}
	return fmt.Errorf("%s: %w", call, err)
}

// wrap names the call of an error that has no platform meaning of its own.
func wrap(call string, err error) error {
	return codeErrors(nil).wrap(call, err)
}
