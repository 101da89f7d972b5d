// Package clientconn keeps account of the connections that clients hold to an HTTP server, so that a planned stop can end them without
// losing a request.
package clientconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// Tracker knows the open connections of one http.Server. Its Listener and its Observe have to be those of the server. It is safe for
// concurrent use. The zero value works.
type Tracker struct {
	mutex sync.Mutex
	open  map[*conn]struct{}
	// changed tells that a connection was closed.
	changed broadcast.Signal
	counts  Counts
}

// Counts are numbers of connections since the tracker was made.
type Counts struct {
	// Open are those that are open now.
	Open int
	// Unanswered are those that the server closed after it had read from them what it has not begun to answer.
	Unanswered int
}

// Counts returns the numbers.
func (t *Tracker) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.counts
	counts.Open = len(t.open)
	return counts
}

// Listener returns a listener whose connections the tracker knows.
func (t *Tracker) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, tracker: t}
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted}
	l.tracker.opened(c)
	return c, nil
}

func (t *Tracker) opened(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open == nil {
		t.open = make(map[*conn]struct{})
		t.changed = broadcast.New()
	}
	t.open[c] = struct{}{}
}

// Observe is the ConnState hook of the server.
func (t *Tracker) Observe(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if !ok || state != http.StateClosed && state != http.StateHijacked {
		return
	}
	unanswered := c.unanswered()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if unanswered {
		t.counts.Unanswered++
	}
	delete(t.open, c)
	t.changed.Notify()
}

// conn is a connection of a client.
type conn struct {
	net.Conn

	mutex sync.Mutex
	// asked says that bytes were read since the last ones were written; left says that the client has ended its side.
	asked, left bool
}

// Read reads what the client sends.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked = c.asked || n > 0
	c.left = c.left || n == 0 && err != nil && !byServer(err)
	return n, err
}

// Write writes an answer.
func (c *conn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked = c.asked && err != nil
	return n, err
}

// CloseWrite ends the server's side of the connection and leaves the client's open.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// unanswered tells whether something was read from a client, who has not left, that no answer has begun to.
func (c *conn) unanswered() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.asked && !c.left
}

// byServer tells that the server itself ended a read: it closed the connection, or set a deadline to stop reading.
func byServer(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}
