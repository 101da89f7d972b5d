// Package follow keeps a process up to date with one partition of the store. A follower reads the newest record of each
// key, then every record as it is appended, and starts over with the newest records when the store has dropped records
// that were not read. It applies records in order of their offsets and never applies an older record of a key after a
// newer one.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/uptime"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call. The log bounds the duration of each call.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// FirstBackoff is the maximum pause after a first failed call.
	FirstBackoff = 2 * minBackoff
)

// Applier applies the records of a partition. All calls come from one goroutine.
type Applier interface {
	// Apply applies a record. recovered reports that the record was read as the newest of its key or from a past range,
	// not as it was appended.
	Apply(record keyedlog.Record, recovered bool)
	// Advanced reports that all records below end have been applied.
	Advanced(end int64)
}

// suspended returns how long the machine has been suspended. Tests replace it.
var suspended uptime.Meter = uptime.Suspended

// errStale is returned when the store's answer is older than what was read before.
var errStale = errors.New("store answered with older records than before")

// Config configures a Follower.
type Config struct {
	Log       keyedlog.Log
	Partition keyedlog.Partition
	Applier   Applier
	// From is the offset of the first record to read; 0 begins with the newest record of each key.
	From int64
	// Prefix is the prefix of the keys whose newest records are read where the store has dropped records that were not
	// read; empty for all keys. If it is set, WaitFor waits for the records that the partition held when the newest
	// records were requested, not for later ones.
	Prefix string
	// AfterKey is a key: only newest records of keys that sort after it are read; empty for all.
	AfterKey string
	// SampleAfterKey is for a process that needs only some of the keys: of the newest records it reads one page that
	// begins after this key, and if that page reaches the last key, also the first page of the partition; empty to read
	// all. Later records are all read as they are appended.
	SampleAfterKey string
	// Tail, if not nil, has a follower that begins with the newest records try the last records of the partition first.
	Tail *Tail
	// Block, if not nil, reports whether a record begins a block of records that don't matter. It returns the distance in offsets to
	// the last record of the block, and the key of that record. If a read ends within a block, the next read begins at the last record
	// of the block. If that record has another key, other records lie in the block, and all records are read.
	Block func(record keyedlog.Record) (distance int64, lastKey string, ok bool)
	// MinOutage is the minimum time for which the store has told nothing before failed calls count as an outage of the store, see
	// ReconnectedAt; 0 if each failed call counts.
	MinOutage time.Duration
	// NewestOnly reports that only the newest record of each key matters: after a disconnection from the store the
	// follower need not read all records that it has missed.
	NewestOnly bool
	// OnSkipped, if not nil, is called after the newest records have been read, at the start and whenever appended records
	// were skipped: earlier records of their keys may never be applied. It is called by the goroutine of Run.
	OnSkipped func()
	// MaxReadBytes is the approximate maximum size of one read, 0 for the store's own limit.
	MaxReadBytes int
	// Wait is how long the store may hold a read open.
	Wait time.Duration
	// MinReadInterval is the minimum time between two reads that returned records, so that records appended in quick
	// succession are read together.
	MinReadInterval time.Duration
	// Busy reports whether this process acts on each record at once; nil means always. While it returns false,
	// IdleReadInterval is used instead of MinReadInterval. A caller that waits for records, or Hurry, ends an idle
	// pause early.
	Busy             func() bool
	IdleReadInterval time.Duration
	// MaxIdleStartDelay is the maximum random delay of the first read of a process that is not busy. When all processes
	// start at the same time, those that act on the records catch up sooner. Like the idle pause, the delay ends early
	// when a caller waits for records or calls Hurry.
	MaxIdleStartDelay time.Duration
	Logger            *log.Logger
}

// Follower follows one partition.
type Follower struct {
	config Config

	// The fields up to mutex are used by the goroutine of Run only. nextOffset is the offset of the next record to
	// read; tailing is false until the newest records have been read; offsets holds the offset of the last record
	// applied for each key.
	nextOffset int64
	tailing    bool
	offsets    map[string]int64
	// tail reads the last records of the partition, nil if no such read is in progress.
	tail *tailReader
	// block is the block in which the last read was cut short, nil if there is none.
	block *block
	// backlog is used if only the newest records matter.
	backlog backlog
	// pager reads the newest records and is nil when no such read is in progress; seenKeys holds the keys that it has
	// returned.
	pager    *pager
	seenKeys map[string]bool

	mutex     sync.Mutex
	end       int64
	caughtUp  bool
	confirmed uptime.Mark
	connected bool
	// lostFrom is confirmed as it was when a call failed after others had succeeded.
	lostFrom uptime.Mark
	// contacted is set once a call to the store has succeeded or failed; reconnectedAt is when the store last answered
	// again after an outage.
	contacted     bool
	reconnectedAt time.Time
	advanced      broadcast.Signal
	// wake ends the pause of an idle process, because a caller waits for records that were not read yet.
	wake chan struct{}
}

// New returns a follower; Run starts it.
func New(config Config) *Follower {
	f := &Follower{
		config: config, offsets: make(map[string]int64), advanced: broadcast.New(), wake: make(chan struct{}, 1),
		nextOffset: config.From, tailing: config.From > 0,
	}
	if config.Tail != nil && !f.tailing {
		f.tail = &tailReader{config: *config.Tail, log: config.Log, partition: config.Partition, end: config.Tail.End}
	}
	return f
}

// Run follows the partition until the context ends, or up to Tail.End if that is set. It may be called again after it has
// returned, and then resumes at the same offset.
func (f *Follower) Run(ctx context.Context) {
	if f.idle() && f.config.MaxIdleStartDelay > 0 {
		f.waitIdle(ctx, rand.N(f.config.MaxIdleStartDelay))
	}
	if f.tail != nil {
		// A caller of a resumed follower waits for the records that were appended in the meantime too.
		f.tail.end = f.config.Tail.End
	}
	failures := 0
	for ctx.Err() == nil && !f.finished() {
		if err := f.step(ctx); err != nil {
			failures++
			f.setConnected(ctx, false, err)
			backOff(ctx, failures)
			continue
		}
		failures = 0
		f.setConnected(ctx, true, nil)
	}
}

// finished reports whether all records that matter have been read.
func (f *Follower) finished() bool {
	return f.config.Tail != nil && f.config.Tail.End > 0 && f.tailing && f.nextOffset >= f.config.Tail.End
}

// step reads the tail, the newest records, or one batch of appended records.
func (f *Follower) step(ctx context.Context) error {
	if f.tail != nil {
		return f.readTail(ctx)
	}
	if !f.tailing {
		return f.catchUp(ctx)
	}
	span, skipped := f.nextSpan(), f.block
	f.block = nil
	if skipped != nil {
		span.From = skipped.last
	}
	batch, err := f.config.Log.Read(ctx, f.config.Partition, span)
	if skipped != nil && err == nil && !skipped.lastIsFirstOf(batch.Records) {
		// The next step reads all records from nextOffset on.
		return nil
	}
	if errors.Is(err, keyedlog.ErrTrimmed) {
		f.tailing, f.pager = false, nil
		f.config.Logger.Info("store dropped records that were not read; reading the newest of each key",
			"partition", f.config.Partition, "from", f.nextOffset)
		return nil
	}
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		f.apply(record, false)
	}
	f.nextOffset = span.From + int64(len(batch.Records))
	f.block = f.unfinishedBlock(batch)
	switch missed := batch.End - f.nextOffset; {
	case missed <= 0:
		f.backlog.stop()
	case f.backlog.exhausted():
		f.backlog.stop()
		f.tailing, f.pager = false, nil
		f.config.Logger.Info("skipping to the newest record of each key", "partition", f.config.Partition, "from", f.nextOffset, "missed", missed)
	}
	f.advance(f.nextOffset, f.nextOffset >= batch.End, suspended.Mark())
	if len(batch.Records) > 0 && f.nextOffset >= batch.End {
		f.waitInterval(ctx)
	}
	return nil
}

// nextSpan returns the span of the next read of appended records.
func (f *Follower) nextSpan() keyedlog.Span {
	span := keyedlog.Span{From: f.nextOffset, Wait: f.config.Wait, MaxBytes: f.config.MaxReadBytes}
	if !f.inSync() {
		// Don't wait for new records: the answer shows at once whether the process has caught up, or that the store is
		// available again.
		span.Wait = 0
	}
	if f.config.NewestOnly && !f.Connected() {
		f.backlog.start()
	}
	if limit := f.backlog.remaining(); limit > 0 {
		span.MaxBytes = limit
	}
	return span
}

// waitInterval waits before the next read, so that it returns the records of the meantime together. An idle pause ends
// early if a caller waits for records.
func (f *Follower) waitInterval(ctx context.Context) {
	if f.idle() {
		f.waitIdle(ctx, f.config.IdleReadInterval)
		return
	}
	pause.For(ctx, f.config.MinReadInterval)
}

// idle reports whether this process does not need to act on each record at once.
func (f *Follower) idle() bool {
	return f.config.Busy != nil && !f.config.Busy()
}

// Hurry ends a pause of an idle process. Components that begin to act on the records call it.
func (f *Follower) Hurry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// waitIdle waits for duration, or until a caller waits for records that were not read yet.
func (f *Follower) waitIdle(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// catchUp reads the newest record of every key that matters. Keys that were known and are missing now have been
// dropped, and are applied as removed. After a failure, the next call resumes at the page that failed.
func (f *Follower) catchUp(ctx context.Context) error {
	if f.pager == nil {
		f.pager, f.seenKeys = newPager(f.config.Log, f.config.Partition, f.config.Prefix, f.config.AfterKey), make(map[string]bool)
		f.pager.requestedAt = suspended.Mark()
	}
	read := f.pager.read
	if f.config.SampleAfterKey != "" {
		f.pager.afterKey = f.config.SampleAfterKey
		read = f.pager.sample
	}
	err := read(ctx, func(record keyedlog.Record) {
		f.seenKeys[record.Key] = true
		f.apply(record, true)
	})
	if err != nil {
		return err
	}
	pageEnd, requestedAt, seenKeys := f.pager.end, f.pager.requestedAt, f.seenKeys
	f.pager, f.seenKeys = nil, nil
	if pageEnd < f.nextOffset {
		return errStale
	}
	for key, offset := range f.offsets {
		if !seenKeys[key] && offset < pageEnd && strings.HasPrefix(key, f.config.Prefix) && key > f.config.AfterKey {
			f.apply(keyedlog.Record{Offset: pageEnd - 1, Key: key}, true)
		}
	}
	f.nextOffset = pageEnd
	f.tailing = true
	if f.config.OnSkipped != nil {
		f.config.OnSkipped()
	}
	f.advance(f.nextOffset, f.config.Prefix != "", requestedAt)
	return nil
}

func (f *Follower) apply(record keyedlog.Record, recovered bool) {
	known, found := f.offsets[record.Key]
	if found && record.Offset <= known {
		return
	}
	if record.Value == nil && f.tail == nil {
		// A dropped key needs no entry: offsets only increase from here on, so no older record of it is read again. This does
		// not hold while a tail is read, which may be extended by earlier records.
		delete(f.offsets, record.Key)
	} else {
		f.offsets[record.Key] = record.Offset
	}
	if f.config.NewestOnly {
		f.backlog.add(record)
	}
	f.config.Applier.Apply(record, recovered)
}

// advance records that all records below end have been applied. caughtUp means that these were all records of the partition
// at confirmed.
func (f *Follower) advance(end int64, caughtUp bool, confirmed uptime.Mark) {
	f.config.Applier.Advanced(end)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.end = end
	if caughtUp {
		f.caughtUp = true
		f.confirmed = confirmed
	}
	f.advanced.Notify()
}

// WaitFor waits until all records below end have been applied and the follower has caught up at least once.
func (f *Follower) WaitFor(ctx context.Context, end int64) error {
	return f.waitUntil(ctx, func() bool { return f.end >= end && f.caughtUp })
}

// WaitUntil waits until all records below end have been applied, whether or not the follower has caught up.
func (f *Follower) WaitUntil(ctx context.Context, end int64) error {
	return f.waitUntil(ctx, func() bool { return f.end >= end })
}

// waitUntil waits for a condition on the fields that the mutex guards. The condition is called with the mutex held.
func (f *Follower) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		f.mutex.Lock()
		met, advanced := condition(), f.advanced.Changed()
		f.mutex.Unlock()
		if met {
			return nil
		}
		f.Hurry()
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// backOff waits after a failure: exponentially longer with each one, and with random jitter so that processes do not
// retry in step.
func backOff(ctx context.Context, failures int) {
	limit := min(maxBackoff, minBackoff<<min(failures, 4))
	pause.For(ctx, limit/2+rand.N(limit/2))
}
