package node

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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
