// Package answercheck decides whether the bytes that arrive on an HTTP/1.1 connection are an answer, and whether it is whole, by the
// grammar of RFC 9112. It does so below the HTTP library, which accepts more and passes it on as an answer: any status, names of fields
// with blanks, folded lines, and the end of a connection as the end of an answer whose request could not be sent.
package answercheck

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// Kind is what is wrong with a broken answer.
type Kind int

// Kinds of broken answers.
const (
	// StatusLine is a first line that is not the status line of HTTP/1.0 or HTTP/1.1.
	StatusLine Kind = iota
	// Status is a status that no answer to these requests can have: below 100, above 599, or a switch of protocols, which no request
	// asks for.
	Status
	// FieldName is a field without a name, or a name that is no token.
	FieldName
	// FieldValue is a control byte in the value of a field.
	FieldValue
	// FoldedLine is a line of a head that begins with a blank or a tab.
	FoldedLine
	// Framing is a length or a transfer coding that leaves open where the body ends.
	Framing
	// Chunk is a chunk whose size is not stated in digits, or that is longer than stated.
	Chunk
	// Cut is an end of the connection before that of the answer.
	Cut
	// Unsent is the end of an answer without a length before its request was sent, or after sending it failed.
	Unsent
	// Kinds is the number of kinds.
	Kinds
)

var kindNames = [Kinds]string{
	"status_line", "status", "field_name", "field_value", "folded_line", "framing", "chunk", "cut", "unsent",
}

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return kindNames[k]
}

// Error is returned for bytes that are no whole answer. The request may have run.
type Error struct {
	Kind Kind
	// Line is the beginning of the offending line, empty if there is none.
	Line string
	// Err is the error behind it, nil if there is none.
	Err error
}

// Error returns the kind of the broken answer and its offending line.
func (e *Error) Error() string {
	text := "broken answer: " + e.Kind.String()
	if e.Line != "" {
		text += fmt.Sprintf(" %q", e.Line)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error behind it.
func (e *Error) Unwrap() error {
	return e.Err
}

// maxShownLine is the number of bytes of an offending line that an error holds.
const maxShownLine = 80

// broken returns the error for a line.
func broken(kind Kind, line []byte) *Error {
	return &Error{Kind: kind, Line: string(line[:min(len(line), maxShownLine)])}
}

// Counter counts and logs broken answers. A nil Counter does neither. It is safe for concurrent use.
type Counter struct {
	logger *log.Logger
	counts [Kinds]atomic.Int64
}

// NewCounter returns a counter that has counted nothing.
func NewCounter(logger *log.Logger) *Counter {
	return &Counter{logger: logger}
}

// Note counts and logs the broken answer that a call failed with, if it did. The sender is an engine, by its id, or a service; the
// request is empty for a call without an id.
func (c *Counter) Note(err error, sender, request string) {
	var found *Error
	if c == nil || !errors.As(err, &found) {
		return
	}
	c.counts[found.Kind].Add(1)
	c.logger.Warn("broken answer", "kind", found.Kind, "sender", sender, "request", request, "error", found)
}

// Count returns the number of broken answers of a kind.
func (c *Counter) Count(kind Kind) int64 {
	return c.counts[kind].Load()
}
