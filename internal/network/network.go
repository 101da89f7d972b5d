// Package network abstracts socket access. All code that dials or listens uses a Network, so that the same nodes can run
// over the operating system's sockets or over an in-memory network in virtual time.
package network

import (
	"context"
	"net"
)

// Network opens connections. Addresses are "ip:port"; names are never resolved.
type Network interface {
	// DialContext opens a stream connection to address.
	DialContext(ctx context.Context, address string) (net.Conn, error)
	// Listen opens a listener for stream connections on address; port 0 chooses a free port.
	Listen(address string) (net.Listener, error)
	// ListenPacket opens a datagram socket on address; port 0 chooses a free port.
	ListenPacket(address string) (net.PacketConn, error)
}

// System is the operating system's network.
type System struct{}

// DialContext dials over TCP.
func (System) DialContext(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen listens over TCP.
func (System) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// ListenPacket listens over UDP.
func (System) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp", address)
}
