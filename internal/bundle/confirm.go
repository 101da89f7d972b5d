package bundle

import (
	"context"

	"github.com/samber/oops"

	"github.com/hillfork/hillfork/internal/mutation"
)

// confirmation lets concurrent calls of Confirm share one read.
type confirmation struct {
	// running is the current round of reads, nil if there is none. It is guarded by Follower.mu.
	running *confirmRound
}

// confirmRound is one pass of reads up to the tail of the stream. The call that started it, the leader, does the reads.
type confirmRound struct {
	done chan struct{}
	// err and abandoned are set before done is closed. abandoned reports whether the leader's context ended; err then
	// does not describe the state of the log.
	err       error
	abandoned bool
}

// Confirm reads and folds the bundle stream up to a tail that is no older than the call, and returns the bundle that is
// then in force, nil if there is none. Concurrent calls share one read that started after all of them. The normal cost
// is one read that does not wait.
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
	// A round that was already running when the call started may have read a tail older than the call.
	startedAfterCall := false
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
		if startedAfterCall && !round.abandoned {
			return round.err
		}
		startedAfterCall = true
	}
}

// joinRound returns the running round, or starts one that the caller must lead.
func (f *Follower) joinRound() (round *confirmRound, lead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmation.running != nil {
		return f.confirmation.running, false
	}
	f.confirmation.running = &confirmRound{done: make(chan struct{})}
	return f.confirmation.running, true
}

// lead does the reads of a round and publishes the result to the calls that wait for it.
func (f *Follower) lead(ctx context.Context, round *confirmRound) {
	round.err = f.readToTail(ctx)
	round.abandoned = ctx.Err() != nil
	f.mu.Lock()
	f.confirmation.running = nil
	f.mu.Unlock()
	close(round.done)
}

// readToTail reads and folds up to the tail that its first read returned.
func (f *Follower) readToTail(ctx context.Context) error {
	if err := f.loadSnapshot(ctx); err != nil {
		return err
	}
	before := f.nextOffset()
	tail, err := f.readOnce(ctx, 0)
	for err == nil && f.nextOffset() < tail {
		if f.nextOffset() == before {
			return oops.With("offset", before, "tail", tail).Errorf("log returned no entry below its tail")
		}
		before = f.nextOffset()
		_, err = f.readOnce(ctx, 0)
	}
	return err
}

// nextOffset returns the offset below which all records are folded.
func (f *Follower) nextOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}
