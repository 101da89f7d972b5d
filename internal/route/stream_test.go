package route

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
)

// streamCaller opens scripted streams. The script gives for each attempt the error of opening it or the results of its Receive calls.
type streamCaller struct {
	fakeCaller
	attempts []scriptedStream
	opened   int
	closed   int
}

type scriptedStream struct {
	openError error
	receives  []error
	caller    *streamCaller
}

func (c *streamCaller) Stream(context.Context, string, string, peer.Message) (peer.ClientStream, error) {
	attempt := c.attempts[c.opened]
	c.opened++
	if attempt.openError != nil {
		return nil, attempt.openError
	}
	attempt.caller = c
	return &attempt, nil
}

func (s *scriptedStream) Receive(peer.Message) error {
	err := s.receives[0]
	s.receives = s.receives[1:]
	return err
}

func (s *scriptedStream) Close() error {
	s.caller.closed++
	return nil
}

// TestStreamsAreRetriedOnlyBeforeTheFirstMessage checks when a failed stream is reopened, which error is returned, and that streams are
// closed.
func TestStreamsAreRetriedOnlyBeforeTheFirstMessage(t *testing.T) {
	failing := func(err error) scriptedStream { return scriptedStream{receives: []error{err}} }
	complete := scriptedStream{receives: []error{nil, nil, io.EOF}}
	tests := []struct {
		name     string
		attempts []scriptedStream
		policy   Policy
		messages int
		opened   int
		want     error
	}{
		{name: "whole", attempts: []scriptedStream{complete}, messages: 2, opened: 1, want: io.EOF},
		{name: "empty", attempts: []scriptedStream{failing(io.EOF)}, opened: 1, want: io.EOF},
		{name: "not opened", attempts: []scriptedStream{{openError: errNotSent}, complete}, messages: 2, opened: 2, want: io.EOF},
		{name: "refused", attempts: []scriptedStream{failing(redirect("b")), complete}, messages: 2, opened: 2, want: io.EOF},
		{name: "lost before the first", attempts: []scriptedStream{failing(errLost), complete}, opened: 1, want: peer.ErrLost},
		{
			name: "lost before the first, idempotent", attempts: []scriptedStream{failing(errLost), complete},
			policy: Policy{Idempotent: true}, messages: 2, opened: 2, want: io.EOF,
		},
		{
			name:     "lost after the first, idempotent",
			attempts: []scriptedStream{{receives: []error{nil, errLost}}, complete},
			policy:   Policy{Idempotent: true}, messages: 1, opened: 1, want: peer.ErrLost,
		},
		{
			name:     "not sent does not hide an earlier loss",
			attempts: []scriptedStream{failing(errLost), {openError: errNotSent}},
			policy:   Policy{Idempotent: true, MaxAttempts: 2}, opened: 2, want: peer.ErrLost,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller := &streamCaller{attempts: test.attempts}
				router := New(Config{Caller: caller, Placer: &fakePlacer{address: "a"}})
				message := &peerapi.Drain{}
				stream, err := router.StreamOwner(t.Context(), "key", placement.Preference{}, "method", message, test.policy)
				is.NoErr(err)
				messages := 0
				for err = stream.Receive(message); err == nil; err = stream.Receive(message) {
					messages++
				}
				is.NoErr(stream.Close())
				is.Equal(messages, test.messages)
				is.Equal(caller.opened, test.opened)
				is.True(errors.Is(err, test.want))
				is.True(!errors.Is(err, peer.ErrNotSent))
				is.True(caller.closed > 0) // no stream is left open
			})
		})
	}
}
