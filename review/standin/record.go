package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// broke notes that the rule is broken.
func (r *recorder) broke(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.printf("BROKEN: %s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken = append(r.broken, text)
}
