package answercheck_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/answercheck"
	"github.com/matryer/is"
)

// scriptedConn is a connection whose peer sends an answer once the request begins, and then ends the connection.
type scriptedConn struct {
	net.Conn
	answer *bytes.Reader
	// step is the number of bytes that a read returns at most, 0 for no limit.
	step int
	// write, if not nil, replaces the writing of the request.
	write func(part []byte) (int, error)

	began sync.Once
	begun chan struct{}
}

func newScriptedConn(answer string) *scriptedConn {
	return &scriptedConn{answer: bytes.NewReader([]byte(answer)), begun: make(chan struct{})}
}

func (c *scriptedConn) Read(buffer []byte) (int, error) {
	<-c.begun
	if c.step > 0 {
		buffer = buffer[:min(c.step, len(buffer))]
	}
	return c.answer.Read(buffer)
}

func (c *scriptedConn) Write(part []byte) (int, error) {
	c.began.Do(func() { close(c.begun) })
	if c.write != nil {
		return c.write(part)
	}
	return len(part), nil
}

func (c *scriptedConn) Close() error {
	c.began.Do(func() { close(c.begun) })
	return nil
}

// response is what the HTTP library makes of an answer.
type response struct {
	status int
	header http.Header
	body   string
}

// get sends a request over a checked connection, and returns the answer, or the error of its head or body.
func get(conn net.Conn, method, body string) (response, error) {
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return answercheck.Wrap(conn), nil
	}, DisableCompression: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequest(method, "http://peer/x", strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read, or its error is returned
	content, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, string(content)}, err
}

// TestBrokenAnswersHaveTheirKind checks the kind of each broken answer, whether it arrives at once or byte by byte.
func TestBrokenAnswersHaveTheirKind(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		answer string
		kind   answercheck.Kind
	}{
		"no HTTP":             {"hello\r\n\r\n", answercheck.StatusLine},
		"empty line":          {"\r\n" + ok + "\r\n", answercheck.StatusLine},
		"version":             {"HTTP/1.2 200 OK\r\n\r\n", answercheck.StatusLine},
		"status 000":          {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", answercheck.Status},
		"status 101":          {"HTTP/1.1 101 OK\r\nContent-Length: 0\r\n\r\n", answercheck.Status},
		"status 600":          {"HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n", answercheck.Status},
		"blank in a name":     {ok + "Bad Name: x\r\n\r\n", answercheck.FieldName},
		"no colon":            {ok + "Name\r\n\r\n", answercheck.FieldName},
		"control byte":        {ok + "Name: a\x01\r\n\r\n", answercheck.FieldValue},
		"folded line":         {ok + "Name: a\r\n b\r\n\r\n", answercheck.FoldedLine},
		"two lengths":         {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", answercheck.Framing},
		"line without end":    {ok + "Name: " + strings.Repeat("a", 1<<17), answercheck.Framing},
		"chunk":               {ok + "Transfer-Encoding: chunked\r\n\r\n5 \r\nabcde\r\n0\r\n\r\n", answercheck.Chunk},
		"cut in the head":     {ok + "Name: a\r\n", answercheck.Cut},
		"cut in a body":       {ok + "Content-Length: 5\r\n\r\nabc", answercheck.Cut},
		"cut in a chunk":      {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", answercheck.Cut},
		"cut after a chunk":   {ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", answercheck.Cut},
		"cut in trailers":     {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nName: x\r\n", answercheck.Cut},
		"informational alone": {"HTTP/1.1 100 Continue\r\n\r\n", answercheck.Cut},
	} {
		for _, step := range []int{0, 1, 7} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				conn := newScriptedConn(test.answer)
				conn.step = step
				checked := answercheck.Wrap(conn)
				_, err := checked.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
				is.NoErr(err)
				received, err := io.ReadAll(checked)
				var broken *answercheck.Error
				is.True(errors.As(err, &broken))
				is.Equal(broken.Kind, test.kind)
				is.True(len(received) < len(test.answer) || test.kind == answercheck.Cut)
				_, again := checked.Read(make([]byte, 1))
				is.True(again != nil)
			})
		}
	}
}

// TestErrorOfABrokenAnswerPassesTheLibrary checks that the kind can be told from the error of a call, in a head and in a body, and that
// broken answers are counted by kind.
func TestErrorOfABrokenAnswerPassesTheLibrary(t *testing.T) {
	is := is.New(t)
	lines := new(bytes.Buffer)
	counter := answercheck.NewCounter(log.New(lines))
	for range 2 {
		_, err := get(newScriptedConn("HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"), http.MethodGet, "")
		counter.Note(err, "engine7", "request8")
	}
	_, err := get(newScriptedConn("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab"), http.MethodGet, "")
	counter.Note(err, "engine7", "request8")
	counter.Note(errors.New("other"), "engine7", "request8")
	counter.Note(nil, "engine7", "request8")
	is.Equal(counter.Count(answercheck.Status), int64(2))
	is.Equal(counter.Count(answercheck.Cut)+counter.Count(answercheck.Chunk), int64(1))
	is.True(strings.Contains(lines.String(), "broken answer kind=status sender=engine7 request=request8"))
	new(answercheck.Counter).Note(nil, "", "")
	(*answercheck.Counter)(nil).Note(err, "", "")
}

// TestEndOfAnOpenAnswerCountsOnceItsRequestIsSent guards against a part of an answer that is taken for all of it: the kernel reports a reset to
// the write alone, and the read gets an end like that of an answer without a length.
func TestEndOfAnOpenAnswerCountsOnceItsRequestIsSent(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\n\r\npart"
	request := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n1234")
	rest := []byte("5678")
	for name, test := range map[string]struct {
		// pause is how long the write of the rest takes, err how it ends. The rest is not written if the pause is negative.
		pause time.Duration
		err   error
		whole bool
	}{
		"sent":                        {0, nil, true},
		"failed":                      {0, syscall.ECONNRESET, false},
		"not sent":                    {-1, nil, false},
		"sent while the end is read":  {time.Second, nil, true},
		"fails while the end is read": {time.Second, syscall.ECONNRESET, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn := newScriptedConn(open)
				checked := answercheck.Wrap(conn)
				_, err := checked.Write(request)
				is.NoErr(err)
				if test.pause >= 0 {
					conn.write = func(part []byte) (int, error) {
						time.Sleep(test.pause)
						return len(part), test.err
					}
					go func() { _, _ = checked.Write(rest) }()
					synctest.Wait()
				}
				received, err := io.ReadAll(checked)
				is.Equal(string(received), open)
				is.Equal(err == nil, test.whole)
				var broken *answercheck.Error
				if !test.whole {
					is.True(errors.As(err, &broken))
					is.Equal(broken.Kind, answercheck.Unsent)
				}
				synctest.Wait()
			})
		})
	}
}

// TestAnswerBeforeItsRequestIsNotWhole guards against an open answer that arrives on a kept connection before its request is sent.
func TestAnswerBeforeItsRequestIsNotWhole(t *testing.T) {
	is := is.New(t)
	request := []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	conn := newScriptedConn("HTTP/1.1 204 No Content\r\n\r\n" + "HTTP/1.1 200 OK\r\n\r\npart")
	checked := answercheck.Wrap(conn)
	_, err := checked.Write(request)
	is.NoErr(err)
	_, err = io.ReadAll(checked)
	var broken *answercheck.Error
	is.True(errors.As(err, &broken))
	is.Equal(broken.Kind, answercheck.Unsent)
}

// TestAnswersFollowEachOther checks that the answers over one connection are told apart by the framing of each and by the methods of their
// requests.
func TestAnswersFollowEachOther(t *testing.T) {
	is := is.New(t)
	conn := newScriptedConn("")
	checked := answercheck.Wrap(conn)
	for _, exchange := range []struct{ request, answer string }{
		{"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
		{"HEAD / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"},
		{"HEAD / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"},
		{"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na;x=y\r\n0123456789\r\n0\r\nName: x\r\n\r\n"},
		{"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\n\nto the end"},
	} {
		_, err := checked.Write([]byte(exchange.request))
		is.NoErr(err)
		conn.answer.Reset([]byte(exchange.answer))
		received, err := io.ReadAll(checked)
		is.NoErr(err)
		is.Equal(string(received), exchange.answer)
	}
}
