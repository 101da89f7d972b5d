package sendguard

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/matryer/is"
)

const (
	dialTime   = 500 * time.Millisecond
	answerTime = time.Second
)

// slowEngine is an engine to which a connection takes dialTime, and an answer answerTime.
type slowEngine struct {
	engineapi.Client
	transport *http.Transport
	requests  atomic.Int64
}

func newSlowEngine() *slowEngine {
	e := &slowEngine{}
	e.transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		time.Sleep(dialTime)
		near, far := net.Pipe()
		go e.serve(far)
		return near, nil
	}}
	return e
}

func (e *slowEngine) serve(connection net.Conn) {
	defer connection.Close() //nolint:errcheck // nothing is sent after it
	if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
		return
	}
	e.requests.Add(1)
	time.Sleep(answerTime)
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")
	time.Sleep(answerTime)
	_, _ = io.WriteString(connection, "answer")
}

func (e *slowEngine) Send(ctx context.Context, _ fleet.Engine, _ engineapi.Call) (*engineapi.Reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/", nil)
	if err != nil {
		return nil, err
	}
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	return &engineapi.Reply{Status: response.StatusCode, Body: response.Body}, nil
}

// TestRequestThatWaitsForConnectionIsNotSentToLeavingEngine guards against choices of engines that are out of date when they are acted on.
func TestRequestThatWaitsForConnectionIsNotSentToLeavingEngine(t *testing.T) {
	for _, gone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			engine, directory := newSlowEngine(), fleet.NewDirectory()
			defer engine.transport.CloseIdleConnections()
			directory.Upsert(fleet.Engine{ID: "e", Pool: "p"})
			client := New(engine, directory, log.New(io.Discard))
			time.AfterFunc(dialTime/2, func() {
				if gone {
					directory.Remove("e")
				} else {
					directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Draining: true})
				}
			})
			began := time.Now()
			_, err := client.Send(t.Context(), fleet.Engine{ID: "e"}, engineapi.Call{})
			is.True(errors.Is(err, engineapi.ErrNotSent) && errors.Is(err, engineapi.ErrLeaving))
			is.Equal(time.Since(began), dialTime/2)
			_, err = client.Send(t.Context(), fleet.Engine{ID: "e"}, engineapi.Call{})
			is.True(errors.Is(err, engineapi.ErrLeaving)) // the departure is known by now
			time.Sleep(2 * dialTime)
			is.Equal(engine.requests.Load(), int64(0))
			is.Equal(client.Withheld(), int64(2))
		})
	}
}

// TestRequestUnderWayIsNotCutWhenItsEngineLeaves guards against ending what an engine that leaves still completes.
func TestRequestUnderWayIsNotCutWhenItsEngineLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, directory := newSlowEngine(), fleet.NewDirectory()
		directory.Upsert(fleet.Engine{ID: "e", Pool: "p"})
		client := New(engine, directory, log.New(io.Discard))
		time.AfterFunc(dialTime+answerTime/2, func() { directory.Upsert(fleet.Engine{ID: "e", Pool: "p", Draining: true}) })
		time.AfterFunc(dialTime+answerTime+answerTime/2, func() { directory.Remove("e") })
		reply, err := client.Send(t.Context(), fleet.Engine{ID: "e"}, engineapi.Call{})
		is.NoErr(err)
		body, err := io.ReadAll(reply.Body)
		is.NoErr(err)
		is.Equal(string(body), "answer")
		is.NoErr(reply.Body.Close())
		engine.transport.CloseIdleConnections()
	})
}

// TestDepartureAtTheMomentOfConnection guards against requests that are reported as not sent and were written.
func TestDepartureAtTheMomentOfConnection(t *testing.T) {
	withheld := 0
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			engine, directory := newSlowEngine(), fleet.NewDirectory()
			directory.Upsert(fleet.Engine{ID: "e", Pool: "p"})
			client := New(engine, directory, log.New(io.Discard))
			time.AfterFunc(dialTime, func() { directory.Remove("e") })
			reply, err := client.Send(t.Context(), fleet.Engine{ID: "e"}, engineapi.Call{})
			if err == nil {
				_, _ = io.Copy(io.Discard, reply.Body)
				_ = reply.Body.Close()
			} else {
				withheld++
			}
			time.Sleep(2 * answerTime)
			if sent := engine.requests.Load() == 1; sent == errors.Is(err, engineapi.ErrNotSent) {
				t.Errorf("the request was sent: %v, and the error is %v", sent, err)
			}
			engine.transport.CloseIdleConnections()
		})
	}
	t.Logf("%d of 300 requests were withheld", withheld)
}
