package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// clientStream is the receiving end of a stream. It holds what the window lets the server send ahead, and grants more
// as the receiver takes messages.
type clientStream struct {
	callState
	context   context.Context
	stopWatch func() bool
	window    int64
	// changed holds a token when there may be something to receive.
	changed chan struct{}

	mu       sync.Mutex
	messages []*frame
	// held is the size of messages, consumed that of received messages not yet granted again.
	held     int64
	consumed int64
	// ended is what Receive returns after the messages; nil while the stream goes on.
	ended error
}

func newClientStream(ctx context.Context, method string, window int64) *clientStream {
	return &clientStream{
		callState: callState{method: method},
		context:   ctx,
		window:    window,
		changed:   make(chan struct{}, 1),
	}
}

func (s *clientStream) state() *callState { return &s.callState }

// watchContext cancels the call when its context ends.
func (s *clientStream) watchContext() {
	stop := context.AfterFunc(s.context, func() { s.cancel(s.context.Err()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		stop()
	}
	s.stopWatch = stop
}

func (s *clientStream) deliver(received *frame) error {
	switch received.header.Kind {
	case kindMessage:
		return s.hold(received)
	case kindEnd:
		received.release()
		s.finish(io.EOF)
		return nil
	case kindError:
		err := lostUnlessRefusal(decodeError(received.body))
		received.release()
		s.finish(err)
		return nil
	default:
		received.release()
		return fmt.Errorf("%w: frame of kind %d answers a stream", errProtocol, received.header.Kind)
	}
}

func (s *clientStream) hold(received *frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		received.release()
		return nil
	}
	if s.held >= s.window {
		received.release()
		return fmt.Errorf("%w: stream exceeds its window", errProtocol)
	}
	s.held += int64(received.size)
	s.messages = append(s.messages, received)
	s.signal()
	return nil
}

func (s *clientStream) fail(err error) { s.finish(err) }

// finish sets the end and frees the call; messages already here can still be received. It reports whether it was the
// first to end the stream.
func (s *clientStream) finish(err error) bool {
	if !s.markEnded(err) {
		return false
	}
	s.connection.end(&s.callState)
	return true
}

func (s *clientStream) markEnded(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		return false
	}
	s.ended = err
	if s.stopWatch != nil {
		s.stopWatch()
	}
	s.signal()
	return true
}

// signal is called with mu held.
func (s *clientStream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *clientStream) cancel(err error) {
	if s.markEnded(err) {
		s.connection.sendControl(frameHeader{Stream: s.id, Kind: kindCancel}, s.method)
		s.connection.end(&s.callState)
	}
	s.drop()
}

func (s *clientStream) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, message := range s.messages {
		message.release()
	}
	s.messages = nil
}

// Receive implements ClientStream.
func (s *clientStream) Receive(into Message) error {
	for {
		message, grant, err := s.next()
		if err != nil {
			return err
		}
		if message == nil {
			<-s.changed
			continue
		}
		if grant > 0 {
			s.connection.sendControl(frameHeader{Stream: s.id, Kind: kindCredit, Credit: grant}, s.method)
		}
		return s.decode(message, into)
	}
}

func (s *clientStream) decode(message *frame, into Message) error {
	defer message.release()
	if _, err := into.UnmarshalMsg(message.body); err != nil {
		err = fmt.Errorf("%w: undecodable message: %w", ErrLost, err)
		s.cancel(err)
		return err
	}
	return nil
}

// next takes the next message and tells how much credit to grant; without message and error there is none yet.
func (s *clientStream) next() (message *frame, grant int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.messages) == 0 {
		if s.ended != nil {
			s.signal()
		}
		return nil, 0, s.ended
	}
	message = s.messages[0]
	s.messages[0] = nil
	s.messages = s.messages[1:]
	size := int64(message.size)
	s.held -= size
	s.consumed += size
	if s.consumed >= s.window/2 && s.ended == nil {
		grant, s.consumed = s.consumed, 0
	}
	return message, grant, nil
}

// Close implements ClientStream.
func (s *clientStream) Close() error {
	s.cancel(context.Canceled)
	return nil
}
