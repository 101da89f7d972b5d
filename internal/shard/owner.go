package shard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/platform"
)

// owner implements Owner. Its goroutines are a writer, which has one append in flight at a time, a follower, which
// polls the tail while nothing is appended, and a snapshotter.
type owner struct {
	stream   string
	epoch    uint64
	log      platform.Log
	settings Settings
	counters *Counters
	logger   *log.Logger

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// done is closed when the shard is released, superseded or abandoned.
	done chan struct{}
	// wake signals the writer that the queue is not empty, and snapshotDue signals the snapshotter that a snapshot is
	// due.
	wake        chan struct{}
	snapshotDue chan struct{}
	confirms    confirmer

	// mu guards the fields below. It is never held across a call to the log.
	mu       sync.Mutex
	replica  *replica
	queue    []*waiter
	inFlight *batch
	// sequence is the sequence number of the last record added to a batch.
	sequence  uint64
	releasing bool
	ended     bool
	// lastAppend is the time when a batch was last started or settled; cancelPoll cancels the follower's current poll.
	lastAppend time.Time
	cancelPoll context.CancelFunc
}

// newOwner starts an owner on a replica that has folded the claim of its epoch.
func newOwner(stream string, replica *replica, config *Config, counters *Counters, logger *log.Logger) *owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		stream:      stream,
		epoch:       replica.fold.Epoch(),
		log:         config.Log,
		settings:    config.Settings,
		counters:    counters,
		logger:      logger.With("stream", stream, "epoch", replica.fold.Epoch()),
		ctx:         ctx,
		cancel:      cancel,
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		snapshotDue: make(chan struct{}, 1),
		replica:     replica,
		sequence:    replica.fold.LastSequence(),
		lastAppend:  time.Now(),
	}
	if o.snapshotIsDue() {
		signal(o.snapshotDue)
	}
	o.tasks.Go(o.write)
	o.tasks.Go(o.follow)
	o.tasks.Go(o.snapshot)
	return o
}

// Epoch implements Owner.
func (o *owner) Epoch() uint64 { return o.epoch }

// Done implements Owner.
func (o *owner) Done() <-chan struct{} { return o.done }

// View implements Owner.
func (o *owner) View(read func(State)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	read(o.replica.state)
}

// next returns the next offset to fold.
func (o *owner) next() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.replica.fold.Next()
}

// Append implements Owner. In addition to the errors of the interface it returns a *peer.Error if nothing was written:
// CodeInvalid for a record that is too large, CodeOverloaded if too many calls are queued. If the context ends before
// the records were sent, the error wraps platform.ErrNotSent, otherwise ErrUncertain.
func (o *owner) Append(ctx context.Context, proposals ...Proposal) ([]any, error) {
	if len(proposals) == 0 {
		return nil, nil
	}
	if err := o.checkSize(proposals); err != nil {
		return nil, err
	}
	w := newWaiter(typeRecord, proposals)
	if err := o.enqueue(w); err != nil {
		return nil, err
	}
	return o.await(ctx, w)
}

// checkSize returns an error for records that are larger than the log accepts.
func (o *owner) checkSize(proposals []Proposal) error {
	for _, proposal := range proposals {
		if len(proposal.Body) > o.settings.MaxEntryBytes {
			message := fmt.Sprintf("record of %d bytes is over the limit of %d", len(proposal.Body), o.settings.MaxEntryBytes)
			return &peer.Error{Code: peer.CodeInvalid, Message: message}
		}
	}
	return nil
}

// enqueue adds a waiter to the writer's queue.
func (o *owner) enqueue(w *waiter) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended || o.releasing {
		return ErrNotOwner
	}
	if len(o.queue) >= o.settings.MaxQueued {
		return &peer.Error{
			Code:       peer.CodeOverloaded,
			Message:    fmt.Sprintf("%d appends to %s wait for the log", len(o.queue), o.stream),
			RetryAfter: time.Second,
		}
	}
	o.releasing = w.kind == typeRelease
	o.queue = append(o.queue, w)
	signal(o.wake)
	return nil
}

// await waits for the end of a call. If the context ends while the call is still queued, the call is withdrawn.
func (o *owner) await(ctx context.Context, w *waiter) ([]any, error) {
	select {
	case <-w.done:
		return w.outcomes, w.err
	case <-ctx.Done():
	}
	if o.withdraw(w) {
		return nil, fmt.Errorf("append to %s: %w: %w", o.stream, ctx.Err(), platform.ErrNotSent)
	}
	select {
	case <-w.done:
		return w.outcomes, w.err
	default:
		return nil, fmt.Errorf("append to %s: %w: %w", o.stream, ErrUncertain, ctx.Err())
	}
}

// withdraw removes a waiter from the queue; false if it is no longer queued.
func (o *owner) withdraw(w *waiter) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, queued := range o.queue {
		if queued == w {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Release implements Owner. It waits for the records queued before it. If ctx ends first, the shard is abandoned, and
// the next owner claims it as if this process had crashed.
func (o *owner) Release(ctx context.Context) error {
	w := newWaiter(typeRelease, nil)
	if err := o.enqueue(w); err != nil {
		return err
	}
	_, err := o.await(ctx, w)
	if err != nil && !errors.Is(err, ErrNotOwner) {
		o.abandon()
	}
	return err
}

// abandon ends the owner without a release, as a crash would, and waits for its goroutines.
func (o *owner) abandon() {
	o.mu.Lock()
	o.end(ErrUncertain)
	o.mu.Unlock()
	o.tasks.Wait()
}

// end closes the owner; the caller holds mu. Queued calls were never sent and had no effect, so they get ErrNotOwner;
// calls in flight whose records are not folded get inFlightErr.
func (o *owner) end(inFlightErr error) {
	if o.ended {
		return
	}
	o.ended = true
	if o.inFlight != nil {
		o.inFlight.fail(inFlightErr)
		o.inFlight = nil
	}
	for _, w := range o.queue {
		w.finish(nil, ErrNotOwner)
	}
	o.queue = nil
	close(o.done)
	o.cancel()
}

// signal wakes the receiver of a channel of capacity one without blocking.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
