package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Budget limits the log output of a process.
type Budget struct {
	// Lines and Bytes are the maximum numbers of lines and bytes per second.
	Lines int
	Bytes int
	// Queue is the maximum number of lines that wait to be written.
	Queue int
}

// DefaultBudget is enough for a few hundred requests per second with one or two lines each.
var DefaultBudget = Budget{Lines: 2000, Bytes: 1 << 20, Queue: 2048}

// BoundedWriter forwards lines to an output and never blocks the caller. Lines over the budget, and lines that exceed the
// queue while the output blocks, are dropped; their count is written to the output. Each Write must be one complete line.
type BoundedWriter struct {
	output  io.Writer
	budget  Budget
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
}

// NewBoundedWriter returns a writer whose Run forwards the lines to output.
func NewBoundedWriter(output io.Writer, budget Budget) *BoundedWriter {
	return &BoundedWriter{output: output, budget: budget, lines: make(chan []byte, budget.Queue)}
}

// Write queues a copy of a line, or drops the line if the queue is full.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *BoundedWriter) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *BoundedWriter) Dropped() uint64 {
	return w.total.Load()
}

// Run forwards lines until the context ends, and then writes the queued lines.
func (w *BoundedWriter) Run(ctx context.Context) {
	windowStart := time.Now()
	lines, bytes := 0, 0
	for {
		select {
		case line := <-w.lines:
			if now := time.Now(); now.Sub(windowStart) >= time.Second {
				windowStart, lines, bytes = now, 0, 0
				w.writeDropped()
			}
			lines++
			bytes += len(line)
			if lines > w.budget.Lines || bytes > w.budget.Bytes {
				w.drop()
				continue
			}
			_, _ = w.output.Write(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *BoundedWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.output.Write(line)
		default:
			w.writeDropped()
			return
		}
	}
}

func (w *BoundedWriter) writeDropped() {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.output, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped)
	}
}
