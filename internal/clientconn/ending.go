package clientconn

import (
	"net/http"
	"strconv"
	"time"
)

// CloseWhileStopping returns a handler whose responses close their connections while a stop is in progress, including
// responses to requests that arrived before. Otherwise the connection would be closed without notice at a moment when
// the client may send its next request. Before a stop, responses announce how long an idle connection may be reused
// (Keep-Alive: timeout, in whole seconds), if idleTimeout is at least 1 s. A client that respects this never sends a
// request while the server closes the connection, provided that a stop waits longer than that before it closes idle
// connections.
func CloseWhileStopping(next http.Handler, isStopping func() bool, idleTimeout time.Duration) http.Handler {
	keepAlive := ""
	if seconds := int64(idleTimeout / time.Second); seconds > 0 {
		keepAlive = "timeout=" + strconv.FormatInt(seconds, 10)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &endingWriter{ResponseWriter: w, isStopping: isStopping, keepAlive: keepAlive}
		next.ServeHTTP(writer, r)
		writer.start()
	})
}

// endingWriter decides when the header of a response is written whether the response closes the connection.
type endingWriter struct {
	http.ResponseWriter
	isStopping func() bool
	keepAlive  string
	started    bool
}

func (e *endingWriter) start() {
	if e.started {
		return
	}
	e.started = true
	switch {
	case e.isStopping():
		e.Header().Set("Connection", "close")
	case e.keepAlive != "":
		e.Header().Set("Keep-Alive", e.keepAlive)
	}
}

// WriteHeader writes the header.
func (e *endingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		e.start()
	}
	e.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header.
func (e *endingWriter) Write(content []byte) (int, error) {
	e.start()
	return e.ResponseWriter.Write(content)
}

// Flush sends the data written so far.
func (e *endingWriter) Flush() {
	e.start()
	// A writer that can't flush sends the data at the end of the response.
	_ = http.NewResponseController(e.ResponseWriter).Flush()
}

// Unwrap returns the server's writer.
func (e *endingWriter) Unwrap() http.ResponseWriter {
	return e.ResponseWriter
}
