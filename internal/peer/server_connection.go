package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
)

// serverConnection is the server end of a connection. Lock order: Server.mu, then serverConnection.mu, then
// keepAlive.mu and frameWriter.mu.
type serverConnection struct {
	*connection
	server  *Server
	context context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// goAwaySent reports that a go-away was sent; later calls are refused.
	goAwaySent bool
	// lastID is the highest ID of the accepted calls.
	lastID uint64
	calls  map[uint64]*serverCall
}

// serverCall is one call in flight.
type serverCall struct {
	id         uint64
	entry      *handlerEntry
	connection *serverConnection
	context    context.Context
	cancel     context.CancelFunc
	// window is nil for a unary call.
	window *sendWindow
}

func newServerConnection(server *Server, socket net.Conn) *serverConnection {
	options := server.options
	c := &serverConnection{
		connection: newConnection(socket, options.KeepAlive, options.Observer, &server.counters),
		server:     server,
		calls:      make(map[uint64]*serverCall),
	}
	c.context, c.cancel = context.WithCancel(server.context)
	c.onClose = c.handleClose
	c.keepAlive.onIdle = c.closeIdle
	return c
}

func (c *serverConnection) handleClose(cause error) {
	c.cancel()
	if errors.Is(cause, errProtocol) {
		errorlog.Warn(c.server.options.Logger, "peer connection closed", cause, "remote", c.socket.RemoteAddr())
	}
	c.server.removeConnection(c)
}

func (c *serverConnection) handle(received *frame) error {
	switch received.header.Kind {
	case kindRequest:
		return c.handleRequest(received)
	case kindCancel, kindCredit:
		c.handleControl(received)
		return nil
	default:
		received.release()
		return fmt.Errorf("%w: frame of kind %d from a client", errProtocol, received.header.Kind)
	}
}

func (c *serverConnection) handleControl(received *frame) {
	defer received.release()
	method := ControlMethod
	call := c.find(received.header.Stream)
	if call != nil {
		method = call.entry.method
	}
	c.observer.PeerBytes(method, 0, received.size)
	switch {
	case call == nil:
		// The call ended while the frame was in transit.
	case received.header.Kind == kindCancel:
		call.cancel()
	case call.window != nil:
		call.window.grant(received.header.Credit)
	}
}

func (c *serverConnection) find(id uint64) *serverCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

// handleRequest starts a call or refuses it.
func (c *serverConnection) handleRequest(received *frame) error {
	header := &received.header
	entry := c.server.handlers[string(header.Method)]
	method := ControlMethod
	if entry != nil {
		method = entry.method
	}
	c.observer.PeerBytes(method, 0, received.size)
	accepted, err := c.acceptID(header.Stream)
	if err != nil {
		received.release()
		return err
	}
	if refusal := c.refuse(entry, header, accepted); refusal != nil {
		c.sendNow(frameHeader{Stream: header.Stream, Kind: kindError}, method, toWire(refusal))
		received.release()
		if accepted {
			c.server.callEnded()
		}
		return nil
	}
	call := c.beginCall(entry, header)
	c.server.group.Go(func() { call.run(received) })
	return nil
}

// acceptID records the ID of a call and reports whether the call arrived before the go-away. Such a call counts as in
// flight from here on, so that a shutdown that has sent the go-away waits for it.
func (c *serverConnection) acceptID(id uint64) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.goAwaySent {
		return false, nil
	}
	if _, inFlight := c.calls[id]; inFlight || id == 0 {
		return false, fmt.Errorf("%w: call %d is in flight already", errProtocol, id)
	}
	// IDs are allocated before the calls are queued, so calls may arrive slightly out of order.
	c.lastID = max(c.lastID, id)
	c.server.inFlight.Add(1)
	return true, nil
}

// refuse returns the reason for which a call is refused, or nil if it is to be run.
func (c *serverConnection) refuse(entry *handlerEntry, header *frameHeader, accepted bool) *Error {
	switch {
	case !accepted:
		return &Error{Code: CodeNotReady, Message: "server is shutting down"}
	case entry == nil:
		return &Error{Code: CodeUnknownMethod, Message: fmt.Sprintf("no method %q", header.Method)}
	case (entry.stream != nil) != (header.Credit > 0):
		return &Error{Code: CodeInvalid, Message: fmt.Sprintf("method %q is called in the wrong way", header.Method)}
	case c.server.inFlight.Load() > int64(c.server.options.MaxInFlight):
		c.server.counters.overloaded.Add(1)
		return &Error{
			Code:       CodeOverloaded,
			Message:    "server is at its limit of calls in flight",
			RetryAfter: c.server.options.RetryAfter,
		}
	default:
		return nil
	}
}

func (c *serverConnection) beginCall(entry *handlerEntry, header *frameHeader) *serverCall {
	call := &serverCall{id: header.Stream, entry: entry, connection: c}
	if header.TimeoutMillis > 0 {
		call.context, call.cancel = context.WithTimeout(c.context, timeout(header.TimeoutMillis))
	} else {
		call.context, call.cancel = context.WithCancel(c.context)
	}
	if entry.stream != nil {
		call.window = newSendWindow(header.Credit)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call.id] = call
	c.keepAlive.begin()
	return call
}

// maxTimeoutMillis limits the timeout so that the conversion to time.Duration does not overflow.
const maxTimeoutMillis = int64(365 * 24 * time.Hour / time.Millisecond)

func timeout(millis int64) time.Duration {
	return time.Duration(min(millis, maxTimeoutMillis)) * time.Millisecond
}

func (c *serverConnection) endCall(call *serverCall) {
	call.cancel()
	c.mu.Lock()
	delete(c.calls, call.id)
	c.keepAlive.end()
	c.mu.Unlock()
	c.server.callEnded()
}

// announceGoAway sends the client the ID of the last accepted call.
func (c *serverConnection) announceGoAway() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.goAwaySent {
		return
	}
	c.goAwaySent = true
	c.sendControl(frameHeader{Stream: c.lastID, Kind: kindGoAway}, ControlMethod)
}

// closeIdle closes a connection that the client has failed to close; the client's own idle timeout is shorter.
func (c *serverConnection) closeIdle() {
	c.announceGoAway()
	c.mu.Lock()
	unused := len(c.calls) == 0
	c.mu.Unlock()
	if unused {
		c.fail(errIdle)
	}
}
