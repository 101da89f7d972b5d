package node

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/hillfork/hillfork/internal/platform/connectadapter"
	"github.com/matryer/is"
)

func TestAnswersOfAStoppingNodeEndTheirConnections(t *testing.T) {
	is := is.New(t)
	var stopping atomic.Bool
	handler := endingConnections(http.NotFoundHandler(), stopping.Load)
	answer := func() string {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", nil))
		return recorder.Header().Get("Connection")
	}
	is.Equal(answer(), "")
	stopping.Store(true)
	is.Equal(answer(), "close")
}

func TestIdleConnectionsAreGivenTheLameDuckPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		connections := newClientConnections()
		took := func() time.Duration {
			began := time.Now()
			connections.await(t.Context())
			return time.Since(began)
		}
		is.Equal(took(), time.Duration(0)) // none is open
		connections.track(nil, http.StateNew)
		connections.track(nil, http.StateNew)
		is.Equal(took(), lameDuckPeriod)
		connections.track(nil, http.StateClosed)
		time.AfterFunc(time.Second, func() { connections.track(nil, http.StateClosed) })
		is.Equal(took(), time.Second) // the last one closed
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
