package peer

import (
	"context"
	"fmt"
)

// answer is the end of a unary call: a frame or an error.
type answer struct {
	frame *frame
	err   error
}

// unaryCall waits for one answer.
type unaryCall struct {
	callState
	// done holds the first answer; later ones are dropped.
	done chan answer
}

func newUnaryCall(method string) *unaryCall {
	return &unaryCall{callState: callState{method: method}, done: make(chan answer, 1)}
}

func (u *unaryCall) state() *callState { return &u.callState }

func (u *unaryCall) deliver(received *frame) error {
	kind := received.header.Kind
	if kind != kindResponse && kind != kindError {
		received.release()
		return fmt.Errorf("%w: frame of kind %d answers a unary call", errProtocol, kind)
	}
	u.finish(answer{frame: received})
	return nil
}

func (u *unaryCall) fail(err error) { u.finish(answer{err: err}) }

func (u *unaryCall) finish(with answer) {
	select {
	case u.done <- with:
	default:
	}
}

func (u *unaryCall) wait(ctx context.Context, response Message) error {
	select {
	case got := <-u.done:
		return got.decode(response)
	case <-ctx.Done():
		return u.giveUp(ctx, response)
	}
}

// giveUp cancels the call, unless its answer has come just now.
func (u *unaryCall) giveUp(ctx context.Context, response Message) error {
	select {
	case got := <-u.done:
		return got.decode(response)
	default:
		u.connection.sendControl(frameHeader{Stream: u.id, Kind: kindCancel}, u.method)
		return ctx.Err()
	}
}

func (a answer) decode(response Message) error {
	if a.err != nil {
		return a.err
	}
	defer a.frame.release()
	if a.frame.header.Kind == kindError {
		return lostUnlessRefusal(decodeError(a.frame.body))
	}
	if _, err := response.UnmarshalMsg(a.frame.body); err != nil {
		return fmt.Errorf("%w: undecodable response: %w", ErrLost, err)
	}
	return nil
}

// lostUnlessRefusal passes an *Error on; an answer that cannot be read leaves the effect unknown.
func lostUnlessRefusal(err error) error {
	if refusal, ok := err.(*Error); ok {
		return refusal
	}
	return fmt.Errorf("%w: undecodable refusal: %w", ErrLost, err)
}
