package freedom

import (
	"bytes"
	"strconv"
	"strings"
)

// answer is the part of an HTTP/1.1 answer that a server has written so far.
type answer struct {
	// head holds the status line and the headers with the empty line behind them, nil while they are not whole.
	head []byte
	// id is the value of the header that names the request.
	id string
	// length is the length of the body, inChunks if it is sent in chunks, untilClosed if it ends with the connection.
	length int
	// body counts the bytes behind the head, data those of the body without the frames of chunks.
	body int
	// chunk is where the body is among its chunks.
	chunk chunkReader
	// whole is set once the answer is complete.
	whole bool
}

const (
	inChunks    = -1
	untilClosed = -2
)

var headEnd = []byte("\r\n\r\n")

// isInformational reports whether a head is of an answer that precedes the final one.
func isInformational(head []byte) bool {
	return bytes.HasPrefix(head, []byte("HTTP/1.1 1"))
}

// begin takes the first bytes of an answer and returns those of the body among them. It returns false if the head is not whole.
func (a *answer) begin(first []byte, idHeader string) (body []byte, ok bool) {
	end := bytes.Index(first, headEnd)
	if end < 0 || isInformational(first) {
		return nil, false
	}
	a.head = bytes.Clone(first[:end+len(headEnd)])
	a.id, a.length = a.header(idHeader), untilClosed
	if stated := a.header("Content-Length"); stated != "" {
		a.length, _ = strconv.Atoi(stated)
	}
	if strings.EqualFold(a.header("Transfer-Encoding"), "chunked") {
		a.length = inChunks
	}
	return first[end+len(headEnd):], true
}

// header returns the value of a header, empty if there is none.
func (a *answer) header(name string) string {
	for line := range strings.SplitSeq(string(a.head), "\r\n") {
		if key, value, found := strings.Cut(line, ":"); found && strings.EqualFold(key, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// add takes further bytes of the body and returns the body's data among them.
func (a *answer) add(bytes []byte) (data []byte) {
	a.body += len(bytes)
	switch a.length {
	case untilClosed:
		return bytes
	case inChunks:
		data = a.chunk.read(bytes)
		a.whole = a.chunk.ended
		return data
	}
	a.whole = a.body >= a.length
	return bytes
}

// unframed returns the head without what tells the body's length.
func (a *answer) unframed() []byte {
	return a.rewritten("Connection: close", "Content-Length", "Transfer-Encoding", "Connection")
}

// closing returns the head of an answer that ends its connection.
func (a *answer) closing() []byte {
	return a.rewritten("Connection: close", "Connection")
}

// bends are the ways in which a head is bent so that it is none. Each gets the lines of the head without their ends, of which the first is the
// status line.
var bends = []func(lines []string){
	func(lines []string) { lines[0] = "HTTP/1.1 000 OK" },
	func(lines []string) { lines[0] = "HTTP/1.1 099 OK" },
	func(lines []string) { lines[0] = "HTTP/1.1 101 Switching Protocols" },
	func(lines []string) { lines[0] = "HTTP/1.1 999 OK" },
	func(lines []string) { lines[0] = "HTTP/2.0 200 OK" },
	func(lines []string) { lines[0] += "\r\nBad Name: x" },
	func(lines []string) { lines[0] += "\r\nBad\x01Name: x" },
	func(lines []string) { lines[0] += "\r\nName: a\x00b" },
	func(lines []string) { lines[0] += "\r\n folded" },
	func(lines []string) { lines[len(lines)-1] += "\r\n folded" },
	func(lines []string) { lines[0] += "\r\nContent-Length: 1\r\nContent-Length: 2" },
	func(lines []string) {
		for i, line := range lines {
			for _, framing := range []string{"Content-Length", "Transfer-Encoding"} {
				if value, found := strings.CutPrefix(line, framing+":"); found {
					lines[i] = framing + " :" + value
				}
			}
		}
	},
}

// bent returns the head bent in one of the ways of bends.
func (a *answer) bent(way int) []byte {
	lines := strings.Split(strings.TrimSuffix(string(a.head), "\r\n\r\n"), "\r\n")
	bends[way](lines)
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// rewritten returns the head with one more line and without some headers.
func (a *answer) rewritten(added string, without ...string) []byte {
	lines := strings.Split(strings.TrimSuffix(string(a.head), "\r\n\r\n"), "\r\n")
	kept := lines[:1]
	for _, line := range lines[1:] {
		key, _, _ := strings.Cut(line, ":")
		drop := false
		for _, name := range without {
			drop = drop || strings.EqualFold(key, name)
		}
		if !drop {
			kept = append(kept, line)
		}
	}
	return []byte(strings.Join(append(kept, added), "\r\n") + "\r\n\r\n")
}

// chunkReader takes the frames off a body in chunks. Chunks have no extensions, and there are no trailers.
type chunkReader struct {
	// line is the part of the current size line that was read; left is what is left of the current chunk with the line end behind it.
	line []byte
	left int
	// last is set at the chunk of size 0, ended once the line end behind it was read.
	last, ended bool
}

// read takes bytes and returns the data among them.
func (c *chunkReader) read(from []byte) (data []byte) {
	for len(from) > 0 && !c.ended {
		if c.left > 0 {
			step := min(c.left, len(from))
			dataStep := max(0, min(step, c.left-2))
			data = append(data, from[:dataStep]...)
			c.left -= step
			from = from[step:]
			c.ended = c.last && c.left == 0
			continue
		}
		c.line = append(c.line, from[0])
		from = from[1:]
		if !bytes.HasSuffix(c.line, []byte("\r\n")) {
			continue
		}
		size, _ := strconv.ParseInt(strings.TrimSpace(string(c.line)), 16, 32)
		c.line, c.left, c.last = nil, int(size)+2, size == 0
	}
	return data
}
