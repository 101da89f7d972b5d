package job

import (
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Ledger holds the jobs of all partitions that a process follows. It is safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	folds   map[int]*fold
	changed broadcast.Signal
	// Now returns the process's steady clock.
	now func() time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{folds: make(map[int]*fold), changed: broadcast.New(), now: time.Now}
}

// Apply folds a record of a partition. An error says that the record was skipped.
func (l *Ledger) Apply(partition int, record keyedlog.Record, recovered bool) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	err := l.fold(partition).apply(record, recovered, l.now())
	l.changed.Notify()
	return err
}

func (l *Ledger) fold(partition int) *fold {
	found, ok := l.folds[partition]
	if !ok {
		found = newFold()
		l.folds[partition] = found
	}
	return found
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
	total := 0
	for _, found := range l.folds {
		total += found.skipped
	}
	return total
}

// View is a job as it stands.
type View struct {
	Spec *Spec
	// Partition keeps the job.
	Partition int
	// Listed counts the results that can be read.
	Listed int
	// Progressed counts the progress of items taken so far.
	Progressed int
	Ended      bool
	// AcceptedAt is when the job was accepted; Estimated says that it rests on the time of day of another process.
	AcceptedAt time.Time
	Estimated  bool
	// Changed is closed at the next change of the job.
	Changed <-chan struct{}
}

// Job returns a job, false if no submission of that id is known.
func (l *Ledger) Job(id string) (View, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for partition, found := range l.folds {
		if job, ok := found.jobs[id]; ok && job.spec != nil {
			return job.view(partition), true
		}
	}
	return View{}, false
}

func (s *state) view(partition int) View {
	return View{
		Spec: s.spec, Partition: partition, Listed: s.visible, Progressed: s.progressed, Ended: s.ended, AcceptedAt: s.acceptedAt,
		Estimated: s.estimated, Changed: s.changed.Changed(),
	}
}

// Results returns the results from a position on, at least one if there is one, and then up to limit bytes of text.
func (l *Ledger) Results(id string, from, limit int) []*Result {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.find(id)
	if found == nil {
		return nil
	}
	var results []*Result
	size := 0
	for position := max(0, from); position < found.visible; position++ {
		result := found.results[position]
		size += len(result.Text) + resultOverhead
		if len(results) > 0 && size > limit {
			break
		}
		results = append(results, result)
	}
	return results
}

// resultOverhead is what a result takes in an answer besides its text.
const resultOverhead = 256

func (l *Ledger) find(id string) *state {
	for _, found := range l.folds {
		if job, ok := found.jobs[id]; ok && job.spec != nil {
			return job
		}
	}
	return nil
}

// Item returns an item of a job.
func (l *Ledger) Item(id, itemID string) (Item, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.find(id)
	if found == nil {
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
	// Place is the item's place in the submission.
	Place    int
	Progress *Progress
}

// Open returns the items of a job that are not listed, none if the job has ended.
func (l *Ledger) Open(id string) []OpenItem {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.find(id)
	if found == nil || found.ended {
		return nil
	}
	var open []OpenItem
	for place, item := range found.spec.Items {
		if _, listed := found.listed[item.ID]; !listed {
			open = append(open, OpenItem{Item: item, Place: place, Progress: found.progress[item.ID]})
		}
	}
	return open
}

// OpenJobs returns the jobs of a partition that have not ended and have items that are not listed, oldest first.
func (l *Ledger) OpenJobs(partition int) []View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var views []View
	for _, job := range l.fold(partition).jobs {
		if job.spec != nil && !job.ended && len(job.listed) < len(job.spec.Items) {
			views = append(views, job.view(partition))
		}
	}
	slices.SortFunc(views, func(a, b View) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	return views
}

// Work is what was submitted of a model.
type Work struct {
	// Host and Path are those of an item, by which its route is found.
	Host, Path string
	// Tokens is the estimated output of all items.
	Tokens float64
}

// Work returns what was submitted of each model after a moment.
func (l *Ledger) Work(since time.Time) map[string]Work {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	all := make(map[string]Work)
	for _, found := range l.folds {
		for _, job := range found.jobs {
			if job.spec == nil || job.acceptedAt.Before(since) {
				continue
			}
			work := all[job.spec.Model]
			for _, item := range job.spec.Items {
				work.Host, work.Path = job.spec.Host, item.Path
				work.Tokens += float64(item.work())
			}
			all[job.spec.Model] = work
		}
	}
	return all
}

// Seen tells whether an item was in another job of a partition.
func (l *Ledger) Seen(partition int, jobID, itemID string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, found := range l.fold(partition).jobs {
		if _, seen := found.index[itemID]; seen && id != jobID {
			return true
		}
	}
	return false
}

// Text returns the whole text of an item that was listed in another job of a partition, as progress without a score, nil if
// there is none.
func (l *Ledger) Text(partition int, jobID, itemID string) *Progress {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, found := range l.fold(partition).jobs {
		position, listed := found.listed[itemID]
		if id == jobID || !listed || found.results[position].Dead {
			continue
		}
		result := found.results[position]
		return &Progress{ItemID: itemID, Events: []string{result.Text}, Versions: result.Versions, Whole: true}
	}
	return nil
}

// Expired returns the keys of the jobs of a partition that were accepted before a moment.
func (l *Ledger) Expired(partition int, before time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var keys []string
	for id, job := range l.fold(partition).jobs {
		if job.spec == nil || job.acceptedAt.After(before) {
			continue
		}
		for position := range job.results {
			keys = append(keys, resultKey(id, position))
		}
		for item := range job.index {
			keys = append(keys, progressKey(id, item))
		}
		keys = append(keys, endKey(id), specKey(id))
	}
	return keys
}
