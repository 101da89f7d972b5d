package clientconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
		is.Equal(w.tracker.Counts(), Counts{Open: 3})
		is.NoErr(w.server.Close())
		synctest.Wait()
		time.Sleep(time.Second)
		is.Equal(w.tracker.Counts(), Counts{Unanswered: 1})
	})
}
