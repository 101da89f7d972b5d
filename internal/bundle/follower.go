package bundle

import (
	"cmp"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/samber/oops"
)

const (
	// pollWait is the maximum time that one read waits for the next record.
	pollWait = 20 * time.Second
	// minPollInterval is the minimum time between two reads that return no entries.
	minPollInterval = 200 * time.Millisecond
	// readBatch limits the entries of one read.
	readBatch = 256
	// readTimeout is the timeout of a read that does not wait; a long poll adds its wait to it.
	readTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay are the initial and the maximum backoff interval after a failed read.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Log platform.Log
	// Trusted maps the partners that must sign the first bundle to their keys.
	Trusted TrustedKeys
	// Logger may be nil.
	Logger *log.Logger
	// OnAccepted, if set, is called with each bundle that comes into force on this node, in order of version and never
	// concurrently. It must not block and must not call the Follower.
	OnAccepted func(*Accepted)
	// Mutations disables mechanisms; only tests set it.
	Mutations mutation.Set
}

// Follower tracks the bundle in force on this node. It folds the bundle stream and, while the log is unreachable,
// accepts newer bundles from peers if their signatures prove them. The bundle in force is the newer one of the folded
// and the learned bundle; its version never decreases. Peers serve only bundles that their fold accepted, so the fold
// reaches every learned bundle once the log is reachable again. If the fold accepts a different bundle of the same
// version, the peer served a bundle that the log did not accept: the bundle of the log is put in force and an error is
// logged.
//
// All methods are safe for concurrent use. mu is not held during I/O, nor while OnAccepted runs.
type Follower struct {
	config FollowerConfig
	logger *log.Logger

	mu sync.Mutex
	// fold is the state of all records below next; started is set once the newest snapshot has been searched for.
	fold    *Fold
	next    int64
	started bool
	// learned is a bundle from a peer that the fold has not reached yet, with its chain; usually nil.
	learned      *Accepted
	learnedChain []linkState
	current      *Accepted
	changed      chan struct{}
	// caughtUpAt is the time of the response to the last read that reached the tail.
	caughtUpAt time.Time
	// snapshotOffset is the offset of the newest known snapshot; snapshotDue is the time to write the next one, zero if
	// none is scheduled.
	snapshotOffset int64
	snapshotDue    time.Time

	// notifyMu serializes the calls of OnAccepted. It is acquired before mu, never while mu is held.
	notifyMu sync.Mutex
	notified *Accepted

	confirmation confirmation

	reads     atomic.Uint64
	readBytes atomic.Uint64
}

// FollowerStats contains counters of a Follower.
type FollowerStats struct {
	// Reads counts the read calls to the log, ReadBytes the payload bytes that they returned.
	Reads     uint64
	ReadBytes uint64
	// Skipped counts the records that could not be decoded.
	Skipped uint64
	// NextOffset is the offset below which the stream is folded.
	NextOffset int64
	// Version is the version in force, 0 before the first.
	Version uint64
}

// NewFollower returns a Follower; Run starts to follow the stream.
func NewFollower(config FollowerConfig) *Follower {
	logger := cmp.Or(config.Logger, log.New(io.Discard))
	return &Follower{
		config:  config,
		logger:  logger,
		fold:    NewFold(config.Trusted),
		changed: make(chan struct{}),
	}
}

// Run follows the stream until ctx ends, and returns the error of ctx.
func (f *Follower) Run(ctx context.Context) error {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     minRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxRetryDelay,
	}
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			errorlog.Warn(f.logger, "bundle stream cannot be read", err)
			pause.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		f.snapshotIfDue(ctx)
	}
	return oops.Wrap(ctx.Err())
}

// poll waits for the next records and folds them. A call without new records lasts at least minPollInterval, even if
// the log does not wait with its response.
func (f *Follower) poll(ctx context.Context) error {
	if err := f.loadSnapshot(ctx); err != nil {
		return err
	}
	before, startedAt := f.nextOffset(), time.Now()
	if _, err := f.readOnce(ctx, f.pollTimeout()); err != nil {
		return err
	}
	if f.nextOffset() == before {
		pause.For(ctx, minPollInterval-time.Since(startedAt))
	}
	return nil
}

// readOnce reads once from the next offset, folds the entries, and returns the tail that the read reported.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) (int64, error) {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	result, err := f.read(ctx, Stream, from, platform.ReadOptions{MaxEntries: readBatch, Wait: wait})
	if err != nil {
		return 0, err
	}
	f.foldEntries(result.Entries)
	f.recordCaughtUp(result.Tail)
	return result.Tail, nil
}

// recordCaughtUp sets caughtUpAt if everything below the tail is folded.
func (f *Follower) recordCaughtUp(tail int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next >= tail {
		f.caughtUpAt = time.Now()
	}
}

// CaughtUpAt returns the time of the response to the last read that reached the tail of the stream, zero before the
// first. A poll waits up to pollWait for new records, so this time may be that old in normal operation.
func (f *Follower) CaughtUpAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUpAt
}

// read calls the log with a timeout and counts calls and bytes.
func (f *Follower) read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout+options.Wait)
	defer cancel()
	f.reads.Add(1)
	result, err := f.config.Log.Read(ctx, stream, offset, options)
	if err != nil {
		return platform.ReadResult{}, oops.With("stream", stream, "offset", offset).Wrapf(err, "read log")
	}
	for _, entry := range result.Entries {
		f.readBytes.Add(uint64(len(entry.Payload)))
	}
	return result, nil
}

// foldEntries folds the entries that have not been folded yet. Concurrent reads may return the same entries.
func (f *Follower) foldEntries(entries []platform.Entry) {
	var events []Event
	f.mu.Lock()
	for _, entry := range entries {
		if entry.Offset != f.next {
			continue
		}
		events = append(events, f.fold.Apply(entry.Offset, entry.Payload)...)
		f.next++
	}
	f.updateCurrent()
	f.mu.Unlock()
	f.logEvents(events)
	f.notify()
}

// updateCurrent sets the bundle in force to the newer one of the folded and the learned bundle. The caller must hold
// mu.
func (f *Follower) updateCurrent() {
	folded := f.fold.Current()
	if f.learned != nil && f.fold.Version() >= f.learned.Bundle.Version {
		f.checkLearned(folded)
		f.learned, f.learnedChain = nil, nil
	}
	newest := folded
	if f.learned != nil {
		newest = f.learned
	}
	if folded != nil && f.config.Mutations.Has(mutation.BundleReverts) {
		newest = folded
	}
	if newest == nil || !f.replaces(newest) {
		return
	}
	f.current = newest
	close(f.changed)
	f.changed = make(chan struct{})
}

// replaces reports whether a bundle replaces the one in force, which an earlier version never does.
func (f *Follower) replaces(newest *Accepted) bool {
	if f.current == nil || f.config.Mutations.Has(mutation.BundleReverts) {
		return true
	}
	return newest.Digest != f.current.Digest && newest.Bundle.Version >= f.current.Bundle.Version
}

// checkLearned logs an error if the log accepted a different bundle than the peer proved for the same version.
func (f *Follower) checkLearned(folded *Accepted) {
	if folded.Bundle.Version == f.learned.Bundle.Version && folded.Digest != f.learned.Digest {
		f.logger.Error("a peer handed out a bundle that the log did not accept", "version", folded.Bundle.Version,
			"learned", f.learned.Digest, "accepted", folded.Digest)
	}
}

// notify calls OnAccepted with the bundle in force unless it was already called with it. Versions are reported in
// order.
func (f *Follower) notify() {
	if f.config.OnAccepted == nil {
		return
	}
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	current := f.Current()
	if current == nil || current == f.notified {
		return
	}
	f.notified = current
	f.config.OnAccepted(current)
}

func (f *Follower) logEvents(events []Event) {
	for _, event := range events {
		switch event.Kind {
		case EventSkipped:
			f.logger.Debug("bundle record skipped", "offset", event.Offset, "reason", event.Reason)
		case EventAccepted:
			f.logger.Info("bundle accepted", "offset", event.Offset, "version", event.Status.Version, "digest", event.Status.Digest)
		case EventConflicted:
			f.logger.Warn("bundle conflicted", "offset", event.Offset, "version", event.Status.Version,
				"digest", event.Status.Digest, "reason", event.Status.Reason)
		}
	}
}

// Current returns the bundle in force on this node, nil before the first. The caller must not modify it.
func (f *Follower) Current() *Accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Changed returns a channel that is closed when the bundle in force changes. Call it before Current, so that no change
// is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Stats returns the current counters.
func (f *Follower) Stats() FollowerStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := FollowerStats{
		Reads:      f.reads.Load(),
		ReadBytes:  f.readBytes.Load(),
		Skipped:    f.fold.Skipped(),
		NextOffset: f.next,
	}
	if f.current != nil {
		stats.Version = f.current.Bundle.Version
	}
	return stats
}

// Learn adopts a bundle from a peer if it is newer than the one in force and proven by its signatures: every bundle of
// the proof must be signed by every required partner with keys that were known before it. Otherwise Learn returns
// ErrUnproven. A bundle that is not newer changes nothing and is not an error.
func (f *Follower) Learn(proof peerapi.BundleProof) error {
	if f.config.Mutations.Has(mutation.IgnoreLearned) {
		return nil
	}
	offered, err := DecodeCanonical(proof.Canonical)
	if err != nil {
		return err
	}
	if len(proof.Links) > maxLinks {
		return oops.Wrapf(ErrUnproven, "proof has %d links", len(proof.Links))
	}
	known, version := f.knownKeys()
	if offered.Version <= version {
		return nil
	}
	chain := chainFrom(proof)
	accepted, err := verifyChain(known, version, chain)
	if err != nil {
		return err
	}
	if f.adopt(accepted, chain) {
		f.logger.Info("bundle learned from a peer", "version", accepted.Bundle.Version, "digest", accepted.Digest)
		f.notify()
	}
	return nil
}

// adopt puts a proven bundle in force and returns true, unless an equal or newer version came into force in the
// meantime.
func (f *Follower) adopt(accepted *Accepted, chain []linkState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && accepted.Bundle.Version <= f.current.Bundle.Version {
		return false
	}
	f.learned, f.learnedChain = accepted, chain
	f.updateCurrent()
	return true
}

// knownKeys returns the keys in force on this node and the version that they belong to.
func (f *Follower) knownKeys() (TrustedKeys, uint64) {
	current := f.Current()
	if current == nil {
		return f.config.Trusted, 0
	}
	return keysOf(&current.Bundle), current.Bundle.Version
}

// Proof returns the bundle in force with the chain that proves it to peers, and false before the first.
func (f *Follower) Proof() (peerapi.BundleProof, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current == nil:
		return peerapi.BundleProof{}, false
	case f.learned != nil:
		return proofOf(f.learnedChain), true
	default:
		return proofOf(chainOf(f.fold.links, f.current)), true
	}
}
