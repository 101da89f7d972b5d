package clientconn

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResponsesDuringStopCloseConnections checks that a response decides whether it closes its connection when it is
// first written, whichever call writes it first.
func TestResponsesDuringStopCloseConnections(t *testing.T) {
	is := is.New(t)
	var stopping atomic.Bool
	firstWrites := map[string]func(w http.ResponseWriter){
		"head":  func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) },
		"body":  func(w http.ResponseWriter) { _, _ = w.Write([]byte("answer")) },
		"flush": func(w http.ResponseWriter) { is.NoErr(http.NewResponseController(w).Flush()) },
		"early": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusOK)
		},
	}
	for name, firstWrite := range firstWrites {
		for _, stopMeanwhile := range []bool{false, true} {
			stopping.Store(false)
			recorder := httptest.NewRecorder()
			CloseWhileStopping(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				stopping.Store(stopMeanwhile)
				firstWrite(w)
			}), stopping.Load, 3200*time.Millisecond).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			if got := recorder.Header().Get("Connection") == "close"; got != stopMeanwhile {
				t.Errorf("%s: response closes its connection: %v", name, got)
			}
			if got := recorder.Header().Get("Keep-Alive") == "timeout=3"; got == stopMeanwhile {
				t.Errorf("%s: response announces the idle timeout: %v", name, got)
			}
		}
	}
}

// TestEmptyResponseClosesConnection checks a response that the handler leaves entirely to the server.
func TestEmptyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	emptyHandler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	CloseWhileStopping(emptyHandler, func() bool { return true }, 0).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(recorder.Header().Get("Connection"), "close")
}
