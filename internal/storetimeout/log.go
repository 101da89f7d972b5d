package storetimeout

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// readSlack is how long a read that the store holds open may take beyond the time it was asked to wait.
const readSlack = 300 * time.Millisecond

// A join waits for a part of the member's lifetime at most, so that it is heard in time when the store is back.
const (
	groupMost  = 600 * time.Millisecond
	groupShare = 2
)

// Log is a log whose calls are bounded by how long the store has lately taken.
type Log struct {
	keyedlog.Log
	writes estimator
	groups estimator

	mutex sync.Mutex
	// reads holds what is known of each topic's reads: a page of all engines takes many times as long as one of the operator's records, and would be
	// given up and asked for again by the time that those take.
	reads map[keyedlog.Topic]*topicReads
	// underWay holds the calls that wait for an answer, heard is when one came last, returned when one came after the store was away.
	underWay map[*call]struct{}
	heard    time.Time
	returned time.Time
}

// call is one that waits for an answer.
type call struct {
	began  time.Time
	cancel context.CancelFunc
	// lost says that it was given up since the store, which was away, answers others.
	lost atomic.Bool
}

// awayAfter is how long no call was answered when the store is taken to have been away. A member of a group calls several times as
// often, and a slow store takes a quarter of it for an answer.
const awayAfter = time.Second

// New bounds the calls of a log.
func New(log keyedlog.Log) *Log {
	return &Log{Log: log}
}

// bound makes a call under the timeout of an estimator.
func bound[T any](ctx context.Context, l *Log, estimator *estimator, send func(ctx context.Context) (T, error)) (T, error) {
	allowed := estimator.timeout()
	callCtx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	own := l.begin(cancel)
	defer l.end(own)
	answer, err := send(callCtx)
	switch {
	case err == nil || errors.Is(err, keyedlog.ErrFenced):
		took := time.Since(own.began)
		estimator.answered(took)
		l.answered(own)
	case ctx.Err() == nil && callCtx.Err() != nil && !own.lost.Load():
		estimator.expired(allowed)
	}
	return answer, err
}

// topicReads is what is known of the reads of a topic: how long they take, and how many bytes come in time.
type topicReads struct {
	estimator
	window window
}

// readsOf returns what is known of a topic's reads.
func (l *Log) readsOf(topic keyedlog.Topic) *topicReads {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.reads == nil {
		l.reads = make(map[keyedlog.Topic]*topicReads)
	}
	found, ok := l.reads[topic]
	if !ok {
		found = &topicReads{}
		l.reads[topic] = found
	}
	return found
}

// begin notes a call.
func (l *Log) begin(cancel context.CancelFunc) *call {
	own := &call{began: time.Now(), cancel: cancel}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.underWay == nil {
		l.underWay = make(map[*call]struct{})
	}
	l.underWay[own] = struct{}{}
	return own
}

func (l *Log) end(own *call) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.underWay, own)
}

// answered takes that a call was answered. One that was sent after the store's return ends those that were sent before it: they were
// lost with the store, and would wait for seconds more although it is back.
func (l *Log) answered(own *call) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.heard.IsZero() && now.Sub(l.heard) >= awayAfter {
		l.returned = now
	}
	l.heard = now
	if own.began.Before(l.returned) {
		return
	}
	for waiting := range l.underWay {
		if waiting.began.Before(l.returned) {
			waiting.lost.Store(true)
			waiting.cancel()
		}
	}
}

// Append adds records to a partition, within the time that appends take.
func (l *Log) Append(
	ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record, fence *keyedlog.Fence,
) (keyedlog.Appended, error) {
	return bound(ctx, l, &l.writes, func(ctx context.Context) (keyedlog.Appended, error) {
		return l.Log.Append(ctx, partition, records, fence)
	})
}

// Newest returns a page of the newest records, within the time that pages take.
func (l *Log) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	return bound(ctx, l, &l.readsOf(partition.Topic).estimator, func(ctx context.Context) (keyedlog.Page, error) {
		return l.Log.Newest(ctx, partition, afterKey)
	})
}

// Read returns records, within the time that the store was asked to wait and what pages take, and no more than come in that time. A read
// that is not held open measures the store as a page does. A held read that brings nothing in its time lengthens the reads after it: all
// processes read the same records at once, and a store whose link is full answers late; processes that gave up early and asked again would
// fill the link with answers that nobody takes.
func (l *Log) Read(
	ctx context.Context, partition keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	known := l.readsOf(partition.Topic)
	span.MaxBytes = known.window.size(span.MaxBytes)
	batch, err := l.readWithin(ctx, known, partition, span)
	switch {
	case err == nil:
		known.window.answered(batchBytes(batch))
	case ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded):
		known.window.expired(span.MaxBytes)
	}
	return batch, err
}

// readWithin makes one read within its time.
func (l *Log) readWithin(
	ctx context.Context, known *topicReads, partition keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	if span.Wait == 0 {
		return bound(ctx, l, &known.estimator, func(ctx context.Context) (keyedlog.Batch, error) {
			return l.Log.Read(ctx, partition, span)
		})
	}
	allowed := known.timeout()
	callCtx, cancel := context.WithTimeout(ctx, span.Wait+readSlack+allowed)
	defer cancel()
	batch, err := l.Log.Read(callCtx, partition, span)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		known.expired(allowed)
	}
	return batch, err
}

// batchBytes returns how many bytes the records of a batch have.
func batchBytes(batch keyedlog.Batch) int {
	bytes := 0
	for _, record := range batch.Records {
		bytes += len(record.Key) + len(record.Value)
	}
	return bytes
}

// Join joins a group or remains in it, within the time that joins take.
func (l *Log) Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, min(groupMost, request.Lifetime/groupShare))
	defer cancel()
	return bound(ctx, l, &l.groups, func(ctx context.Context) (keyedlog.Membership, error) {
		return l.Log.Join(ctx, request)
	})
}

// Owners lists who holds the partitions of a group, within the time that joins take.
func (l *Log) Owners(ctx context.Context, group string) ([]keyedlog.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, groupMost)
	defer cancel()
	return bound(ctx, l, &l.groups, func(ctx context.Context) ([]keyedlog.Owner, error) {
		return l.Log.Owners(ctx, group)
	})
}
