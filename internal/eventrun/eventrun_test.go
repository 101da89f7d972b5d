package eventrun_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/eventrun"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
)

// client is an engine that streams one event, and records whether the request was cancelled when its body was closed.
type client struct {
	engineapi.Client
	ctx       context.Context //nolint:containedctx // the body checks it when it is closed
	cancelled bool
}

func (c *client) Send(ctx context.Context, _ fleet.Engine, _ engineapi.Call) (*engineapi.Reply, error) {
	c.ctx = ctx
	return &engineapi.Reply{Status: http.StatusOK, Stamp: "signed", Body: c}, nil
}

func (c *client) Events(io.Reader) engineapi.EventReader { return c }

func (c *client) Next() (engineapi.Event, error) { return engineapi.Event{ID: 1}, nil }

func (c *client) Read([]byte) (int, error) { return 0, io.EOF }

func (c *client) Close() error {
	c.cancelled = c.ctx.Err() != nil
	return nil
}

// receiver ends the run at the head or at the first event.
type receiver struct {
	atHead bool
}

var errEnd = errors.New("receiver ends the run")

func (r receiver) Head(*engineapi.Reply) error {
	if r.atHead {
		return errEnd
	}
	return nil
}

func (r receiver) Event(engineapi.Event) error { return errEnd }

// TestRunEndedByReceiverIsCancelled ends runs before the end of their stream. Unless the request is cancelled before its body is
// closed, its connection may count as one that the engine broke.
func TestRunEndedByReceiverIsCancelled(t *testing.T) {
	for _, atHead := range []bool{true, false} {
		is := is.New(t)
		engine := &client{}
		result := eventrun.Run(t.Context(), engine, fleet.Engine{}, engineapi.Call{}, eventrun.Limits{First: time.Minute, Gap: time.Minute}, receiver{atHead})
		is.Equal(result.Ending, eventrun.EndedByReceiver)
		is.True(engine.cancelled)
	}
}
