package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// writeRetry is the pause after an append that failed; the log bounds each.
	writeRetry = 250 * time.Millisecond
	// queueMost bounds the records that wait while the store is away. An engine that ends under all of its places makes some tens.
	queueMost = 1024
)

// writer writes records one append after another, all that wait in one. Each record says the same however often it is written, so
// that an append whose answer was lost is made again.
type writer struct {
	log    keyedlog.Log
	logger *log.Logger

	mutex  sync.Mutex
	queue  []keyedlog.Record
	wanted chan struct{}
	// written is closed when all that waits now has been written.
	written chan struct{}
}

func newWriter(log keyedlog.Log, logger *log.Logger) *writer {
	return &writer{log: log, logger: logger, wanted: make(chan struct{}, 1), written: make(chan struct{})}
}

// put has records written and returns what is closed once they are.
func (w *writer) put(records ...keyedlog.Record) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = append(w.queue, records...)
	if excess := len(w.queue) - queueMost; excess > 0 {
		w.logger.Warn("records of ended engines dropped, the store takes none", "count", excess)
		w.queue = w.queue[excess:]
	}
	select {
	case w.wanted <- struct{}{}:
	default:
	}
	return w.written
}

// take returns what waits, and what to close once it is written.
func (w *writer) take() ([]keyedlog.Record, chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	records, written := w.queue, w.written
	w.queue, w.written = nil, make(chan struct{})
	return records, written
}

// run writes until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wanted:
		case <-ctx.Done():
			return
		}
		records, written := w.take()
		for len(records) > 0 {
			_, err := w.log.Append(ctx, keyedlog.Crashes, records, nil)
			if err == nil {
				break
			}
			errorlog.Warn(w.logger, "records of ended engines not written", err, "count", len(records))
			if !pause.For(ctx, writeRetry) {
				return
			}
		}
		close(written)
	}
}
