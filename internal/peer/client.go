package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/hillfork/hillfork/internal/network"
)

// ErrClosed reports that this process has closed the client or server.
var ErrClosed = errors.New("peer is closed")

// errUnusable reports that a connection accepts no new calls.
var errUnusable = errors.New("connection accepts no new calls")

// maxConnectionAttempts is the maximum number of connections on which a call tries to register. The client uses another
// connection only if the previous one was closed before the call was queued on it.
const maxConnectionAttempts = 3

// Client calls other processes over one connection per address, which it dials on demand. It is safe for concurrent
// use.
type Client struct {
	network  network.Network
	options  ClientOptions
	counters counters
	context  context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	slots  map[string]*slot
}

// slot holds the connection to one address, or the attempt to establish it.
type slot struct {
	address string
	// ready is closed once connection or err is set.
	ready      chan struct{}
	connection *clientConnection
	err        error
}

var _ Caller = (*Client)(nil)

// NewClient returns a client that dials through n.
func NewClient(n network.Network, options ClientOptions) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		network: n,
		options: options.withDefaults(),
		context: ctx,
		cancel:  cancel,
		slots:   make(map[string]*slot),
	}
}

// Stats returns the client's counters since its start.
func (c *Client) Stats() Stats { return c.counters.snapshot() }

// Close closes all connections, fails the outstanding calls and waits until the client's goroutines have ended.
func (c *Client) Close() {
	c.cancel()
	for _, open := range c.markClosed() {
		open.fail(ErrClosed)
	}
	c.group.Wait()
}

func (c *Client) markClosed() []*clientConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var open []*clientConnection
	for _, each := range c.slots {
		if each.connection != nil {
			open = append(open, each.connection)
		}
	}
	return open
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, method string, request, response Message) error {
	call := newUnaryCall(method)
	connection, err := c.begin(ctx, address, call)
	if err != nil {
		return err
	}
	defer connection.end(call.state())
	if err := connection.sendRequest(ctx, call.state(), request, 0); err != nil {
		return err
	}
	return call.wait(ctx, response)
}

// Stream implements Caller. It returns once the request is queued. If the connection breaks, Receive returns the same
// errors as Call does. To free the stream's resources, the context must end or the stream must be closed.
func (c *Client) Stream(ctx context.Context, address, method string, request Message) (ClientStream, error) {
	stream := newClientStream(ctx, method, int64(c.options.WindowBytes))
	connection, err := c.begin(ctx, address, stream)
	if err != nil {
		return nil, err
	}
	if err := connection.sendRequest(ctx, stream.state(), request, stream.window); err != nil {
		connection.end(stream.state())
		return nil, err
	}
	stream.watchContext()
	return stream, nil
}

// begin registers the call on a usable connection to the address.
func (c *Client) begin(ctx context.Context, address string, call outstandingCall) (*clientConnection, error) {
	err := errUnusable
	for range maxConnectionAttempts {
		var target *slot
		target, err = c.connect(ctx, address)
		if err != nil {
			break
		}
		if err = target.connection.begin(call); err == nil {
			return target.connection, nil
		}
		c.forget(target)
	}
	return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
}

// connect returns the slot of an established connection. It dials if there is none.
func (c *Client) connect(ctx context.Context, address string) (*slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	found, err := c.findSlot(address)
	if err != nil {
		return nil, err
	}
	select {
	case <-found.ready:
		return found, found.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) findSlot(address string) (*slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	found := c.slots[address]
	if found == nil {
		found = &slot{address: address, ready: make(chan struct{})}
		c.slots[address] = found
		c.group.Go(func() { c.dial(found) })
	}
	return found, nil
}

// dial fills the slot. It does not use the context of the call that requested the connection first, because other calls
// wait for the same connection.
func (c *Client) dial(into *slot) {
	ctx, cancel := context.WithTimeout(c.context, c.options.DialTimeout)
	defer cancel()
	socket, err := c.network.DialContext(ctx, into.address)
	c.fill(into, socket, err)
	close(into.ready)
}

func (c *Client) fill(into *slot, socket net.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.closed {
		_ = socket.Close()
		err = ErrClosed
	}
	if err != nil {
		into.err = err
		delete(c.slots, into.address)
		return
	}
	into.connection = newClientConnection(c, into, socket)
	into.connection.run(&c.group, into.connection.handle)
}

// forget removes the slot, so that the next call dials a new connection.
func (c *Client) forget(old *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots[old.address] == old {
		delete(c.slots, old.address)
	}
}
