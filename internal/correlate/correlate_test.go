package correlate

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

const idHeader = "Request-Id"

// peer is a server that may send a second copy of an answer in the place of the next one on the connection.
type peer struct {
	listener net.Listener

	mutex sync.Mutex
	// extra says whether a second copy of the answer to a request follows; status is the status of the next answers.
	extra  func(id string) bool
	status int
	// runs counts the requests by id, opened the connections; bodies holds the bodies of all requests.
	runs   map[string]int
	opened int
	bodies []string
}

func startPeer(t *testing.T) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener, runs: make(map[string]int), status: http.StatusOK, extra: func(string) bool { return false }}
	go func() {
		for {
			opened, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(opened)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return p
}

func (p *peer) serve(opened net.Conn) {
	defer opened.Close() //nolint:errcheck // nothing is sent after it
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	reader := bufio.NewReader(opened)
	pending := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		answer := p.answer(request.Header.Get(idHeader), string(body))
		_, _ = io.WriteString(opened, pending+answer)
		pending = ""
		p.mutex.Lock()
		if p.extra(request.Header.Get(idHeader)) {
			pending = answer
		}
		p.mutex.Unlock()
	}
}

func (p *peer) answer(id, body string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs[id]++
	p.bodies = append(p.bodies, body)
	text := fmt.Sprint("answer ", p.runs[id])
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", p.status, http.StatusText(p.status), idHeader, id, len(text), text)
}

func (p *peer) set(change func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change()
}

// connections returns how many connections were opened.
func (p *peer) connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// request returns a request with an id and a body.
func (p *peer) request(t *testing.T, id, body string) Request {
	return Request{ID: id, Build: func() (*http.Request, error) {
		built, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.listener.Addr().String(), struct{ io.Reader }{strings.NewReader(body)})
		if err != nil {
			return nil, err
		}
		built.ContentLength = int64(len(body))
		built.Header.Set(idHeader, id)
		return built, nil
	}}
}

func newTransport(t *testing.T) *Transport {
	t.Helper()
	plain := &http.Transport{MaxIdleConnsPerHost: 32}
	Prepare(plain)
	t.Cleanup(plain.CloseIdleConnections)
	return New(plain, idHeader)
}

// read sends a request and returns the status and body of its answer.
func read(t *testing.T, transport *Transport, request Request) (int, string) {
	t.Helper()
	answer, err := transport.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close() //nolint:errcheck // it was read
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

// TestAnswerToEarlierSendIsNotTaken guards against requests that run twice and answers that are out of date: a request is sent again with
// its id, and a late copy of the first answer comes in the place of the second one.
func TestAnswerToEarlierSendIsNotTaken(t *testing.T) {
	is := is.New(t)
	server, transport := startPeer(t), newTransport(t)
	server.set(func() {
		server.status, server.extra = http.StatusServiceUnavailable, func(id string) bool { return id == "a" }
	})
	status, _ := read(t, transport, server.request(t, "a", "body"))
	is.Equal(status, http.StatusServiceUnavailable)
	server.set(func() { server.status = http.StatusOK })
	status, text := read(t, transport, server.request(t, "a", "body"))
	is.Equal(status, http.StatusOK)
	is.Equal(text, "answer 2")
	server.set(func() {
		is.Equal(server.runs["a"], 2)
		is.Equal(server.bodies, []string{"body", "body"})
	})
}

// TestConnectionsAreKeptForOtherRequests guards against a connection for each request.
func TestConnectionsAreKeptForOtherRequests(t *testing.T) {
	is := is.New(t)
	server, transport := startPeer(t), newTransport(t)
	for i := range 10 * recentIDs {
		_, _ = read(t, transport, server.request(t, fmt.Sprint(i), "body"))
	}
	is.Equal(server.connections(), 1)
	// The connection has forgotten the first id; it remembers the last one.
	_, _ = read(t, transport, server.request(t, "0", "body"))
	is.Equal(server.connections(), 1)
	_, _ = read(t, transport, server.request(t, "0", "body"))
	is.Equal(server.connections(), 2)
}

// TestConnectionWithForeignAnswerIsNotUsedAgain guards against answers that are all behind by one: after an extra answer the right one is
// still to come on the connection.
func TestConnectionWithForeignAnswerIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	server, transport := startPeer(t), newTransport(t)
	server.set(func() { server.extra = func(id string) bool { return id == "a" } })
	_, _ = read(t, transport, server.request(t, "a", ""))
	_, err := transport.Do(server.request(t, "b", ""))
	is.True(errors.Is(err, ErrOtherAnswer))
	_, text := read(t, transport, server.request(t, "c", ""))
	is.Equal(text, "answer 1")
	is.Equal(server.connections(), 2)
}

// TestCallsWithoutID guards against calls without an id that take the answer to a request, or to an earlier call, for their own.
func TestCallsWithoutID(t *testing.T) {
	is := is.New(t)
	server, transport := startPeer(t), newTransport(t)
	_, _ = read(t, transport, server.request(t, "", ""))
	_, text := read(t, transport, server.request(t, "", ""))
	is.Equal(text, "answer 2")
	is.Equal(server.connections(), 2)
	stale := server.request(t, "", "")
	stale.AcceptStale = true
	_, _ = read(t, transport, stale)
	is.Equal(server.connections(), 2)
	server.set(func() { server.extra = func(id string) bool { return id == "a" } })
	_, _ = read(t, transport, server.request(t, "a", ""))
	_, err := transport.Do(stale)
	is.True(errors.Is(err, ErrOtherAnswer))
}

// TestConcurrentSendsOfOneID sends requests with few ids from many goroutines while the peer repeats a part of its answers: each answer is
// that of its own send, and each request that was written once arrives once.
func TestConcurrentSendsOfOneID(t *testing.T) {
	server, transport := startPeer(t), newTransport(t)
	count := 0
	server.set(func() { server.extra = func(string) bool { count++; return count%5 == 0 } })
	var running sync.WaitGroup
	var mutex sync.Mutex
	answers, sends := make(map[string]int), 0
	for worker := range 16 {
		running.Go(func() {
			for i := range 60 {
				id := fmt.Sprint((worker + i) % 20)
				answer, err := transport.Do(server.request(t, id, "body"))
				mutex.Lock()
				sends++
				mutex.Unlock()
				if errors.Is(err, ErrOtherAnswer) {
					continue
				}
				if err != nil {
					t.Error(err)
					return
				}
				body, _ := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				mutex.Lock()
				answers[id+" "+string(body)]++
				mutex.Unlock()
			}
		})
	}
	running.Wait()
	for answer, taken := range answers {
		if taken > 1 {
			t.Errorf("%s was taken %d times", answer, taken)
		}
	}
	runs := 0
	server.set(func() {
		for _, of := range server.runs {
			runs += of
		}
	})
	if runs != sends {
		t.Errorf("%d requests arrived, %d were sent", runs, sends)
	}
}

// TestRequestEndsWithoutNewConnection guards against a request that is sent again without end: the only connection does not take it, and
// no other one can be opened.
func TestRequestEndsWithoutNewConnection(t *testing.T) {
	is := is.New(t)
	server, transport := startPeer(t), newTransport(t)
	_, _ = read(t, transport, server.request(t, "a", ""))
	is.NoErr(server.listener.Close())
	_, err := transport.Do(server.request(t, "a", ""))
	var opening *net.OpError
	is.True(errors.As(err, &opening) && opening.Op == "dial")
}
