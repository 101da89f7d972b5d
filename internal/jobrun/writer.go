package jobrun

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// writerName names the line of epochs of owners in a partition.
	writerName = "owner"
	// appendPause is the pause between appends without a fence that failed. The log bounds each append.
	appendPause = 50 * time.Millisecond
)

// writer appends the records of one owner to its partition, in sequence and under its epoch. Records that wait are appended
// together.
type writer struct {
	*fencing.Writer
	limits Limits
	logger *log.Logger

	mutex sync.Mutex
	// positions counts the results given a position, by job.
	positions map[string]int
	// closed holds the jobs of which nothing more is listed.
	closed  map[string]bool
	waiting []entry
	arrived chan struct{}
	// flushed is closed once everything that was waiting is written; nil while nobody asks.
	idle chan struct{}
	busy bool
}

// entry is one piece to write: a result, or records that need no position.
type entry struct {
	// jobID names the job after whose close the piece is not written any more; empty if it is written all the same.
	jobID   string
	result  *job.Result
	records []keyedlog.Record
	// done is called once the piece is durable, with an offset that it lies below.
	done func(end int64)
}

func newWriter(fenced *fencing.Writer, limits Limits, logger *log.Logger) *writer {
	return &writer{
		Writer: fenced, limits: limits, logger: logger, positions: make(map[string]int), closed: make(map[string]bool),
		arrived: make(chan struct{}, 1),
	}
}

// startAt sets how many results of a job are listed already.
func (w *writer) startAt(jobID string, listed int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, known := w.positions[jobID]; !known {
		w.positions[jobID] = listed
	}
}

// list queues a result; done is called once it is durable. A result of a job that was closed is dropped.
func (w *writer) list(jobID string, result *job.Result, done func()) {
	w.push(entry{jobID: jobID, result: result, done: func(int64) { done() }})
}

// close takes no further result or progress of a job, drops keys that nobody needs any more, and queues the record that says
// so; done is called once that is durable, with an offset below which all the job's results lie.
func (w *writer) close(jobID string, needless []string, done func(end int64)) {
	w.mutex.Lock()
	w.closed[jobID] = true
	w.mutex.Unlock()
	for _, records := range job.SplitAppends(dropped(needless), w.limits.CallBytes) {
		w.push(entry{records: records})
	}
	w.push(entry{records: []keyedlog.Record{job.EncodeSettledMarker(jobID)}, done: done})
}

// keep queues records of a job that need no position. Those of a job that was closed are dropped.
func (w *writer) keep(jobID string, records []keyedlog.Record) {
	w.push(entry{jobID: jobID, records: records})
}

func (w *writer) push(next entry) {
	w.mutex.Lock()
	if next.jobID != "" && w.closed[next.jobID] {
		w.mutex.Unlock()
		return
	}
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
		end, err := w.Append(ctx, records)
		if err != nil {
			return
		}
		for _, written := range batch {
			if written.done != nil {
				written.done(end)
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
	case <-w.Superseded():
	case <-ctx.Done():
	}
}
