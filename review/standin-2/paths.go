package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// paths sends requests whose paths begin with one slash and, unless TROUBLE=0, with two or three, on a route whose prefix is "/", and checks
// that servers get each with its method, path, query, host and body. One node, three servers.
func paths(w *World) bool {
	type seen struct{ method, target, host, body string }
	var mutex sync.Mutex
	got := make(map[string][]seen)
	for range 3 {
		w.AddSampler("app", 6, nil, func(s *Sampler, rw http.ResponseWriter, r *http.Request, body []byte) {
			id := r.Header.Get("X-Request-Id")
			w.rec.Say("%s runs %s: %s %s, host %s, body %q", s.id, id, r.Method, r.RequestURI, r.Host, body)
			mutex.Lock()
			got[id] = append(got[id], seen{r.Method, r.RequestURI, r.Host, string(body)})
			mutex.Unlock()
			s.Stamp(rw, r)
			_, _ = io.WriteString(rw, "answer to "+id)
		})
	}
	routes := []map[string]any{
		{"name": "r-lookup", "host": "a.example", "pathPrefix": "/", "kind": "idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 3},
		{"name": "r-file", "host": "b.example", "pathPrefix": "/", "kind": "non_idempotent", "timeoutMs": 1500, "targetMs": 150, "priority": 2, "service": "app", "maxAttempts": 3},
	}
	w.Configure(Config(1, routes, App()))
	n := w.AddNode("a")
	if !n.AwaitReady(15 * time.Second) {
		check(fmt.Errorf("the node is not ready"))
	}
	starts := []string{"/"}
	if w.trouble {
		starts = []string{"/", "//", "///"}
	}
	held, count := true, 0
	for _, host := range []string{"a.example", "b.example"} {
		for _, start := range starts {
			for _, rest := range []string{"records/17", "records/17?full=1", "c.example/records/17"} {
				count++
				id, target, body := fmt.Sprintf("q%d", count), start+rest, fmt.Sprintf("body %d", count)
				w.rec.Say("client sends %s: POST %s, host %s, body %q", id, target, host, body)
				status, answer := Raw(n.Front(), fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", target, host, id, len(body), body))
				w.rec.Say("client gets for %s: %d %q", id, status, answer)
				mutex.Lock()
				for _, ran := range got[id] {
					if sent := (seen{"POST", target, host, body}); ran != sent {
						held = false
						w.rec.Say("UNASKED: %s was sent as %s %s to host %s and ran as %s %s of host %s", id, sent.method, sent.target, sent.host, ran.method, ran.target, ran.host)
					}
				}
				mutex.Unlock()
			}
		}
	}
	if len(got) == 0 {
		check(fmt.Errorf("no request ran"))
	}
	return held
}
