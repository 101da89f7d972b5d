package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a sampler writes its entry (heartbeatMs).
const heartbeat = 1200 * time.Millisecond

// sampler plays a sampler. Its entry stays in the store for three heartbeats after its last write.
type sampler struct {
	site    *site
	id      string
	service string
	zone    string
	address string
	slots   int
	// versions are the versions of the models that it holds, nil for an application.
	versions map[string]int64
	// pace is the time that it takes for one event, or for a whole answer.
	pace time.Duration
	// poison is a body under which it crashes as soon as it begins to run it; nil for none.
	poison func(body string) bool
	// onRun is called when it begins to run a request; nil for no call.
	onRun func(s *sampler, r *http.Request, body string)
	// restartAfter is how long after a crash it starts again under its id.
	restartAfter time.Duration

	mutex    sync.Mutex
	server   *http.Server
	up       bool
	gone     bool
	born     int64
	beats    int64
	orders   int64
	lastBeat time.Time
	listed   bool
	crashes  int
	// connections are open ones, which a crash resets.
	connections map[net.Conn]bool
}

// start opens the sampler at its address and begins to write its entry.
func (s *sampler) start() error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.up, s.orders, s.beats = true, 0, 0
	s.born = time.Now().UnixMilli()
	s.connections = make(map[net.Conn]bool)
	server := &http.Server{Handler: s, ConnState: s.observe}
	s.server = server
	s.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	s.beat()
	return nil
}

func (s *sampler) observe(connection net.Conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateNew:
		s.connections[connection] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, connection)
	}
}

// crash ends the sampler without a word: its port refuses connections, and its open ones are reset.
func (s *sampler) crash() {
	s.mutex.Lock()
	if !s.up {
		s.mutex.Unlock()
		return
	}
	s.up = false
	s.crashes++
	server := s.server
	for connection := range s.connections {
		if open, ok := connection.(*net.TCPConn); ok {
			_ = open.SetLinger(0)
		}
	}
	s.mutex.Unlock()
	_ = server.Close()
}

// beat writes the entry.
func (s *sampler) beat() {
	s.mutex.Lock()
	if !s.up {
		s.mutex.Unlock()
		return
	}
	s.beats++
	s.lastBeat, s.listed = time.Now(), true
	entry := map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready", "coldLeftMs": 0,
		"seq": s.beats, "born": s.born, "stage": "both", "models": s.models(),
	}
	s.mutex.Unlock()
	value, _ := json.Marshal(entry)
	s.site.store.Put("keyed.servers", s.id, value)
}

func (s *sampler) models() []map[string]any {
	models := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(s.versions)) {
		models = append(models, map[string]any{"name": name, "version": s.versions[name], "adapters": []string{}})
	}
	return models
}

// live writes the entry again and again, and has it removed three heartbeats after the last write.
func (s *sampler) live(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s.beat()
		s.mutex.Lock()
		lapsed := !s.up && s.listed && time.Since(s.lastBeat) >= 3*heartbeat
		if lapsed {
			s.listed = false
		}
		s.mutex.Unlock()
		if lapsed {
			s.site.record.printf("the entry of %s is removed", s.id)
			s.site.store.Put("keyed.servers", s.id, nil)
		}
	}
}

const stamp = "3e1b.07.5a2.600.0."

func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", s.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/-/report":
		s.mutex.Lock()
		defer s.mutex.Unlock()
		answer(w, http.StatusOK, map[string]any{
			"stage": "both", "models": s.models(), "busy": false, "seq": s.orders, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 103490, "handles": 0,
		})
		return
	case "/-/order":
		s.order(w, body)
		return
	}
	s.site.record.printf("%s runs %s, after event %s", s.id, r.Header.Get("X-Request-Id"), cmp.Or(r.Header.Get("Last-Event-Id"), "0"))
	if s.onRun != nil {
		s.onRun(s, r, string(body))
	}
	if s.poison != nil && s.poison(string(body)) {
		go s.crashAndRestart()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if s.versions != nil {
		s.stream(w, r)
		return
	}
	time.Sleep(s.pace)
	w.Header().Set("X-Response-Stamp", stamp+s.id)
	_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get("X-Request-Id"))
}

func (s *sampler) crashAndRestart() {
	s.crash()
	if s.restartAfter <= 0 {
		return
	}
	time.Sleep(s.restartAfter)
	s.mutex.Lock()
	gone := s.gone
	s.mutex.Unlock()
	if gone {
		return
	}
	if err := s.start(); err != nil {
		s.site.record.printf("%s does not start again: %v", s.id, err)
	}
}

func (s *sampler) order(w http.ResponseWriter, body []byte) {
	var order struct {
		Model                string
		Version, ExpectedRev int64
	}
	if json.Unmarshal(body, &order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.versions[order.Model] == order.Version:
		w.WriteHeader(http.StatusOK)
	case order.ExpectedRev != s.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		s.orders++
		s.versions[order.Model] = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// eventsOf returns how many events the output of an item has: its path ends with the number.
func eventsOf(path string) int {
	count, err := strconv.Atoi(path[strings.LastIndex(path, "-")+1:])
	if err != nil {
		return 1
	}
	return count
}

// eventText is the data of one event of an item's output, which is the same whichever sampler runs it.
func eventText(id string, event int) string { return fmt.Sprintf("%s.%d", id, event) }

// outputOf returns the whole output of an item.
func outputOf(id, path string) string {
	var lines []string
	for event := 1; event <= eventsOf(path); event++ {
		lines = append(lines, eventText(id, event))
	}
	return strings.Join(lines, "\n")
}

func (s *sampler) stream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mutex.Lock()
	version := s.versions[r.Header.Get("X-Model")]
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Response-Stamp", stamp+s.id)
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	for event := after + 1; event <= eventsOf(r.URL.Path); event++ {
		select {
		case <-time.After(s.pace):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, eventText(r.Header.Get("X-Request-Id"), event))
		flusher.Flush()
	}
}
