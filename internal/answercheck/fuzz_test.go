package answercheck_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/hillfork/hillfork/internal/answercheck"
	"golang.org/x/net/http/httpguts"
)

// choices draws the parts of an answer from the input of a fuzz test.
type choices struct {
	input []byte
}

// number returns a number from 0 to limit-1.
func (c *choices) number(limit int) int {
	if len(c.input) == 0 || limit < 2 {
		return 0
	}
	drawn := int(c.input[0])
	c.input = c.input[1:]
	return drawn % limit
}

func pick[T any](c *choices, from ...T) T {
	return from[c.number(len(from))]
}

// text returns up to limit-1 bytes of an alphabet.
func (c *choices) text(alphabet string, limit int) string {
	var text strings.Builder
	for range c.number(limit) {
		text.WriteByte(alphabet[c.number(len(alphabet))])
	}
	return text.String()
}

const (
	tokenBytes = "aZ09!#$%&'*+-.^_`|~"
	// noTokenBytes are bytes that no name of a field has. A colon ends a name.
	noTokenBytes = " \t\x00\x01\x1f\x7f\x80\xff()<>@,;\\\"/[]?={}"
	valueBytes   = "aZ09 \t:;,\"\xe4\xff!~"
	controlBytes = "\x00\x01\x08\x0b\x0c\x0e\x1f\x7f\r"
	bodyBytes    = "ab\r\n0 :\x00\xff"
)

// builtAnswer is an answer by the grammar of RFC 9112, in parts of which each can be bent.
type builtAnswer struct {
	version, status, reason string
	// fields are lines without their ends; the framing is among them.
	fields []string
	body   string
	// end is the end of a line.
	end string
	// content is what the body holds; open reports that it ends with the connection. method is that of the request.
	content string
	open    bool
	method  string
}

func build(c *choices) *builtAnswer {
	a := &builtAnswer{
		version: "HTTP/1.1", status: fmt.Sprint(200 + c.number(256) + c.number(145)), end: pick(c, "\r\n", "\n"),
		reason: pick(c, " ", "", " OK", " "+c.text(valueBytes, 9)), method: pick(c, "GET", "POST", "HEAD"),
	}
	for range c.number(4) {
		a.fields = append(a.fields, "x"+c.text(tokenBytes, 6)+":"+c.text(valueBytes, 12))
	}
	content := c.text(bodyBytes, 40)
	bodyless := a.method == "HEAD" || a.status == "204" || a.status == "304"
	framing := ""
	switch c.number(4) {
	case 0:
		a.open, a.body = !bodyless, content
		if pick(c, false, true) {
			a.version = "HTTP/1.0"
		}
	case 1:
		framing, a.body = pick(c, "Transfer-Encoding: chunked", "TRANSFER-ENCODING:\tChunked ", "Transfer-Encoding: chunked"), a.chunks(c, content)
	default:
		framing, a.body = fmt.Sprintf("Content-Length:%s%d", pick(c, " ", "", "\t "), len(content)), content
	}
	if framing != "" {
		at := c.number(len(a.fields) + 1)
		a.fields = append(a.fields[:at], append([]string{framing}, a.fields[at:]...)...)
	}
	if bodyless {
		a.body, content = "", ""
	}
	a.content = content
	return a
}

// chunks returns a content in chunks, with extensions and trailers.
func (a *builtAnswer) chunks(c *choices, content string) string {
	var body strings.Builder
	for len(content) > 0 {
		size := 1 + c.number(len(content))
		fmt.Fprintf(&body, "%s%x%s\r\n%s\r\n", pick(c, "", "0", "00"), size, pick(c, "", ";a", ";a=\"b c\""), content[:size])
		content = content[size:]
	}
	body.WriteString("0\r\n")
	for range c.number(3) {
		body.WriteString("x" + c.text(tokenBytes, 4) + ": a\r\n")
	}
	return body.String() + "\r\n"
}

func (a *builtAnswer) raw() string {
	return a.version + " " + a.status + a.reason + a.end + strings.Join(append(a.fields, "", ""), a.end) + a.body
}

// insert returns a text with a byte of an alphabet at some place from a first one on.
func (c *choices) insert(text string, first int, alphabet string) string {
	at := first + c.number(len(text)-first+1)
	return text[:at] + string(alphabet[c.number(len(alphabet))]) + text[at:]
}

// bend returns the bytes of an answer that is bent at one place, and how.
func bend(c *choices, a *builtAnswer) (raw, how string) {
	field := c.number(len(a.fields))
	kind := c.number(9)
	if len(a.fields) == 0 && kind > 1 {
		kind = kind % 2
	}
	switch kind {
	case 0:
		a.status = pick(c, "000", "099", "01", "101", "600", "999", "2000", "20x", "+20", "", " 200")
		return a.raw(), "status"
	case 1:
		a.version = pick(c, "HTTP/1.2", "HTTP/2.0", "HTTP/0.9", "http/1.1", "HTTP/1.1 ", "HTTP/11", "HTP/1.1", "", " HTTP/1.1", "\r\nHTTP/1.1")
		return a.raw(), "version"
	case 2:
		name, value, _ := strings.Cut(a.fields[field], ":")
		a.fields[field] = c.insert(name, 0, noTokenBytes) + ":" + value
		return a.raw(), "name"
	case 3:
		name, value, _ := strings.Cut(a.fields[field], ":")
		// The last place is left out, since a carriage return there is a part of the line's end.
		a.fields[field] = name + ":" + c.insert(value+"a", 0, controlBytes) + "a"
		return a.raw(), "value"
	case 4:
		a.fields[field] = pick(c, " ", "\t") + a.fields[field]
		return a.raw(), "folded line"
	case 5:
		a.fields[field] = strings.ReplaceAll(a.fields[field], ":", "")
		return a.raw(), "no colon"
	case 6:
		_, value, _ := strings.Cut(a.fields[field], ":")
		a.fields[field] = ":" + value
		return a.raw(), "no name"
	case 7:
		a.fields = append(a.fields, pick(c, "Content-Length: 1", "Transfer-Encoding: chunked"), pick(c, "Content-Length: 2", "Transfer-Encoding: chunked"))
		return a.raw(), "framing twice"
	default:
		raw := a.raw()
		head := len(raw) - len(a.body)
		last := len(raw)
		if a.open {
			last = head
		}
		return raw[:c.number(min(last, 256))], "cut"
	}
}

// FuzzAnswers builds answers by the grammar, which must be passed on as they are, and bends each at one place, after which it must not be
// passed on.
func FuzzAnswers(f *testing.F) {
	for seed := range 400 {
		input := make([]byte, 96)
		state := uint32(seed)*2654435761 + 1
		for i := range input {
			state ^= state << 13
			state ^= state >> 17
			state ^= state << 5
			input[i] = byte(state >> 8)
		}
		f.Add(input, seed%7)
	}
	f.Fuzz(func(t *testing.T, input []byte, step int) {
		drawn := &choices{input}
		built := build(drawn)
		raw := built.raw()
		conn := newScriptedConn(raw)
		conn.step = max(0, step)
		got, err := get(conn, built.method, "")
		if err != nil {
			t.Fatalf("%q to %s: %v", raw, built.method, err)
		}
		if fmt.Sprint(got.status) != built.status || got.body != built.content {
			t.Fatalf("%q to %s: status %d, body %q", raw, built.method, got.status, got.body)
		}
		bent, how := bend(drawn, built)
		conn = newScriptedConn(bent)
		conn.step = max(0, step)
		if got, err := get(conn, built.method, ""); err == nil {
			t.Errorf("%s: %q to %s: status %d, body %q", how, bent, built.method, got.status, got.body)
		}
	})
}

// FuzzAnyBytes checks what is passed on of any bytes: a status that has a meaning, names that are tokens, values without control bytes, and a
// body of the stated length.
func FuzzAnyBytes(f *testing.F) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.0 200\n\nabc", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 404 y\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 000 OK\r\nBad Name: x\r\nContent-Length : 3\r\n\r\nabcdef",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := get(newScriptedConn(string(raw)), http.MethodGet, "")
		var broken *answercheck.Error
		if err != nil {
			_ = errors.As(err, &broken)
			return
		}
		if got.status < 200 || got.status > 599 {
			t.Errorf("%q: status %d", raw, got.status)
		}
		for name, values := range got.header {
			for _, value := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
					t.Errorf("%q: field %q: %q", raw, name, value)
				}
			}
		}
		if length := got.header.Get("Content-Length"); length != "" && got.status != http.StatusNoContent && got.status != http.StatusNotModified &&
			length != fmt.Sprint(len(got.body)) && strings.TrimLeft(length, "0") != strings.TrimLeft(fmt.Sprint(len(got.body)), "0") {
			t.Errorf("%q: length %s of %d bytes", raw, length, len(got.body))
		}
	})
}
