package peer

import (
	"context"
	"fmt"
)

// unaryResult is the result of a unary call: a frame or an error.
type unaryResult struct {
	frame *frame
	err   error
}

// unaryCall waits for one response.
type unaryCall struct {
	callState
	// done receives the first result; later ones are dropped.
	done chan unaryResult
}

func newUnaryCall(method string) *unaryCall {
	return &unaryCall{callState: callState{method: method}, done: make(chan unaryResult, 1)}
}

func (u *unaryCall) state() *callState { return &u.callState }

func (u *unaryCall) deliver(received *frame) error {
	kind := received.header.Kind
	if kind != kindResponse && kind != kindError {
		received.release()
		return fmt.Errorf("%w: frame of kind %d in response to a unary call", errProtocol, kind)
	}
	u.finish(unaryResult{frame: received})
	return nil
}

func (u *unaryCall) fail(err error) { u.finish(unaryResult{err: err}) }

func (u *unaryCall) finish(result unaryResult) {
	select {
	case u.done <- result:
	default:
	}
}

func (u *unaryCall) wait(ctx context.Context, response Message) error {
	select {
	case result := <-u.done:
		return result.decode(response)
	case <-ctx.Done():
		return u.abandon(ctx, response)
	}
}

// abandon cancels the call, unless its response has arrived in the meantime.
func (u *unaryCall) abandon(ctx context.Context, response Message) error {
	select {
	case result := <-u.done:
		return result.decode(response)
	default:
		u.connection.sendControl(frameHeader{Stream: u.id, Kind: kindCancel}, u.method)
		return ctx.Err()
	}
}

func (r unaryResult) decode(response Message) error {
	if r.err != nil {
		return r.err
	}
	defer r.frame.release()
	if r.frame.header.Kind == kindError {
		return refusalOrLost(decodeError(r.frame.body))
	}
	if _, err := response.UnmarshalMsg(r.frame.body); err != nil {
		return fmt.Errorf("%w: undecodable response: %w", ErrLost, err)
	}
	return nil
}

// refusalOrLost returns an *Error unchanged. Any other error means that the response could not be decoded; it is
// wrapped with ErrLost, since the effect of the call is unknown.
func refusalOrLost(err error) error {
	if refusal, ok := err.(*Error); ok {
		return refusal
	}
	return fmt.Errorf("%w: undecodable error response: %w", ErrLost, err)
}
