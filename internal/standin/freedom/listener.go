package freedom

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Options say how the answers of a server are known.
type Options struct {
	// IDHeader is the header in which an answer repeats the id of its request. Answers without it are those of calls to the server itself; they
	// are repeated and end their connections, and are otherwise sound.
	IDHeader string
	// Taken is called with each freedom that an answer takes, and the id of its request; nil for none.
	Taken func(kind Kind, id string)
}

// Listener accepts connections of a server of HTTP/1.1 whose answers take freedoms.
type Listener struct {
	net.Listener
	draws   *Draws
	options Options

	mutex sync.Mutex
	open  map[*conn]bool
	// silent holds the connections that the server has closed after they went silent. Their peers do not learn of it.
	silent []net.Conn
}

// Listen returns a listener whose connections take the freedoms that are drawn.
func Listen(listener net.Listener, draws *Draws, options Options) *Listener {
	return &Listener{Listener: listener, draws: draws, options: options, open: make(map[*conn]bool)}
}

// Accept waits for the next connection that is not refused.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for err == nil && l.draws.Takes(Refuse) {
		Reset(accepted)
		accepted, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	opened := &conn{Conn: accepted, listener: l, silenced: make(chan struct{})}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[opened] = true
	return opened, nil
}

// Close ends the listener, and the connections that went silent.
func (l *Listener) Close() error {
	l.mutex.Lock()
	silent := l.silent
	l.silent = nil
	l.mutex.Unlock()
	for _, each := range silent {
		_ = each.Close()
	}
	return l.Listener.Close()
}

// silentFor is how long a server keeps a connection that has gone silent, by its own timeout.
const silentFor = time.Second

// Silence makes all open connections silent for good, and returns how many there are: what the server writes does not arrive, what its peer
// writes is not read, and neither learns of the other's end. The server ends its side after its own timeout.
func (l *Listener) Silence() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for each := range l.open {
		each.silence()
	}
	count := len(l.open)
	clear(l.open)
	return count
}

// forget drops a connection that the server closes, and reports whether it may be closed for its peer too.
func (l *Listener) forget(closed *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, closed)
	if closed.isSilent() {
		l.silent = append(l.silent, closed.Conn)
		return false
	}
	return true
}

// errCut is returned for writes of an answer after it was broken off.
var errCut = errors.New("answer was broken off")

// maxCopy is the size in bytes of the largest answer that is repeated.
const maxCopy = 8 << 10

// trickle is the size of the pieces of an answer that trickles, and the pause between two.
const (
	trickleBytes = 7
	tricklePause = 2 * time.Millisecond
	// tricklePieces is the maximum number of pieces of one write, so that a long answer still arrives in time.
	tricklePieces = 20
)

// surplusText is what is sent after a whole answer.
const surplusText = "more than was asked for\r\n"

// garbageText is sent in the place of an answer.
const garbageText = "\x00\x01 these bytes are no answer\r\n\r\n"

// conn is one connection of a server, on which one request at a time is under way.
type conn struct {
	net.Conn
	listener *Listener
	// silenced is closed once the connection goes silent.
	silenced    chan struct{}
	silenceOnce sync.Once

	mutex sync.Mutex
	// current is the answer that is being written, nil between two. kind is the freedom that it takes if takes is set.
	current *answer
	kind    Kind
	takes   bool
	// sent counts the bytes of the current answer that were passed on, cutAfter is the number after which it is cut.
	sent, cutAfter int
	// written holds the current answer, for its copy; pending is the copy that comes before the next one, pendingID the id of its request.
	written   []byte
	pending   []byte
	pendingID string
	cut       bool
}

func (c *conn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silenced)
		// What waits in a read returns, and waits for the server's timeout then.
		_ = c.Conn.SetReadDeadline(time.Now())
	})
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

// SetReadDeadline sets the deadline of reads. A silent connection keeps the one by which its reads have ended.
func (c *conn) SetReadDeadline(at time.Time) error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(at time.Time) error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetDeadline(at)
}

// Read reads of the next request. It takes no lock, since an answer that trickles holds it for a time.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := 0, error(nil)
	if !c.isSilent() {
		n, err = c.Conn.Read(buffer)
	}
	if c.isSilent() {
		time.Sleep(silentFor)
		return 0, io.EOF
	}
	return n, err
}

// Write writes a part of an answer.
func (c *conn) Write(part []byte) (int, error) {
	if c.isSilent() {
		return len(part), nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cut {
		return 0, errCut
	}
	if err := c.pass(part); err != nil {
		return 0, err
	}
	return len(part), nil
}

// pass passes a part of an answer on as its freedom has it. The mutex must be held.
func (c *conn) pass(part []byte) error {
	if c.current != nil && c.current.whole {
		// The server answers the next request.
		c.current = nil
	}
	if c.current == nil {
		return c.passFirst(part)
	}
	return c.passBody(part)
}

// passFirst begins an answer. The mutex must be held.
func (c *conn) passFirst(part []byte) error {
	begun := &answer{}
	body, ok := begun.begin(part, c.listener.options.IDHeader)
	if !ok {
		_, err := c.Conn.Write(part)
		return err
	}
	if c.pending != nil {
		c.tell(Copy, c.pendingID)
		if _, err := c.Conn.Write(c.pending); err != nil {
			return err
		}
		c.pending = nil
	}
	c.current, c.written, c.sent = begun, nil, 0
	c.draw()
	head := begun.head
	switch {
	case !c.takes:
	case c.kind == Garbage:
		_, _ = c.Conn.Write([]byte(garbageText))
		return c.end(false)
	case c.kind == Unframed, c.kind == UnframedCut:
		head = begun.unframed()
	case c.kind == BadHead:
		head = begun.bent(c.listener.draws.Number(BadHead, len(bends)))
	case c.kind == Close:
		head = begun.closing()
	}
	if c.takes && c.kind == UnframedCut {
		c.cutAfter += len(head)
	}
	if err := c.send(head); err != nil {
		return err
	}
	return c.passBody(body)
}

// draw draws the freedom of the current answer. The mutex must be held.
func (c *conn) draw() {
	c.takes = false
	id := c.current.id
	if c.current.length == untilClosed {
		// The server itself says what becomes of it.
		return
	}
	choice := []Kind{Close, Copy}
	if id != "" {
		choice = []Kind{Cut, UnframedCut, Garbage, BadHead, Unframed, Surplus, Trickle, Close, Copy}
	}
	c.kind, c.takes = c.listener.draws.First(choice...)
	if !c.takes {
		return
	}
	switch c.kind {
	case Cut:
		c.cutAfter = 1 + c.listener.draws.Number(Cut, 2*len(c.current.head))
	case UnframedCut:
		c.cutAfter = 1 + c.listener.draws.Number(UnframedCut, 200)
	}
	if c.kind != Copy {
		c.tell(c.kind, id)
	}
}

func (c *conn) tell(kind Kind, id string) {
	if c.listener.options.Taken != nil {
		c.listener.options.Taken(kind, id)
	}
}

// passBody passes a part of the body on. The mutex must be held.
func (c *conn) passBody(part []byte) error {
	current := c.current
	data := current.add(part)
	if c.takes && (c.kind == Unframed || c.kind == UnframedCut) {
		part = data
	}
	if err := c.send(part); err != nil {
		return err
	}
	if !current.whole || !c.takes {
		return nil
	}
	switch c.kind {
	case Unframed, Close, BadHead:
		return c.end(true)
	case UnframedCut, Cut:
		// It was shorter than what was to be sent of it. One without a length would look whole.
		return c.end(false)
	case Surplus:
		_, err := c.Conn.Write([]byte(surplusText))
		return err
	case Copy:
		if len(c.written) <= maxCopy {
			c.pending, c.pendingID = c.written, current.id
		}
	}
	return nil
}

// send sends bytes of the current answer. The mutex must be held.
func (c *conn) send(bytes []byte) error {
	if c.takes && c.kind == Copy && len(c.written) <= maxCopy {
		c.written = append(c.written, bytes...)
	}
	if c.takes && (c.kind == Cut || c.kind == UnframedCut) && c.sent+len(bytes) >= c.cutAfter {
		_, _ = c.Conn.Write(bytes[:c.cutAfter-c.sent])
		return c.end(false)
	}
	c.sent += len(bytes)
	if !c.takes || c.kind != Trickle {
		_, err := c.Conn.Write(bytes)
		return err
	}
	for piece := 0; len(bytes) > 0; piece++ {
		step := min(trickleBytes, len(bytes))
		if piece == tricklePieces {
			step = len(bytes)
		}
		if _, err := c.Conn.Write(bytes[:step]); err != nil {
			return err
		}
		bytes = bytes[step:]
		time.Sleep(tricklePause)
	}
	return nil
}

// end ends the connection after the current answer, or within it by a reset. The mutex must be held.
func (c *conn) end(whole bool) error {
	c.cut = true
	if !whole {
		Reset(c.Conn)
		return errCut
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		// The server closes the rest once its peer has.
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Close closes the connection. The peer of one that is silent does not learn of it.
func (c *conn) Close() error {
	if !c.listener.forget(c) {
		return nil
	}
	return c.Conn.Close()
}

// Reset closes a connection by a reset, if it can be.
func Reset(connection net.Conn) {
	switch resetting := connection.(type) {
	case interface{ Reset() error }:
		_ = resetting.Reset()
	case interface{ SetLinger(seconds int) error }:
		_ = resetting.SetLinger(0)
	}
	_ = connection.Close()
}
