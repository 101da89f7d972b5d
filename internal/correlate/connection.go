package correlate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/answercheck"
)

// recentRequests is the number of requests over a connection that it remembers. An extra answer comes in the place of one of the next
// answers.
const recentRequests = 16

// errClosed is returned for a connection that was opened after its request had ended.
var errClosed = errors.New("request has ended")

// connection is one connection to a host, with the http.Transport that opens it, sends one request at a time over it, and replaces it if
// the host has closed it.
type connection struct {
	transport *Transport
	host      string
	next      http.RoundTripper

	// The fields below are guarded by the mutex of transport.

	// recent holds the last requests, of which there were uses.
	recent [recentRequests]Identity
	uses   int
	// isIdle is set once next has the connection idle again after the current request, and isAccepted once the answer to the request was
	// found to be its own.
	isIdle, isAccepted bool
	// conn is nil while the connection is not open. ended is set once it must not be opened any more.
	conn  *conn
	ended bool
}

func newConnection(transport *Transport, host string) *connection {
	c := &connection{transport: transport, host: host, next: transport.next}
	template, ok := transport.next.(*http.Transport)
	if !ok {
		return c
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
		return c.opened(opened)
	}
	c.next = own
	return c
}

// begin notes a request that is sent over the connection. The mutex of the transport must be held.
func (c *connection) begin(identity Identity) {
	c.recent[c.uses%recentRequests] = identity
	c.uses++
	c.isIdle, c.isAccepted = false, false
}

// mistakes reports whether the answer to one of the last requests could be taken for the answer to another one. The mutex of the
// transport must be held.
func (c *connection) mistakes(identity Identity) bool {
	return slices.ContainsFunc(c.recent[:min(c.uses, recentRequests)], identity.mistakable)
}

// opened notes the connection, and closes it if its request has ended.
func (c *connection) opened(opened net.Conn) (net.Conn, error) {
	c.transport.mutex.Lock()
	defer c.transport.mutex.Unlock()
	if c.ended {
		_ = opened.Close()
		return nil, errClosed
	}
	c.conn = &conn{Conn: answercheck.Wrap(opened), owner: c}
	c.conn.hear()
	return c.conn, nil
}

// closed notes that a connection was closed, and reports whether a request was under way on it.
func (c *connection) closed(closed *conn) (abandoned bool) {
	c.transport.mutex.Lock()
	defer c.transport.mutex.Unlock()
	if c.conn != closed {
		return false
	}
	c.conn = nil
	isKept := slices.Contains(c.transport.idle[c.host], c)
	c.transport.remove(c)
	return !isKept && !c.isIdle
}

// close closes the connection, or keeps it from being opened.
func (c *connection) close() {
	c.transport.mutex.Lock()
	opened := c.conn
	c.ended = true
	c.transport.mutex.Unlock()
	if opened != nil {
		_ = opened.Close()
	}
}

// conn is a net.Conn that tells its owner when it is closed.
type conn struct {
	net.Conn
	owner *connection
	// heard is when the last bytes arrived, or the connection was opened.
	heard atomic.Pointer[time.Time]
}

// Read reads bytes and notes when they arrived.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.hear()
	}
	return n, err
}

func (c *conn) hear() {
	now := time.Now()
	c.heard.Store(&now)
}

func (c *conn) heardAt() time.Time {
	return *c.heard.Load()
}

// Close closes the connection, which is not used any more. If a request was under way, the connection is reset: what a partition of the
// network holds up of an abandoned request must not arrive once the partition has ended.
func (c *conn) Close() error {
	if c.owner.closed(c) {
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
