package job

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Prefixes of the keys of the index. The second part of a key is the job's id. The third part of an entry's key is unique to
// the attempt that wrote the entry, so that every entry of a job is kept and all processes agree on the one that applies.
const (
	indexEntry   = "s"
	indexEnd     = "e"
	indexSettled = "x"
)

// Status is the state of a job according to the index.
type Status struct {
	Entry Entry
	// AcceptedAt is when the job was accepted, by this process's monotonic clock. Estimated reports that it was computed
	// from the wall-clock time of another process.
	AcceptedAt time.Time
	Estimated  bool
	Ended      bool
	// Settled reports that no more results of the job are listed; all of them lie below SettledEnd in the job's partition.
	Settled    bool
	SettledEnd int64
	// SlotTime is the time that the job's items held engine slots. It is known at the earliest once the job is settled.
	SlotTime SlotTime
}

// indexedJob is one job of the index.
type indexedJob struct {
	status Status
	// hasEntry reports that an entry was read.
	hasEntry bool
	entries  entries
	// keys are the keys of the job's records in the index.
	keys []string
}

// Index is the fold of the records of the job index. It does not contain items. It is safe for concurrent use and acquires
// no other lock while it holds its own.
type Index struct {
	mutex    sync.Mutex
	jobs     map[string]*indexedJob
	caughtUp bool
	skipped  int
	changed  broadcast.Signal
	now      func() time.Time
	// homes is the number of jobs of each home set; homesChanged is notified when a set is added or removed.
	homes        map[keyedlog.HomeSet]int
	homesChanged broadcast.Signal
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		jobs: make(map[string]*indexedJob), changed: broadcast.New(), now: time.Now, homes: make(map[keyedlog.HomeSet]int),
		homesChanged: broadcast.New(),
	}
}

var errIndexKey = errors.New("key is not that of a job index record")

// Apply folds a record. recovered reports that the record was read as the newest of its key instead of in the order of the
// log. An error means that the record was skipped.
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
	before := x.homesOf(id)
	defer func() { x.countHomes(before, x.homesOf(id)) }()
	if record.Value == nil {
		x.drop(id, record.Key)
		return nil
	}
	switch kind {
	case indexEntry:
		return x.applyEntry(id, record, recovered)
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

// homesOf returns the home set of a job, empty if it has none or is not known.
func (x *Index) homesOf(id string) keyedlog.HomeSet {
	if found, ok := x.jobs[id]; ok {
		return keyedlog.HomeSet(found.status.Entry.Homes)
	}
	return ""
}

// countHomes moves a job from the count of one home set to that of another; either may be empty.
func (x *Index) countHomes(before, after keyedlog.HomeSet) {
	if before == after {
		return
	}
	if before != "" {
		if x.homes[before]--; x.homes[before] == 0 {
			delete(x.homes, before)
			x.homesChanged.Notify()
		}
	}
	if after != "" {
		if x.homes[after]++; x.homes[after] == 1 {
			x.homesChanged.Notify()
		}
	}
}

// HomeSets returns the home sets of the jobs in the index, settled ones included: their records have to be deleted by an owner
// at the end of their retention. The channel is closed when a set is added or removed.
func (x *Index) HomeSets() ([]keyedlog.HomeSet, <-chan struct{}) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return slices.Sorted(maps.Keys(x.homes)), x.homesChanged.Changed()
}

// job returns the job with an id, creating it if necessary, and adds a key to its keys.
func (x *Index) job(id, key string) *indexedJob {
	found, ok := x.jobs[id]
	if !ok {
		found = new(indexedJob)
		x.jobs[id] = found
	}
	if !slices.Contains(found.keys, key) {
		found.keys = append(found.keys, key)
	}
	return found
}

// applyEntry applies an entry. Of a job that was submitted more than once, the entry that applies is chosen by entries.
func (x *Index) applyEntry(id string, record keyedlog.Record, recovered bool) error {
	var entry Entry
	if _, err := entry.UnmarshalMsg(record.Value); err != nil {
		return err
	}
	if entry.JobID != id {
		return errIndexKey
	}
	found := x.job(id, record.Key)
	found.entries.add(entry, record.Offset)
	chosen := found.entries.chosen()
	if found.hasEntry && found.status.Entry == chosen {
		return nil
	}
	wasAccepted := found.hasEntry
	found.hasEntry, found.status.Entry = true, chosen
	now := x.now()
	switch {
	case recovered:
		age := max(0, now.Sub(time.UnixMilli(chosen.SubmittedAt)))
		found.status.AcceptedAt, found.status.Estimated = now.Add(-age), true
	case !wasAccepted:
		found.status.AcceptedAt, found.status.Estimated = now, false
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

// Advanced reports to the index that all records below an offset have been applied. The index returns no jobs before the
// first call.
func (x *Index) Advanced(int64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.caughtUp {
		x.caughtUp = true
		x.changed.Notify()
	}
}

// Changed returns a channel that is closed when the next record is applied.
func (x *Index) Changed() <-chan struct{} {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.changed.Changed()
}

// Skipped returns the number of records that were skipped because they are invalid.
func (x *Index) Skipped() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.skipped
}

// Job returns the job with an id, and false if it is not known.
func (x *Index) Job(id string) (Status, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	found, ok := x.jobs[id]
	if !ok || !found.hasEntry || !x.caughtUp {
		return Status{}, false
	}
	return found.status, true
}

// Unsettled returns the jobs of a partition that may get more results.
func (x *Index) Unsettled(partition keyedlog.Partition) []Status {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var unsettled []Status
	for _, found := range x.jobs {
		if found.hasEntry && !found.status.Settled && found.status.Entry.StorePartition() == partition {
			unsettled = append(unsettled, found.status)
		}
	}
	return unsettled
}

// StartOffset returns the offset from which an owner has to read a partition that ends at end: the offset of the earliest
// unsettled job, or of the newest settled job if that is lower, since its texts may be reused.
func (x *Index) StartOffset(partition keyedlog.Partition, end int64) int64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	start, newest := end, int64(-1)
	for _, found := range x.jobs {
		entry := found.status.Entry
		switch {
		case !found.hasEntry || entry.StorePartition() != partition || entry.Offset >= end:
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

// Submissions returns the entries of jobs of a partition, in order of their offsets. It includes submissions that are larger than
// minBytes, end after an offset, and have no other records between theirs.
func (x *Index) Submissions(partition keyedlog.Partition, after int64, minBytes int) []Entry {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var entries []Entry
	for _, found := range x.jobs {
		entry := found.status.Entry
		if found.hasEntry && entry.StorePartition() == partition && entry.Next > after && entry.Bytes > minBytes && entry.contiguous() {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	return entries
}

// contiguous reports whether no other records lie between those of the submission: there is at least one record for each item and
// one for the submission itself, and the range has no more than these.
func (e *Entry) contiguous() bool {
	return e.Next-e.Offset == int64(e.Items)+1
}

// JobsByModel returns the jobs of each trained model, in order of acceptance.
func (x *Index) JobsByModel() map[string][]Status {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	trained := make(map[string][]Status)
	for _, found := range x.jobs {
		if model := found.status.Entry.Model; found.hasEntry && model != "" {
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

// Expired is a job that has passed its retention time, with the keys of its records.
type Expired struct {
	JobID string
	// IndexKeys are the keys in the index, JobKeys the keys in the job's partition.
	IndexKeys []string
	JobKeys   []string
}

// Expired returns the settled jobs of a partition that have ended and were accepted before a time, and those that are still open and were
// accepted before another one: callers may read the results of a job for as long as it is open.
func (x *Index) Expired(partition keyedlog.Partition, endedBefore, openBefore time.Time) []Expired {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var all []Expired
	for id, found := range x.jobs {
		before := openBefore
		if found.status.Ended {
			before = endedBefore
		}
		if !found.hasEntry || !found.status.Settled || found.status.Entry.StorePartition() != partition || !found.status.AcceptedAt.Before(before) {
			continue
		}
		all = append(all, Expired{JobID: id, IndexKeys: slices.Clone(found.keys), JobKeys: found.status.Entry.keys()})
	}
	return all
}

// keys returns the keys that a job may have in its partition.
func (e *Entry) keys() []string {
	var keys []string
	for index := range e.Items {
		keys = append(keys, resultKey(e.JobID, index), unpaddedResultKey(e.JobID, index), progressKey(e.JobID, index), itemKey(e.JobID, index))
	}
	return append(keys, settledKey(e.JobID), specKey(e.JobID))
}

// homePartitionOffset is added to the numbers of partitions of home sets in entries. It exceeds the number of any partition.
// Without it, a build that ignores Entry.Homes would look for the job in the partition of the same number of TopicJobs. With it,
// that build looks in a partition that no process owns and that the store does not have.
const homePartitionOffset = 1 << 20

// StorePartition returns the partition that stores the job's records.
func (e *Entry) StorePartition() keyedlog.Partition {
	homes := keyedlog.HomeSet(e.Homes)
	if homes == "" {
		return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: e.Partition}
	}
	return keyedlog.Partition{Topic: homes.Topic(), Number: e.Partition - homePartitionOffset}
}

// setPartition sets the partition that stores the job's records, and the home set that its topic belongs to.
func (e *Entry) setPartition(partition keyedlog.Partition) {
	homes, _ := keyedlog.HomeSetOf(partition.Topic)
	e.Homes, e.Partition = string(homes), partition.Number
	if homes != "" {
		e.Partition += homePartitionOffset
	}
}

// NewEntry returns the index entry of a submission whose records occupy size bytes and lie at offsets from offset to before
// next.
func NewEntry(spec Spec, partition keyedlog.Partition, offset, next int64, size int) Entry {
	entry := Entry{
		JobID: spec.ID, Host: spec.Host, Model: spec.Model, SubmittedAt: spec.SubmittedAt,
		Offset: offset, Next: next, Bytes: size, Items: len(spec.Items), Tenant: spec.Tenant, Desired: spec.Desired,
	}
	entry.setPartition(partition)
	for _, item := range spec.Items {
		entry.Path = item.Path
		entry.Work += int64(item.work())
	}
	return entry
}

// EncodeEntry returns the record that makes a job exist. attemptID distinguishes it from the records of other attempts to
// submit the job.
func EncodeEntry(entry Entry, attemptID string) (keyedlog.Record, error) {
	value, err := entry.MarshalMsg(nil)
	return keyedlog.Record{Key: indexEntry + separator + entry.JobID + separator + attemptID, Value: value}, err
}

// EncodeEnd returns the index record that ends a job.
func EncodeEnd(jobID string) keyedlog.Record {
	return keyedlog.Record{Key: indexEnd + separator + jobID, Value: []byte{1}}
}

// EncodeSettled returns the index record which states that no more results of a job are listed, and how long its items held
// slots.
func EncodeSettled(jobID string, end int64, took SlotTime) (keyedlog.Record, error) {
	settled := Settled{End: end, ItemTime: took.Items.Milliseconds(), LongestTime: took.Longest.Milliseconds()}
	value, err := settled.MarshalMsg(nil)
	return keyedlog.Record{Key: indexSettled + separator + jobID, Value: value}, err
}
