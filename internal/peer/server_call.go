package peer

import (
	"context"
	"errors"
	"sync"
)

// run answers the call and counts it out.
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
		s.answer(kindResponse, response, err)
		return
	}
	err := s.entry.stream(s.context, decode, s)
	request.release()
	s.answer(kindEnd, nil, err)
}

// answer sends the last frame of the call. It waits for room in the queue as long as the connection lives, so that a
// deadline that has just passed does not hide an answer.
func (s *serverCall) answer(kind frameKind, response Message, err error) {
	header := frameHeader{Stream: s.id, Kind: kind}
	if err == nil {
		err = s.connection.send(s.connection.context, header, s.entry.method, response, nil)
		if err == nil || s.connection.context.Err() != nil || errors.Is(err, errQueueStopped) {
			return
		}
	}
	header.Kind = kindError
	// The connection is gone when this fails, and with it the caller.
	_ = s.connection.send(s.connection.context, header, s.entry.method, toWire(refusalOf(err)), nil)
}

// refusalOf is the error as the caller sees it.
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

// Send implements ServerStream. It waits while the receiver's window is used up.
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
	s.window.take(int64(len(encoded)))
	if err := s.connection.writer.enqueue(s.context, encoded, nil); err != nil {
		return err
	}
	s.connection.observer.PeerBytes(s.entry.method, len(encoded), 0)
	return nil
}

// sendWindow is how much the receiver of a stream still takes. A message may overdraw it, so that one larger than the
// window passes.
type sendWindow struct {
	mu     sync.Mutex
	credit int64
	// changed holds a token when credit was granted.
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
		if w.open() {
			return nil
		}
		select {
		case <-w.changed:
		case <-ctx.Done():
		}
	}
}

func (w *sendWindow) open() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.credit > 0
}

func (w *sendWindow) take(bytes int64) {
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
