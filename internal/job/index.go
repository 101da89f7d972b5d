package job

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Prefixes of the index's keys. The second part of a key is the job's id; an entry's third part is alone to the try that
// wrote it, so that every entry of a job is kept and all processes agree on the first.
const (
	indexEntry   = "s"
	indexEnd     = "e"
	indexSettled = "x"
)

// Status is what the index says of a job.
type Status struct {
	Entry Entry
	// AcceptedAt is when the job was accepted, by this process's steady clock; Estimated says that it was worked out from the
	// time of day of another process.
	AcceptedAt time.Time
	Estimated  bool
	Ended      bool
	// Settled says that nothing more is listed; all results lie below SettledEnd in the job's partition.
	Settled    bool
	SettledEnd int64
	// SlotTime is what the job took of engines, known at the earliest once it is settled.
	SlotTime SlotTime
}

// indexed is one job of the index.
type indexed struct {
	status Status
	// known says that an entry was read; first is the offset of the earliest one.
	known bool
	first int64
	// keys are those of the job's records in the index.
	keys []string
}

// Index is the fold of the index of jobs. It holds no items. It is safe for concurrent use and takes no other lock.
type Index struct {
	mutex   sync.Mutex
	jobs    map[string]*indexed
	inStep  bool
	skipped int
	changed broadcast.Signal
	now     func() time.Time
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{jobs: make(map[string]*indexed), changed: broadcast.New(), now: time.Now}
}

var errIndexKey = errors.New("key of no record of the index of jobs")

// Apply folds a record. recovered says that it was read after the fact. An error says that the record was skipped.
func (x *Index) Apply(record keyedlog.Record, recovered bool) error {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	err := x.apply(record, recovered)
	if err != nil {
		x.skipped++
		return fmt.Errorf("record %d: %w", record.Offset, err)
	}
	x.changed.Notify()
	return nil
}

func (x *Index) apply(record keyedlog.Record, recovered bool) error {
	fields := strings.SplitN(record.Key, separator, 3)
	if len(fields) < 2 || fields[1] == "" || (fields[0] == indexEntry) != (len(fields) == 3) {
		return errIndexKey
	}
	kind, id := fields[0], fields[1]
	if record.Value == nil {
		x.drop(id, record.Key)
		return nil
	}
	switch kind {
	case indexEntry:
		return x.enter(id, record, recovered)
	case indexEnd:
		x.job(id, record.Key).status.Ended = true
		return nil
	case indexSettled:
		var settled Settled
		if _, err := settled.UnmarshalMsg(record.Value); err != nil {
			return err
		}
		found := x.job(id, record.Key)
		found.status.Settled, found.status.SettledEnd = true, settled.End
		found.status.SlotTime = SlotTime{
			Items: time.Duration(settled.ItemTime) * time.Millisecond, Longest: time.Duration(settled.LongestTime) * time.Millisecond,
		}
		return nil
	default:
		return errIndexKey
	}
}

// job returns a job and notes a key of it.
func (x *Index) job(id, key string) *indexed {
	found, ok := x.jobs[id]
	if !ok {
		found = new(indexed)
		x.jobs[id] = found
	}
	if !slices.Contains(found.keys, key) {
		found.keys = append(found.keys, key)
	}
	return found
}

// enter takes an entry, unless one that lies before it is known: of a job handed in twice the first counts.
func (x *Index) enter(id string, record keyedlog.Record, recovered bool) error {
	var entry Entry
	if _, err := entry.UnmarshalMsg(record.Value); err != nil {
		return err
	}
	if entry.JobID != id {
		return errIndexKey
	}
	found := x.job(id, record.Key)
	if found.known && found.first <= record.Offset {
		return nil
	}
	found.known, found.first = true, record.Offset
	found.status.Entry = entry
	now := x.now()
	found.status.AcceptedAt, found.status.Estimated = now, recovered
	if recovered {
		age := max(0, now.Sub(time.UnixMilli(entry.SubmittedAt)))
		found.status.AcceptedAt = now.Add(-age)
	}
	return nil
}

func (x *Index) drop(id, key string) {
	found, ok := x.jobs[id]
	if !ok {
		return
	}
	found.keys = slices.DeleteFunc(found.keys, func(known string) bool { return known == key })
	if len(found.keys) == 0 {
		delete(x.jobs, id)
	}
}

// Advanced says that all records below an offset have been applied; the index answers from then on.
func (x *Index) Advanced(int64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.inStep {
		x.inStep = true
		x.changed.Notify()
	}
}

// Changed returns a channel that is closed at the next record.
func (x *Index) Changed() <-chan struct{} {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.changed.Changed()
}

// Skipped counts records that were skipped because they are not in the form of one.
func (x *Index) Skipped() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.skipped
}

// Job returns a job, false if none of that id is known.
func (x *Index) Job(id string) (Status, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	found, ok := x.jobs[id]
	if !ok || !found.known || !x.inStep {
		return Status{}, false
	}
	return found.status, true
}

// Unsettled returns the jobs of a partition of which more may be listed.
func (x *Index) Unsettled(partition int) []Status {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var unsettled []Status
	for _, found := range x.jobs {
		if found.known && !found.status.Settled && found.status.Entry.Partition == partition {
			unsettled = append(unsettled, found.status)
		}
	}
	return unsettled
}

// StartOffset returns the offset from which an owner has to read a partition that ends at end: that of the earliest job of which
// more may be listed, and of the newest one before, whose text may be used again.
func (x *Index) StartOffset(partition int, end int64) int64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	start, newest := end, int64(-1)
	for _, found := range x.jobs {
		entry := found.status.Entry
		switch {
		case !found.known || entry.Partition != partition || entry.Offset >= end:
		case found.status.Settled:
			newest = max(newest, entry.Offset)
		default:
			start = min(start, entry.Offset)
		}
	}
	if newest >= 0 {
		start = min(start, newest)
	}
	return start
}

// JobsByModel returns the jobs of each model that is trained, in order of their acceptance.
func (x *Index) JobsByModel() map[string][]Status {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	trained := make(map[string][]Status)
	for _, found := range x.jobs {
		if model := found.status.Entry.Model; found.known && model != "" {
			trained[model] = append(trained[model], found.status)
		}
	}
	for _, jobs := range trained {
		slices.SortFunc(jobs, func(a, b Status) int {
			return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Entry.JobID, b.Entry.JobID))
		})
	}
	return trained
}

// Expired is a job that nobody may ask for any more, with the keys of its records.
type Expired struct {
	JobID string
	// IndexKeys are those in the index, JobKeys those in the job's partition.
	IndexKeys []string
	JobKeys   []string
}

// Expired returns the jobs of a partition that were accepted before a moment and of which nothing more is listed.
func (x *Index) Expired(partition int, before time.Time) []Expired {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var all []Expired
	for id, found := range x.jobs {
		if !found.known || !found.status.Settled || found.status.Entry.Partition != partition || !found.status.AcceptedAt.Before(before) {
			continue
		}
		all = append(all, Expired{JobID: id, IndexKeys: slices.Clone(found.keys), JobKeys: found.status.Entry.keys()})
	}
	return all
}

// keys returns the keys that a job may have in its partition.
func (e *Entry) keys() []string {
	var keys []string
	for place := range e.Items {
		keys = append(keys, resultKey(e.JobID, place), plainResultKey(e.JobID, place), progressKey(e.JobID, place), itemKey(e.JobID, place))
	}
	return append(keys, settledKey(e.JobID), specKey(e.JobID))
}

// NewEntry returns the entry of a submission whose records, of a size in bytes, lie from offset to before next.
func NewEntry(spec Spec, partition keyedlog.Partition, offset, next int64, size int) Entry {
	entry := Entry{
		JobID: spec.ID, Host: spec.Host, Model: spec.Model, SubmittedAt: spec.SubmittedAt, Partition: partition.Number,
		Offset: offset, Next: next, Bytes: size, Items: len(spec.Items), Tenant: spec.Tenant,
	}
	for _, item := range spec.Items {
		entry.Path = item.Path
		entry.Work += int64(item.work())
	}
	return entry
}

// EncodeEntry returns the record that makes a job exist. try tells this record from those of other tries to submit the job.
func EncodeEntry(entry Entry, try string) (keyedlog.Record, error) {
	value, err := entry.MarshalMsg(nil)
	return keyedlog.Record{Key: indexEntry + separator + entry.JobID + separator + try, Value: value}, err
}

// EncodeEnd returns the record of the index that ends a job.
func EncodeEnd(jobID string) keyedlog.Record {
	return keyedlog.Record{Key: indexEnd + separator + jobID, Value: []byte{1}}
}

// EncodeSettled returns the record of the index that says that nothing more is listed of a job, and what it took.
func EncodeSettled(jobID string, end int64, took SlotTime) (keyedlog.Record, error) {
	settled := Settled{End: end, ItemTime: took.Items.Milliseconds(), LongestTime: took.Longest.Milliseconds()}
	value, err := settled.MarshalMsg(nil)
	return keyedlog.Record{Key: indexSettled + separator + jobID, Value: value}, err
}
