package simnet

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// networkName is the network name in addresses and errors.
const networkName = "tcp"

// conn is one end of a link. Its fields are guarded by link.mu.
type conn struct {
	link          *link
	host          *host
	in, out       *pipe
	local, remote *net.TCPAddr
	closed        bool
	// writesEnded is set when the end of the stream was sent.
	writesEnded bool
	// writeError is the error that writes return; nil while they succeed.
	writeError    error
	readDeadline  deadline
	writeDeadline deadline
	// resetSent is set when a reset was sent to the peer.
	resetSent bool
}

// newLink connects two hosts and returns the connection ends of the dialing and the accepting host.
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
			if n := c.readReceived(into); n > 0 {
				return n, nil
			}
			if c.in.end != nil {
				return 0, c.failure("read", c.in.end)
			}
		}
		c.in.changed.Wait()
	}
}

// readReceived copies received bytes to into, which frees buffer space for the writer.
func (c *conn) readReceived(into []byte) int {
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
		step := min(c.out.freeBytes(), len(data)-written)
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

// failure wraps an error as the net package does; io.EOF is returned unwrapped.
func (c *conn) failure(operation string, err error) error {
	if err == io.EOF {
		return err
	}
	return &net.OpError{Op: operation, Net: networkName, Source: c.local, Addr: c.remote, Err: err}
}

// Close implements net.Conn. Data already written is still delivered.
func (c *conn) Close() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return c.failure("close", net.ErrClosed)
	}
	c.endWrites()
	c.release()
	return nil
}

// CloseWrite ends the stream to the peer; reads still work.
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

// release marks the connection end closed, removes it from its host and wakes its blocked calls; link.mu is held.
func (c *conn) release() {
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

// abort closes the connection end when its host crashes. The peer receives the data already transmitted, then a reset.
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
	c.release()
}

// Reset closes the connection by a reset, behind the data that was written.
func (c *conn) Reset() error {
	c.abort(net.ErrClosed)
	return nil
}

// dropHeld drops the segments written while the host was paused and not yet transmitted.
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

// failWrites makes writes fail with reason after the peer's reset; link.mu is held.
func (c *conn) failWrites(reason error) {
	if c.writeError == nil {
		c.writeError = reason
	}
	c.out.discard()
	c.out.changed.Broadcast()
}

// wake wakes blocked calls so that they check the state again.
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
