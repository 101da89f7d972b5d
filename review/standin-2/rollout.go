package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model = "m0"
	// pace is the time that a model server takes for an event, tokensPerEvent the factor between events and the estimate in tokens.
	pace           = 26 * time.Millisecond
	tokensPerEvent = 10
)

// Trial is what happened to one item at servers.
type Trial struct {
	sampler        string
	from, to       time.Time
	first, last    int
	running, whole bool
}

// Rollout is a trainer with its items, and what servers did with them.
type Rollout struct {
	world *World
	mutex sync.Mutex
	// lengths is the number of events of each item.
	lengths map[string]int
	trials  map[string][]*Trial
	scores  map[string]string
}

func NewRollout(w *World) *Rollout {
	return &Rollout{world: w, lengths: make(map[string]int), trials: make(map[string][]*Trial), scores: make(map[string]string)}
}

// Drafter is the handler of model servers.
func (r *Rollout) Drafter(s *Sampler, w http.ResponseWriter, q *http.Request, _ []byte) {
	id := q.Header.Get("X-Request-Id")
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.mutex.Lock()
	length, known := r.lengths[id]
	trial := &Trial{sampler: s.id, from: time.Now(), first: first + 1, last: first, running: true}
	r.trials[id] = append(r.trials[id], trial)
	r.mutex.Unlock()
	r.world.rec.Say("%s runs item %s from event %d", s.id, id, first+1)
	if !known {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	version := s.models[model]
	s.mutex.Unlock()
	s.Stamp(w, q)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	flusher := w.(http.Flusher)
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		trial.running, trial.to = false, time.Now()
	}()
	for n := first + 1; n <= length; n++ {
		select {
		case <-time.After(pace):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n)); err != nil {
			return
		}
		flusher.Flush()
		r.mutex.Lock()
		trial.last = n
		r.mutex.Unlock()
	}
	r.mutex.Lock()
	trial.whole = true
	r.mutex.Unlock()
}

// Scorer is the handler of the servers of reward calls.
func (r *Rollout) Scorer(s *Sampler, w http.ResponseWriter, q *http.Request, _ []byte) {
	time.Sleep(30 * time.Millisecond)
	stamp := s.Stamp(w, q)
	r.mutex.Lock()
	r.scores[q.Header.Get("X-Request-Id")] = stamp
	r.mutex.Unlock()
	r.world.rec.Say("%s answers reward call %s", s.id, q.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(w, "ok")
}

// RolloutRoutes are the routes of a small deployment with one trainer.
func RolloutRoutes() []map[string]any {
	return []map[string]any{
		{"name": "r-draft", "host": "a.example", "pathPrefix": "/d/", "kind": "rollout", "timeoutMs": 10000, "targetMs": 400, "priority": 1, "service": "drafter", "maxAttempts": 3, "maxWaitS": 40, "runDeadlineMs": 7500, "sticky": true},
		{"name": "r-sync", "host": "a.example", "pathPrefix": "/w/", "kind": "idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 4},
		{"name": "r-look", "host": "a.example", "pathPrefix": "/l/", "kind": "idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 4},
		{"name": "r-file", "host": "a.example", "pathPrefix": "/f/", "kind": "non_idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 4},
	}
}

// Item is one item of a step.
type Item struct {
	ID, Group string
	Length    int
}

// Submission is the body of a step.
func (r *Rollout) Submission(step int, minVersion int64, desired int, items []Item) []byte {
	list := []map[string]any{}
	r.mutex.Lock()
	for _, item := range items {
		r.lengths[item.ID] = item.Length
		list = append(list, map[string]any{
			"id": item.ID, "path": "/d/" + item.ID, "headers": map[string]string{"X-Model": model, "X-Token-Count": "271,400", "X-Prefix-Hash": "9c2e41:255,5d07b8:16", "X-Length-Hint": strconv.Itoa(item.Length * tokensPerEvent)},
			"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + item.ID)), "tokens": 671, "group": item.Group,
			"scorer": map[string]any{"id": "w" + item.ID, "host": "a.example", "path": "/w/" + item.ID, "body": base64.StdEncoding.EncodeToString([]byte("score " + item.ID))},
		})
	}
	r.mutex.Unlock()
	content, err := json.Marshal(map[string]any{"step": step, "model": model, "minVersion": minVersion, "desired": desired, "requests": list})
	check(err)
	return content
}

// call makes one call over a new connection; status is 0 if there was no answer.
func call(method, node, path, id string, header map[string]string, body []byte, limit time.Duration) (int, http.Header, []byte) {
	request, err := http.NewRequest(method, "http://"+node+path, bytes.NewReader(body))
	check(err)
	request.Host = "a.example"
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	got, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer got.Body.Close()
	content, err := io.ReadAll(got.Body)
	if err != nil {
		return 0, nil, nil
	}
	return got.StatusCode, got.Header, content
}

// Listing is an answer to a read of results.
type Listing struct {
	Total   int
	Results []Result
	Next    int `json:"nextToken"`
}

// Result is one result of a step.
type Result struct {
	ID, State, Text, Score string
	Versions               []int64
}

// Read reads results from a position on.
func Read(node, id string, from int, wait time.Duration) (int, Listing) {
	status, _, body := call(http.MethodGet, node, "/-/lots/"+url.PathEscape(id)+"?afterRev="+strconv.Itoa(from), "", map[string]string{"X-Wait-Ms": strconv.Itoa(int(wait.Milliseconds()))}, nil, wait+1500*time.Millisecond)
	var listing Listing
	if status == http.StatusOK {
		check(json.Unmarshal(body, &listing))
	}
	return status, listing
}

// WholeText is the text of an item.
func (r *Rollout) WholeText(id string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := make([]string, 0, r.lengths[id])
	for n := 1; n <= r.lengths[id]; n++ {
		events = append(events, EventData(id, n))
	}
	return strings.Join(events, "\n")
}

// Step submits a step, reads it until the wanted groups are whole or the trainer's time is over, and ends it. It returns the results and
// whether the groups were whole.
func (r *Rollout) Step(nodes []*Node, id string, body []byte, desired int, items []Item, limit time.Duration) ([]Result, bool) {
	rec := r.world.rec
	started := time.Now()
	pick := 0
	next := func() *Node { pick++; return nodes[pick%len(nodes)] }
	rec.Say("step %s of %d items is sent", id, len(items))
	for time.Since(started) < limit {
		n := next()
		status, _, _ := call(http.MethodPost, n.Front(), "/d/"+id, id, map[string]string{"Content-Type": "application/json", "X-Deadline-Ms": "4000"}, body, 5*time.Second)
		rec.Say("step %s at %s: %d", id, n.name, status)
		if status == http.StatusAccepted {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	sizes := make(map[string]int)
	groupOf := make(map[string]string)
	for _, item := range items {
		sizes[item.Group]++
		groupOf[item.ID] = item.Group
	}
	var results []Result
	whole := 0
	for time.Since(started) < limit && whole < desired {
		n := next()
		status, listing := Read(n.Front(), id, len(results), time.Second)
		if status != http.StatusOK {
			rec.Say("read of %s at %s: %d", id, n.name, status)
		}
		for _, result := range listing.Results {
			results = append(results, result)
			rec.Say("step %s position %d: %s %s, %d events", id, len(results)-1, result.ID, result.State, 1+strings.Count(result.Text, "\n"))
			if sizes[groupOf[result.ID]]--; sizes[groupOf[result.ID]] == 0 {
				whole++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	rec.Say("step %s is over after %v with %d whole groups of %d wanted", id, time.Since(started).Round(time.Millisecond), whole, desired)
	for range 5 {
		n := next()
		status, _, _ := call(http.MethodDelete, n.Front(), "/-/lots/"+id, "", nil, nil, 4*time.Second)
		rec.Say("end of %s at %s: %d", id, n.name, status)
		if status == http.StatusOK {
			break
		}
	}
	return results, whole >= desired
}
