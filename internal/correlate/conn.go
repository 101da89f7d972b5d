package correlate

import (
	"errors"
	"net"
	"slices"
	"sync"
)

// recentIDs is the number of requests over a connection whose ids it remembers. An extra answer comes in the place of one of the next
// answers.
const recentIDs = 16

// errRetired is returned for a request over a connection that takes no more requests. Nothing of the request was written.
var errRetired = errors.New("connection takes no more requests")

// conn is a connection that remembers the ids of the last requests that it has carried.
type conn struct {
	net.Conn

	mutex sync.Mutex
	// ids holds the ids of the last requests, of which there were uses.
	ids  [recentIDs]string
	uses int
	// written is set once a part of the current request was written. retired is set once no more requests are written.
	written bool
	retired bool
}

// begin assigns the connection to a request and returns the number of this use. If the answer to the request could be mistaken, the
// connection is closed and takes nothing of the request.
func (c *conn) begin(request *Request) (use int) {
	c.mutex.Lock()
	c.retired = c.retired || !request.AcceptStale && c.carried(request.ID)
	c.ids[c.uses%recentIDs] = request.ID
	c.uses++
	c.written = false
	use, retired := c.uses, c.retired
	c.mutex.Unlock()
	if retired {
		_ = c.Close()
	}
	return use
}

// carried reports whether one of the last requests had an id. The mutex must be held.
func (c *conn) carried(id string) bool {
	return slices.Contains(c.ids[:min(c.uses, recentIDs)], id)
}

// Write writes a part of the current request.
func (c *conn) Write(part []byte) (int, error) {
	if !c.mayWrite() {
		return 0, errRetired
	}
	return c.Conn.Write(part)
}

func (c *conn) mayWrite() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.retired && !c.written {
		return false
	}
	c.written = true
	return true
}

// unwritten reports whether a use has ended without a part of its request being written, because the connection is retired.
func (c *conn) unwritten(use int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.retired && !c.written && c.uses == use
}

// retire has the connection take no more requests. It is closed unless a request after the given use has it.
func (c *conn) retire(use int) {
	c.mutex.Lock()
	c.retired = true
	inUse := c.uses != use
	c.mutex.Unlock()
	if !inUse {
		_ = c.Close()
	}
}

// NetConn returns the connection that carries this one.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}
