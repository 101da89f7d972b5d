package weightroll

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// announcementsMost bounds the announcements of one append, some 150 bytes each: a tenth of what the store takes in one call, and
// more than engines of a pool load together.
const announcementsMost = 1024

// appender writes records to the partition of orders, until they are there or it can't write any more.
type appender interface {
	Append(ctx context.Context, records []keyedlog.Record) (int64, error)
}

// announcer writes announcements. A partition takes one append at a time, so that those which wait are written together: on a slow
// store each order would wait for all before it otherwise.
type announcer struct {
	writer appender

	mutex   sync.Mutex
	waiting []*announcing
	// writing says that a call of announce writes for all.
	writing bool
}

// announcing is a record on its way.
type announcing struct {
	record keyedlog.Record
	// done is closed once the record is written or failed.
	done chan struct{}
	// began is from before the append that wrote it, took how long that took.
	began time.Time
	took  time.Duration
	err   error
}

// announce writes a record, and returns a moment before which it was not in the store and how long the append took from there. An
// error is the end of all writing.
func (a *announcer) announce(ctx context.Context, record keyedlog.Record) (began time.Time, took time.Duration, err error) {
	own := &announcing{record: record, done: make(chan struct{})}
	a.mutex.Lock()
	a.waiting = append(a.waiting, own)
	leads := !a.writing
	a.writing = true
	a.mutex.Unlock()
	if leads {
		a.writeAll(ctx)
	}
	<-own.done
	return own.began, own.took, own.err
}

// writeAll writes until nothing waits.
func (a *announcer) writeAll(ctx context.Context) {
	for {
		batch := a.take()
		if len(batch) == 0 {
			return
		}
		records := make([]keyedlog.Record, len(batch))
		for i, next := range batch {
			records[i] = next.record
		}
		began := time.Now()
		_, err := a.writer.Append(ctx, records)
		took := time.Since(began)
		for _, written := range batch {
			written.began, written.took, written.err = began, took, err
			close(written.done)
		}
	}
}

// take returns the announcements to write next, none if none wait: then nobody writes any more.
func (a *announcer) take() []*announcing {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := min(len(a.waiting), announcementsMost)
	batch := a.waiting[:count:count]
	a.waiting = a.waiting[count:]
	a.writing = count > 0
	return batch
}
