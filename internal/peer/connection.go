package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const readBufferBytes = 16 << 10

// errKeepAlive reports that the peer did not respond to pings.
var errKeepAlive = errors.New("peer does not respond to pings")

// errIdle reports that the connection was closed because it had no calls.
var errIdle = errors.New("connection is idle")

// counters holds the current values of Stats.
type counters struct {
	protocolErrors  atomic.Uint64
	lostConnections atomic.Uint64
	overloaded      atomic.Uint64
}

func (c *counters) snapshot() Stats {
	return Stats{
		ProtocolErrors:  c.protocolErrors.Load(),
		LostConnections: c.lostConnections.Load(),
		Overloaded:      c.overloaded.Load(),
	}
}

// connection is the part that is common to both ends of a connection: a reader, a writer and a keep-alive.
type connection struct {
	socket    net.Conn
	writer    *frameWriter
	keepAlive *keepAlive
	observer  Observer
	counters  *counters
	// onClose is called once, after the writer has stopped accepting frames.
	onClose   func(cause error)
	closeOnce sync.Once
}

func newConnection(socket net.Conn, settings KeepAlive, observer Observer, counters *counters) *connection {
	c := &connection{
		socket:   socket,
		writer:   newFrameWriter(),
		observer: observer,
		counters: counters,
	}
	c.keepAlive = &keepAlive{
		settings: settings,
		created:  time.Now(),
		ping:     func() { c.sendControl(frameHeader{Kind: kindPing}, ControlMethod) },
		onLost:   func() { c.fail(errKeepAlive) },
	}
	return c
}

// run starts the reader and the writer. handle receives, and owns, each frame except pings and pongs; it must not
// block.
func (c *connection) run(group *sync.WaitGroup, handle func(*frame) error) {
	c.keepAlive.start()
	group.Go(func() {
		if err := c.writer.run(c.socket); err != nil {
			c.fail(err)
		}
	})
	group.Go(func() { c.fail(c.readLoop(handle)) })
}

func (c *connection) readLoop(handle func(*frame) error) error {
	reader := bufio.NewReaderSize(activityReader{c.socket, c.keepAlive}, readBufferBytes)
	for {
		received, err := readFrame(reader)
		if err != nil {
			return err
		}
		switch received.header.Kind {
		case kindPing:
			c.observer.PeerBytes(ControlMethod, 0, received.size)
			received.release()
			c.sendControl(frameHeader{Kind: kindPong}, ControlMethod)
		case kindPong:
			c.observer.PeerBytes(ControlMethod, 0, received.size)
			received.release()
		default:
			if err := handle(received); err != nil {
				return err
			}
		}
	}
}

// send queues a frame and waits for space in the queue; see frameWriter.enqueue.
func (c *connection) send(ctx context.Context, header frameHeader, method string, body Message, mark *atomic.Bool) error {
	encoder := newEncoder()
	defer encoder.release()
	wireMethod := ""
	if header.Kind == kindRequest {
		wireMethod = method
	}
	encoded, err := encoder.encode(header, wireMethod, body)
	if err != nil {
		return err
	}
	if err := c.writer.enqueue(ctx, encoded, mark); err != nil {
		return err
	}
	c.observer.PeerBytes(method, len(encoded), 0)
	return nil
}

// sendControl queues a frame without a body and without waiting; the method is used only to attribute the bytes to it.
func (c *connection) sendControl(header frameHeader, method string) {
	c.sendNow(header, method, nil)
}

// sendNow queues a frame without waiting. It fails the connection if the queue exceeds the limit for control frames.
func (c *connection) sendNow(header frameHeader, method string, body Message) {
	encoder := newEncoder()
	defer encoder.release()
	encoded, err := encoder.encode(header, "", body)
	if err == nil {
		err = c.writer.enqueueControl(encoded)
	}
	switch {
	case err == nil:
		c.observer.PeerBytes(method, len(encoded), 0)
	case !errors.Is(err, errQueueStopped):
		// fail must run on another goroutine: the caller may hold a lock that onClose acquires.
		go c.fail(err)
	}
}

// fail closes the connection with the given cause; only the first cause is reported.
func (c *connection) fail(cause error) {
	c.closeOnce.Do(func() {
		c.writer.stop()
		c.keepAlive.stop()
		// The peer detects the end from its own reads, so an error of Close needs no handling.
		_ = c.socket.Close()
		if errors.Is(cause, errProtocol) {
			c.counters.protocolErrors.Add(1)
		}
		if errors.Is(cause, errKeepAlive) {
			c.counters.lostConnections.Add(1)
		}
		c.onClose(cause)
	})
}

// activityReader records in keepAlive when bytes arrive.
type activityReader struct {
	socket    net.Conn
	keepAlive *keepAlive
}

func (r activityReader) Read(into []byte) (int, error) {
	n, err := r.socket.Read(into)
	if n > 0 {
		r.keepAlive.recordActivity()
	}
	return n, err
}
