package peer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// callState is the state of a call on its connection.
type callState struct {
	method string
	// id and connection are set when the call is registered on a connection.
	id         uint64
	connection *clientConnection
	// written is set before the first byte of the request may be sent.
	written atomic.Bool
}

// outstandingCall receives the response frames of a call. Neither deliver nor fail may block.
type outstandingCall interface {
	state() *callState
	// deliver takes ownership of a frame; an error fails the connection.
	deliver(*frame) error
	// fail ends the call without a response.
	fail(error)
}

// clientConnection is the client end of a connection. Lock order: clientConnection.mu before keepAlive.mu and
// frameWriter.mu; Client.mu is never acquired while clientConnection.mu is held.
type clientConnection struct {
	*connection
	client *Client
	slot   *slot

	mu sync.Mutex
	// retired reports that no new call may be registered.
	retired bool
	lastID  uint64
	// lastAccepted is the highest ID of the calls that the server accepts; calls with a higher ID have no effect.
	lastAccepted uint64
	calls        map[uint64]outstandingCall
}

func newClientConnection(client *Client, slot *slot, socket net.Conn) *clientConnection {
	options := client.options
	c := &clientConnection{
		connection:   newConnection(socket, options.KeepAlive, options.Observer, &client.counters),
		client:       client,
		slot:         slot,
		lastAccepted: math.MaxUint64,
		calls:        make(map[uint64]outstandingCall),
	}
	c.onClose = c.failCalls
	c.keepAlive.onIdle = c.closeIdle
	return c
}

// begin registers a call, or returns errUnusable.
func (c *clientConnection) begin(call outstandingCall) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return errUnusable
	}
	c.lastID++
	call.state().id = c.lastID
	call.state().connection = c
	c.calls[c.lastID] = call
	c.keepAlive.begin()
	return nil
}

// end unregisters a call; frames that still arrive for it are dropped.
func (c *clientConnection) end(state *callState) {
	if c.remove(state.id) {
		c.fail(errUnusable)
	}
}

// remove removes a call and reports whether the connection is no longer needed.
func (c *clientConnection) remove(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.calls[id]; !found {
		return false
	}
	delete(c.calls, id)
	c.keepAlive.end()
	return c.retired && len(c.calls) == 0
}

// sendRequest queues the request. If it returns an error, no byte of the request has been or will be written.
func (c *clientConnection) sendRequest(ctx context.Context, state *callState, request Message, credit int64) error {
	header := frameHeader{Stream: state.id, Kind: kindRequest, Credit: credit, TimeoutMillis: timeoutMillis(ctx)}
	err := c.send(ctx, header, state.method, request, &state.written)
	if errors.Is(err, errFrameTooLarge) {
		return &Error{Code: CodeInvalid, Message: err.Error()}
	}
	if err != nil {
		return fmt.Errorf("%w to %s: %w", ErrNotSent, c.slot.address, err)
	}
	return nil
}

// timeoutMillis returns the time left until the context's deadline in milliseconds, rounded up, or 0 if there is no
// deadline.
func timeoutMillis(ctx context.Context) int64 {
	deadline, set := ctx.Deadline()
	if !set {
		return 0
	}
	remaining := time.Until(deadline)
	return max(1, int64((remaining+time.Millisecond-1)/time.Millisecond))
}

func (c *clientConnection) handle(received *frame) error {
	if received.header.Kind == kindGoAway {
		c.observer.PeerBytes(ControlMethod, 0, received.size)
		c.handleGoAway(received.header.Stream)
		received.release()
		return nil
	}
	call := c.find(received.header.Stream)
	if call == nil {
		c.observer.PeerBytes(ControlMethod, 0, received.size)
		received.release()
		return nil
	}
	c.observer.PeerBytes(call.state().method, 0, received.size)
	return call.deliver(received)
}

func (c *clientConnection) find(id uint64) outstandingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

// handleGoAway retires the connection; the server still responds to the calls it has accepted.
func (c *clientConnection) handleGoAway(lastAccepted uint64) {
	c.client.forget(c.slot)
	if c.retire(lastAccepted) {
		c.fail(errUnusable)
	}
}

func (c *clientConnection) retire(lastAccepted uint64) (unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.lastAccepted = min(c.lastAccepted, lastAccepted)
	return len(c.calls) == 0
}

func (c *clientConnection) closeIdle() {
	if c.retireIfUnused() {
		c.fail(errIdle)
	}
}

func (c *clientConnection) retireIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) > 0 {
		return false
	}
	c.retired = true
	return true
}

// failCalls fails all calls. The writer has stopped, so a request that is not marked as written is never sent.
func (c *clientConnection) failCalls(cause error) {
	c.client.forget(c.slot)
	calls, lastAccepted := c.removeCalls()
	for _, call := range calls {
		reason := ErrLost
		if !call.state().written.Load() || call.state().id > lastAccepted {
			reason = ErrNotSent
		}
		call.fail(fmt.Errorf("%w: connection to %s: %w", reason, c.slot.address, cause))
	}
}

func (c *clientConnection) removeCalls() (map[uint64]outstandingCall, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	removed := c.calls
	c.calls = nil
	return removed, c.lastAccepted
}
