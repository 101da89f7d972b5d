// Package correlate sends HTTP requests over kept connections and finds out whether an answer belongs to its request. A peer may send
// an extra answer late, in the place where the next answer on the connection is expected. The id that it repeats tells it from the
// answers to other requests, but not from those to other sends of the same request. So no request is sent over a connection that
// has carried its id a short time before.
package correlate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// ErrOtherAnswer means that the answer belongs to another request. The request may have run.
var ErrOtherAnswer = errors.New("answer belongs to another request")

// Request is a request whose answer has to be recognized.
type Request struct {
	// ID is the id that the peer repeats in its answer, empty for a request without one. Requests without an id count as having the
	// same one.
	ID string
	// AcceptStale reports that an answer to an earlier request without an id may be taken for the answer to this one. Such a request is
	// sent over any connection.
	AcceptStale bool
	// Build returns the HTTP request, with a body that was not read yet. It is called once for each connection that is tried.
	Build func() (*http.Request, error)
}

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	next     http.RoundTripper
	idHeader string
}

// New returns a transport that sends by next. The peer repeats the id of a request in the header idHeader of its answer. If next is an
// *http.Transport, Prepare must have been called for it.
func New(next http.RoundTripper, idHeader string) *Transport {
	return &Transport{next: next, idHeader: idHeader}
}

// Prepare makes a transport that has not been used yet remember which ids its connections have carried.
func Prepare(transport *http.Transport) {
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
}

// Do sends a request and returns its answer. It fails with ErrOtherAnswer, or with an error of Build or of the transport.
func (t *Transport) Do(request Request) (*http.Response, error) {
	for {
		built, err := request.Build()
		if err != nil {
			return nil, err
		}
		sent := &send{request: &request}
		answer, err := t.next.RoundTrip(built.WithContext(httptrace.WithClientTrace(built.Context(), &httptrace.ClientTrace{GotConn: sent.connected})))
		switch {
		case sent.unwritten():
			// The connection did not take the request, and was closed. An answer that came all the same is not the request's.
			if err == nil {
				_ = answer.Body.Close()
			}
		case err != nil:
			return nil, err
		case answer.Header.Get(t.idHeader) != request.ID:
			sent.retire()
			_ = answer.Body.Close()
			return nil, ErrOtherAnswer
		default:
			return answer, nil
		}
	}
}

// send is one attempt to send a request. The transport calls connected before RoundTrip returns.
type send struct {
	request *Request
	// conn is the connection that the request got last, nil if none is known; use is the number of that use of it.
	conn *conn
	use  int
}

// connected notes the connection that the request got.
func (s *send) connected(info httptrace.GotConnInfo) {
	s.conn, _ = info.Conn.(*conn)
	if s.conn != nil {
		s.use = s.conn.begin(s.request)
	}
}

// unwritten reports whether nothing of the request was written because its connection takes no more requests.
func (s *send) unwritten() bool {
	return s.conn != nil && s.conn.unwritten(s.use)
}

// retire keeps further requests from the connection.
func (s *send) retire() {
	if s.conn != nil {
		s.conn.retire(s.use)
	}
}
