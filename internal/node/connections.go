package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// lameDuckPeriod is how long a stopping node keeps idle connections of clients open. HTTP/1.1 has no way to announce that
// a connection closes, so a request that is sent while the server closes is lost without an answer. Each answer of a
// stopping node ends its connection instead, and only connections that were not used for this long are closed under
// their clients.
const lameDuckPeriod = 5 * time.Second

// clientConnections counts the open connections of the API server.
type clientConnections struct {
	mu   sync.Mutex
	open int
	// changed is closed and replaced when the last connection closes.
	changed chan struct{}
}

func newClientConnections() *clientConnections {
	return &clientConnections{changed: make(chan struct{})}
}

// track is the ConnState hook of an http.Server.
func (c *clientConnections) track(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
	case http.StateClosed, http.StateHijacked:
		c.open--
		if c.open == 0 {
			close(c.changed)
			c.changed = make(chan struct{})
		}
	}
}

func (c *clientConnections) state() (open int, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.changed
}

// await returns when no connection is open, the lame-duck period is over, or ctx ends.
func (c *clientConnections) await(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lameDuckPeriod)
	defer cancel()
	for {
		open, changed := c.state()
		if open == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// endingConnections lets each answer of a stopping node end its connection.
func endingConnections(next http.Handler, isStopping func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isStopping() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// shutdownAPI refuses new connections, lets clients use up those that they hold, and closes the rest.
func (n *Node) shutdownAPI(ctx context.Context) error {
	_ = n.listeners.api.Close()
	n.connections.await(ctx)
	return n.apiServer.Shutdown(ctx)
}
