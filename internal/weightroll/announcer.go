package weightroll

import (
	"context"
	"fmt"
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
	// started is when the owner had its epoch, so that nobody before wrote any more; it is set before the first announcement.
	started time.Time
	// ordered holds when each engine's last order was announced, since then. Only the call that has the turn touches it.
	ordered map[string]time.Duration

	mutex   sync.Mutex
	waiting []*announcing
	// writing says that a call of announce has the turn to write.
	writing bool
}

func newAnnouncer(writer appender) *announcer {
	return &announcer{writer: writer, ordered: make(map[string]time.Duration)}
}

// announcing is a record on its way.
type announcing struct {
	announcement Announcement
	// turn is closed when its call is to make the next append, done once the record is written or failed.
	turn, done chan struct{}
	// began is from before the append that wrote it, took how long that took.
	began time.Time
	took  time.Duration
	err   error
}

// record returns the record of an announcement that is about to be written, as it is at a moment. That an engine serves may be told after its
// next order: the record tells when the newest one was announced all the same.
func (a *announcer) record(announcement Announcement, began time.Time) (keyedlog.Record, error) {
	id := announcement.EngineID
	announcement.Written = began.Sub(a.started)
	if !announcement.Serving {
		a.ordered[id] = announcement.Written
	}
	announcement.Ordered = a.ordered[id]
	value, err := announcement.MarshalMsg(nil)
	if err != nil {
		return keyedlog.Record{}, fmt.Errorf("announcement for %s: %w", id, err)
	}
	return keyedlog.Record{Key: id, Value: value}, nil
}

// announce writes an announcement, and returns a moment before which it was not in the store and how long the append took from there. An
// error is the end of all writing. A call makes the append with its own record and what waits beside it, and passes the turn on: the
// window of its order runs, so it must not wait for what comes later.
func (a *announcer) announce(ctx context.Context, announcement Announcement) (began time.Time, took time.Duration, err error) {
	own := &announcing{announcement: announcement, turn: make(chan struct{}), done: make(chan struct{})}
	a.mutex.Lock()
	a.waiting = append(a.waiting, own)
	if !a.writing {
		a.pass()
	}
	a.mutex.Unlock()
	select {
	case <-own.turn:
		a.write(ctx)
	case <-own.done:
	}
	return own.began, own.took, own.err
}

// write makes one append and passes the turn on. The caller's own record is the first that waits.
func (a *announcer) write(ctx context.Context) {
	batch := a.take()
	began := time.Now()
	records, err := a.records(batch, began)
	if err == nil {
		_, err = a.writer.Append(ctx, records)
	}
	took := time.Since(began)
	for _, written := range batch {
		written.began, written.took, written.err = began, took, err
		close(written.done)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pass()
}

// records returns the records of announcements that are about to be written.
func (a *announcer) records(batch []*announcing, began time.Time) ([]keyedlog.Record, error) {
	records := make([]keyedlog.Record, len(batch))
	for i, next := range batch {
		record, err := a.record(next.announcement, began)
		if err != nil {
			return nil, err
		}
		records[i] = record
	}
	return records, nil
}

// take returns the announcements to write next.
func (a *announcer) take() []*announcing {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := min(len(a.waiting), announcementsMost)
	batch := a.waiting[:count:count]
	a.waiting = a.waiting[count:]
	return batch
}

// pass gives the turn to the first that waits. If none waits, nobody has it. The mutex must be held.
func (a *announcer) pass() {
	a.writing = len(a.waiting) > 0
	if a.writing {
		close(a.waiting[0].turn)
	}
}
