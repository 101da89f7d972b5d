package weightroll

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// maxBatchSize limits the announcements in one append. At about 150 bytes each, a full batch is a tenth of what the
// store accepts in one call, and it is more than the engines of a pool that load at the same time.
const maxBatchSize = 1024

// appender writes records to a partition of the weights topic. It retries until they are stored, and returns an error
// when it cannot write any more.
type appender interface {
	Append(ctx context.Context, records []keyedlog.Record) (int64, error)
}

// announcer writes announcements in batches. A partition accepts one append at a time, so all announcements that are
// pending are written by the next one. With an append each, an order on a slow store would wait for all orders before
// it.
type announcer struct {
	writer appender
	// epochStart is when the owner acquired its epoch; no earlier owner can write after it. It is set before the first
	// announcement.
	epochStart time.Time
	// lastOrdered maps engine ids to the time since epochStart at which their last order was announced. Only the call
	// that is writing accesses it.
	lastOrdered map[string]time.Duration

	mutex   sync.Mutex
	pending []*pendingAnnouncement
	// writing is set while a call of announce is making an append or has been chosen to make the next one.
	writing bool
}

func newAnnouncer(writer appender) *announcer {
	return &announcer{writer: writer, lastOrdered: make(map[string]time.Duration)}
}

// pendingAnnouncement is an announcement that is being written.
type pendingAnnouncement struct {
	announcement Announcement
	// mayWrite is closed when the call that created the announcement is to make the next append, done once the
	// announcement has been written or has failed.
	mayWrite, done chan struct{}
	// startedAt is a time before the append that wrote the announcement, elapsed the duration of that append.
	startedAt time.Time
	elapsed   time.Duration
	err       error
}

// record returns the record of an announcement that is about to be written at startedAt. An announcement that an engine
// serves a version may be written after the engine's next order: its record still carries the time of the newest order.
func (a *announcer) record(announcement Announcement, startedAt time.Time) (keyedlog.Record, error) {
	id := announcement.EngineID
	announcement.Written = startedAt.Sub(a.epochStart)
	if !announcement.Serving {
		a.lastOrdered[id] = announcement.Written
	}
	announcement.Ordered = a.lastOrdered[id]
	value, err := announcement.MarshalMsg(nil)
	if err != nil {
		return keyedlog.Record{}, fmt.Errorf("encoding announcement for engine %s: %w", id, err)
	}
	return keyedlog.Record{Key: id, Value: value}, nil
}

// announce writes an announcement. It returns a time at which the announcement was not in the store yet, and the
// duration of the append from there. After an error nothing can be written any more. A call makes at most one append,
// with its own record and those pending with it, and then lets the next pending call write: the send window of its own
// order is running, so it must not wait for later announcements.
func (a *announcer) announce(ctx context.Context, announcement Announcement) (startedAt time.Time, elapsed time.Duration, err error) {
	own := &pendingAnnouncement{announcement: announcement, mayWrite: make(chan struct{}), done: make(chan struct{})}
	a.mutex.Lock()
	a.pending = append(a.pending, own)
	if !a.writing {
		a.wakeNext()
	}
	a.mutex.Unlock()
	select {
	case <-own.mayWrite:
		a.write(ctx)
	case <-own.done:
	}
	return own.startedAt, own.elapsed, own.err
}

// write makes one append and then lets the next pending call write. The first pending announcement is the caller's own.
func (a *announcer) write(ctx context.Context) {
	batch := a.nextBatch()
	startedAt := time.Now()
	records, err := a.records(batch, startedAt)
	if err == nil {
		_, err = a.writer.Append(ctx, records)
	}
	elapsed := time.Since(startedAt)
	for _, written := range batch {
		written.startedAt, written.elapsed, written.err = startedAt, elapsed, err
		close(written.done)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.wakeNext()
}

// records returns the records of a batch that is about to be written at startedAt.
func (a *announcer) records(batch []*pendingAnnouncement, startedAt time.Time) ([]keyedlog.Record, error) {
	records := make([]keyedlog.Record, len(batch))
	for i, next := range batch {
		record, err := a.record(next.announcement, startedAt)
		if err != nil {
			return nil, err
		}
		records[i] = record
	}
	return records, nil
}

// nextBatch removes and returns the announcements to write next.
func (a *announcer) nextBatch() []*pendingAnnouncement {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := min(len(a.pending), maxBatchSize)
	batch := a.pending[:count:count]
	a.pending = a.pending[count:]
	return batch
}

// wakeNext lets the call with the first pending announcement write, or clears writing if there is none. The caller must
// hold the mutex.
func (a *announcer) wakeNext() {
	a.writing = len(a.pending) > 0
	if a.writing {
		close(a.pending[0].mayWrite)
	}
}
