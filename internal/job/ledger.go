package job

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Ledger holds what was read of the jobs of one partition, and looks up in the index which of them exist and have ended. It
// is safe for concurrent use; its lock is taken before the index's.
type Ledger struct {
	index     *Index
	partition int

	mutex   sync.Mutex
	fold    *fold
	changed broadcast.Signal
}

// NewLedger returns an empty ledger of the partition of a number.
func NewLedger(index *Index, partition int) *Ledger {
	return &Ledger{index: index, partition: partition, fold: newFold(), changed: broadcast.New()}
}

// Apply folds a record of the partition. An error says that the record was skipped.
func (l *Ledger) Apply(record keyedlog.Record) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	err := l.fold.apply(record)
	l.changed.Notify()
	return err
}

// Changed returns a channel that is closed at the next record.
func (l *Ledger) Changed() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.changed.Changed()
}

// Skipped counts records that were skipped because they are not in the form of one.
func (l *Ledger) Skipped() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fold.skipped
}

// View is a job as it stands.
type View struct {
	Spec *Spec
	// Listed counts the results that can be read.
	Listed int
	// ProgressCount counts the progress of items taken so far.
	ProgressCount int
	Ended         bool
	// AcceptedAt is when the job was accepted; Estimated says that it rests on the time of day of another process.
	AcceptedAt time.Time
	Estimated  bool
}

// Job returns a job, false unless its submission was read and the index has it.
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

// lookUp returns what the index says of a job, false if it has the job in another partition: a submission may have been
// written to several, of which the first entry names the one that counts.
func (l *Ledger) lookUp(id string) (Status, bool) {
	status, exists := l.index.Job(id)
	return status, exists && status.Entry.Partition == l.partition
}

func (s *state) view(status Status) View {
	return View{
		Spec: s.spec, Listed: s.visible, ProgressCount: s.progressed, Ended: status.Ended, AcceptedAt: status.AcceptedAt,
		Estimated: status.Estimated,
	}
}

// Begin has the ledger hold a job's results from a position on only. It must be called before the job's first record is applied.
func (l *Ledger) Begin(id string, position int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	found.base, found.visible = position, position
}

// Fills tells whether the results of a job from a position on, up to the first gap, have more than limit bytes. The channel is closed at
// the next change of the job.
func (l *Ledger) Fills(id string, from, limit int) (bool, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	size := 0
	for position := max(found.base, from); position < found.visible && size <= limit; position++ {
		size += found.results[position].Size()
	}
	return size > limit, found.changed.Changed()
}

// Listed returns how many results of a job can be read, and a channel that is closed at the next change of the job.
func (l *Ledger) Listed(id string) (int, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	return found.visible, found.changed.Changed()
}

// Missing returns the first position of a job without a result, and how many results lie behind it.
func (l *Ledger) Missing(id string) (position, behind int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.fold.job(id)
	return found.visible, len(found.results) - (found.visible - found.base)
}

// Results returns the results from a position on, at least one if there is one, and then up to limit bytes of text.
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

// ResultOverhead is what a result takes in an answer besides its text, in bytes.
const ResultOverhead = 256

// Size returns about how many bytes a result takes in an answer.
func (r *Result) Size() int { return len(r.Text) + ResultOverhead }

// Item returns an item of a job.
func (l *Ledger) Item(id, itemID string) (Item, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	if !ok || found.spec == nil {
		return Item{}, false
	}
	place, ok := found.index[itemID]
	if !ok {
		return Item{}, false
	}
	return found.spec.Items[place], true
}

// OpenItem is an item that is not listed yet.
type OpenItem struct {
	Item Item
	// Index is the item's place in the submission.
	Index    int
	Progress *Progress
}

// Open returns the items of a job that are not listed, none if the job has ended.
func (l *Ledger) Open(id string) []OpenItem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	status, exists := l.lookUp(id)
	if !ok || found.spec == nil || !exists || status.Ended {
		return nil
	}
	var open []OpenItem
	for place, item := range found.spec.Items {
		if _, listed := found.listed[item.ID]; !listed {
			open = append(open, OpenItem{Item: item, Index: place, Progress: found.progress[item.ID]})
		}
	}
	return open
}

// OpenJobs returns the jobs that have not ended and have items that are not listed, oldest first.
func (l *Ledger) OpenJobs() []View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var views []View
	for id, job := range l.fold.jobs {
		if job.spec == nil || len(job.listed) == len(job.spec.Items) {
			continue
		}
		if status, exists := l.lookUp(id); exists && !status.Ended {
			views = append(views, job.view(status))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	return views
}

// PieceKeys returns the keys of the pieces of progress that a job has in the partition, in order. Nobody needs them once all is listed that
// will be.
func (l *Ledger) PieceKeys(id string) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found, ok := l.fold.jobs[id]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(found.pieceKeys))
}

// InOtherJob tells whether an item was in another job.
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

// OtherJobText returns the whole text of an item that was listed in another job, as progress without a score, nil if there is none.
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
