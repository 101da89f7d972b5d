package bundle

import (
	"context"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/mutation"
)

// confirmation lets concurrent calls of Confirm share one read.
type confirmation struct {
	// running is the round of reads going on, nil if none. It is guarded by the follower's lock.
	running *confirmRound
}

// confirmRound is one read of the stream to its tail.
type confirmRound struct {
	done chan struct{}
	// err is set before done is closed; abandoned says that the leader's context ended, so that err tells nothing about
	// the log.
	err       error
	abandoned bool
}

// Confirm reads the bundle stream to its tail as of a moment after the call began, folds it, and returns the bundle in
// force then; nil if there is none. Calls that wait at the same time share one read, which began after all of them. In
// the normal case it costs one read that does not wait.
func (f *Follower) Confirm(ctx context.Context) (*Accepted, error) {
	if f.config.Mutations.Has(mutation.NoBundleConfirmation) {
		return f.Current(), nil
	}
	if err := f.catchUp(ctx); err != nil {
		return nil, err
	}
	return f.Current(), nil
}

// catchUp folds everything that was in the stream when it was called.
func (f *Follower) catchUp(ctx context.Context) error {
	// A round that is already running when the call begins may have read too early to count.
	counts := false
	for {
		round, lead := f.joinRound()
		if lead {
			f.lead(ctx, round)
			return round.err
		}
		select {
		case <-round.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if counts && !round.abandoned {
			return round.err
		}
		counts = true
	}
}

// joinRound returns the round that runs, or starts one that the caller must lead.
func (f *Follower) joinRound() (round *confirmRound, lead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmation.running != nil {
		return f.confirmation.running, false
	}
	f.confirmation.running = &confirmRound{done: make(chan struct{})}
	return f.confirmation.running, true
}

func (f *Follower) lead(ctx context.Context, round *confirmRound) {
	round.err = f.readToTail(ctx)
	round.abandoned = ctx.Err() != nil
	f.mu.Lock()
	f.confirmation.running = nil
	f.mu.Unlock()
	close(round.done)
}

// readToTail reads and folds until the tail that its first read saw.
func (f *Follower) readToTail(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	before := f.reached()
	tail, err := f.advance(ctx, 0)
	for err == nil && f.reached() < tail {
		if f.reached() == before {
			return oops.With("offset", before, "tail", tail).Errorf("log returned no entry below its tail")
		}
		before = f.reached()
		_, err = f.advance(ctx, 0)
	}
	return err
}

// reached is the offset below which everything is folded.
func (f *Follower) reached() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}
