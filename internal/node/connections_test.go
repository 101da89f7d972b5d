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

// TestStoppingNodeClosesConnectionsWithResponses checks that responses carry "Connection: close" once the node stops.
func TestStoppingNodeClosesConnectionsWithResponses(t *testing.T) {
	is := is.New(t)
	var stopping atomic.Bool
	handler := clientconn.CloseWhileStopping(http.NotFoundHandler(), stopping.Load, 0)
	connectionHeader := func() string {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", nil))
		return recorder.Header().Get("Connection")
	}
	is.Equal(connectionHeader(), "")
	stopping.Store(true)
	is.Equal(connectionHeader(), "close")
}

// apiNode returns a node that runs only its API server.
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

// TestShutdownWaitsForIdleConnections checks how long a shutdown waits for open connections: not at all if none is open,
// until the clients have closed them, or for lameDuckPeriod.
func TestShutdownWaitsForIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shutdownDuration := func(use func(fabric *simnet.Network)) time.Duration {
			fabric := simnet.New(simnet.Options{})
			n := apiNode(t, fabric)
			n.stopping.Store(true)
			use(fabric)
			time.Sleep(time.Millisecond) // lets the server accept the connections
			started := time.Now()
			is.NoErr(n.shutdownAPI(t.Context()))
			return time.Since(started)
		}
		is.Equal(shutdownDuration(func(*simnet.Network) {}), time.Duration(0))
		is.Equal(shutdownDuration(func(fabric *simnet.Network) { dialAPI(t, fabric) }).Round(100*time.Millisecond), lameDuckPeriod)
		closed := shutdownDuration(func(fabric *simnet.Network) {
			first, second := dialAPI(t, fabric), dialAPI(t, fabric)
			is.NoErr(first.Close())
			time.AfterFunc(time.Second, func() { _ = second.Close() })
		})
		is.Equal(closed.Round(100*time.Millisecond), time.Second)
	})
}

// TestRequestSpanningLameDuckPeriodGetsResponse sends the two halves of a request before and after the end of lameDuckPeriod,
// on a connection that was used before and on a new one. A stopping node used to call http.Server.Shutdown at the end of the
// period, which reads a request in progress to its end and then closes the connection without a response. Requests of the
// users' platform were lost for the same reason.
func TestRequestSpanningLameDuckPeriodGetsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fabric := simnet.New(simnet.Options{})
		n := apiNode(t, fabric)
		reused, fresh := dialAPI(t, fabric), dialAPI(t, fabric)
		reusedReader := bufio.NewReader(reused)
		_, err := reused.Write([]byte(apiRequest))
		is.NoErr(err)
		response, err := http.ReadResponse(reusedReader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		n.stopping.Store(true)
		shutdownDone := make(chan error, 1)
		go func() { shutdownDone <- n.shutdownAPI(t.Context()) }()
		time.Sleep(lameDuckPeriod - 100*time.Millisecond)
		for _, conn := range []net.Conn{reused, fresh} {
			_, err := conn.Write([]byte(apiRequest[:20]))
			is.NoErr(err)
		}
		time.Sleep(time.Second)
		for conn, reader := range map[net.Conn]*bufio.Reader{reused: reusedReader, fresh: bufio.NewReader(fresh)} {
			_, err := conn.Write([]byte(apiRequest[20:]))
			is.NoErr(err)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.True(response.Close)
		}
		is.NoErr(<-shutdownDone)
	})
}

// TestUnusedConnectionOutlastsClientIdleTimeout checks that the server still responds on a connection that is first used after
// the idle timeout at which its client would close it.
func TestUnusedConnectionOutlastsClientIdleTimeout(t *testing.T) {
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
