package correlate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
)

// recentRequests is the number of requests over a connection that it remembers. An extra answer comes in the place of one of the next
// answers.
const recentRequests = 16

// errClosed is returned for a connection that was opened after its request had ended.
var errClosed = errors.New("request has ended")

// lane is one connection to a host, with the http.Transport that opens it and sends one request at a time over it.
type lane struct {
	transport *Transport
	host      string
	next      http.RoundTripper

	// The fields below are guarded by the mutex of transport.

	// recent holds the last requests, of which there were uses.
	recent [recentRequests]Identity
	uses   int
	// isParked is set once the connection is ready for the next request, as far as next knows, and isAccepted once the answer to the
	// current request was found to be its own.
	isParked, isAccepted bool
	// conn is nil while the connection is not open. ended is set once it must not be opened any more.
	conn  *conn
	ended bool
}

func newLane(transport *Transport, host string) *lane {
	l := &lane{transport: transport, host: host, next: transport.next}
	template, ok := transport.next.(*http.Transport)
	if !ok {
		return l
	}
	own := template.Clone()
	dial := own.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	own.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.opened(opened)
	}
	l.next = own
	return l
}

// begin notes a request that is sent over the connection. The mutex of the transport must be held.
func (l *lane) begin(identity Identity) {
	l.recent[l.uses%recentRequests] = identity
	l.uses++
	l.isParked, l.isAccepted = false, false
}

// mistakes reports whether the answer to one of the last requests could be taken for the answer to another one. The mutex of the
// transport must be held.
func (l *lane) mistakes(identity Identity) bool {
	return slices.ContainsFunc(l.recent[:min(l.uses, recentRequests)], identity.mistakable)
}

// opened notes the connection, and closes it if its request has ended.
func (l *lane) opened(opened net.Conn) (net.Conn, error) {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	if l.ended {
		_ = opened.Close()
		return nil, errClosed
	}
	l.conn = &conn{Conn: opened, lane: l}
	return l.conn, nil
}

// closed notes that a connection was closed, and reports whether a request was under way on it.
func (l *lane) closed(closed *conn) (abandoned bool) {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	if l.conn != closed {
		return false
	}
	l.conn = nil
	isIdle := slices.Contains(l.transport.idle[l.host], l)
	l.transport.remove(l)
	return !isIdle && !l.isParked
}

// close closes the connection, or keeps it from being opened.
func (l *lane) close() {
	l.transport.mutex.Lock()
	opened := l.conn
	l.ended = true
	l.transport.mutex.Unlock()
	if opened != nil {
		_ = opened.Close()
	}
}

// conn is the connection of a lane.
type conn struct {
	net.Conn
	lane *lane
}

// Close closes the connection, which is not used any more. If a request was under way, the connection is reset: what a partition of the
// network holds up of an abandoned request must not arrive once the partition has ended.
func (c *conn) Close() error {
	if c.lane.closed(c) {
		reset(c.Conn)
	}
	return c.Conn.Close()
}

// reset has a connection reset when it is closed, if it is one of TCP.
func reset(opened net.Conn) {
	for opened != nil {
		if tcp, ok := opened.(interface{ SetLinger(seconds int) error }); ok {
			_ = tcp.SetLinger(0)
			return
		}
		carried, ok := opened.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		opened = carried.NetConn()
	}
}

// NetConn returns the connection that carries this one.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}
