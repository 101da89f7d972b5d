package answercheck

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Conn is a connection to a server of HTTP/1.1, over which one request at a time is sent. Read passes on what is an answer and fails with
// an *Error otherwise. It is safe for concurrent use, as a net.Conn is.
type Conn struct {
	net.Conn

	mutex sync.Mutex
	// written is signalled when a write ends. It uses the mutex.
	written sync.Cond
	// requests follows what is written, answers what is read.
	requests, answers scanner
	// isWriting is set during a write, writeErr once one has failed.
	isWriting bool
	writeErr  error
	// broken is the error of the bytes that are no answer, nil while there are none. Nothing is read after them.
	broken error
}

// Wrap returns a connection that checks the answers which arrive over an opened one.
func Wrap(opened net.Conn) *Conn {
	c := &Conn{Conn: opened}
	c.written.L = &c.mutex
	c.requests.parseStart = parseRequestLine
	c.answers.parseStart = parseStatusLine
	c.answers.bodyless = func(answer *head) bool { return answerWithoutBody(answer, c.requests.head.method) }
	return c
}

// NetConn returns the connection that carries this one.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write sends a part of a request.
func (c *Conn) Write(part []byte) (int, error) {
	c.beginWrite(part)
	n, err := c.Conn.Write(part)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isWriting = false
	if err != nil {
		c.writeErr = err
	}
	c.written.Broadcast()
	return n, err
}

// beginWrite follows the request before it is written, since its answer may arrive at once.
func (c *Conn) beginWrite(part []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isWriting = true
	_, _ = c.requests.scan(part)
}

// Read receives a part of an answer.
func (c *Conn) Read(buffer []byte) (int, error) {
	if err := c.brokenErr(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buffer)
	valid, fault := c.follow(buffer[:n])
	switch {
	case valid > 0 && fault != nil:
		// The next read returns the fault.
		return valid, nil
	case fault != nil:
		return 0, fault
	case errors.Is(err, io.EOF):
		return n, c.endOfStream()
	default:
		return n, err
	}
}

// brokenErr returns the error of the bytes that are no answer, nil while there are none.
func (c *Conn) brokenErr() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// follow follows received bytes, and returns how many of them belong to answers, and what the next one is if it belongs to none.
func (c *Conn) follow(received []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	valid, err := c.answers.scan(received)
	if err != nil {
		c.broken = err
	}
	return valid, c.broken
}

// endOfStream returns what the end of the connection means: io.EOF between answers, and at the end of an answer without a length if its
// request was sent whole. The kernel reports a reset once, to the reader or to the writer. If the writer gets it, the reader gets an end like
// that of an answer, so endOfStream waits until a write in progress has its result.
func (c *Conn) endOfStream() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.answers.isBetweenMessages() {
		return io.EOF
	}
	if c.answers.next != openBody {
		return &Error{Kind: Cut, Err: io.ErrUnexpectedEOF}
	}
	for c.isWriting {
		c.written.Wait()
	}
	if c.writeErr != nil {
		return &Error{Kind: Unsent, Err: c.writeErr}
	}
	if !c.requests.isBetweenMessages() || c.requests.count <= c.answers.count {
		return &Error{Kind: Unsent, Err: io.ErrUnexpectedEOF}
	}
	return io.EOF
}
