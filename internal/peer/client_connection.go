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

// callState is what the connection knows of a call.
type callState struct {
	method string
	// id and connection are set when the call enters a connection.
	id         uint64
	connection *clientConnection
	// written is set before the first byte of the request may leave.
	written atomic.Bool
}

// outstandingCall receives the answers to a call; neither method may block.
type outstandingCall interface {
	state() *callState
	// deliver takes over a frame; an error fails the connection.
	deliver(*frame) error
	// fail ends the call without an answer.
	fail(error)
}

// clientConnection is the calling end of a connection. Lock order: clientConnection.mu before keepAlive.mu and
// frameWriter.mu; Client.mu is never taken with clientConnection.mu held.
type clientConnection struct {
	*connection
	client *Client
	slot   *slot

	mu sync.Mutex
	// retired says that no new call may enter.
	retired bool
	lastID  uint64
	// lastTaken is the last call that the server takes; all above have no effect.
	lastTaken uint64
	calls     map[uint64]outstandingCall
}

func newClientConnection(client *Client, slot *slot, socket net.Conn) *clientConnection {
	options := client.options
	c := &clientConnection{
		connection: newConnection(socket, options.KeepAlive, options.Observer, &client.counters),
		client:     client,
		slot:       slot,
		lastTaken:  math.MaxUint64,
		calls:      make(map[uint64]outstandingCall),
	}
	c.onClose = c.failCalls
	c.keepAlive.idle = c.closeIdle
	return c
}

// begin enters a call, or returns errUnusable.
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

// end takes a call out; frames for it that still come are dropped.
func (c *clientConnection) end(state *callState) {
	if c.remove(state.id) {
		c.fail(errUnusable)
	}
}

// remove reports whether the connection has no further use.
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

// sendRequest queues the request. When it returns an error, no byte of it was or will be written.
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

// timeoutMillis is what is left until the deadline, rounded up, or 0 without one.
func timeoutMillis(ctx context.Context) int64 {
	deadline, set := ctx.Deadline()
	if !set {
		return 0
	}
	left := time.Until(deadline)
	return max(1, int64((left+time.Millisecond-1)/time.Millisecond))
}

func (c *clientConnection) handle(received *frame) error {
	if received.header.Kind == kindGoAway {
		c.observer.PeerBytes(ControlMethod, 0, received.size)
		c.goAway(received.header.Stream)
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

// goAway retires the connection; the server still answers what it has.
func (c *clientConnection) goAway(lastTaken uint64) {
	c.client.forget(c.slot)
	if c.retire(lastTaken) {
		c.fail(errUnusable)
	}
}

func (c *clientConnection) retire(lastTaken uint64) (unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	c.lastTaken = min(c.lastTaken, lastTaken)
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

// failCalls ends all calls. The writer has stopped, so a request not marked as written never leaves.
func (c *clientConnection) failCalls(cause error) {
	c.client.forget(c.slot)
	calls, lastTaken := c.takeCalls()
	for _, call := range calls {
		reason := ErrLost
		if !call.state().written.Load() || call.state().id > lastTaken {
			reason = ErrNotSent
		}
		call.fail(fmt.Errorf("%w: connection to %s: %w", reason, c.slot.address, cause))
	}
}

func (c *clientConnection) takeCalls() (map[uint64]outstandingCall, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	taken := c.calls
	c.calls = nil
	return taken, c.lastTaken
}
