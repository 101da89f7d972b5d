package freedom

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/matryer/is"
)

const idHeader = "Request-Id"

// parts are the parts of the answer that the server of the tests streams.
var parts = []string{"one ", "two ", "three"}

// serve answers with the id of the request, and with the parts in chunks or, for the path /short, with a text of a known length.
func serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	if r.URL.Path == "/short" {
		_, _ = io.WriteString(w, "answer to "+r.Header.Get(idHeader))
		return
	}
	for _, part := range parts {
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// world is a server whose answers take freedoms, and a connection to it.
type world struct {
	is       *is.I
	listener *Listener
	draws    *Draws
	dial     func() net.Conn
	taken    []string
}

// play runs a test with a server in virtual time. The kinds are always taken, with all others left out.
func play(t *testing.T, test func(w *world), always ...Kind) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{is: is.New(t), draws: New(1, nil)}
		for _, kind := range always {
			w.draws.SetRate(kind, 1)
		}
		fabric := simnet.New(simnet.Options{})
		inner, err := fabric.Host("10.0.0.1", "z", "r").Listen("10.0.0.1:80")
		w.is.NoErr(err)
		w.listener = Listen(inner, w.draws, Options{IDHeader: idHeader, Taken: func(kind Kind, id string) {
			w.taken = append(w.taken, fmt.Sprint(kind, " ", id))
		}})
		server := &http.Server{Handler: http.HandlerFunc(serve)}
		go func() { _ = server.Serve(w.listener) }()
		client := fabric.Host("10.0.1.1", "z", "r")
		var opened []net.Conn
		w.dial = func() net.Conn {
			connection, err := client.DialContext(context.Background(), "10.0.0.1:80")
			w.is.NoErr(err)
			opened = append(opened, connection)
			return connection
		}
		test(w)
		for _, connection := range opened {
			_ = connection.Close()
		}
		_ = server.Close()
		_ = w.listener.Close()
		time.Sleep(5 * time.Second)
	})
}

// ask sends a request over a connection and reads its answer.
func (w *world) ask(connection net.Conn, reader *bufio.Reader, path, id string) (answer *http.Response, body string, err error) {
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", path, idHeader, id)
	w.is.NoErr(err)
	answer, err = http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	read, err := io.ReadAll(answer.Body)
	return answer, string(read), err
}

// TestKindsOfAnswers checks what a caller sees of each freedom of an answer, so that no kind plays nothing.
func TestKindsOfAnswers(t *testing.T) {
	whole := strings.Join(parts, "")
	for _, path := range []string{"/", "/short"} {
		want := whole
		if path == "/short" {
			want = "answer to a"
		}
		first := func(w *world) (net.Conn, *bufio.Reader, *http.Response, string, error) {
			connection := w.dial()
			reader := bufio.NewReader(connection)
			answer, body, err := w.ask(connection, reader, path, "a")
			return connection, reader, answer, body, err
		}
		play(t, func(w *world) {
			_, _, answer, body, err := first(w)
			w.is.NoErr(err)
			w.is.Equal(body, want)
			w.is.True(!answer.Close)
		})
		play(t, func(w *world) {
			connection, reader, _, body, err := first(w)
			w.is.NoErr(err)
			w.is.Equal(body, want)
			answer, body, err := w.ask(connection, reader, path, "b")
			w.is.NoErr(err)
			w.is.Equal(answer.Header.Get(idHeader), "a")
			w.is.Equal(body, want)
			w.is.Equal(w.taken, []string{"copy a"})
		}, Copy)
		play(t, func(w *world) {
			_, _, _, body, err := first(w)
			w.is.True(err != nil)
			w.is.True(body != want)
			w.is.Equal(w.taken, []string{"cut a"})
		}, Cut)
		play(t, func(w *world) {
			_, _, answer, body, err := first(w)
			w.is.NoErr(err)
			w.is.Equal(body, want)
			w.is.Equal(answer.ContentLength, int64(-1))
			w.is.Equal(len(answer.TransferEncoding), 0)
		}, Unframed)
		play(t, func(w *world) {
			_, _, _, _, err := first(w)
			w.is.True(err != nil && !errors.Is(err, io.EOF))
		}, UnframedCut)
		play(t, func(w *world) {
			connection, reader, _, body, err := first(w)
			w.is.NoErr(err)
			w.is.Equal(body, want)
			_ = connection.SetReadDeadline(time.Now().Add(time.Second))
			surplus, _ := reader.ReadString('\n')
			w.is.Equal(surplus, surplusText)
		}, Surplus)
		play(t, func(w *world) {
			_, _, _, _, err := first(w)
			w.is.True(err != nil)
		}, Garbage)
		play(t, func(w *world) {
			began := time.Now()
			_, _, _, body, err := first(w)
			w.is.NoErr(err)
			w.is.Equal(body, want)
			w.is.True(time.Since(began) > 10*tricklePause)
		}, Trickle)
		play(t, func(w *world) {
			_, reader, answer, body, err := first(w)
			w.is.NoErr(err)
			w.is.Equal(body, want)
			w.is.True(answer.Close)
			_, err = reader.ReadByte()
			w.is.Equal(err, io.EOF)
		}, Close)
	}
}

// TestBentHeads checks that each way of bending a head changes it, and leaves its end.
func TestBentHeads(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\n"
	seen := map[string]bool{head: true}
	for way := range bends {
		begun := &answer{}
		body, ok := begun.begin([]byte(head+"body"), idHeader)
		is.True(ok)
		is.Equal(string(body), "body")
		bent := string(begun.bent(way))
		is.True(!seen[bent])
		is.True(strings.HasSuffix(bent, "\r\n\r\n"))
		seen[bent] = true
	}
}

// TestRefusedConnections checks that a connection which is refused carries nothing.
func TestRefusedConnections(t *testing.T) {
	play(t, func(w *world) {
		_, err := w.dial().Read(make([]byte, 1))
		w.is.True(err != nil && !errors.Is(err, io.EOF))
		w.is.True(w.draws.Taken(Refuse) > 0)
	}, Refuse)
}

// TestSilentConnections checks that connections which went silent say nothing, and that new ones work.
func TestSilentConnections(t *testing.T) {
	play(t, func(w *world) {
		connection := w.dial()
		reader := bufio.NewReader(connection)
		_, _, err := w.ask(connection, reader, "/short", "a")
		w.is.NoErr(err)
		w.is.Equal(w.listener.Silence(), 1)
		_ = connection.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _, err = w.ask(connection, reader, "/short", "b")
		var timeout net.Error
		w.is.True(errors.As(err, &timeout) && timeout.Timeout())
		next := w.dial()
		_, body, err := w.ask(next, bufio.NewReader(next), "/short", "c")
		w.is.NoErr(err)
		w.is.Equal(body, "answer to c")
		w.is.Equal(w.listener.Silence(), 1)
	})
}

// TestDrawsAreIndependent checks that a kind is drawn alike whatever else is drawn, so that seeds mean the same when one is left out.
func TestDrawsAreIndependent(t *testing.T) {
	is := is.New(t)
	draw := func(chosen []Kind) (drawn []bool) {
		draws := New(7, chosen)
		for range 500 {
			for _, kind := range Kinds() {
				taken := draws.Takes(kind)
				if kind == Copy {
					drawn = append(drawn, taken)
				}
			}
		}
		is.True(draws.Taken(Copy) > 0)
		return drawn
	}
	is.Equal(draw(Kinds()), draw([]Kind{Copy}))
	for _, kind := range Kinds() {
		parsed, err := Parse(kind.String())
		is.NoErr(err)
		is.Equal(parsed, []Kind{kind})
	}
	_, err := Parse("unknown")
	is.True(err != nil)
	is.True(!(*Draws)(nil).Takes(Copy))
}
