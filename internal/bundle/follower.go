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
	// pollWait is how long one read may wait for the next record.
	pollWait = 20 * time.Second
	// minPoll is the least time between two reads that bring nothing.
	minPoll = 200 * time.Millisecond
	// readBatch bounds the entries of one read.
	readBatch = 256
	// readTimeout bounds a read that does not wait; a long poll gets pollWait more.
	readTimeout = 5 * time.Second
	// retryFirst and retryMost bound the pauses between reads of a log that fails.
	retryFirst = 100 * time.Millisecond
	retryMost  = 5 * time.Second
)

// FollowerConfig sets a Follower up.
type FollowerConfig struct {
	Log platform.Log
	// Trusted holds who signs the first bundle.
	Trusted TrustedKeys
	// Logger may be nil.
	Logger *log.Logger
	// OnAccepted, if set, is called with each bundle that comes into force here, in order of version, not concurrently.
	// It must not block and must not call the Follower.
	OnAccepted func(*Accepted)
	// Mutations switches mechanisms off; only tests set it.
	Mutations mutation.Set
}

// Follower knows the bundle in force on this node. It folds the bundle stream and, while the log is unreachable, takes
// newer bundles from peers, whose signatures prove them. What it holds in force never falls to an earlier version: it
// is the newer of what the fold says and what was learned. Peers hand out only what their fold accepted, so the fold
// reaches every learned bundle as soon as the log is back; should it find another one at the same version, a peer has
// lied, and the log's is put in force and the fault logged.
//
// All methods are safe for concurrent use. The lock is never held across input or output, nor while OnAccepted runs.
type Follower struct {
	config FollowerConfig
	logger *log.Logger

	mu sync.Mutex
	// fold holds the records below next; started says that the newest snapshot has been looked for.
	fold    *Fold
	next    int64
	started bool
	// learned is a bundle from a peer that the fold has not reached, with its chain; nil most of the time.
	learned      *Accepted
	learnedChain []linkState
	current      *Accepted
	changed      chan struct{}
	// caughtUp is when the last read that reached the tail was answered.
	caughtUp time.Time
	// snapshotted is the offset of the newest snapshot known; snapshotDue is when to write another, zero if not.
	snapshotted int64
	snapshotDue time.Time

	// notifyMu orders the calls of OnAccepted; it is taken before mu and never inside it.
	notifyMu sync.Mutex
	notified *Accepted

	confirmation confirmation

	reads     atomic.Uint64
	readBytes atomic.Uint64
}

// FollowerStats counts the work of a Follower.
type FollowerStats struct {
	// Reads counts the calls of the log, ReadBytes the payload bytes that they returned.
	Reads     uint64
	ReadBytes uint64
	// Skipped counts the records that could not be decoded.
	Skipped uint64
	// NextOffset is the offset up to which the stream is folded.
	NextOffset int64
	// Version is the version in force, 0 before the first.
	Version uint64
}

// NewFollower makes a Follower; Run makes it follow.
func NewFollower(config FollowerConfig) *Follower {
	logger := cmp.Or(config.Logger, log.New(io.Discard))
	return &Follower{
		config:  config,
		logger:  logger,
		fold:    NewFold(config.Trusted),
		changed: make(chan struct{}),
	}
}

// Run follows the stream until ctx ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     retryFirst,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         retryMost,
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

// poll waits for the next records and folds them. It takes at least minPoll when none came, also with a log that does
// not hold reads open.
func (f *Follower) poll(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	before, began := f.reached(), time.Now()
	if _, err := f.advance(ctx, f.pollTime()); err != nil {
		return err
	}
	if f.reached() == before {
		pause.For(ctx, minPoll-time.Since(began))
	}
	return nil
}

// advance reads once from the place reached, folds what it gets, and returns the tail that the read saw.
func (f *Follower) advance(ctx context.Context, wait time.Duration) (int64, error) {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	result, err := f.read(ctx, Stream, from, platform.ReadOptions{MaxEntries: readBatch, Wait: wait})
	if err != nil {
		return 0, err
	}
	f.absorb(result.Entries)
	f.noteTail(result.Tail)
	return result.Tail, nil
}

// noteTail notes the time when everything below the tail that a read saw is folded.
func (f *Follower) noteTail(tail int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next >= tail {
		f.caughtUp = time.Now()
	}
}

// CaughtUpAt is when the last read that reached the tail of the stream was answered; zero before the first. A poll waits
// up to pollWait for news, so this may be as long ago while all is well.
func (f *Follower) CaughtUpAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp
}

// read calls the log with a deadline and counts the traffic.
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

// absorb folds entries that have not been folded yet. Several reads may bring the same ones.
func (f *Follower) absorb(entries []platform.Entry) {
	var events []Event
	f.mu.Lock()
	for _, entry := range entries {
		if entry.Offset != f.next {
			continue
		}
		events = append(events, f.fold.Apply(entry.Offset, entry.Payload)...)
		f.next++
	}
	f.refresh()
	f.mu.Unlock()
	f.report(events)
	f.notify()
}

// refresh sets the bundle in force from the fold and what was learned. It is called with the lock held.
func (f *Follower) refresh() {
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

// replaces tells whether a bundle takes the place of the one in force: never an earlier version.
func (f *Follower) replaces(newest *Accepted) bool {
	if f.current == nil || f.config.Mutations.Has(mutation.BundleReverts) {
		return true
	}
	return newest.Digest != f.current.Digest && newest.Bundle.Version >= f.current.Bundle.Version
}

// checkLearned logs when the log knows another bundle under the version that a peer proved.
func (f *Follower) checkLearned(folded *Accepted) {
	if folded.Bundle.Version == f.learned.Bundle.Version && folded.Digest != f.learned.Digest {
		f.logger.Error("a peer handed out a bundle that the log did not accept", "version", folded.Bundle.Version,
			"learned", f.learned.Digest, "accepted", folded.Digest)
	}
}

// notify calls OnAccepted once for each new version in force, in order.
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

func (f *Follower) report(events []Event) {
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

// Current returns the bundle in force here, nil before the first. It must not be changed.
func (f *Follower) Current() *Accepted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Changed returns a channel that is closed when the bundle in force changes. Take it before Current, so that no change
// is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Stats counts what was done so far.
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

// Learn takes over a bundle from a peer if it is newer than the one in force and proven by its signatures: every
// bundle of the proof must be signed by every partner under keys known before it. ErrUnproven says that it is not.
// A proof of a bundle that is not newer changes nothing and is no error.
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

// adopt puts a proven bundle in force, unless a bundle as new has come into force meanwhile.
func (f *Follower) adopt(accepted *Accepted, chain []linkState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && accepted.Bundle.Version <= f.current.Bundle.Version {
		return false
	}
	f.learned, f.learnedChain = accepted, chain
	f.refresh()
	return true
}

// knownKeys returns the keys in force here and the version they belong to.
func (f *Follower) knownKeys() (TrustedKeys, uint64) {
	current := f.Current()
	if current == nil {
		return f.config.Trusted, 0
	}
	return keysOf(&current.Bundle), current.Bundle.Version
}

// Proof returns the bundle in force with what proves it to peers; false before the first.
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
