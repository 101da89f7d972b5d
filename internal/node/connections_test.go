package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/clientconn"
	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/matryer/is"
)

func TestAnswersOfAStoppingNodeEndTheirConnections(t *testing.T) {
	is := is.New(t)
	var stopping atomic.Bool
	handler := clientconn.CloseWhileStopping(http.NotFoundHandler(), stopping.Load, 0)
	answer := func() string {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", nil))
		return recorder.Header().Get("Connection")
	}
	is.Equal(answer(), "")
	stopping.Store(true)
	is.Equal(answer(), "close")
}

// apiNode returns a node of which nothing runs but its API server.
func apiNode(t *testing.T, fabric *simnet.Network) *Node {
	listener, err := fabric.Host("10.0.0.1", "zone", "region").Listen("10.0.0.1:80")
	is.New(t).NoErr(err)
	n := &Node{listeners: listeners{api: listener}}
	n.apiServer = &http.Server{
		Handler: clientconn.CloseWhileStopping(http.NotFoundHandler(), n.stopping.Load, 0), ReadHeaderTimeout: readHeaderTimeout, ConnState: n.connections.Observe,
	}
	t.Cleanup(func() { _ = n.apiServer.Close() })
	go func() { _ = n.apiServer.Serve(n.connections.Listener(listener)) }()
	return n
}

func dialAPI(t *testing.T, fabric *simnet.Network) net.Conn {
	conn, err := fabric.Host("10.0.0.2", "zone", "region").DialContext(t.Context(), "10.0.0.1:80")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

const apiRequest = "GET / HTTP/1.1\r\nHost: node\r\n\r\n"

// TestIdleConnectionsAreGivenTheLameDuckPeriod checks how long a stop waits for connections: not at all if none is open, until clients have
// closed them, or for the period.
func TestIdleConnectionsAreGivenTheLameDuckPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		took := func(use func(fabric *simnet.Network)) time.Duration {
			fabric := simnet.New(simnet.Options{})
			n := apiNode(t, fabric)
			n.stopping.Store(true)
			use(fabric)
			time.Sleep(time.Millisecond) // connections are accepted
			began := time.Now()
			is.NoErr(n.shutdownAPI(t.Context()))
			return time.Since(began)
		}
		is.Equal(took(func(*simnet.Network) {}), time.Duration(0))
		is.Equal(took(func(fabric *simnet.Network) { dialAPI(t, fabric) }).Round(100*time.Millisecond), lameDuckPeriod)
		closed := took(func(fabric *simnet.Network) {
			first, second := dialAPI(t, fabric), dialAPI(t, fabric)
			is.NoErr(first.Close())
			time.AfterFunc(time.Second, func() { _ = second.Close() })
		})
		is.Equal(closed.Round(100*time.Millisecond), time.Second)
	})
}

// A stopping node closed connections in place of answering requests that it had read, as soon as the period for idle connections was over: it
// shut its HTTP server down, which reads what is under way to its end and then closes. The same cause ended requests of the users'
// platform without an answer.

// TestARequestAcrossTheLameDuckPeriodIsAnswered sends the halves of a request before and after the end of the period, on a connection that was
// used before and on a new one.
func TestARequestAcrossTheLameDuckPeriodIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := simnet.New(simnet.Options{})
		n := apiNode(t, fabric)
		kept, fresh := dialAPI(t, fabric), dialAPI(t, fabric)
		keptAnswers := bufio.NewReader(kept)
		_, err := kept.Write([]byte(apiRequest))
		is.NoErr(err)
		answer, err := http.ReadResponse(keptAnswers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
		n.stopping.Store(true)
		ended := make(chan error, 1)
		go func() { ended <- n.shutdownAPI(t.Context()) }()
		time.Sleep(lameDuckPeriod - 100*time.Millisecond)
		for _, conn := range []net.Conn{kept, fresh} {
			_, err := conn.Write([]byte(apiRequest[:20]))
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		for conn, answers := range map[net.Conn]*bufio.Reader{kept: keptAnswers, fresh: bufio.NewReader(fresh)} {
			_, err := conn.Write([]byte(apiRequest[20:]))
			is.NoErr(err)
			answer, err := http.ReadResponse(answers, nil)
			is.NoErr(err)
			is.True(answer.Close)
		}
		is.NoErr(<-ended)
	})
}

// TestUnusedConnectionsOutliveTheirClients opens a connection and uses it when its client would just have closed it.
func TestUnusedConnectionsOutliveTheirClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := simnet.New(simnet.Options{})
		listener, err := fabric.Host("10.0.0.1", "zone", "region").Listen("10.0.0.1:80")
		is.NoErr(err)
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: readHeaderTimeout}
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		conn, err := fabric.Host("10.0.0.2", "zone", "region").DialContext(t.Context(), "10.0.0.1:80")
		is.NoErr(err)
		defer conn.Close()
		time.Sleep(connectadapter.DefaultIdleTimeout)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: node\r\n\r\n"))
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusNotFound)
	})
}
