// Package follow keeps a process in step with one partition of the store: it reads the newest record of each key, then
// every record as it is appended, and starts over when the store has dropped what it did not read. It applies records in
// order of their offsets and never an older record of a key after a newer one.
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
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/uptime"
)

const (
	// retryLeast and retryMost bound the pause after a call that failed. The log bounds each call.
	retryLeast = 40 * time.Millisecond
	retryMost  = 250 * time.Millisecond
)

// Applier takes the records of a partition. Calls come from one goroutine.
type Applier interface {
	// Apply takes a record. recovered says that it was read after the fact, not as it was appended.
	Apply(record keyedlog.Record, recovered bool)
	// Advanced says that all records below end have been applied.
	Advanced(end int64)
}

// suspended tells how long the machine has been suspended.
var suspended uptime.Meter = uptime.Suspended

// errStale says that the store answered with records older than those read already.
var errStale = errors.New("store answered with older records than before")

// Config configures a follower.
type Config struct {
	Log       keyedlog.Log
	Partition keyedlog.Partition
	Applier   Applier
	// From is the offset of the first record that matters, 0 if the newest record of each key does.
	From int64
	// Prefix is what the keys begin with whose newest records matter where the store has dropped what was not read; empty for all keys.
	Prefix string
	// After is the key after which those keys lie, empty for all. Where it or Prefix is set, callers that wait for the follower wait for what
	// the partition held when the newest records were asked for, not for records that came since.
	After string
	// Sample is the key after which a process that needs only some of the keys reads a page of newest records, and another one from the first
	// key on where that page reaches the last; empty to read all. What is appended later is read whole.
	Sample string
	// NewestOnly says that only the newest record of each key matters: a process that was cut off from the store need not read all it has missed.
	NewestOnly bool
	// Bytes is about how much one read returns at most, 0 for as much as the store gives.
	Bytes int
	// Wait is how long the store may hold a read open.
	Wait time.Duration
	// Spacing is the least time between two reads that brought records, so that records that come in quick succession are
	// read together.
	Spacing time.Duration
	// Busy tells whether this process acts on each record at once, nil stands for always. While it does not, IdleSpacing takes the
	// place of Spacing, but for whoever waits for records that are there already.
	Busy        func() bool
	IdleSpacing time.Duration
	// IdleSpread is how long a process that is not busy puts its first read off at most, at random. Where all processes start at
	// once, those that act on the records are in step sooner. It ends early as IdleSpacing does.
	IdleSpread time.Duration
	Logger     *log.Logger
}

// Follower follows one partition.
type Follower struct {
	config Config

	// Only the goroutine of Run touches these.
	next    int64
	started bool
	offsets map[string]int64
	// backlog is kept where only the newest records matter.
	backlog backlog
	// pager reads the newest records while they are being read, seen holds the keys that it has given.
	pager *pager
	seen  map[string]bool

	mutex     sync.Mutex
	end       int64
	caughtUp  bool
	confirmed uptime.Mark
	connected bool
	// heard says that a call was answered or failed before; returned is when the store answered again after it had not.
	heard    bool
	returned time.Time
	advanced broadcast.Signal
	// missed tells that somebody waits for records that were not read yet.
	missed chan struct{}
}

// New returns a follower; Run starts it.
func New(config Config) *Follower {
	return &Follower{
		config: config, offsets: make(map[string]int64), advanced: broadcast.New(), missed: make(chan struct{}, 1),
		next: config.From, started: config.From > 0,
	}
}

// Run follows until the context ends. After it has returned it may be called again, and goes on where it was.
func (f *Follower) Run(ctx context.Context) {
	if f.idle() && f.config.IdleSpread > 0 {
		f.rest(ctx, rand.N(f.config.IdleSpread))
	}
	failures := 0
	for ctx.Err() == nil {
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

// step catches up or reads one batch.
func (f *Follower) step(ctx context.Context) error {
	if !f.started {
		return f.catchUp(ctx)
	}
	span := keyedlog.Span{From: f.next, Wait: f.config.Wait, MaxBytes: f.config.Bytes}
	if !f.inStep() {
		// Ask what there is, so that the process learns at once that it is in step, or that the store is back.
		span.Wait = 0
	}
	if f.config.NewestOnly && !f.Connected() {
		f.backlog.begin()
	}
	if bound := f.backlog.left(); bound > 0 {
		span.MaxBytes = bound
	}
	batch, err := f.config.Log.Read(ctx, f.config.Partition, span)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		f.started, f.pager = false, nil
		f.config.Logger.Info("store dropped records that were not read; reading the newest of each key",
			"partition", f.config.Partition, "from", f.next)
		return nil
	}
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		f.apply(record, false)
	}
	f.next += int64(len(batch.Records))
	switch missed := batch.End - f.next; {
	case missed <= 0:
		f.backlog.end()
	case f.backlog.spent():
		f.backlog.end()
		f.started, f.pager = false, nil
		f.config.Logger.Info("skipping to the newest record of each key", "partition", f.config.Partition, "from", f.next, "missed", missed)
	}
	f.reached(f.next, f.next >= batch.End)
	if len(batch.Records) > 0 && f.next >= batch.End {
		f.space(ctx)
	}
	return nil
}

// space waits before the next read, so that it brings the records of the time between. The idle spacing ends early for somebody
// who waits for records.
func (f *Follower) space(ctx context.Context) {
	if f.idle() {
		f.rest(ctx, f.config.IdleSpacing)
		return
	}
	pause.For(ctx, f.config.Spacing)
}

// idle tells whether this process does not act on each record at once.
func (f *Follower) idle() bool {
	return f.config.Busy != nil && !f.config.Busy()
}

// Hurry ends a pause that an idle process makes. Whoever begins to act on the records calls it.
func (f *Follower) Hurry() {
	select {
	case f.missed <- struct{}{}:
	default:
	}
}

// rest waits, but no longer than until somebody misses records.
func (f *Follower) rest(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-f.missed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// catchUp reads the newest record of every key that matters. Keys that were known and are gone have been dropped. Where it failed it goes on
// with the page that it lacks.
func (f *Follower) catchUp(ctx context.Context) error {
	if f.pager == nil {
		f.pager, f.seen = newPager(f.config.Log, f.config.Partition, f.config.Prefix, f.config.After), make(map[string]bool)
	}
	read := f.pager.read
	if f.config.Sample != "" {
		f.pager.after = f.config.Sample
		read = f.pager.sample
	}
	err := read(ctx, func(record keyedlog.Record) {
		f.seen[record.Key] = true
		f.apply(record, true)
	})
	if err != nil {
		return err
	}
	first, seen := f.pager.end, f.seen
	f.pager, f.seen = nil, nil
	if first < f.next {
		return errStale
	}
	for key, offset := range f.offsets {
		if !seen[key] && offset < first && strings.HasPrefix(key, f.config.Prefix) && key > f.config.After {
			f.apply(keyedlog.Record{Offset: first - 1, Key: key}, true)
		}
	}
	f.next = first
	f.started = true
	f.reached(f.next, f.config.Prefix != "")
	return nil
}

func (f *Follower) apply(record keyedlog.Record, recovered bool) {
	known, found := f.offsets[record.Key]
	if found && record.Offset <= known {
		return
	}
	if record.Value == nil {
		// A dropped key needs no memory: an older record of it cannot come again, since offsets only rise from here.
		delete(f.offsets, record.Key)
	} else {
		f.offsets[record.Key] = record.Offset
	}
	if f.config.NewestOnly {
		f.backlog.note(record)
	}
	f.config.Applier.Apply(record, recovered)
}

func (f *Follower) reached(end int64, caughtUp bool) {
	f.config.Applier.Advanced(end)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.end = end
	if caughtUp {
		f.caughtUp = true
		f.confirmed = suspended.Mark()
	}
	f.advanced.Notify()
}

func (f *Follower) setConnected(ctx context.Context, connected bool, err error) {
	f.mutex.Lock()
	changed := f.connected != connected
	first := !f.heard
	f.connected = connected
	f.heard = true
	if connected && changed && !first {
		f.returned = time.Now()
	}
	confirmed := f.confirmed
	f.mutex.Unlock()
	if !changed || ctx.Err() != nil {
		return
	}
	if connected {
		if first {
			f.config.Logger.Debug("store partition followed", "partition", f.config.Partition)
			return
		}
		f.config.Logger.Info("store partition regained", "partition", f.config.Partition)
		return
	}
	errorlog.Warn(f.config.Logger, "store partition lost", err, "partition", f.config.Partition, "confirmed_ago", ago(confirmed))
}

// ago returns how long ago a moment was, or never if there was none.
func ago(moment uptime.Mark) string {
	if moment.IsZero() {
		return "never"
	}
	return moment.Age().Round(time.Millisecond).String()
}

// Returned is when the store answered again after it had not: now while what its first answer brought is applied, zero if it
// has answered all along.
func (f *Follower) Returned() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.heard && !f.connected {
		return time.Now()
	}
	return f.returned
}

// Connected tells whether the store answered the last call; true before the first one.
func (f *Follower) Connected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected || !f.heard
}

// inStep tells whether the last call succeeded and everything was applied once.
func (f *Follower) inStep() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp && f.connected
}

// CaughtUp tells whether everything that was in the partition at some moment has been applied.
func (f *Follower) CaughtUp() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp
}

// Confirmed returns when the store last said that nothing further was there. By the steady clock it is as long ago as it was in truth,
// time in suspension included.
func (f *Follower) Confirmed() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.confirmed.At()
}

// WaitFor waits until all records below end have been applied, and everything that was there at some moment.
func (f *Follower) WaitFor(ctx context.Context, end int64) error {
	return f.await(ctx, func() bool { return f.end >= end && f.caughtUp })
}

// WaitUntil waits until all records below end have been applied, however many may follow.
func (f *Follower) WaitUntil(ctx context.Context, end int64) error {
	return f.await(ctx, func() bool { return f.end >= end })
}

// await waits for a condition on what the mutex guards.
func (f *Follower) await(ctx context.Context, met func() bool) error {
	for {
		f.mutex.Lock()
		reached, advanced := met(), f.advanced.Changed()
		f.mutex.Unlock()
		if reached {
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

// backOff waits a little longer after each failure, and not the same at every process.
func backOff(ctx context.Context, failures int) {
	most := min(retryMost, retryLeast<<min(failures, 4))
	pause.For(ctx, most/2+rand.N(most/2))
}
