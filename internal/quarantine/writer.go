package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/producer"
)

const (
	// writeRetryInterval is the pause after a failed append; the log itself limits the duration of each append.
	writeRetryInterval = 250 * time.Millisecond
	// maxQueued limits the number of records that are queued while the store is unavailable. An engine that ends with all
	// its slots in use produces several tens.
	maxQueued = 1024
)

// writer writes records one append at a time, with all queued records in one append. An append without an answer is repeated until
// it succeeds.
type writer struct {
	producer *producer.Producer
	logger   *log.Logger

	mutex sync.Mutex
	queue []keyedlog.Record
	wake  chan struct{}
	// written is closed once all records that are queued now have been written.
	written chan struct{}
}

func newWriter(log keyedlog.Log, logger *log.Logger) *writer {
	return &writer{producer: producer.New(log), logger: logger, wake: make(chan struct{}, 1), written: make(chan struct{})}
}

// enqueue queues records and returns a channel that is closed once they have been written.
func (w *writer) enqueue(records ...keyedlog.Record) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue = append(w.queue, records...)
	if excess := len(w.queue) - maxQueued; excess > 0 {
		w.logger.Warn("records of ended engines dropped, the store takes none", "count", excess)
		w.queue = w.queue[excess:]
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return w.written
}

// drain returns the queued records, and the channel to close once they have been written.
func (w *writer) drain() ([]keyedlog.Record, chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	records, written := w.queue, w.written
	w.queue, w.written = nil, make(chan struct{})
	return records, written
}

// run writes queued records until the context ends.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
		records, written := w.drain()
		if len(records) > 0 && w.write(ctx, records) != nil {
			return
		}
		close(written)
	}
}

// write appends records until the append succeeds or the context ends.
func (w *writer) write(ctx context.Context, records []keyedlog.Record) error {
	_, err := w.producer.AppendRetrying(ctx, keyedlog.Crashes, records, producer.Retry{Interval: writeRetryInterval, OnFailure: func(err error) {
		errorlog.Warn(w.logger, "records of ended engines not written", err, "count", len(records))
	}})
	return err
}
