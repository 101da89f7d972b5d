package correlate

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	idHeader = "Request-Id"
	host     = "peer:80"
	maxIdle  = 8
)

// peer is a server that may send a second copy of an answer in the place of the next one on the connection.
type peer struct {
	mutex sync.Mutex
	// extra says whether a second copy of the answer to a request follows; status is the status of the next answers.
	extra  func(id string) bool
	status int
	// runs counts the requests by id, opened the connections.
	runs   map[string]int
	opened int
	// dialTime is how long a connection takes to open; conns holds those that are open.
	dialTime time.Duration
	conns    map[net.Conn]bool
}

func newPeer() *peer {
	return &peer{runs: make(map[string]int), conns: make(map[net.Conn]bool), status: http.StatusOK, extra: func(string) bool { return false }}
}

// dial opens a connection to the peer.
func (p *peer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.mutex.Lock()
	p.opened++
	p.conns[far] = true
	dialTime := p.dialTime
	p.mutex.Unlock()
	time.Sleep(dialTime)
	go p.serve(far)
	return near, nil
}

// closeAll closes all connections.
func (p *peer) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for opened := range p.conns {
		_ = opened.Close()
	}
}

func (p *peer) serve(opened net.Conn) {
	defer func() {
		_ = opened.Close()
		p.set(func() { delete(p.conns, opened) })
	}()
	reader := bufio.NewReader(opened)
	pending := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := p.answer(request.Header.Get(idHeader))
		_, _ = io.WriteString(opened, pending+answer)
		pending = ""
		p.mutex.Lock()
		if p.extra(request.Header.Get(idHeader)) {
			pending = answer
		}
		p.mutex.Unlock()
	}
}

func (p *peer) answer(id string) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runs[id]++
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

// do sends a request with an id and a body.
func (p *peer) do(transport *Transport, identity Identity, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(
		context.Background(), http.MethodPost, "http://"+host, struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	if identity.ID != "" {
		request.Header.Set(idHeader, identity.ID)
	}
	return transport.Do(request, identity, time.Time{})
}

// read sends a request and returns the status and body of its answer.
func (p *peer) read(t *testing.T, transport *Transport, identity Identity, body string) (int, string) {
	t.Helper()
	answer, err := p.do(transport, identity, body)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close() //nolint:errcheck // it was read
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
	return answer.StatusCode, string(text)
}

// run runs a test with a peer and a transport in virtual time.
func run(t *testing.T, test func(t *testing.T, server *peer, transport *Transport)) {
	synctest.Test(t, func(t *testing.T) {
		server := newPeer()
		transport := New(&http.Transport{DialContext: server.dial, MaxIdleConnsPerHost: maxIdle}, idHeader)
		defer transport.CloseIdleConnections()
		test(t, server, transport)
	})
}

// TestAnswerToEarlierSendIsNotTaken guards against requests that run twice and answers that are out of date: a request is sent again with
// its id, and a late copy of the first answer comes in the place of the second one.
func TestAnswerToEarlierSendIsNotTaken(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		server.set(func() {
			server.status, server.extra = http.StatusServiceUnavailable, func(id string) bool { return id == "a" }
		})
		status, _ := server.read(t, transport, Identity{ID: "a"}, "body")
		is.Equal(status, http.StatusServiceUnavailable)
		server.set(func() { server.status = http.StatusOK })
		for send := 2; send < 10; send++ {
			status, text := server.read(t, transport, Identity{ID: "a"}, "body")
			is.Equal(status, http.StatusOK)
			is.Equal(text, fmt.Sprint("answer ", send))
		}
		server.set(func() { is.Equal(server.runs["a"], 9) })
	})
}

// TestConnectionsAreKept guards against a connection for each send: requests that are sent to one host again and again use the connections
// that have carried other requests.
func TestConnectionsAreKept(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		for i := range 10 * recentRequests {
			_, _ = server.read(t, transport, Identity{ID: fmt.Sprint(i)}, "body")
		}
		is.Equal(server.connections(), 1)
		for i := range 10 * recentRequests {
			for range 4 {
				_, _ = server.read(t, transport, Identity{ID: fmt.Sprint("repeated", i)}, "body")
			}
		}
		is.Equal(server.connections(), 4)
	})
}

// TestConnectionWithForeignAnswerIsNotUsedAgain guards against answers that are all behind by one: after an extra answer the right one is
// still to come on the connection.
func TestConnectionWithForeignAnswerIsNotUsedAgain(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		server.set(func() { server.extra = func(id string) bool { return id == "a" } })
		_, _ = server.read(t, transport, Identity{ID: "a"}, "")
		_, err := server.do(transport, Identity{ID: "b"}, "")
		is.True(errors.Is(err, ErrOtherAnswer))
		_, text := server.read(t, transport, Identity{ID: "c"}, "")
		is.Equal(text, "answer 1")
		is.Equal(server.connections(), 2)
	})
}

// TestCallsWithoutID guards against calls without an id that take the answer to a request, or to an earlier call, for their own.
func TestCallsWithoutID(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		server.set(func() { server.extra = func(string) bool { return true } })
		_, text := server.read(t, transport, Identity{AcceptStale: true}, "")
		is.Equal(text, "answer 1")
		_, text = server.read(t, transport, Identity{}, "")
		is.Equal(text, "answer 2")
		_, text = server.read(t, transport, Identity{}, "")
		is.Equal(text, "answer 3")
		_, err := server.do(transport, Identity{ID: "a"}, "")
		is.True(errors.Is(err, ErrOtherAnswer))
	})
}

// TestConcurrentSendsOfOneID sends requests with few ids from many goroutines while the peer repeats a part of its answers: each answer is
// taken by one send, and each send arrives once.
func TestConcurrentSendsOfOneID(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		count := 0
		server.set(func() { server.extra = func(string) bool { count++; return count%5 == 0 } })
		const workers, sends = 16, 60
		var mutex sync.Mutex
		taken := make(map[string]int)
		var running sync.WaitGroup
		for worker := range workers {
			running.Go(func() {
				for i := range sends {
					id := fmt.Sprint((worker + i) % 20)
					answer, err := server.do(transport, Identity{ID: id}, "body")
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
					taken[id+" "+string(body)]++
					mutex.Unlock()
				}
			})
		}
		running.Wait()
		for answer, times := range taken {
			if times > 1 {
				t.Errorf("%s was taken %d times", answer, times)
			}
		}
		runs := 0
		server.set(func() {
			for _, of := range server.runs {
				runs += of
			}
		})
		if runs != workers*sends {
			t.Errorf("%d requests arrived, %d were sent", runs, workers*sends)
		}
	})
}

// TestIdleConnectionsAreBounded guards against connections that are kept without a limit after many requests at once.
func TestIdleConnectionsAreBounded(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		var answers []*http.Response
		for i := range 3 * maxIdle {
			answer, err := server.do(transport, Identity{ID: fmt.Sprint(i)}, "")
			is.NoErr(err)
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			_, _ = io.Copy(io.Discard, answer.Body)
			is.NoErr(answer.Body.Close())
		}
		synctest.Wait()
		is.Equal(len(transport.idle[host]), maxIdle)
		transport.CloseIdleConnections()
		synctest.Wait()
		is.Equal(len(transport.idle), 0)
	})
}

// TestConnectionThatThePeerClosedIsReplaced guards against a request that fails because its kept connection was closed in the meantime.
func TestConnectionThatThePeerClosedIsReplaced(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		_, _ = server.read(t, transport, Identity{ID: "a"}, "")
		server.closeAll()
		synctest.Wait()
		is.Equal(len(transport.idle), 0)
		_, text := server.read(t, transport, Identity{ID: "a"}, "")
		is.Equal(text, "answer 2")
		is.Equal(len(transport.idle[host]), 1)
	})
}

// TestConnectionOpenedTooLateIsClosed guards against connections that nobody uses and nobody closes: a request ends while its connection is
// opened.
func TestConnectionOpenedTooLateIsClosed(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		server.set(func() { server.dialTime = time.Second })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host, nil)
		is.NoErr(err)
		_, err = transport.Do(request, Identity{ID: "a"}, time.Time{})
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(time.Second)
		is.Equal(len(transport.idle), 0)
		is.Equal(server.connections(), 1)
		server.set(func() { is.Equal(len(server.conns), 0) })
	})
}

// TestSilentConnectionsAreNotUsedAgain guards against calls that are sent over one silent connection after another: connections may go
// silent without an end, all that are open at the same time, and each takes a timeout to find out. A caller that has met silence asks for
// a connection on which something has arrived since, and gets a new one if there is none.
func TestSilentConnectionsAreNotUsedAgain(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		send := func(id string, heardSince time.Time) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+host, nil)
			is.NoErr(err)
			request.Header.Set(idHeader, id)
			answer, err := transport.Do(request, Identity{ID: id}, heardSince)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, answer.Body)
			is.NoErr(answer.Body.Close())
			synctest.Wait()
		}
		send("a", time.Time{})
		time.Sleep(time.Second)
		silentSince := time.Now()
		time.Sleep(time.Second)
		send("b", silentSince)
		is.Equal(server.connections(), 2)
		send("c", silentSince) // Something has arrived on the second connection.
		is.Equal(server.connections(), 2)
		send("d", time.Time{})
		is.Equal(server.connections(), 2)
		time.Sleep(time.Second)
		send("e", time.Now())
		is.Equal(server.connections(), 3)
		is.Equal(len(transport.idle[host]), 3)
	})
}

// TestMissesAreCountedByCause checks why idle connections are not used: none is there, each has carried the identity, or nothing has arrived.
func TestMissesAreCountedByCause(t *testing.T) {
	run(t, func(t *testing.T, server *peer, transport *Transport) {
		is := is.New(t)
		server.read(t, transport, Identity{ID: "a"}, "")
		is.Equal(transport.Misses(), Misses{NoneIdle: 1})
		server.read(t, transport, Identity{ID: "b"}, "")
		is.Equal(transport.Misses(), Misses{NoneIdle: 1})
		server.read(t, transport, Identity{ID: "a"}, "")
		is.Equal(transport.Misses(), Misses{NoneIdle: 1, SameIdentity: 1})
		time.Sleep(time.Second)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+host, nil)
		is.NoErr(err)
		request.Header.Set(idHeader, "c")
		answer, err := transport.Do(request, Identity{ID: "c"}, time.Now())
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(transport.Misses(), Misses{NoneIdle: 1, SameIdentity: 1, Silent: 1})
	})
}
