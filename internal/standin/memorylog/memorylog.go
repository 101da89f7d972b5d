// Package memorylog is a stand-in of the store behind keyedlog.Log, in memory, for tests: topics of partitions, fenced
// appends with sequence numbers, the newest record of each key, and groups. It can be down, be slow, lose answers (with the
// effect now, later or never), forget its history and deal all partitions anew.
package memorylog

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

// ErrLost is what a caller sees of an answer that was lost.
var ErrLost = errors.New("answer was lost")

var errThrottled = errors.Join(keyedlog.ErrThrottled, keyedlog.ErrNotDone)

// Fault says what becomes of a call.
type Fault int

// Faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Down answers that nothing was done.
	Down
	// LostBefore loses the call; LostAfter does it and loses the answer.
	LostBefore
	LostAfter
	// LostLate loses the answer and does the call after Config.Late, if its condition still holds.
	LostLate
	// Silent says nothing until the caller gives up.
	Silent
	// Throttled refuses for too many calls.
	Throttled
)

// Call describes a call to a fault rule.
type Call struct {
	// Operation is "append", "read", "newest", "join", "leave" or "owners".
	Operation string
	// Caller is the name given to For.
	Caller    string
	Partition keyedlog.Partition
}

// Config configures a store.
type Config struct {
	// Partitions is the number of partitions of the product's topics.
	Partitions int
	// Late is how long after a lost call it is done.
	Late time.Duration
	// Delay is how long a call takes.
	Delay time.Duration
	// PageRecords is how many of the newest records a page holds; few if it is 0, so that tests meet several pages.
	PageRecords int
	// PageBytes is how many bytes of records a page holds before its last record, 0 for no bound.
	PageBytes int
	// ReadRate is how many bytes a second all reads together get, 0 for no bound. Answers leave one after the other, and those that nobody
	// waits for any more take their time all the same.
	ReadRate int
}

// Store is the store. It is safe for concurrent use.
type Store struct {
	config Config

	mutex      sync.Mutex
	rule       func(Call) Fault
	partitions map[keyedlog.Partition]*partition
	groups     map[string]*group
	appends    int
	// linkFree is when the last answer that was begun has left, sent how many bytes of records were asked for.
	linkFree time.Time
	sent     int64
}

type partition struct {
	records []keyedlog.Record
	first   int64
	newest  map[string]keyedlog.Record
	writers map[string]*writer
	changed chan struct{}
}

type writer struct {
	epoch   int64
	next    int64
	answers map[int64]keyedlog.Appended
}

// New returns an empty store.
func New(config Config) *Store {
	if config.PageRecords == 0 {
		config.PageRecords = fewRecords
	}
	return &Store{
		config: config, partitions: make(map[keyedlog.Partition]*partition), groups: make(map[string]*group),
		rule: func(Call) Fault { return None },
	}
}

// SetRule sets what becomes of calls from now on.
func (s *Store) SetRule(rule func(Call) Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rule = rule
}

// Appends returns how many appends have been done.
func (s *Store) Appends() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.appends
}

// Sent returns how many bytes of records were read, keys included.
func (s *Store) Sent() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sent
}

// transfer waits until an answer of a size has left the store.
func (s *Store) transfer(ctx context.Context, size int) error {
	s.mutex.Lock()
	s.sent += int64(size)
	if s.config.ReadRate == 0 {
		s.mutex.Unlock()
		return nil
	}
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(time.Duration(float64(size) / float64(s.config.ReadRate) * float64(time.Second)))
	wait := s.linkFree.Sub(now)
	s.mutex.Unlock()
	if !pause.For(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// sizeOf returns how many bytes records have, keys included.
func sizeOf(records []keyedlog.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return size
}

// Heal lets all calls through again.
func (s *Store) Heal() {
	s.SetRule(func(Call) Fault { return None })
}

// Forget drops the history of all partitions; the newest record of each key stays.
func (s *Store) Forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, found := range s.partitions {
		found.first += int64(len(found.records))
		found.records = nil
	}
}

// Records returns all records of a partition that were not forgotten.
func (s *Store) Records(name keyedlog.Partition) []keyedlog.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.partition(name).records)
}

// For returns the store as a caller of a name sees it.
func (s *Store) For(caller string) keyedlog.Log {
	return &view{store: s, caller: caller}
}

func (s *Store) partition(name keyedlog.Partition) *partition {
	found, ok := s.partitions[name]
	if !ok {
		found = &partition{
			newest: make(map[string]keyedlog.Record), writers: make(map[string]*writer), changed: make(chan struct{}),
		}
		s.partitions[name] = found
	}
	return found
}

func (p *partition) end() int64 {
	return p.first + int64(len(p.records))
}

// append appends records under the store's lock.
func (p *partition) append(records []keyedlog.Record, fence *keyedlog.Fence) (keyedlog.Appended, error) {
	var line *writer
	if fence != nil {
		if line, ok := p.writers[fence.Writer]; ok && len(records) == 0 && line.epoch == fence.Epoch {
			// The epoch is set, and nothing is to be put in sequence.
			return keyedlog.Appended{Offset: p.end(), End: p.end()}, nil
		}
		answer, done, err := p.admit(fence)
		if done || err != nil {
			return answer, err
		}
		line = p.writers[fence.Writer]
	}
	answer := keyedlog.Appended{Offset: p.end()}
	for _, record := range records {
		record.Offset = p.end()
		record.Value = slices.Clone(record.Value)
		p.records = append(p.records, record)
		if record.Value == nil {
			delete(p.newest, record.Key)
		} else {
			p.newest[record.Key] = record
		}
	}
	answer.End = p.end()
	if line != nil {
		line.answers[fence.Sequence] = answer
		line.next = fence.Sequence + 1
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return answer, nil
}

// admit checks a fence; done says that the append was made before.
func (p *partition) admit(fence *keyedlog.Fence) (keyedlog.Appended, bool, error) {
	line, ok := p.writers[fence.Writer]
	switch {
	case !ok || fence.Epoch > line.epoch:
		p.writers[fence.Writer] = &writer{
			epoch: fence.Epoch, next: fence.Sequence, answers: make(map[int64]keyedlog.Appended),
		}
		return keyedlog.Appended{}, false, nil
	case fence.Epoch < line.epoch:
		return keyedlog.Appended{}, false, keyedlog.ErrFenced
	}
	if answer, made := line.answers[fence.Sequence]; made && fence.Sequence > line.next-6 {
		return answer, true, nil
	}
	if fence.Sequence != line.next {
		return keyedlog.Appended{}, false, &keyedlog.SequenceError{Expected: line.next}
	}
	return keyedlog.Appended{}, false, nil
}

// view is the store as one caller sees it.
type view struct {
	store  *Store
	caller string
}

// Partitions returns how many partitions a topic has.
func (v *view) Partitions(topic keyedlog.Topic) int {
	switch topic {
	case keyedlog.TopicOperator, keyedlog.TopicEngines, keyedlog.TopicJobIndex:
		return 1
	default:
		return v.store.config.Partitions
	}
}

// meet applies the fault rule. An error ends the call; later does the call afterwards.
func (v *view) meet(ctx context.Context, call Call) (after, late bool, err error) {
	call.Caller = v.caller
	if v.store.config.Delay > 0 && !pause.For(ctx, v.store.config.Delay) {
		return false, false, ctx.Err()
	}
	v.store.mutex.Lock()
	fault := v.store.rule(call)
	v.store.mutex.Unlock()
	switch fault {
	case Down:
		return false, false, keyedlog.ErrNotDone
	case Throttled:
		return false, false, errThrottled
	case LostBefore:
		return false, false, ErrLost
	case Silent:
		<-ctx.Done()
		return false, false, ctx.Err()
	default:
		return fault == LostAfter, fault == LostLate, nil
	}
}

// Append adds records to a partition.
func (v *view) Append(
	ctx context.Context, name keyedlog.Partition, records []keyedlog.Record, fence *keyedlog.Fence,
) (keyedlog.Appended, error) {
	lost, late, err := v.meet(ctx, Call{Operation: "append", Partition: name})
	if err != nil {
		return keyedlog.Appended{}, err
	}
	do := func() (keyedlog.Appended, error) {
		v.store.mutex.Lock()
		defer v.store.mutex.Unlock()
		v.store.appends++
		return v.store.partition(name).append(records, fence)
	}
	if late {
		time.AfterFunc(v.store.config.Late, func() { _, _ = do() })
		return keyedlog.Appended{}, ErrLost
	}
	answer, err := do()
	if lost {
		return keyedlog.Appended{}, ErrLost
	}
	return answer, err
}

// Read returns records from an offset on.
func (v *view) Read(
	ctx context.Context, name keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	if _, _, err := v.meet(ctx, Call{Operation: "read", Partition: name}); err != nil {
		return keyedlog.Batch{}, err
	}
	from := span.From
	deadline := time.Now().Add(span.Wait)
	for {
		v.store.mutex.Lock()
		found := v.store.partition(name)
		changed := found.changed
		first, end := found.first, found.end()
		var records []keyedlog.Record
		if from >= first && from < end {
			records = slices.Clone(upTo(found.records[from-first:], span.MaxBytes))
		}
		v.store.mutex.Unlock()
		if from < first {
			return keyedlog.Batch{}, keyedlog.ErrTrimmed
		}
		left := time.Until(deadline)
		if len(records) > 0 || left <= 0 {
			return keyedlog.Batch{Records: records, End: end}, v.store.transfer(ctx, sizeOf(records))
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return keyedlog.Batch{}, ctx.Err()
		}
		timer.Stop()
		// A trouble that began meanwhile hits the answer.
		if _, _, err := v.meet(ctx, Call{Operation: "read", Partition: name}); err != nil {
			return keyedlog.Batch{}, err
		}
	}
}

// upTo returns the first records up to a size in bytes, at least one; 0 stands for no limit.
func upTo(records []keyedlog.Record, limit int) []keyedlog.Record {
	size := 0
	for i, record := range records {
		size += len(record.Key) + len(record.Value)
		if limit > 0 && i > 0 && size > limit {
			return records[:i]
		}
	}
	return records
}

// fewRecords is how many records a page holds if the configuration names no number.
const fewRecords = 3

// Newest returns the newest records of keys after a key.
func (v *view) Newest(ctx context.Context, name keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	if _, _, err := v.meet(ctx, Call{Operation: "newest", Partition: name}); err != nil {
		return keyedlog.Page{}, err
	}
	page := v.page(name, afterKey)
	return page, v.store.transfer(ctx, sizeOf(page.Records))
}

func (v *view) page(name keyedlog.Partition, afterKey string) keyedlog.Page {
	v.store.mutex.Lock()
	defer v.store.mutex.Unlock()
	found := v.store.partition(name)
	page, size := keyedlog.Page{End: found.end()}, 0
	for _, key := range slices.Sorted(maps.Keys(found.newest)) {
		if strings.Compare(key, afterKey) <= 0 {
			continue
		}
		if len(page.Records) == v.store.config.PageRecords || v.store.config.PageBytes > 0 && size >= v.store.config.PageBytes {
			page.More = true
			break
		}
		page.Records = append(page.Records, found.newest[key])
		size += sizeOf(page.Records[len(page.Records)-1:])
	}
	return page
}
