// Package sendguard watches the requests that are sent to engines: an engine may announce that it leaves between the moment at which it
// was chosen and the moment at which the request is written, since opening a connection takes time.
package sendguard

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

// Directory knows which engines leave.
type Directory interface {
	Departure(id string) (fleet.Departure, bool)
}

// Client is an engineapi.Client that logs and counts requests which are written to engines that are known to leave.
type Client struct {
	engineapi.Client
	directory Directory
	logger    *log.Logger
	late      atomic.Int64
}

// New returns a client that sends by another one.
func New(client engineapi.Client, directory Directory, logger *log.Logger) *Client {
	return &Client{Client: client, directory: directory, logger: logger}
}

// Late returns the number of requests that were written to engines known to leave.
func (c *Client) Late() int64 {
	return c.late.Load()
}

// Send implements engineapi.Client.
func (c *Client) Send(ctx context.Context, engine fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	chosenAt := time.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.report(engine, call, chosenAt) },
	})
	return c.Client.Send(ctx, engine, call)
}

// report logs a request that is about to be written if its engine is known to leave.
func (c *Client) report(engine fleet.Engine, call engineapi.Call, chosenAt time.Time) {
	departure, leaves := c.directory.Departure(engine.ID)
	if !leaves {
		return
	}
	c.late.Add(1)
	c.logger.Info("request sent to an engine that leaves", "request", call.RequestID, "engine", engine.ID, "gone", departure.Gone,
		"known_for", time.Since(departure.LearnedAt).Round(time.Millisecond), "chosen_ago", time.Since(chosenAt).Round(time.Millisecond))
}
