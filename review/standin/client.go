package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "desk.example"

// item is one item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group,omitempty"`
	Scorer  *scorer           `json:"scorer,omitempty"`
}

type scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body string `json:"body"`
}

type listing struct {
	Total   int `json:"total"`
	Next    int `json:"nextToken"`
	Results []struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Text     string  `json:"text"`
		Versions []int64 `json:"versions"`
		Score    string  `json:"score"`
	} `json:"results"`
}

func encoded(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// call makes one call on a connection of its own, and returns the status, 0 if there was no whole answer.
func call(ctx context.Context, r *replica, method, path string, header map[string]string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	answered, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer answered.Body.Close()
	content, err := io.ReadAll(answered.Body)
	if err != nil {
		return 0, nil
	}
	return answered.StatusCode, content
}

// submit sends a batch job to a replica.
func (s *site) submit(r *replica, prefix, id string, fields map[string]any) int {
	body, _ := json.Marshal(fields)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.record.printf("batch job %s is sent to %s", id, r.name)
	status, _ := call(ctx, r, http.MethodPost, prefix+id, map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "5000", "Content-Type": "application/json",
	}, body)
	s.record.printf("batch job %s at %s: answered %d", id, r.name, status)
	return status
}

// end ends a batch job.
func (s *site) end(r *replica, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	status, _ := call(ctx, r, http.MethodDelete, "/-/lots/"+id, nil, nil)
	s.record.printf("end of batch job %s at %s: answered %d", id, r.name, status)
	return status
}

// read reads the results of a batch job from a position on, waiting for at most a second.
func (s *site) read(r *replica, id string, from int) (listing, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	status, content := call(ctx, r, http.MethodGet, "/-/lots/"+id+"?afterRev="+strconv.Itoa(from), map[string]string{"X-Wait-Ms": "300"}, nil)
	var read listing
	if status == http.StatusOK && json.Unmarshal(content, &read) != nil {
		return listing{}, 0
	}
	return read, status
}
