package jobrun

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// writerName names the sequence of owner epochs in a partition.
	writerName = "owner"
	// appendRetryInterval is the delay before an append without a fence, or a confirmation of the index, is retried. The log
	// bounds the duration of each call.
	appendRetryInterval = 50 * time.Millisecond
)

// writer appends the records of one owner to its partition, in sequence and with its epoch. Pending records are combined into
// one append.
type writer struct {
	*fencing.Writer
	limits Limits
	logger *log.Logger

	mutex sync.Mutex
	// positions is the number of results that have been assigned a position, by job.
	positions map[string]int
	// closed holds the jobs of which no further results are listed.
	closed map[string]bool
	// wanted holds the groups that trainers wait for, by job, until they are complete or the job is closed.
	wanted  map[string]*wantedGroups
	pending []entry
	wakeup  chan struct{}
	// idle is closed once all pending entries are written; nil while no call of flush waits for that.
	idle      chan struct{}
	appending bool
}

// entry is one unit to write: a result, or records that need no position.
type entry struct {
	// jobID is the job after whose close the entry is dropped instead of queued; empty if it is always written.
	jobID  string
	result *job.Result
	// completesStep reports that the result makes the wanted groups complete. It is set when the result is encoded.
	completesStep bool
	records       []keyedlog.Record
	// done is called once the entry is durable, with an offset that is higher than those of its records.
	done func(end int64)
}

func newWriter(fenced *fencing.Writer, limits Limits, logger *log.Logger) *writer {
	return &writer{
		Writer: fenced, limits: limits, logger: logger, positions: make(map[string]int), closed: make(map[string]bool),
		wanted: make(map[string]*wantedGroups), wakeup: make(chan struct{}, 1),
	}
}

// startJob sets the number of results of a job that are listed already, and the groups that its trainer waits for after these
// results, unless this is known.
func (w *writer) startJob(jobID string, listed int, wanted *wantedGroups) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, known := w.positions[jobID]; known {
		return
	}
	w.positions[jobID] = listed
	if !wanted.complete() {
		w.wanted[jobID] = wanted
	}
}

// list queues a result; done is called once it is durable. A result of a closed job is dropped.
func (w *writer) list(jobID string, result *job.Result, done func()) {
	w.enqueue(entry{jobID: jobID, result: result, done: func(int64) { done() }})
}

// closeJob rejects further results and progress of a job, deletes obsolete keys, and queues the record that marks the end of
// its results. done is called once that record is durable, with an offset that is higher than those of all the job's results.
func (w *writer) closeJob(jobID string, obsoleteKeys []string, done func(end int64)) {
	w.mutex.Lock()
	w.closed[jobID] = true
	delete(w.wanted, jobID)
	w.mutex.Unlock()
	for _, records := range job.SplitAppends(tombstones(obsoleteKeys), w.limits.CallBytes) {
		w.enqueue(entry{records: records})
	}
	w.enqueue(entry{records: []keyedlog.Record{job.EncodeSettledMarker(jobID)}, done: done})
}

// save queues records of a job that need no position. Records of a closed job are dropped.
func (w *writer) save(jobID string, records []keyedlog.Record) {
	w.enqueue(entry{jobID: jobID, records: records})
}

func (w *writer) enqueue(next entry) {
	w.mutex.Lock()
	if next.jobID != "" && w.closed[next.jobID] {
		w.mutex.Unlock()
		return
	}
	w.pending = append(w.pending, next)
	w.mutex.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run writes pending entries until the context ends or the owner is superseded.
func (w *writer) run(ctx context.Context) {
	for {
		batch, records := w.nextBatch()
		if len(records) == 0 {
			select {
			case <-w.wakeup:
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
			if written.completesStep {
				w.logger.Info("step complete", "job", written.jobID, "item", written.result.ItemID)
			}
			if written.done != nil {
				written.done(end)
			}
		}
	}
}

// nextBatch returns the entries that fit one append, and their records, in which results have been assigned positions.
func (w *writer) nextBatch() ([]entry, []keyedlog.Record) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.appending = false
	var records []keyedlog.Record
	size, count := 0, 0
	for i := range w.pending {
		next := &w.pending[i]
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
			w.countListed(next.jobID, next.result.ItemID)
		}
		size += job.Size(encoded)
		records = append(records, encoded...)
		count++
	}
	batch := w.pending[:count:count]
	w.pending = w.pending[count:]
	if len(records) > 0 {
		w.appending = true
	} else if w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
	return batch, records
}

// encode returns the records of an entry. A result gets the next position of its job, and the mark if it completes the step. The
// mutex must be held.
func (w *writer) encode(next *entry) ([]keyedlog.Record, error) {
	if next.result == nil {
		return next.records, nil
	}
	next.completesStep = w.wanted[next.jobID].completedBy(next.result.ItemID)
	encoded, err := w.encodeResult(next)
	if err == nil || next.result.Dead {
		return encoded, err
	}
	errorlog.Error(w.logger, "result cannot be stored, item given up", err, "job", next.jobID, "item", next.result.ItemID)
	next.result = &job.Result{ItemID: next.result.ItemID, Dead: true}
	return w.encodeResult(next)
}

// errResultTooLarge is returned for a result that no append can hold.
var errResultTooLarge = errors.New("result is larger than an append may be")

// encodeResult returns the records of the result of an entry, which fit one append. The mutex must be held.
func (w *writer) encodeResult(next *entry) ([]keyedlog.Record, error) {
	result := *next.result
	result.CompletesStep = next.completesStep
	encoded, err := job.EncodeResult(next.jobID, w.positions[next.jobID], result, w.limits.RecordBytes)
	if err == nil && job.Size(encoded) > w.limits.CallBytes {
		err = errResultTooLarge
	}
	return encoded, err
}

// countListed counts a result that is being listed. The mutex must be held.
func (w *writer) countListed(jobID, itemID string) {
	w.positions[jobID]++
	wanted := w.wanted[jobID]
	wanted.list(itemID)
	if wanted.complete() {
		delete(w.wanted, jobID)
	}
}

// flush waits until all pending entries are written, the owner is superseded, or the context ends.
func (w *writer) flush(ctx context.Context) {
	w.mutex.Lock()
	if len(w.pending) == 0 && !w.appending {
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
