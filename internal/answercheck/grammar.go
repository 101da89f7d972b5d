package answercheck

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// noLength is the length of a message that states none.
const noLength = -1

// head is what the head of a message says of the message's body.
type head struct {
	// status is that of an answer; method is that of a request.
	status int
	method string
	// isHTTP10 is set for messages of HTTP/1.0.
	isHTTP10 bool
	// length is the stated length of the body in bytes, or noLength. isCoded is set if a transfer coding is stated.
	length  int64
	isCoded bool
}

// isInformational reports whether another answer follows that of the head.
func (h *head) isInformational() bool {
	return h.method == "" && h.status < http.StatusOK
}

const (
	statusDigits = 3
	// minStatus and maxStatus bound the statuses that have a meaning.
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the head that begins with a status line, of which the reason and the blank before it may be missing.
func parseStatusLine(line []byte) (head, *Error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	isHTTP10 := string(version) == "HTTP/1.0"
	if !isHTTP10 && string(version) != "HTTP/1.1" {
		return head{}, broken(StatusLine, line)
	}
	if len(code) != statusDigits || !isDigits(code) || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return head{}, broken(StatusLine, line)
	}
	status, _ := strconv.Atoi(string(code))
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return head{}, broken(Status, line)
	}
	return head{status: status, isHTTP10: isHTTP10, length: noLength}, nil
}

// parseRequestLine returns the head that begins with a request line, which this process has written.
func parseRequestLine(line []byte) (head, *Error) {
	method, _, _ := bytes.Cut(line, []byte(" "))
	return head{method: string(method), length: noLength}, nil
}

// addField adds a line of the head. A field that says where the body ends may stand there once.
func (h *head) addField(line []byte) *Error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, ok := parseLength(value)
		if !ok || h.length != noLength || h.isCoded {
			return broken(Framing, line)
		}
		h.length = length
	case strings.EqualFold(name, "Transfer-Encoding"):
		if !strings.EqualFold(value, "chunked") || h.length != noLength || h.isCoded || h.isHTTP10 {
			return broken(Framing, line)
		}
		h.isCoded = true
	}
	return nil
}

// parseField splits a line of a head or of trailers.
func parseField(line []byte) (name, value string, err *Error) {
	if line[0] == ' ' || line[0] == '\t' {
		return "", "", broken(FoldedLine, line)
	}
	before, after, found := bytes.Cut(line, []byte(":"))
	name, value = string(before), string(after)
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return "", "", broken(FieldName, line)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return "", "", broken(FieldValue, line)
	}
	return name, strings.Trim(value, " \t"), nil
}

// parseLength parses the value of Content-Length.
func parseLength(value string) (int64, bool) {
	if !isDigits([]byte(value)) {
		return 0, false
	}
	length, err := strconv.ParseInt(value, 10, 64)
	return length, err == nil
}

// maxChunkDigits is the number of hexadecimal digits of which each number fits an int64.
const maxChunkDigits = 15

// parseChunkSize parses the line before a chunk. Extensions of a chunk say nothing here. The blanks that the grammar allows before them for
// bad senders are a fault, as for the HTTP library.
func parseChunkSize(line []byte) (int64, *Error) {
	size, extension, _ := bytes.Cut(line, []byte(";"))
	if len(size) == 0 || len(size) > maxChunkDigits || !httpguts.ValidHeaderFieldValue(string(extension)) {
		return 0, broken(Chunk, line)
	}
	parsed, err := strconv.ParseUint(string(size), 16, 64)
	if err != nil || parsed > math.MaxInt64 {
		return 0, broken(Chunk, line)
	}
	return int64(parsed), nil
}

func isDigits(text []byte) bool {
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(text) > 0
}
