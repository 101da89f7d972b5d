package job

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Ledger holds the records read of the jobs of one partition, and gets from the index which of the jobs exist and which have
// ended. It is safe for concurrent use. Its lock is acquired before the lock of the index.
type Ledger struct {
	index     *Index
	partition keyedlog.Partition

	mutex   sync.Mutex
	fold    *fold
	changed broadcast.Signal
	// readFrom is the offset from which on the partition is read.
	readFrom int64
}

// NewLedger returns an empty ledger for a partition.
func NewLedger(index *Index, partition keyedlog.Partition) *Ledger {
	return &Ledger{index: index, partition: partition, fold: newFold(), changed: broadcast.New()}
}

// Apply folds a record of the partition. An error means that the record was skipped.
func (l *Ledger) Apply(record keyedlog.Record) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	err := l.fold.apply(record)
	l.changed.Notify()
	return err
}

// SetReadFrom sets the offset from which on the partition is read, 0 initially. A job whose submission lies below it is not open: its
// results may lie below it too.
func (l *Ledger) SetReadFrom(offset int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.readFrom = offset
}

// Changed returns a channel that is closed when the next record is applied.
func (l *Ledger) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed.Changed()
}

// Skipped returns the number of records that were skipped because they are invalid.
func (l *Ledger) Skipped() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fold.skipped
}

// View is a snapshot of a job.
type View struct {
	Spec *Spec
	// Listed is the number of results that can be read.
	Listed int
	// ProgressCount is the number of progress records applied so far that extended an item's progress.
	ProgressCount int
	Ended         bool
	// AcceptedAt is when the job was accepted. Estimated reports that it is based on the wall-clock time of another process.
	AcceptedAt time.Time
	Estimated  bool
}

// Job returns the job with an id. It returns false unless the submission was read and the index contains the job.
func (l *Ledger) Job(id string) (View, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	if !ok || found.spec == nil {
		return View{}, false
	}
	status, exists := l.lookUp(id)
	return found.view(status), exists
}

// lookUp returns the status of a job in the index. It returns false if the index has the job in another partition: a
// submission may have been written to several partitions, and the first entry names the one that applies.
func (l *Ledger) lookUp(id string) (Status, bool) {
	status, exists := l.index.Job(id)
	return status, exists && status.Entry.StorePartition() == l.partition
}

// lookUpOpen returns the status of a job in the index, and false unless the job may get more results and all its results were read.
// That its items were read is not enough: the store may hold a copy of them behind its results.
func (l *Ledger) lookUpOpen(id string) (Status, bool) {
	status, exists := l.lookUp(id)
	return status, exists && !status.Ended && !status.Settled && status.Entry.Offset >= l.readFrom
}

func (s *jobState) view(status Status) View {
	return View{
		Spec: s.spec, Listed: s.visible, ProgressCount: s.progressCount, Ended: status.Ended, AcceptedAt: status.AcceptedAt,
		Estimated: status.Estimated,
	}
}

// StartAt limits the ledger to a job's results from a position on. It must be called before the job's first record is
// applied.
func (l *Ledger) StartAt(id string, position int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	found.base, found.visible = position, position
}

// Listed returns the number of results of a job that can be read, and a channel that is closed at the next change of the
// job.
func (l *Ledger) Listed(id string) (int, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	return found.visible, found.changed.Changed()
}

// Readable is what a read of a job's results from a position on can return.
type Readable struct {
	// Listed is the number of results that can be read, including those before the position.
	Listed int
	// Full reports that the results from the position on take more than the limit.
	Full bool
	// StepComplete reports that the groups that the trainer waits for are complete, according to the results that this ledger
	// holds; those before StartAt are not among them.
	StepComplete bool
}

// Readable returns what a read of a job's results from a position on can return, of at most limit bytes. The channel is closed
// at the next change of the job.
func (l *Ledger) Readable(id string, from, limit int) (Readable, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	readable := Readable{Listed: found.visible}
	size := 0
	for position := found.base; position < found.visible; position++ {
		result := found.results[position]
		readable.StepComplete = readable.StepComplete || result.CompletesStep
		if position >= from {
			size += result.Size()
		}
	}
	readable.Full = size > limit
	return readable, found.changed.Changed()
}

// FirstGap returns the first position of a job without a result, and the number of results after it.
func (l *Ledger) FirstGap(id string) (position, behind int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	return found.visible, len(found.results) - (found.visible - found.base)
}

// Results returns the results from a position on: as many as fit into limit bytes, but at least one if there is one.
func (l *Ledger) Results(id string, from, limit int) []*Result {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	if !ok {
		return nil
	}
	var results []*Result
	size := 0
	for position := max(found.base, from); position < found.visible; position++ {
		result := found.results[position]
		size += result.Size()
		if len(results) > 0 && size > limit {
			break
		}
		results = append(results, result)
	}
	return results
}

// ResultOverhead is the size of a result in a response in addition to its text, in bytes.
const ResultOverhead = 256

// Size returns the approximate size of a result in a response, in bytes.
func (r *Result) Size() int { return len(r.Text) + ResultOverhead }

// Item returns an item of a job.
func (l *Ledger) Item(id, itemID string) (Item, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	if !ok || found.spec == nil {
		return Item{}, false
	}
	itemIndex, ok := found.index[itemID]
	if !ok {
		return Item{}, false
	}
	return found.spec.Items[itemIndex], true
}

// OpenItem is an item that is not listed yet.
type OpenItem struct {
	Item Item
	// Index is the index of the item in the submission, counted from 0.
	Index    int
	Progress *Progress
}

// Open returns the items of a job that are not listed, and none if no more results of the job are listed.
func (l *Ledger) Open(id string) []OpenItem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	_, isOpen := l.lookUpOpen(id)
	if !ok || found.spec == nil || !isOpen {
		return nil
	}
	var open []OpenItem
	for itemIndex, item := range found.spec.Items {
		if _, listed := found.listed[item.ID]; !listed {
			open = append(open, OpenItem{Item: item, Index: itemIndex, Progress: found.progress[item.ID]})
		}
	}
	return open
}

// OpenJobs returns the jobs that may get more results and have items that are not listed, oldest first.
func (l *Ledger) OpenJobs() []View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var views []View
	for id, job := range l.fold.jobs {
		if job.spec == nil || len(job.listed) == len(job.spec.Items) {
			continue
		}
		if status, isOpen := l.lookUpOpen(id); isOpen {
			views = append(views, job.view(status))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	return views
}

// PieceKeys returns the keys of the pieces of progress that a job has in the partition, in order. They are no longer needed
// once the job is settled.
func (l *Ledger) PieceKeys(id string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(found.pieceKeys))
}

// InOtherJob reports whether an item is part of another job.
func (l *Ledger) InOtherJob(jobID, itemID string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, found := range l.fold.jobs {
		if _, seen := found.index[itemID]; seen && id != jobID {
			return true
		}
	}
	return false
}

// OtherJobText returns the whole text of an item that was listed in another job, as progress without a score. It returns nil if
// there is none.
func (l *Ledger) OtherJobText(jobID, itemID string) *Progress {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, found := range l.fold.jobs {
		position, listed := found.listed[itemID]
		if id == jobID || !listed || found.results[position].Dead {
			continue
		}
		result := found.results[position]
		return &Progress{ItemID: itemID, Events: []string{result.Text}, Versions: result.Versions, Whole: true}
	}
	return nil
}
