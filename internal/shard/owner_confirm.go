package shard

import (
	"context"
	"fmt"
	"sync"
)

// confirmer lets concurrent Confirm calls share one read. A call joins the next round that has not started yet.
type confirmer struct {
	mu      sync.Mutex
	next    *confirmRound
	running bool
}

// confirmRound is one read of the tail; err is set before done is closed.
type confirmRound struct {
	done chan struct{}
	err  error
}

// join returns the round to wait for, and whether the caller must start the goroutine that runs the rounds.
func (c *confirmer) join() (round *confirmRound, start bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmRound{done: make(chan struct{})}
	}
	start = !c.running
	c.running = true
	return c.next, start
}

// nextRound returns the round to run now; nil if no call is waiting, which ends the sequence of rounds.
func (c *confirmer) nextRound() *confirmRound {
	c.mu.Lock()
	defer c.mu.Unlock()
	round := c.next
	c.next = nil
	c.running = round != nil
	return round
}

// Confirm implements Owner. An error other than ErrNotOwner and the context's means that the log could not be read.
func (o *owner) Confirm(ctx context.Context) error {
	round, start := o.confirms.join()
	if start {
		go o.runConfirms()
	}
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runConfirms runs rounds until no call is waiting.
func (o *owner) runConfirms() {
	for {
		round := o.confirms.nextRound()
		if round == nil {
			return
		}
		round.err = o.confirmOnce()
		close(round.done)
	}
}

// confirmOnce reads the tail once.
func (o *owner) confirmOnce() error {
	if o.hasEnded() {
		return ErrNotOwner
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.settings.AppendTimeout)
	defer cancel()
	err := o.catchUp(ctx)
	if o.hasEnded() {
		return ErrNotOwner
	}
	if err != nil {
		return fmt.Errorf("confirm ownership of %s: %w", o.stream, err)
	}
	return nil
}

// hasEnded reports whether the owner was released, superseded or abandoned.
func (o *owner) hasEnded() bool {
	select {
	case <-o.done:
		return true
	default:
		return false
	}
}
