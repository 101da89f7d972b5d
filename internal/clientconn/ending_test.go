package clientconn

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswersOfAStopEndTheirConnections checks that an answer decides as it is written whether it ends its connection, however it begins.
func TestAnswersOfAStopEndTheirConnections(t *testing.T) {
	is := is.New(t)
	var stopping atomic.Bool
	begin := map[string]func(w http.ResponseWriter){
		"head":  func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotFound) },
		"body":  func(w http.ResponseWriter) { _, _ = w.Write([]byte("answer")) },
		"flush": func(w http.ResponseWriter) { is.NoErr(http.NewResponseController(w).Flush()) },
		"early": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusOK)
		},
	}
	for name, answer := range begin {
		for _, orderedMeanwhile := range []bool{false, true} {
			stopping.Store(false)
			recorder := httptest.NewRecorder()
			Ending(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				stopping.Store(orderedMeanwhile)
				answer(w)
			}), stopping.Load, 3200*time.Millisecond).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			if got := recorder.Header().Get("Connection") == "close"; got != orderedMeanwhile {
				t.Errorf("%s: ends its connection: %v", name, got)
			}
			if got := recorder.Header().Get("Keep-Alive") == "timeout=3"; got == orderedMeanwhile {
				t.Errorf("%s: tells how long its connection may be used: %v", name, got)
			}
		}
	}
}

// TestAnAnswerWithoutBodyEndsItsConnection checks an answer that its handler leaves to the server to begin.
func TestAnAnswerWithoutBodyEndsItsConnection(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	nothing := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	Ending(nothing, func() bool { return true }, 0).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	is.Equal(recorder.Header().Get("Connection"), "close")
}
