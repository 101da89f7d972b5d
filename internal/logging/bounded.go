package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Budget bounds what a process writes to its log.
type Budget struct {
	// Lines is the most lines in a second, Bytes the most bytes.
	Lines int
	Bytes int
	// Queue is how many lines may wait for the output.
	Queue int
}

// DefaultBudget is enough for a few hundred requests a second with a line or two for each.
var DefaultBudget = Budget{Lines: 2000, Bytes: 1 << 20, Queue: 2048}

// BoundedWriter passes lines on to an output without ever blocking the caller: lines beyond the budget, or beyond what may
// wait while the output is not read, are dropped, counted, and the count is written. Each Write must be one whole line.
type BoundedWriter struct {
	output  io.Writer
	budget  Budget
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
}

// NewBoundedWriter returns a writer; Run passes its lines on.
func NewBoundedWriter(output io.Writer, budget Budget) *BoundedWriter {
	return &BoundedWriter{output: output, budget: budget, lines: make(chan []byte, budget.Queue)}
}

// Write queues a line, or drops it.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *BoundedWriter) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped counts the lines dropped since the start.
func (w *BoundedWriter) Dropped() uint64 {
	return w.total.Load()
}

// Run passes lines on until the context ends, then what is waiting.
func (w *BoundedWriter) Run(ctx context.Context) {
	window := time.Now()
	lines, bytes := 0, 0
	for {
		select {
		case line := <-w.lines:
			if now := time.Now(); now.Sub(window) >= time.Second {
				window, lines, bytes = now, 0, 0
				w.tellDropped()
			}
			lines++
			bytes += len(line)
			if lines > w.budget.Lines || bytes > w.budget.Bytes {
				w.drop()
				continue
			}
			_, _ = w.output.Write(line)
		case <-ctx.Done():
			w.finish()
			return
		}
	}
}

func (w *BoundedWriter) finish() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		default:
			w.tellDropped()
			return
		}
	}
}

func (w *BoundedWriter) tellDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.output, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped)
	}
}
