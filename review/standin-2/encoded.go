package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// encoded sends requests that may run once, on a route whose prefix is "/", beside a route of idempotent requests whose prefix is "/lookup/".
// The paths begin with "/lookup%2F", and so not with "/lookup/". Unless TROUBLE=0, one of the three servers runs each 40th of its requests and
// loses the answer. It checks that no request runs more than once. One node.
func encoded(w *World) bool {
	var mutex sync.Mutex
	runs := make(map[string][]string)
	served := make(map[string]int)
	// loser is the server that loses answers: the one that runs the first request.
	var loser *Sampler
	for range 3 {
		w.AddSampler("app", 6, nil, func(s *Sampler, rw http.ResponseWriter, r *http.Request, body []byte) {
			id := r.Header.Get("X-Request-Id")
			w.rec.Say("%s runs %s: %s %s", s.id, id, r.Method, r.RequestURI)
			time.Sleep(10 * time.Millisecond)
			mutex.Lock()
			runs[id] = append(runs[id], s.id)
			served[s.id]++
			if loser == nil {
				loser = s
			}
			lost := w.trouble && s == loser && served[s.id]%40 == 0
			mutex.Unlock()
			if lost {
				w.rec.Say("the answer of %s to %s is lost", s.id, id)
				panic(http.ErrAbortHandler)
			}
			s.Stamp(rw, r)
			_, _ = io.WriteString(rw, "answer to "+id)
		})
	}
	routes := []map[string]any{
		{"name": "r-file", "host": "a.example", "pathPrefix": "/", "kind": "non_idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 3},
		{"name": "r-lookup", "host": "a.example", "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 3},
	}
	w.Configure(Config(1, routes, App()))
	n := w.AddNode("a")
	if !n.AwaitReady(15 * time.Second) {
		check(fmt.Errorf("the node is not ready"))
	}
	held := true
	for number := range 400 {
		id, target := fmt.Sprintf("q%d", number), fmt.Sprintf("/lookup%%2F%d", number)
		w.rec.Say("client sends %s: POST %s", id, target)
		status, body := Raw(n.Front(), fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody", target, id))
		w.rec.Say("client gets for %s: %d %q", id, status, body)
		mutex.Lock()
		if len(runs[id]) > 1 {
			held = false
			w.rec.Say("TWICE: %s ran at %v; the longest prefix that begins %s is \"/\", whose route is not idempotent", id, runs[id], target)
		}
		mutex.Unlock()
	}
	if len(runs) == 0 {
		check(fmt.Errorf("no request ran"))
	}
	return held
}
