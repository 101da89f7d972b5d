package route

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
)

// StreamOwner sends request to the owner of key and returns the stream of responses. It retries as CallOwner does, both when
// the stream is opened and inside the first Receive, until the first message has arrived. Until then the errors are those
// of CallOwner; after that they are those of the stream itself. policy.AttemptTimeout has no effect.
//
// The stream must be closed. It may be closed while Receive runs.
func (r *Router) StreamOwner(
	ctx context.Context,
	key string,
	preference placement.Preference,
	method string,
	request peer.Message,
	policy Policy,
) (peer.ClientStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream := &ownerStream{
		ctx:     ctx,
		cancel:  cancel,
		call:    r.newCall(key, preference, method, policy),
		request: request,
	}
	if err := stream.open(); err != nil {
		cancel()
		return nil, err
	}
	return stream, nil
}

// ownerStream is a stream that is reopened after errors until its first message. Only the receiving goroutine may access
// call, address and started; the mutex guards inner and closed.
type ownerStream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	call    *call
	request peer.Message
	address string
	started bool

	mutex  sync.Mutex
	inner  peer.ClientStream
	closed bool
}

// open opens the stream, retrying as the policy allows.
func (s *ownerStream) open() error {
	for {
		address, err := s.call.begin(s.ctx)
		var inner peer.ClientStream
		if err == nil {
			inner, err = s.call.router.config.Caller.Stream(s.ctx, address, s.call.method, s.request)
		}
		if err == nil {
			s.address = address
			s.replace(inner)
			return nil
		}
		if !s.call.prepareRetry(s.ctx, address, err) {
			return s.call.result(s.ctx)
		}
	}
}

// replace sets the inner stream. It closes the new stream if Close was called before.
func (s *ownerStream) replace(inner peer.ClientStream) {
	s.mutex.Lock()
	s.inner = inner
	closed := s.closed
	s.mutex.Unlock()
	if closed {
		_ = inner.Close()
	}
}

func (s *ownerStream) current() peer.ClientStream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.inner
}

// Receive fills into with the next message. It returns io.EOF after the last one.
func (s *ownerStream) Receive(into peer.Message) error {
	for {
		inner := s.current()
		err := inner.Receive(into)
		if s.started {
			return err
		}
		if err == nil || errors.Is(err, io.EOF) {
			s.started = true
			s.call.succeeded(s.address)
			return err
		}
		_ = inner.Close()
		if !s.call.prepareRetry(s.ctx, s.address, err) {
			s.started = true
			return s.call.result(s.ctx)
		}
		if err := s.open(); err != nil {
			s.started = true
			return err
		}
	}
}

// Close closes the stream, so that the peer stops sending, and ends a Receive that is waiting.
func (s *ownerStream) Close() error {
	s.mutex.Lock()
	s.closed = true
	inner := s.inner
	s.mutex.Unlock()
	s.cancel()
	return inner.Close()
}
