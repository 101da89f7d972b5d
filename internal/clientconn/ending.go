package clientconn

import "net/http"

// Ending has each answer end its connection while a stop is under way, also where its request came before: otherwise the connection would be
// closed under the client without a word when it may send its next request.
func Ending(next http.Handler, isStopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &endingWriter{ResponseWriter: w, isStopping: isStopping}
		next.ServeHTTP(answer, r)
		answer.begin()
	})
}

// endingWriter decides with the head of an answer whether it ends the connection.
type endingWriter struct {
	http.ResponseWriter
	isStopping func() bool
	begun      bool
}

func (e *endingWriter) begin() {
	if !e.begun && e.isStopping() {
		e.Header().Set("Connection", "close")
	}
	e.begun = true
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
