package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// clientStream is the receiving end of a stream. It buffers the messages that the server sends ahead within the window,
// and grants more credit as messages are received.
type clientStream struct {
	callState
	context   context.Context
	stopWatch func() bool
	window    int64
	// changed holds a token if Receive may have a message or an end to return.
	changed chan struct{}

	mu       sync.Mutex
	messages []*frame
	// bufferedBytes is the size of messages; consumedBytes is the size of the received messages for which no new credit
	// has been granted yet.
	bufferedBytes int64
	consumedBytes int64
	// endErr is the error that Receive returns after the last message; nil while the stream is open.
	endErr error
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

// watchContext cancels the call when the stream's context ends.
func (s *clientStream) watchContext() {
	stop := context.AfterFunc(s.context, func() { s.cancel(s.context.Err()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil {
		stop()
	}
	s.stopWatch = stop
}

func (s *clientStream) deliver(received *frame) error {
	switch received.header.Kind {
	case kindMessage:
		return s.buffer(received)
	case kindEnd:
		received.release()
		s.finish(io.EOF)
		return nil
	case kindError:
		err := refusalOrLost(decodeError(received.body))
		received.release()
		s.finish(err)
		return nil
	default:
		received.release()
		return fmt.Errorf("%w: frame of kind %d in response to a stream", errProtocol, received.header.Kind)
	}
}

func (s *clientStream) buffer(received *frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endErr != nil {
		received.release()
		return nil
	}
	if s.bufferedBytes >= s.window {
		received.release()
		return fmt.Errorf("%w: stream exceeds its window", errProtocol)
	}
	s.bufferedBytes += int64(received.size)
	s.messages = append(s.messages, received)
	s.signal()
	return nil
}

func (s *clientStream) fail(err error) { s.finish(err) }

// finish records the end of the stream and unregisters the call; messages that have already arrived can still be
// received. It reports whether this call ended the stream.
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
	if s.endErr != nil {
		return false
	}
	s.endErr = err
	if s.stopWatch != nil {
		s.stopWatch()
	}
	s.signal()
	return true
}

// signal wakes a waiting Receive. It must be called with mu held.
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
	s.discardMessages()
}

func (s *clientStream) discardMessages() {
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

// next removes and returns the next message and the credit to grant. If message and err are both nil, no message has
// arrived yet.
func (s *clientStream) next() (message *frame, grant int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.messages) == 0 {
		if s.endErr != nil {
			s.signal()
		}
		return nil, 0, s.endErr
	}
	message = s.messages[0]
	s.messages[0] = nil
	s.messages = s.messages[1:]
	size := int64(message.size)
	s.bufferedBytes -= size
	s.consumedBytes += size
	if s.consumedBytes >= s.window/2 && s.endErr == nil {
		grant, s.consumedBytes = s.consumedBytes, 0
	}
	return message, grant, nil
}

// Close implements ClientStream.
func (s *clientStream) Close() error {
	s.cancel(context.Canceled)
	return nil
}
