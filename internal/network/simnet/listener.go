package simnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// backlog is the maximum number of connections that wait for Accept; further dials are refused.
	backlog = 1024
	// dialTimeout limits a dial whose context has no earlier deadline.
	dialTimeout = time.Minute
)

// listener accepts stream connections.
type listener struct {
	host      *host
	port      int
	waiting   chan *conn
	done      chan struct{}
	closeOnce sync.Once
}

// Listen implements network.Network.
func (p *process) Listen(address string) (net.Listener, error) {
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
	if h.listeners[port] != nil {
		return nil, listenError(address, syscall.EADDRINUSE)
	}
	opened := &listener{host: h, port: port, waiting: make(chan *conn, backlog), done: make(chan struct{})}
	h.listeners[port] = opened
	return opened, nil
}

// bind checks that the process may listen at the address and chooses a port; Network.mu is held.
func (p *process) bind(address string, port int) (int, error) {
	ip, _, err := p.host.resolve(address)
	switch {
	case err != nil:
		return 0, listenError(address, err)
	case p.down:
		return 0, listenError(address, syscall.ENETDOWN)
	case ip != p.host.place.IP:
		return 0, listenError(address, syscall.EADDRNOTAVAIL)
	case port != 0:
		return port, nil
	}
	return p.host.freePort()
}

func listenError(address string, err error) error {
	return &net.OpError{Op: "listen " + address, Net: networkName, Err: err}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, l.closedError()
	default:
	}
	select {
	case accepted := <-l.waiting:
		return accepted, nil
	case <-l.done:
		return nil, l.closedError()
	}
}

func (l *listener) closedError() error {
	return &net.OpError{Op: "accept", Net: networkName, Addr: l.Addr(), Err: net.ErrClosed}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.host.tcpAddress(l.port) }

// Close implements net.Listener. Connections not yet accepted are reset.
func (l *listener) Close() error {
	first := false
	l.closeOnce.Do(func() { first = true })
	if !first {
		return l.closedError()
	}
	l.unbind()
	for {
		select {
		case unaccepted := <-l.waiting:
			unaccepted.abort(net.ErrClosed)
		default:
			return nil
		}
	}
}

// unbind stops new connections from being queued; offer holds the same mutex.
func (l *listener) unbind() {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	close(l.done)
	if l.host.listeners[l.port] == l {
		delete(l.host.listeners, l.port)
	}
}

// DialContext implements network.Network.
func (p *process) DialContext(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed, err := p.dial(ctx, address)
	if err != nil {
		return nil, &net.OpError{Op: "dial " + address, Net: networkName, Err: err}
	}
	return dialed, nil
}

// dial waits for one transit delay in each direction before it returns a connection.
func (p *process) dial(ctx context.Context, address string) (*conn, error) {
	n := p.host.network
	ip, port, err := p.host.resolve(address)
	if err != nil {
		return nil, err
	}
	target := n.find(ip)
	if target == nil {
		return nil, syscall.EHOSTUNREACH
	}
	if err := n.awaitTransit(ctx, p.host, target); err != nil {
		return nil, err
	}
	dialed, refused := p.offer(target, port)
	if err := n.awaitTransit(ctx, target, p.host); err != nil {
		if dialed != nil {
			dialed.abort(err)
		}
		return nil, err
	}
	if refused != nil {
		return nil, refused
	}
	return dialed, nil
}

func (n *Network) find(ip string) *host {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.hosts[ip]
}

// offer creates a connection and queues its accepting end at the target's listener on the port.
func (p *process) offer(target *host, port int) (*conn, error) {
	n := p.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	open := target.listeners[port]
	switch {
	case p.down:
		return nil, syscall.ENETDOWN
	case open == nil || len(open.waiting) == cap(open.waiting):
		return nil, syscall.ECONNREFUSED
	}
	localPort, err := p.host.freePort()
	if err != nil {
		return nil, err
	}
	dialed, accepted := newLink(n, p.host, target, localPort, port)
	p.host.conns[dialed] = struct{}{}
	target.conns[accepted] = struct{}{}
	open.waiting <- accepted // cannot block: all senders hold mu, and the capacity was checked above
	return dialed, nil
}

// awaitTransit waits for the transit delay of one transmission, and first until no fault blocks the path.
func (n *Network) awaitTransit(ctx context.Context, from, to *host) error {
	for {
		changed, blocked := n.checkPath(from, to)
		if !blocked {
			if !pause.For(ctx, n.transitDelay(from, to)) {
				return ctx.Err()
			}
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Network) checkPath(from, to *host) (<-chan struct{}, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.changed, from.paused || to.paused || n.isCut(from, to)
}
