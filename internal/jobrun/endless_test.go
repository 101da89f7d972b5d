package jobrun_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
)

// endlessEvents is a client of engines of which one sends events in sequence without end.
type endlessEvents struct {
	engineapi.Client
	engineID string
}

// endlessData is the data of each of its events, so that a few fill a result.
var endlessData = strings.Repeat("a", job.MaxTextBytes/16)

// endlessBody is the body of an answer of that engine.
type endlessBody struct {
	io.ReadCloser
	next int64
}

func (c *endlessEvents) Send(ctx context.Context, engine fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	reply, err := c.Client.Send(ctx, engine, call)
	if err == nil && engine.ID == c.engineID {
		reply.Body = &endlessBody{ReadCloser: reply.Body, next: call.ResumeAfter}
	}
	return reply, err
}

func (c *endlessEvents) Events(body io.Reader) engineapi.EventReader {
	if endless, ok := body.(*endlessBody); ok {
		return endless
	}
	return c.Client.Events(body)
}

// Next implements engineapi.EventReader.
func (b *endlessBody) Next() (engineapi.Event, error) {
	time.Sleep(time.Millisecond)
	b.next++
	return engineapi.Event{ID: b.next, Data: endlessData}, nil
}

// TestTextWithoutEndIsDiscarded guards against an engine that sends events without end for an item: its text grew until the process had no
// memory left. The item must start anew at another engine and be complete.
func TestTextWithoutEndIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.client = &endlessEvents{Client: w.engines, engineID: w.models[0].ID}
		owner := w.newNode("owner")
		owner.own(1)
		one := spec("one", 4)
		w.submit(one)
		time.Sleep(5 * time.Second)
		owner.checkComplete(one)
		owner.release()
	})
}
