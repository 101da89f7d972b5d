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

// world is a server whose connections are tracked, and a host that calls it.
type world struct {
	test    *testing.T
	tracker Tracker
	server  *http.Server
	fabric  *simnet.Network
}

func newWorld(t *testing.T, handler http.HandlerFunc) *world {
	w := &world{test: t, fabric: simnet.New(simnet.Options{})}
	listener, err := w.fabric.Host("10.0.0.1", "zone", "region").Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	w.server = &http.Server{Handler: handler, ConnState: w.tracker.Observe}
	go func() { _ = w.server.Serve(w.tracker.Listener(listener)) }()
	t.Cleanup(func() { _ = w.server.Close() })
	return w
}

func (w *world) dial() net.Conn {
	connection, err := w.fabric.Host("10.0.0.2", "zone", "region").DialContext(w.test.Context(), address)
	if err != nil {
		w.test.Fatal(err)
	}
	w.test.Cleanup(func() { _ = connection.Close() })
	return connection
}

func write(t *testing.T, connection net.Conn, content string) {
	if _, err := io.WriteString(connection, content); err != nil {
		t.Fatal(err)
	}
}

// answered tells whether a whole answer comes on a connection.
func answered(connection net.Conn) bool {
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil
}

const request = "GET / HTTP/1.1\r\nHost: server\r\n\r\n"

// TestUnansweredRequestsAreCounted checks that a connection counts as ended without an answer only where a request was read from it and
// the client had not left.
func TestUnansweredRequestsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
		idle, leaving, cut := w.dial(), w.dial(), w.dial()
		write(t, idle, request)
		is.True(answered(idle))
		write(t, leaving, request)
		write(t, cut, request)
		time.Sleep(time.Second / 2)
		is.NoErr(leaving.Close())
		time.Sleep(time.Second / 4)
		is.Equal(w.tracker.Counts(), Counts{Open: 3, Unanswered: 1}) // the one whose client waits
		is.NoErr(w.server.Close())
		synctest.Wait()
		time.Sleep(time.Second)
		is.Equal(w.tracker.Counts(), Counts{Unanswered: 1})
	})
}

// TestEndClosesWhatIsQuiet checks that connections on which something is under way are left until it is answered, and that the rest is closed.
func TestEndClosesWhatIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, func(writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Second)
			writer.Header().Set("Connection", "close")
		})
		unused, asking, halfway := w.dial(), w.dial(), w.dial()
		write(t, asking, request)
		write(t, halfway, request[:20])
		time.Sleep(10 * time.Millisecond) // both have come
		ended := make(chan error, 1)
		go func() { ended <- w.tracker.End(t.Context()) }()
		time.Sleep(quietLeast + endLook)
		_, err := unused.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		time.Sleep(time.Second / 2)
		write(t, halfway, request[20:])
		is.True(answered(asking))
		is.True(answered(halfway))
		is.NoErr(<-ended)
		is.Equal(w.tracker.Counts(), Counts{})
	})
}

// TestEndIsBounded checks that a request without an answer holds the end up no longer than it may.
func TestEndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
		write(t, w.dial(), request)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(w.tracker.Await(ctx), context.DeadlineExceeded))
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(w.tracker.End(ctx), context.DeadlineExceeded))
		is.NoErr(w.server.Close())
		time.Sleep(time.Minute)
		is.NoErr(w.tracker.Await(t.Context()))
	})
}

// TestWhatHasComeIsNotClosedUnread checks that a connection with a request that the process has not got to is not taken for idle.
func TestWhatHasComeIsNotClosedUnread(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close() //nolint:errcheck // nothing comes over it
	client, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer client.Close() //nolint:errcheck // nothing comes over it
	var tracker Tracker
	accepted, err := tracker.Listener(listener).Accept()
	is.NoErr(err)
	connection := accepted.(*conn)
	quiet := func() { connection.used = time.Time{} }
	quiet()
	write(t, client, request)
	for !hasInput(connection.Conn) {
		runtime.Gosched()
	}
	is.Equal(tracker.endIdle(), 1)
	n, err := connection.Read(make([]byte, len(request)))
	is.NoErr(err) // it has come, though nobody had read it
	is.Equal(n, len(request))
	quiet()
	is.Equal(tracker.endIdle(), 1)
	is.True(!connection.ending) // it was read and is not answered
	_, err = connection.Write([]byte("answer"))
	is.NoErr(err)
	is.Equal(tracker.endIdle(), 1)
	is.True(!connection.ending) // it was used just now
	quiet()
	is.Equal(tracker.endIdle(), 1)
	_, err = connection.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // nothing has come
	write(t, client, request)
	for !hasInput(connection.Conn) {
		runtime.Gosched()
	}
	tracker.Observe(connection, http.StateActive)
	tracker.Observe(connection, http.StateIdle)
	is.NoErr(connection.SetReadDeadline(time.Now()))
	n, err = connection.Read(make([]byte, len(request)))
	is.NoErr(err) // it came as the server's time for idle connections was over
	is.Equal(n, len(request))
}
