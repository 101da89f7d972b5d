package simnet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// packetBufferBytes limits the unread bytes in a packet socket; further datagrams are lost.
	packetBufferBytes = 256 << 10
	// maxDatagramBytes is the largest payload of a datagram.
	maxDatagramBytes = 65507
)

// packetConn sends and receives datagrams.
type packetConn struct {
	process *process
	port    int

	mu            sync.Mutex
	changed       *sync.Cond
	closed        bool
	received      []datagram
	receivedBytes int
	readDeadline  deadline
}

// datagram is one received packet.
type datagram struct {
	from *net.UDPAddr
	data []byte
}

// heldDatagram is an outgoing packet with its destination.
type heldDatagram struct {
	datagram
	to *net.UDPAddr
}

// ListenPacket implements network.Network.
func (p *process) ListenPacket(address string) (net.PacketConn, error) {
	h := p.host
	_, port, err := h.resolve(address)
	if err != nil {
		return nil, listenError(address, err)
	}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if port, err = p.bind(address, port); err != nil {
		return nil, err
	}
	if h.packets[port] != nil {
		return nil, listenError(address, syscall.EADDRINUSE)
	}
	opened := &packetConn{process: p, port: port}
	opened.changed = sync.NewCond(&opened.mu)
	h.packets[port] = opened
	return opened, nil
}

// WriteTo implements net.PacketConn. A lost datagram is not an error.
func (c *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	target, ok := to.(*net.UDPAddr)
	switch {
	case !ok:
		return 0, c.failure("write", syscall.EAFNOSUPPORT)
	case c.isClosed():
		return 0, c.failure("write", net.ErrClosed)
	case len(data) > maxDatagramBytes:
		return 0, c.failure("write", syscall.EMSGSIZE)
	}
	h := c.process.host
	h.traffic.datagramSent.Add(uint64(len(data)))
	h.traffic.datagramsSent.Add(1)
	copied := append([]byte(nil), data...)
	h.network.transmit(h, heldDatagram{datagram{c.address(), copied}, target})
	return len(data), nil
}

// transmit sends a datagram, holds it while its sender is paused, or drops it.
func (n *Network) transmit(from *host, sent heldDatagram) {
	ip, port, err := from.resolve(sent.to.String())
	if err != nil {
		return
	}
	target, lossProbability := n.route(from, ip, sent)
	if target == nil || lossProbability > 0 && from.randomFloat() < lossProbability {
		return
	}
	time.AfterFunc(n.transitDelay(from, target), func() { target.receive(port, sent.datagram) })
}

// route returns the target and the probability of loss, or no target when the datagram is held or dropped.
func (n *Network) route(from *host, ip string, sent heldDatagram) (*host, float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.hosts[ip]
	if target == nil {
		return nil, 0
	}
	if from.paused {
		from.held = append(from.held, sent)
		return nil, 0
	}
	if n.isCut(from, target) {
		return nil, 0
	}
	deliveryProbability := 1.0
	for _, rule := range n.rules {
		if rule.applies(from, target) {
			deliveryProbability *= 1 - rule.DatagramLoss
		}
	}
	return target, 1 - deliveryProbability
}

func (h *host) receive(port int, arrived datagram) {
	h.network.mu.RLock()
	socket := h.packets[port]
	h.network.mu.RUnlock()
	if socket != nil {
		socket.enqueue(arrived)
	}
}

func (c *packetConn) enqueue(arrived datagram) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.receivedBytes+len(arrived.data) > packetBufferBytes {
		return
	}
	c.received = append(c.received, arrived)
	c.receivedBytes += len(arrived.data)
	c.changed.Broadcast()
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(into []byte) (int, net.Addr, error) {
	h := c.process.host
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.closed {
			return 0, nil, c.failure("read", net.ErrClosed)
		}
		if c.readDeadline.passed() {
			return 0, nil, c.failure("read", os.ErrDeadlineExceeded)
		}
		if len(c.received) > 0 && !h.network.isPaused(h) {
			next := c.received[0]
			c.received = c.received[1:]
			c.receivedBytes -= len(next.data)
			h.traffic.datagramReceived.Add(uint64(len(next.data)))
			h.traffic.datagramsReceived.Add(1)
			return copy(into, next.data), next.from, nil
		}
		c.changed.Wait()
	}
}

func (c *packetConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	if !c.markClosed() {
		return c.failure("close", net.ErrClosed)
	}
	h := c.process.host
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.packets[c.port] == c {
		delete(h.packets, c.port)
	}
	return nil
}

func (c *packetConn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	c.received = nil
	c.readDeadline.stop()
	c.changed.Broadcast()
	return true
}

func (c *packetConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

func (c *packetConn) address() *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(c.process.host.place.IP), Port: c.port}
}

func (c *packetConn) failure(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "udp", Source: c.address(), Err: err}
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.address() }

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetWriteDeadline implements net.PacketConn; writes never block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.failure("set", net.ErrClosed)
	}
	c.readDeadline.set(at, c.wake)
	c.changed.Broadcast()
	return nil
}
