package jobrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// writerName names the line of epochs of owners in a partition.
	writerName = "owner"
	// appendPause is the pause between appends that failed. The log bounds each append.
	appendPause = 50 * time.Millisecond
)

// errSuperseded says that another owner has a higher epoch.
var errSuperseded = errors.New("another owner has the partition")

// writer appends the records of one owner to its partition, in sequence and under its epoch. Records that wait are appended
// together.
type writer struct {
	log       keyedlog.Log
	partition keyedlog.Partition
	epoch     int64
	limits    Limits
	logger    *log.Logger

	mutex sync.Mutex
	// positions counts the results given a position, by job.
	positions map[string]int
	waiting   []entry
	arrived   chan struct{}
	// flushed is closed once everything that was waiting is written; nil while nobody asks.
	idle chan struct{}
	busy bool

	sequence   int64
	superseded chan struct{}
	once       sync.Once
}

// entry is one piece to write: a result, or records that need no position.
type entry struct {
	jobID   string
	result  *job.Result
	records []keyedlog.Record
	done    func()
}

func newWriter(log keyedlog.Log, partition keyedlog.Partition, epoch int64, limits Limits, logger *log.Logger) *writer {
	return &writer{
		log: log, partition: partition, epoch: epoch, limits: limits, logger: logger, positions: make(map[string]int),
		arrived: make(chan struct{}, 1), superseded: make(chan struct{}),
	}
}

// open sets the epoch, so that no owner of a lower one can write any more, and returns the partition's end.
func (w *writer) open(ctx context.Context) (int64, error) {
	return w.append(ctx, nil)
}

// startAt sets how many results of a job are listed already.
func (w *writer) startAt(jobID string, listed int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, known := w.positions[jobID]; !known {
		w.positions[jobID] = listed
	}
}

// list queues a result; done is called once it is durable.
func (w *writer) list(jobID string, result *job.Result, done func()) {
	w.push(entry{jobID: jobID, result: result, done: done})
}

// keep queues records that need no position.
func (w *writer) keep(records []keyedlog.Record) {
	w.push(entry{records: records})
}

func (w *writer) push(next entry) {
	w.mutex.Lock()
	w.waiting = append(w.waiting, next)
	w.mutex.Unlock()
	select {
	case w.arrived <- struct{}{}:
	default:
	}
}

// run writes until the context ends or the owner is superseded.
func (w *writer) run(ctx context.Context) {
	for {
		batch, records := w.take()
		if len(records) == 0 {
			select {
			case <-w.arrived:
				continue
			case <-ctx.Done():
				return
			}
		}
		if _, err := w.append(ctx, records); err != nil {
			return
		}
		for _, written := range batch {
			if written.done != nil {
				written.done()
			}
		}
	}
}

// take returns what fits one append, with positions given to results.
func (w *writer) take() ([]entry, []keyedlog.Record) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.busy = false
	var records []keyedlog.Record
	size, count := 0, 0
	for _, next := range w.waiting {
		encoded, err := w.encode(next)
		if err != nil {
			errorlog.Error(w.logger, "record does not encode", err, "job", next.jobID)
			count++
			continue
		}
		if count > 0 && size+job.Size(encoded) > w.limits.CallBytes {
			break
		}
		if next.result != nil {
			w.positions[next.jobID]++
		}
		size += job.Size(encoded)
		records = append(records, encoded...)
		count++
	}
	batch := w.waiting[:count:count]
	w.waiting = w.waiting[count:]
	if len(records) > 0 {
		w.busy = true
	} else if w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
	return batch, records
}

func (w *writer) encode(next entry) ([]keyedlog.Record, error) {
	if next.result == nil {
		return next.records, nil
	}
	return job.EncodeResult(next.jobID, w.positions[next.jobID], *next.result, w.limits.RecordBytes)
}

// flush waits until everything that waits is written, or the context ends.
func (w *writer) flush(ctx context.Context) {
	w.mutex.Lock()
	if len(w.waiting) == 0 && !w.busy {
		w.mutex.Unlock()
		return
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mutex.Unlock()
	select {
	case <-idle:
	case <-w.superseded:
	case <-ctx.Done():
	}
}

// append writes records, again and again until the store says that they are there. The sequence number makes the store take
// them once.
func (w *writer) append(ctx context.Context, records []keyedlog.Record) (int64, error) {
	fence := &keyedlog.Fence{Writer: writerName, Epoch: w.epoch, Sequence: w.sequence}
	for {
		appended, err := w.log.Append(ctx, w.partition, records, fence)
		var order *keyedlog.SequenceError
		switch {
		case err == nil:
			w.sequence++
			return appended.End, nil
		case errors.Is(err, keyedlog.ErrFenced), errors.As(err, &order):
			w.once.Do(func() { close(w.superseded) })
			errorlog.Warn(w.logger, "owner is superseded", err, "partition", w.partition, "epoch", w.epoch)
			return 0, errSuperseded
		}
		errorlog.Debug(w.logger, "append failed", err, "partition", w.partition)
		if !sleep(ctx, appendPause) {
			return 0, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
