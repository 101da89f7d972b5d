package clientconn

import (
	"net/http"
	"strconv"
	"time"
)

// Ending has each answer end its connection while a stop is under way, also where its request came before: otherwise the connection would be
// closed under the client without a word when it may send its next request. Before that, answers tell for how many whole seconds an idle
// connection may be used again, if there are any: a client that minds it never sends a request that crosses the close of its
// connection, where a stop waits longer than that before it closes what is idle.
func Ending(next http.Handler, isStopping func() bool, keep time.Duration) http.Handler {
	keepAlive := ""
	if seconds := int64(keep / time.Second); seconds > 0 {
		keepAlive = "timeout=" + strconv.FormatInt(seconds, 10)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &endingWriter{ResponseWriter: w, isStopping: isStopping, keepAlive: keepAlive}
		next.ServeHTTP(answer, r)
		answer.begin()
	})
}

// endingWriter decides with the head of an answer whether it ends the connection.
type endingWriter struct {
	http.ResponseWriter
	isStopping func() bool
	keepAlive  string
	begun      bool
}

func (e *endingWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	switch {
	case e.isStopping():
		e.Header().Set("Connection", "close")
	case e.keepAlive != "":
		e.Header().Set("Keep-Alive", e.keepAlive)
	}
}

// WriteHeader writes the head.
func (e *endingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		e.begin()
	}
	e.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, with the head before it.
func (e *endingWriter) Write(content []byte) (int, error) {
	e.begin()
	return e.ResponseWriter.Write(content)
}

// Flush sends what was written.
func (e *endingWriter) Flush() {
	e.begin()
	// A writer that can't flush sends with the end of the answer.
	_ = http.NewResponseController(e.ResponseWriter).Flush()
}

// Unwrap returns the server's writer.
func (e *endingWriter) Unwrap() http.ResponseWriter {
	return e.ResponseWriter
}
