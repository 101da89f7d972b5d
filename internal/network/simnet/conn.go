package simnet

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// networkName is the network of addresses and errors.
const networkName = "tcp"

// conn is one end of a link. Its fields are guarded by link.mu.
type conn struct {
	link          *link
	host          *host
	in, out       *pipe
	local, remote *net.TCPAddr
	closed        bool
	// writesEnded says that the end of the stream was sent.
	writesEnded bool
	// writeError is why writes fail; nil while they work.
	writeError    error
	readDeadline  deadline
	writeDeadline deadline
	// resetSent says that the peer was told that its data is refused.
	resetSent bool
}

// newLink connects two hosts and returns the ends of the dialing and of the accepting one.
func newLink(n *Network, from, to *host, fromPort, toPort int) (dialed, accepted *conn) {
	shared := &link{network: n}
	forth, back := newPipe(shared, from, to), newPipe(shared, to, from)
	dialed = &conn{
		link: shared, host: from, in: back, out: forth,
		local: from.tcpAddress(fromPort), remote: to.tcpAddress(toPort),
	}
	accepted = &conn{
		link: shared, host: to, in: forth, out: back,
		local: dialed.remote, remote: dialed.local,
	}
	forth.sender, forth.receiver = dialed, accepted
	back.sender, back.receiver = accepted, dialed
	return dialed, accepted
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for {
		if c.closed {
			return 0, c.failure("read", net.ErrClosed)
		}
		if c.readDeadline.passed() {
			return 0, c.failure("read", os.ErrDeadlineExceeded)
		}
		if len(into) == 0 {
			return 0, nil
		}
		if !c.link.network.isPaused(c.host) {
			if n := c.take(into); n > 0 {
				return n, nil
			}
			if c.in.end != nil {
				return 0, c.failure("read", c.in.end)
			}
		}
		c.in.changed.Wait()
	}
}

// take copies what was received and makes room for the writer.
func (c *conn) take(into []byte) int {
	n := copy(into, c.in.received)
	if n == 0 {
		return 0
	}
	c.in.received = c.in.received[n:]
	if len(c.in.received) == 0 {
		c.in.received = nil
	}
	c.in.changed.Broadcast()
	return n
}

// Write implements net.Conn. It waits while the buffer of its direction is full.
func (c *conn) Write(data []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	written := 0
	for {
		if err := c.writable(); err != nil {
			return written, c.failure("write", err)
		}
		step := min(c.out.room(), len(data)-written)
		if step > 0 {
			c.out.push(segmentData, append([]byte(nil), data[written:written+step]...))
			c.host.traffic.streamSent.Add(uint64(step))
			written += step
		}
		if written == len(data) {
			return written, nil
		}
		if step <= 0 {
			c.out.changed.Wait()
		}
	}
}

func (c *conn) writable() error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.writeError != nil:
		return c.writeError
	case c.writesEnded:
		return syscall.EPIPE
	case c.writeDeadline.passed():
		return os.ErrDeadlineExceeded
	default:
		return nil
	}
}

// failure wraps an error as the net package does; io.EOF stays bare.
func (c *conn) failure(operation string, err error) error {
	if err == io.EOF {
		return err
	}
	return &net.OpError{Op: operation, Net: networkName, Source: c.local, Addr: c.remote, Err: err}
}

// Close implements net.Conn. What was written still arrives.
func (c *conn) Close() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return c.failure("close", net.ErrClosed)
	}
	c.endWrites()
	c.shut()
	return nil
}

// CloseWrite ends the stream to the peer; reading goes on.
func (c *conn) CloseWrite() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if err := c.writable(); err != nil {
		return c.failure("close", err)
	}
	c.endWrites()
	c.out.changed.Broadcast()
	return nil
}

func (c *conn) endWrites() {
	if !c.writesEnded && c.writeError == nil {
		c.writesEnded = true
		c.out.push(segmentEnd, nil)
	}
}

// shut frees the end and wakes its blocked calls; link.mu is held.
func (c *conn) shut() {
	c.closed = true
	c.in.received = nil
	c.readDeadline.stop()
	c.writeDeadline.stop()
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
	n := c.link.network
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(c.host.conns, c)
}

// abort fails the end at once, for the crash of its host. What had left arrives, and then a reset.
func (c *conn) abort(reason error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return
	}
	c.writeError = reason
	c.resetSent = true
	c.out.dropHeld()
	c.out.push(segmentReset, nil)
	c.shut()
}

// dropHeld drops what a paused host had not let go.
func (p *pipe) dropHeld() {
	kept := 0
	for kept < len(p.queue) && !p.queue[kept].held {
		kept++
	}
	for _, dropped := range p.queue[kept:] {
		p.queuedBytes -= len(dropped.data)
	}
	p.queue = p.queue[:kept]
}

// refuseData answers data that arrives after Close with a reset.
func (c *conn) refuseData() {
	if !c.resetSent {
		c.resetSent = true
		c.out.push(segmentReset, nil)
	}
}

// failWrites is called when the peer's end is gone; link.mu is held.
func (c *conn) failWrites(reason error) {
	if c.writeError == nil {
		c.writeError = reason
	}
	c.out.discard()
	c.out.changed.Broadcast()
}

// wake lets blocked calls look at the state again.
func (c *conn) wake() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	return c.setDeadlines(at, &c.readDeadline, &c.writeDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error { return c.setDeadlines(at, &c.readDeadline) }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error { return c.setDeadlines(at, &c.writeDeadline) }

func (c *conn) setDeadlines(at time.Time, deadlines ...*deadline) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return c.failure("set", net.ErrClosed)
	}
	for _, each := range deadlines {
		each.set(at, c.wake)
	}
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
	return nil
}
