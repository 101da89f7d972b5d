package peer

import (
	"context"
	"errors"
	"sync"
)

// run executes the handler of the call, sends the response and ends the call.
func (s *serverCall) run(request *frame) {
	defer s.connection.endCall(s)
	decode := func(into Message) error {
		if _, err := into.UnmarshalMsg(request.body); err != nil {
			return &Error{Code: CodeInvalid, Message: "undecodable request: " + err.Error()}
		}
		return nil
	}
	if s.entry.unary != nil {
		response, err := s.entry.unary(s.context, decode)
		request.release()
		s.respond(kindResponse, response, err)
		return
	}
	err := s.entry.stream(s.context, decode, s)
	request.release()
	s.respond(kindEnd, nil, err)
}

// respond sends the last frame of the call. It waits for space in the queue until the connection closes, and not only
// until the call's deadline, so that a response is sent even if the deadline has just passed.
func (s *serverCall) respond(kind frameKind, response Message, err error) {
	header := frameHeader{Stream: s.id, Kind: kind}
	if err == nil {
		err = s.connection.send(s.connection.context, header, s.entry.method, response, nil)
		if err == nil || s.connection.context.Err() != nil || errors.Is(err, errQueueStopped) {
			return
		}
	}
	header.Kind = kindError
	// If this fails, the connection is closed and the caller has already lost the call.
	_ = s.connection.send(s.connection.context, header, s.entry.method, toWire(refusalOf(err)), nil)
}

// refusalOf converts an error to the *Error that is sent to the caller.
func refusalOf(err error) *Error {
	var refusal *Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return &Error{Code: CodeUncertain, Message: err.Error()}
	default:
		return &Error{Code: CodeInternal, Message: err.Error()}
	}
}

// Send implements ServerStream. It waits while the receiver's window is exhausted.
func (s *serverCall) Send(message Message) error {
	if err := s.window.wait(s.context); err != nil {
		return err
	}
	encoder := newEncoder()
	defer encoder.release()
	encoded, err := encoder.encode(frameHeader{Stream: s.id, Kind: kindMessage}, "", message)
	if err != nil {
		return err
	}
	s.window.consume(int64(len(encoded)))
	if err := s.connection.writer.enqueue(s.context, encoded, nil); err != nil {
		return err
	}
	s.connection.observer.PeerBytes(s.entry.method, len(encoded), 0)
	return nil
}

// sendWindow is the number of bytes that the receiver of a stream still accepts. A message may make it negative, so
// that a message larger than the window can be sent.
type sendWindow struct {
	mu     sync.Mutex
	credit int64
	// changed holds a token after credit was granted.
	changed chan struct{}
}

func newSendWindow(credit int64) *sendWindow {
	return &sendWindow{credit: credit, changed: make(chan struct{}, 1)}
}

func (w *sendWindow) wait(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		if w.hasCredit() {
			return nil
		}
		select {
		case <-w.changed:
		case <-ctx.Done():
		}
	}
}

func (w *sendWindow) hasCredit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.credit > 0
}

func (w *sendWindow) consume(bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.credit -= bytes
}

func (w *sendWindow) grant(bytes int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.credit += bytes
	select {
	case w.changed <- struct{}{}:
	default:
	}
}
