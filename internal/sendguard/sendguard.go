// Package sendguard keeps requests from engines that leave. An engine may announce that it leaves between the moment at which it was
// chosen and the moment at which the request is written, since opening a connection takes time.
package sendguard

import (
	"context"
	"fmt"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

// Directory knows which engines leave.
type Directory interface {
	// OnDeparture calls a function once when it becomes known that an engine leaves, unless cancel is called before. It returns true
	// instead if that is known already.
	OnDeparture(id string, call func()) (cancel func(), leaves bool)
}

// Client is an engineapi.Client that sends no request to an engine that is known to leave.
type Client struct {
	engineapi.Client
	directory Directory
	logger    *log.Logger
	withheld  atomic.Int64
}

// New returns a client that sends by another one, which must call the hooks of package httptrace for its connections.
func New(client engineapi.Client, directory Directory, logger *log.Logger) *Client {
	return &Client{Client: client, directory: directory, logger: logger}
}

// Withheld returns the number of requests that were not sent since their engine leaves.
func (c *Client) Withheld() int64 {
	return c.withheld.Load()
}

// Send implements engineapi.Client. If the engine leaves before there is a connection to it, the error wraps engineapi.ErrLeaving.
func (c *Client) Send(ctx context.Context, engine fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	chosenAt := time.Now()
	ctx, abort := context.WithCancelCause(ctx)
	waiting := &attempt{abort: abort}
	cancel, leaves := c.directory.OnDeparture(engine.ID, waiting.engineLeaves)
	if leaves {
		abort(nil)
		return nil, c.withhold(engine, call, chosenAt)
	}
	defer cancel()
	reply, err := c.Client.Send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: waiting.connected}), engine, call)
	if err != nil {
		// The context of a reply that was received has to outlive this call.
		abort(nil)
	}
	if err != nil && waiting.withheld() {
		return nil, c.withhold(engine, call, chosenAt)
	}
	return reply, err
}

// withhold counts and logs a request that is not sent, and returns its error.
func (c *Client) withhold(engine fleet.Engine, call engineapi.Call, chosenAt time.Time) error {
	c.withheld.Add(1)
	c.logger.Info("request not sent to an engine that leaves", "request", call.RequestID, "engine", engine.ID,
		"chosen_ago", time.Since(chosenAt).Round(time.Millisecond))
	return fmt.Errorf("%w: %w", engineapi.ErrNotSent, engineapi.ErrLeaving)
}

// attempt is a request that waits for a connection.
type attempt struct {
	abort context.CancelCauseFunc

	mutex sync.Mutex
	// sending is set once the request has a connection, left once the engine leaves before that.
	sending, left bool
}

// engineLeaves aborts the request unless it has a connection.
func (a *attempt) engineLeaves() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.sending {
		return
	}
	a.left = true
	a.abort(engineapi.ErrLeaving)
}

// connected notes that the request has a connection. The transport may write the request after its context has ended, so the
// connection of an aborted request is closed.
func (a *attempt) connected(info httptrace.GotConnInfo) {
	if !a.begin() {
		_ = info.Conn.Close()
	}
}

// begin notes that the request is about to be written, and returns false if it was aborted.
func (a *attempt) begin() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sending = !a.left
	return a.sending
}

// withheld reports whether the request was aborted before any of it was sent.
func (a *attempt) withheld() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.left
}
