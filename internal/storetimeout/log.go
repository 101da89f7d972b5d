package storetimeout

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// readSlack is the time that a read that the store holds open may take beyond the requested wait.
const readSlack = 300 * time.Millisecond

// MaxSilence returns how long a read of a store that was healthy until then takes to fail if it is not answered. wait is how long the
// store may hold the read open.
func MaxSilence(wait time.Duration) time.Duration {
	return wait + readSlack + minTimeout
}

// A join may take maxGroupTimeout or the member's lifetime divided by lifetimeDivisor, whichever is shorter, so that another join
// can reach the store in time once it is back.
const (
	maxGroupTimeout = 600 * time.Millisecond
	lifetimeDivisor = 2
)

// Log is a keyedlog.Log whose calls are limited by the store's recent response times.
type Log struct {
	keyedlog.Log
	writes estimator
	groups estimator

	mutex sync.Mutex
	// reads holds the state of each topic's reads. Topics are kept apart because a page of all engines takes many times as long
	// as one of the operator's records; with a timeout based on the latter it would be abandoned and requested again. Small reads
	// of a topic are kept apart from its pages for the same reason.
	reads map[readKind]*readState
	// pending holds the calls that wait for an answer. lastAnswer is the time of the last answer, recoveredAt the time of the
	// last answer that ended an outage of the store.
	pending     map[*call]struct{}
	lastAnswer  time.Time
	recoveredAt time.Time
}

// call is a call that waits for an answer.
type call struct {
	started time.Time
	cancel  context.CancelFunc
	// lost is set when the call was cancelled because it had been sent before the end of an outage.
	lost atomic.Bool
}

// outageThreshold is the time without any answer after which the store is assumed to have been unavailable. A member of a group
// calls several times in this time, and a slow store answers within a quarter of it.
const outageThreshold = time.Second

// New limits the duration of a log's calls.
func New(log keyedlog.Log) *Log {
	return &Log{Log: log}
}

// callWithTimeout makes a call with the timeout of an estimator, and updates the estimator with the result.
func callWithTimeout[T any](ctx context.Context, l *Log, estimator *estimator, send func(ctx context.Context) (T, error)) (T, error) {
	allowed := estimator.timeout()
	callCtx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	current := l.begin(cancel)
	defer l.end(current)
	answer, err := send(callCtx)
	switch {
	case err == nil || errors.Is(err, keyedlog.ErrFenced):
		elapsed := time.Since(current.started)
		estimator.recordAnswer(elapsed)
		l.recordAnswer(current)
	case ctx.Err() == nil && callCtx.Err() != nil && !current.lost.Load():
		estimator.recordTimeout(allowed)
	}
	return answer, err
}

// smallReadBytes is the maximum requested size of a small read. Pages have up to 1 MB and are encoded as text, so they take up to
// five times as long as the largest small read.
const smallReadBytes = 288 << 10

// readKind is a kind of reads whose response times are similar.
type readKind struct {
	topic keyedlog.Topic
	// small is set for reads that request at most smallReadBytes.
	small bool
}

// readState is the state of one kind of reads: their response times, and the number of bytes that are received within the timeout.
type readState struct {
	estimator
	window window
}

// readsOf returns the state of a kind of reads, and creates it if needed.
func (l *Log) readsOf(kind readKind) *readState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.reads == nil {
		l.reads = make(map[readKind]*readState)
	}
	found, ok := l.reads[kind]
	if !ok {
		found = &readState{}
		l.reads[kind] = found
	}
	return found
}

// begin registers a call as pending.
func (l *Log) begin(cancel context.CancelFunc) *call {
	current := &call{started: time.Now(), cancel: cancel}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pending == nil {
		l.pending = make(map[*call]struct{})
	}
	l.pending[current] = struct{}{}
	return current
}

func (l *Log) end(current *call) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, current)
}

// recordAnswer notes that a call was answered. If the call was sent after the end of an outage, all pending calls that were sent
// before it are cancelled: they were lost in the outage, and would otherwise wait for seconds more although the store is
// available again.
func (l *Log) recordAnswer(current *call) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.lastAnswer.IsZero() && now.Sub(l.lastAnswer) >= outageThreshold {
		l.recoveredAt = now
	}
	l.lastAnswer = now
	if current.started.Before(l.recoveredAt) {
		return
	}
	for waiting := range l.pending {
		if waiting.started.Before(l.recoveredAt) {
			waiting.lost.Store(true)
			waiting.cancel()
		}
	}
}

// Append adds records to a partition, with a timeout based on the response times of appends.
func (l *Log) Append(
	ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record, fence *keyedlog.Fence,
) (keyedlog.Appended, error) {
	return callWithTimeout(ctx, l, &l.writes, func(ctx context.Context) (keyedlog.Appended, error) {
		return l.Log.Append(ctx, partition, records, fence)
	})
}

// Newest returns a page of the newest records, with a timeout based on the response times of the topic's reads of
// that kind.
func (l *Log) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	reads := l.readsOf(readKind{topic: partition.Topic, small: afterKey == keyedlog.AfterAllKeys})
	return callWithTimeout(ctx, l, &reads.estimator, func(ctx context.Context) (keyedlog.Page, error) {
		return l.Log.Newest(ctx, partition, afterKey)
	})
}

// Read returns records. Its timeout is the time that the store was asked to wait and the timeout of its kind of reads, and it
// requests no more bytes than are received in that time. A read that is not held open updates the response times as a page does.
// A held read that times out lengthens the timeout of the reads after it: all processes read the same records at once, and a
// store whose link is saturated answers late; processes that timed out early and repeated their reads would fill the link with
// answers that are discarded.
func (l *Log) Read(
	ctx context.Context, partition keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	small := span.MaxBytes > 0 && span.MaxBytes <= smallReadBytes
	reads := l.readsOf(readKind{topic: partition.Topic, small: small})
	span.MaxBytes = reads.window.size(span.MaxBytes)
	batch, err := l.readWithin(ctx, reads, partition, span)
	switch {
	case err == nil:
		reads.window.recordAnswer(batchBytes(batch))
	case ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded):
		reads.window.recordTimeout(span.MaxBytes)
	}
	return batch, err
}

// readWithin makes one read within its timeout.
func (l *Log) readWithin(
	ctx context.Context, reads *readState, partition keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	if span.Wait == 0 {
		return callWithTimeout(ctx, l, &reads.estimator, func(ctx context.Context) (keyedlog.Batch, error) {
			return l.Log.Read(ctx, partition, span)
		})
	}
	allowed := reads.timeout()
	callCtx, cancel := context.WithTimeout(ctx, span.Wait+readSlack+allowed)
	defer cancel()
	batch, err := l.Log.Read(callCtx, partition, span)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		reads.recordTimeout(allowed)
	}
	return batch, err
}

// batchBytes returns the size of a batch's keys and values in bytes.
func batchBytes(batch keyedlog.Batch) int {
	bytes := 0
	for _, record := range batch.Records {
		bytes += len(record.Key) + len(record.Value)
	}
	return bytes
}

// Join joins a group or renews a membership, with a timeout based on the response times of joins.
func (l *Log) Join(ctx context.Context, request keyedlog.JoinRequest) (keyedlog.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, min(maxGroupTimeout, request.Lifetime/lifetimeDivisor))
	defer cancel()
	return callWithTimeout(ctx, l, &l.groups, func(ctx context.Context) (keyedlog.Membership, error) {
		return l.Log.Join(ctx, request)
	})
}

// Owners lists the owners of a group's partitions, with a timeout based on the response times of joins.
func (l *Log) Owners(ctx context.Context, group string) ([]keyedlog.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, maxGroupTimeout)
	defer cancel()
	return callWithTimeout(ctx, l, &l.groups, func(ctx context.Context) ([]keyedlog.Owner, error) {
		return l.Log.Owners(ctx, group)
	})
}
