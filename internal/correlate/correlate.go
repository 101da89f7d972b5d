// Package correlate sends HTTP requests over kept connections and finds out whether an answer belongs to its request. A peer may send
// an extra answer late, in the place where the next answer on the connection is expected. The id that it repeats tells it from the
// answers to other requests, but not from those to other sends of the same request. So no request is sent over a connection that
// has carried its id a short time before. Bytes that are no answer at all end the request with an error of package answercheck.
package correlate

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"
)

// ErrOtherAnswer means that the answer belongs to another request. The request may have run.
var ErrOtherAnswer = errors.New("answer belongs to another request")

// Identity is what tells the answer to a request from others.
type Identity struct {
	// ID is the id that the peer repeats in its answer, empty for a request without one. The answers to two requests without an id
	// can't be told apart.
	ID string
	// AcceptStale reports that the answer to an earlier request with AcceptStale may be taken for the answer to this one. The request
	// has no id.
	AcceptStale bool
}

// mistakable reports whether the answer to an earlier request over the same connection could be taken for the answer to this one.
func (i Identity) mistakable(earlier Identity) bool {
	return i.ID == earlier.ID && !(i.AcceptStale && earlier.AcceptStale)
}

// defaultMaxIdle is the number of idle connections to one host that are kept if the http.Transport states none.
const defaultMaxIdle = 2

// Transport sends requests. It chooses the connection of each request itself, and has an http.Transport for each connection. It is safe
// for concurrent use.
type Transport struct {
	next     http.RoundTripper
	idHeader string
	maxIdle  int

	mutex sync.Mutex
	// idle holds the idle connections by host. The last one was used last.
	idle map[string][]*connection
	// misses counts the requests for which no idle connection could be used.
	misses Misses
}

// Misses counts requests for which a connection is opened, by why no idle connection to the host can be used.
type Misses struct {
	// NoneIdle counts those without an idle connection, SameIdentity those for which each idle one has lately carried a request whose answer
	// could be taken for that to this one, and Silent the others: nothing has arrived over some idle one since heardSince.
	NoneIdle, SameIdentity, Silent int64
}

// Misses returns the counts so far.
func (t *Transport) Misses() Misses {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.misses
}

// New returns a transport that sends by next. The peer repeats the id of a request in the header idHeader of its answer. Connections are
// opened and kept by copies of next if it is an *http.Transport, and are not known otherwise.
func New(next http.RoundTripper, idHeader string) *Transport {
	t := &Transport{next: next, idHeader: idHeader, maxIdle: defaultMaxIdle, idle: make(map[string][]*connection)}
	if template, ok := next.(*http.Transport); ok && template.MaxIdleConnsPerHost > 0 {
		t.maxIdle = template.MaxIdleConnsPerHost
	}
	return t
}

// Do sends a request and returns its answer. It is not sent over a kept connection on which nothing has arrived since heardSince. Do
// fails with ErrOtherAnswer, or with an error of the http.Transport, which wraps *answercheck.Error for a broken answer. So may reads of
// the answer's body.
func (t *Transport) Do(request *http.Request, identity Identity, heardSince time.Time) (*http.Response, error) {
	used := t.acquire(request.URL.Host, identity, heardSince)
	trace := &httptrace.ClientTrace{PutIdleConn: func(err error) {
		if err == nil {
			t.finish(used, &used.isIdle)
		}
	}}
	answer, err := used.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		used.close()
		return nil, err
	}
	if answer.Header.Get(t.idHeader) != identity.ID {
		// The right answer is still to come on the connection.
		used.close()
		_ = answer.Body.Close()
		return nil, ErrOtherAnswer
	}
	t.finish(used, &used.isAccepted)
	return answer, nil
}

// acquire returns an idle connection to a host that the request may be sent over, and a new one if there is none.
func (t *Transport) acquire(host string, identity Identity, heardSince time.Time) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.choose(host, identity, heardSince)
	if found == nil {
		t.countMiss(host, identity)
		found = newConnection(t, host)
	}
	t.remove(found)
	found.begin(identity)
	return found
}

// choose returns the idle connection to a host that was used last of those that the request may be sent over, nil if there is none. The
// mutex must be held.
func (t *Transport) choose(host string, identity Identity, heardSince time.Time) *connection {
	for _, found := range slices.Backward(t.idle[host]) {
		if !found.mistakes(identity) && !found.conn.heardAt().Before(heardSince) {
			return found
		}
	}
	return nil
}

// countMiss counts a request for which no idle connection to a host can be used. The mutex must be held.
func (t *Transport) countMiss(host string, identity Identity) {
	idle := t.idle[host]
	switch {
	case len(idle) == 0:
		t.misses.NoneIdle++
	case !slices.ContainsFunc(idle, func(c *connection) bool { return !c.mistakes(identity) }):
		t.misses.SameIdentity++
	default:
		t.misses.Silent++
	}
}

// finish notes that a step of the current request over a connection has ended, and keeps the connection for the next request once all
// have.
func (t *Transport) finish(used *connection, step *bool) {
	t.mutex.Lock()
	*step = true
	surplus := !t.keep(used)
	t.mutex.Unlock()
	if surplus {
		used.close()
	}
}

// keep keeps a connection if its request has ended. It returns false if there are too many. The mutex must be held.
func (t *Transport) keep(used *connection) bool {
	if !used.isIdle || !used.isAccepted || used.conn == nil {
		return true
	}
	idle := t.idle[used.host]
	if len(idle) >= t.maxIdle {
		return false
	}
	used.isIdle, used.isAccepted = false, false
	t.idle[used.host] = append(idle, used)
	return true
}

// remove forgets a connection. The mutex must be held.
func (t *Transport) remove(closed *connection) {
	idle := slices.DeleteFunc(t.idle[closed.host], func(kept *connection) bool { return kept == closed })
	if len(idle) == 0 {
		delete(t.idle, closed.host)
		return
	}
	t.idle[closed.host] = idle
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.mutex.Lock()
	var all []*connection
	for _, idle := range t.idle {
		all = append(all, idle...)
	}
	t.mutex.Unlock()
	for _, idle := range all {
		idle.close()
	}
}
