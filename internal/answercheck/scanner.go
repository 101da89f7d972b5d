package answercheck

import (
	"bytes"
	"net/http"

	"github.com/hillfork/hillfork/internal/inbound"
)

// part is the part of a message that comes next.
type part int

// Parts of a message.
const (
	// startLine is the first line of a message. Between messages it is next.
	startLine part = iota
	fields
	// body has a stated length.
	body
	chunkSize
	chunkData
	// chunkEnd is the end of the line after the data of a chunk.
	chunkEnd
	trailers
	// openBody ends with the connection.
	openBody
)

// scanner follows the messages that pass in one direction of a connection, without a copy of their bodies. The zero value, with a function
// that parses the first line of a message, is at the beginning of the first message.
type scanner struct {
	parseStart func(line []byte) (head, *Error)
	// bodyless reports whether a message has no body, whatever its head says; nil means that none has.
	bodyless func(head *head) bool

	next part
	head head
	// line is the line that has not ended yet; remaining is the number of bytes left of the body or chunk.
	line      []byte
	remaining int64
	// awaitsFinal is set after an informational answer, until the head of the final one has been scanned.
	awaitsFinal bool
	// count is the number of whole messages, without informational answers.
	count int
}

// isBetweenMessages reports whether the last message is whole and nothing of the next one has been scanned.
func (s *scanner) isBetweenMessages() bool {
	return s.next == startLine && len(s.line) == 0 && !s.awaitsFinal
}

// scan follows the next bytes. It returns the number of bytes before the fault, all if there is none.
func (s *scanner) scan(passed []byte) (int, *Error) {
	for at := 0; at < len(passed); {
		rest := passed[at:]
		switch s.next {
		case openBody:
			return len(passed), nil
		case body, chunkData:
			taken := min(int64(len(rest)), s.remaining)
			at += int(taken)
			s.take(taken)
		default:
			length, err := s.scanLine(rest)
			if err != nil {
				// The end of the line is left out, so that no reader takes the line for one.
				return at + length - 1, err
			}
			at += length
		}
	}
	return len(passed), nil
}

// take counts bytes of a body or a chunk.
func (s *scanner) take(count int64) {
	s.remaining -= count
	if s.remaining > 0 {
		return
	}
	if s.next == chunkData {
		s.next = chunkEnd
		return
	}
	s.endMessage()
}

// endMessage notes that a message is whole.
func (s *scanner) endMessage() {
	s.next = startLine
	s.count++
}

// keptLine is the capacity in bytes of the line's buffer that is kept between lines.
const keptLine = 1 << 10

// scanLine follows the bytes up to the end of the line, or all of them if it does not end. It returns how many there are, including
// that of a fault.
func (s *scanner) scanLine(rest []byte) (int, *Error) {
	end := bytes.IndexByte(rest, '\n')
	if end < 0 {
		s.line = append(s.line, rest...)
		if int64(len(s.line)) > inbound.Head.Limit() {
			return len(rest), broken(Framing, s.line)
		}
		return len(rest), nil
	}
	line := rest[:end]
	if len(s.line) > 0 {
		s.line = append(s.line, line...)
		line = s.line
	}
	err := s.handleLine(bytes.TrimSuffix(line, []byte("\r")))
	if cap(s.line) > keptLine {
		s.line = nil
	}
	s.line = s.line[:0]
	return end + 1, err
}

// handleLine handles a whole line, without its end.
func (s *scanner) handleLine(line []byte) (err *Error) {
	switch s.next {
	case startLine:
		s.head, err = s.parseStart(line)
		s.next = fields
	case fields:
		if len(line) > 0 {
			return s.head.addField(line)
		}
		s.endHead()
	case chunkSize:
		s.remaining, err = parseChunkSize(line)
		s.next = chunkData
		if s.remaining == 0 {
			s.next = trailers
		}
	case chunkEnd:
		if len(line) > 0 {
			return broken(Chunk, line)
		}
		s.next = chunkSize
	case trailers:
		if len(line) > 0 {
			_, _, err = parseField(line)
			return err
		}
		s.endMessage()
	}
	return err
}

// endHead decides what follows the head.
func (s *scanner) endHead() {
	s.awaitsFinal = s.head.isInformational()
	s.remaining = s.head.length
	switch {
	case s.awaitsFinal:
		s.next = startLine
	case s.head.length == 0, s.bodyless != nil && s.bodyless(&s.head):
		s.endMessage()
	case s.head.isCoded:
		s.next = chunkSize
	case s.head.length > 0:
		s.next = body
	case s.head.method != "":
		// A request without a length has no body.
		s.endMessage()
	default:
		s.next = openBody
	}
}

// answerWithoutBody reports whether the answer to a request of a method has no body.
func answerWithoutBody(answer *head, method string) bool {
	return method == http.MethodHead || answer.status == http.StatusNoContent || answer.status == http.StatusNotModified
}
