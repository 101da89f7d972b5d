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
	"golang.org/x/sys/unix"
)

const (
	// endLook is how often End looks for connections that have fallen quiet.
	endLook = 10 * time.Millisecond
	// quietLeast is how long nothing has to have come over a connection before it is taken for idle. The first request of a new connection
	// and the rest of one that is being sent come within a round trip: 40 ms between distant regions, and a peer's pause for processor time.
	quietLeast = 100 * time.Millisecond
	// acceptLook is how often the end of a listener looks whether connections wait, acceptMost how long it leaves them: a process with a
	// fifth of a core accepts some thousand a second.
	acceptLook = time.Millisecond
	acceptMost = 300 * time.Millisecond
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
	// Unanswered are those from which something was read that no answer has begun to: open ones, and ones that the server has closed so.
	Unanswered int
}

// Counts returns the numbers.
func (t *Tracker) Counts() Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.counts
	counts.Open = len(t.open)
	for c := range t.open {
		if c.unanswered() {
			counts.Unanswered++
		}
	}
	return counts
}

// Listener returns a listener whose connections the tracker knows. Its Close leaves time for connections that wait to be accepted.
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
	c := &conn{Conn: accepted, used: time.Now()}
	l.tracker.opened(c)
	return c, nil
}

// Close closes the listener once no connection waits to be accepted, or after acceptMost. Those that wait would be reset, with the requests that
// were sent over them: of 600 connections to a process that stood still for 600 ms before it closed its listener 598 were.
func (l *listener) Close() error {
	for began := time.Now(); isReadable(l.Listener) && time.Since(began) < acceptMost; {
		time.Sleep(acceptLook)
	}
	return l.Listener.Close()
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
		if t.endIdle() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endIdle has idle connections ended and returns how many are open.
func (t *Tracker) endIdle() (open int) {
	t.mutex.Lock()
	connections := slices.Collect(maps.Keys(t.open))
	t.mutex.Unlock()
	for _, c := range connections {
		c.endIfIdle()
	}
	return len(connections)
}

// conn is a connection of a client.
type conn struct {
	net.Conn

	mutex sync.Mutex
	// active says that the server has read a request whose answer is not finished; answering that its answer has begun, served that a request
	// was read on this connection before.
	active, answering, served bool
	// asked says that bytes were read since the last ones were written; left says that the client has ended its side.
	asked, left bool
	// used is when the connection was accepted, or bytes were last read or written.
	used time.Time
	// ending says that the read under way is ended to close the connection.
	ending bool
}

func (c *conn) setActive(active bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active, c.answering, c.served = active, false, true
}

// endIfIdle has the connection ended if nothing was read from it that is not answered, and nothing came lately. The goroutine that reads from it
// decides: what it has read by then, though nobody else can know of it yet, is answered.
func (c *conn) endIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active || c.asked || time.Since(c.used) < quietLeast {
		return
	}
	c.ending = true
	// A connection that takes no deadline is closed already.
	_ = c.Conn.SetReadDeadline(time.Now())
}

// hasInput tells whether bytes have come over a connection that were not read yet. Of connections that are not the system's it can't tell.
func hasInput(connection net.Conn) bool {
	found := false
	control(connection, func(descriptor int) {
		n, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = n > 0 && err == nil
	})
	return found
}

// isReadable tells whether connections wait at a listener to be accepted. Of listeners that are not the system's it can't tell.
func isReadable(listener net.Listener) bool {
	found := false
	control(listener, func(descriptor int) {
		waiting := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		n, err := unix.Poll(waiting, 0)
		found = n > 0 && err == nil && waiting[0].Revents&unix.POLLIN != 0
	})
	return found
}

// control looks at the descriptor of a socket, if it is one of the system's and open.
func control(socket any, look func(descriptor int)) {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	// The error says that the socket is closed: then there is nothing to look at.
	_ = raw.Control(func(descriptor uintptr) { look(int(descriptor)) })
}

// Read reads what the client sends. It fails once the connection is to end and nothing has come; the server then closes it.
func (c *conn) Read(into []byte) (int, error) {
	for {
		n, err := c.Conn.Read(into)
		if !c.goesOn(n, err) {
			return n, err
		}
	}
}

// goesOn takes the result of a read, and tells whether to read on: between two requests the read was ended, by endIfIdle or for having been idle
// too long, and the next request has come.
func (c *conn) goesOn(n int, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	between := !c.active && !c.asked && (c.served || c.ending)
	if n > 0 {
		// What comes after the beginning of an answer is the rest of its request.
		c.asked, c.used = c.asked || !c.answering, time.Now()
	}
	c.left = c.left || n == 0 && err != nil && !byServer(err)
	saved := between && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && hasInput(c.Conn)
	if saved || c.ending && n > 0 {
		// The request has the time that the server gives it from here on.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.ending = false
	return saved
}

// Write writes an answer.
func (c *conn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.asked, c.answering = false, c.active
	}
	c.used = time.Now()
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
