package clientconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/matryer/is"
)

const address = "10.0.0.1:80"

// testEnv is a server whose connections are tracked, and a simulated network with a host that calls it.
type testEnv struct {
	test    *testing.T
	tracker Tracker
	server  *http.Server
	network *simnet.Network
}

func newTestEnv(t *testing.T, handler http.HandlerFunc) *testEnv {
	env := &testEnv{test: t, network: simnet.New(simnet.Options{})}
	listener, err := env.network.Host("10.0.0.1", "zone", "region").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	env.server = &http.Server{Handler: handler, ConnState: env.tracker.Observe}
	go func() { _ = env.server.Serve(env.tracker.Listener(listener)) }()
	t.Cleanup(func() { _ = env.server.Close() })
	return env
}

func (env *testEnv) dial() net.Conn {
	connection, err := env.network.Host("10.0.0.2", "zone", "region").DialContext(env.test.Context(), address)
	if err != nil {
		env.test.Fatal(err)
	}
	env.test.Cleanup(func() { _ = connection.Close() })
	return connection
}

func write(t *testing.T, connection net.Conn, content string) {
	if _, err := io.WriteString(connection, content); err != nil {
		t.Fatal(err)
	}
}

// receivesResponse reports whether a complete response is read from a connection.
func receivesResponse(connection net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

const request = "GET / HTTP/1.1\r\nHost: server\r\n\r\n"

// TestCountsUnansweredRequests checks that a connection counts as closed without a response only if a request was read
// from it and its client had not closed it.
func TestCountsUnansweredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		idle, closing, waiting := env.dial(), env.dial(), env.dial()
		write(t, idle, request)
		is.True(receivesResponse(idle))
		write(t, closing, request)
		write(t, waiting, request)
		time.Sleep(time.Second / 2)
		is.NoErr(closing.Close())
		time.Sleep(time.Second / 4)
		is.Equal(env.tracker.Counts(), Counts{Open: 3, Unanswered: 1}) // the one whose client still waits
		is.NoErr(env.server.Close())
		synctest.Wait()
		time.Sleep(time.Second)
		is.Equal(env.tracker.Counts(), Counts{Unanswered: 1})
	})
}

// TestCloseIdleKeepsActiveConnections checks that connections with a request in progress stay open until it is
// answered, and that the others are closed.
func TestCloseIdleKeepsActiveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, func(writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			writer.Header().Set("Connection", "close")
		})
		unused, complete, partial := env.dial(), env.dial(), env.dial()
		write(t, complete, request)
		write(t, partial, request[:20])
		time.Sleep(10 * time.Millisecond) // both have arrived
		ended := make(chan error, 1)
		go func() { ended <- env.tracker.CloseIdle(t.Context()) }()
		time.Sleep(minIdle + idleCheckInterval)
		_, err := unused.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		time.Sleep(time.Second / 2)
		write(t, partial, request[20:])
		is.True(receivesResponse(complete))
		is.True(receivesResponse(partial))
		is.NoErr(<-ended)
		is.Equal(env.tracker.Counts(), Counts{})
	})
}

// TestCloseIdleReturnsWhenContextEnds checks that a request without a response does not keep WaitClosed and CloseIdle
// beyond the end of their contexts.
func TestCloseIdleReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		write(t, env.dial(), request)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(env.tracker.WaitClosed(ctx), context.DeadlineExceeded))
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(env.tracker.CloseIdle(ctx), context.DeadlineExceeded))
		is.NoErr(env.server.Close())
		time.Sleep(time.Minute)
		is.NoErr(env.tracker.WaitClosed(t.Context()))
	})
}

// TestPendingRequestIsNotClosedAsIdle checks that a connection is not considered idle if it has received a request that
// the process has not read yet.
func TestPendingRequestIsNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close() //nolint:errcheck // no data is lost
	client, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer client.Close() //nolint:errcheck // no data is lost
	var tracker Tracker
	accepted, err := tracker.Listener(listener).Accept()
	is.NoErr(err)
	connection := accepted.(*conn)
	makeIdle := func() { connection.lastUsed = time.Time{} }
	makeIdle()
	write(t, client, request)
	for !hasInput(connection.Conn) {
		runtime.Gosched()
	}
	is.Equal(tracker.interruptIdle(), 1)
	n, err := connection.Read(make([]byte, len(request)))
	is.NoErr(err) // it had arrived, though not been read
	is.Equal(n, len(request))
	makeIdle()
	is.Equal(tracker.interruptIdle(), 1)
	is.True(!connection.interrupted) // the request was read and is not answered
	_, err = connection.Write([]byte("answer"))
	is.NoErr(err)
	is.Equal(tracker.interruptIdle(), 1)
	is.True(!connection.interrupted) // the connection was just used
	makeIdle()
	is.Equal(tracker.interruptIdle(), 1)
	_, err = connection.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // no data arrived
	write(t, client, request)
	for !hasInput(connection.Conn) {
		runtime.Gosched()
	}
	tracker.Observe(connection, http.StateActive)
	tracker.Observe(connection, http.StateIdle)
	is.NoErr(connection.SetReadDeadline(time.Now()))
	n, err = connection.Read(make([]byte, len(request)))
	is.NoErr(err) // the request arrived when the server's idle timeout expired
	is.Equal(n, len(request))
}
