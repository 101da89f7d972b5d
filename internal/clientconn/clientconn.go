// Package clientconn keeps account of the connections that clients hold to an HTTP server, and ends them at a planned stop without losing a
// request.
//
// HTTP/1.1 can't announce that an idle connection closes, so a stop lets clients use each connection once more, has the answer end it, and
// closes what is left only once nothing is under way there. http.Server.Shutdown must not be used for that: while it runs the server
// reads requests and closes their connections without an answer.
package clientconn

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
)

// endLook is how often End looks for connections that have fallen quiet.
const endLook = 10 * time.Millisecond

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
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateIdle:
		c.setActive(state == http.StateActive)
	case http.StateClosed, http.StateHijacked:
		t.closed(c)
	}
}

func (t *Tracker) closed(c *conn) {
	unanswered := c.unanswered()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if unanswered {
		t.counts.Unanswered++
	}
	delete(t.open, c)
	t.changed.Notify()
}

// Await waits until no connection is open. The error is that of the context, if it ends before.
func (t *Tracker) Await(ctx context.Context) error {
	for {
		t.mutex.Lock()
		open, changed := len(t.open), t.changed.Changed()
		t.mutex.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// End closes connections on which nothing is under way, as they fall quiet, and returns once none is open. The error is that of the
// context, if it ends before.
func (t *Tracker) End(ctx context.Context) error {
	ticker := time.NewTicker(endLook)
	defer ticker.Stop()
	for {
		if t.closeIdle() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// closeIdle closes idle connections and returns how many were open.
func (t *Tracker) closeIdle() (open int) {
	t.mutex.Lock()
	connections := slices.Collect(maps.Keys(t.open))
	t.mutex.Unlock()
	for _, c := range connections {
		c.closeIfIdle()
	}
	return len(connections)
}

// conn is a connection of a client.
type conn struct {
	net.Conn

	mutex sync.Mutex
	// active says that the server has read a request whose answer is not finished.
	active bool
	// asked says that bytes were read since the last ones were written; left says that the client has ended its side.
	asked, left bool
	// ended says that the connection was closed as idle.
	ended bool
}

func (c *conn) setActive(active bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active = active
}

// closeIfIdle closes the connection if nothing was read from it, or has come, that is not answered.
func (c *conn) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active || c.asked || c.ended || hasInput(c.Conn) {
		return
	}
	c.ended = true
	// Nothing is lost with it, and the server learns of the end by its next read.
	_ = c.Conn.Close()
}

// hasInput tells whether bytes have come over a connection that were not read yet. Of connections that are not the system's it can't tell.
func hasInput(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(descriptor uintptr) {
		n, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = n > 0 && err == nil
	})
	return found && err == nil
}

// Read reads what the client sends.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		// What came as the connection was closed has no answer, so it must not be acted on.
		return 0, net.ErrClosed
	}
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
