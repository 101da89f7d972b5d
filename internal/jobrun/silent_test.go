package jobrun_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/matryer/is"
)

// silentConnections is a client with more kept connections than a test uses up. All that are open at a moment go silent then, without
// an end.
type silentConnections struct {
	engineapi.Client
	mutex sync.Mutex
	// since is when the connections went silent, zero before that.
	since time.Time
}

// silence makes all open connections silent.
func (c *silentConnections) silence() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.since = time.Now()
}

// isSilent reports whether a connection on which something was heard at a moment is silent now.
func (c *silentConnections) isSilent(heard time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.since.IsZero() && !heard.After(c.since)
}

func (c *silentConnections) Send(ctx context.Context, engine fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	if c.isSilent(call.HeardSince) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	opened := time.Now()
	reply, err := c.Client.Send(ctx, engine, call)
	if err == nil {
		reply.Body = &silentBody{ReadCloser: reply.Body, client: c, opened: opened, ctx: ctx}
	}
	return reply, err
}

// silentBody is the rest of an answer, on a connection that was opened at a moment.
type silentBody struct {
	io.ReadCloser
	client *silentConnections
	opened time.Time
	ctx    context.Context //nolint:containedctx // a read on a silent connection ends with the call
}

func (b *silentBody) Read(target []byte) (int, error) {
	count, err := b.ReadCloser.Read(target)
	if b.client.isSilent(b.opened) {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	return count, err
}

// TestItemsLeaveSilentConnections guards against items that reach no engine for seconds after all open connections went silent: each was
// sent over one silent connection after the other, though new connections worked.
func TestItemsLeaveSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 8)
		client := &silentConnections{Client: w.engines}
		w.client = client
		owner := w.newNode("owner")
		owner.own(1)
		const events = 100
		one := spec("one", 2)
		for i := range one.Items {
			one.Items[i].Header[memoryengine.EventsHeader] = strconv.Itoa(events)
		}
		w.submit(one)
		time.Sleep(time.Second)
		before := len(w.engines.Runs())
		is.Equal(before, len(one.Items))
		client.silence()
		// A silent stream shows within 1.5 s, and a call over a kept connection within 1.2 s more.
		time.Sleep(3 * time.Second)
		resumed := make(map[string]bool)
		for _, run := range w.engines.Runs()[before:] {
			is.True(run.ResumeAfter > 0)
			resumed[run.RequestID] = true
		}
		is.Equal(len(resumed), len(one.Items))
		time.Sleep((events + 10) * pace)
		results := owner.results("one")
		is.Equal(len(results), len(one.Items))
		for _, result := range results {
			is.True(!result.Dead)
		}
		owner.release()
	})
}
