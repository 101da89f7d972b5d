package shard

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
)

// Backoff between attempts of an append.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// unknownOffset is used while the log has not returned an offset.
const unknownOffset = -1

// errUnconfirmed is the failure of an append that the log acknowledged but that is not valid in the stream.
var errUnconfirmed = errors.New("log acknowledged an append that is missing from its stream")

// write runs the writer: it commits one batch after the other until the owner ends.
func (o *owner) write() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.wake:
		}
		for {
			b, err := o.nextBatch()
			if err != nil {
				errorlog.Error(o.logger, "records cannot be encoded", err)
				o.fail(err)
				return
			}
			if b == nil {
				break
			}
			o.commit(b)
		}
	}
}

// fail ends the owner after an internal error; it remains unknown whether the batch in flight took effect.
func (o *owner) fail(cause error) {
	errorlog.Error(o.logger, "owner gives up", cause)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.end(ErrUncertain)
}

// nextBatch moves waiters from the queue into a batch, within the limits of a batch; nil if the queue is empty or the
// owner has ended.
func (o *owner) nextBatch() (*batch, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended || len(o.queue) == 0 {
		return nil, nil
	}
	b := &batch{first: o.sequence + 1}
	b.ctx, b.settled = context.WithCancel(o.ctx)
	for len(o.queue) > 0 && o.fits(b, o.queue[0]) {
		w := o.queue[0]
		o.queue = o.queue[1:]
		b.waiters = append(b.waiters, w)
		if err := o.encode(b, w); err != nil {
			o.inFlight = b
			return nil, err
		}
	}
	o.inFlight = b
	o.lastAppend = time.Now()
	if o.cancelPoll != nil {
		o.cancelPoll()
	}
	return b, nil
}

// fits reports whether a waiter may join a batch. A release has a batch of its own; the first waiter always fits.
func (o *owner) fits(b *batch, w *waiter) bool {
	if len(b.waiters) == 0 {
		return true
	}
	if w.kind == typeRelease || b.isRelease() {
		return false
	}
	entries := len(b.payloads) + len(w.proposals)
	return entries <= o.settings.MaxBatchEntries && b.bytes+w.bytes <= o.settings.MaxBatchBytes
}

// encode adds the entries of a waiter to a batch and assigns their sequence numbers.
func (o *owner) encode(b *batch, w *waiter) error {
	if w.kind == typeRelease {
		return b.encode(&envelope{Type: uint8(typeRelease), Epoch: o.epoch})
	}
	for _, proposal := range w.proposals {
		o.sequence++
		entry := envelope{
			Type:     uint8(typeRecord),
			Epoch:    o.epoch,
			Sequence: o.sequence,
			Kind:     proposal.Kind,
			Body:     proposal.Body,
		}
		if err := b.encode(&entry); err != nil {
			return err
		}
	}
	return nil
}

func (b *batch) encode(entry *envelope) error {
	payload, err := entry.encode()
	if err != nil {
		return err
	}
	b.payloads = append(b.payloads, payload)
	b.bytes += len(payload)
	return nil
}

// commit appends a batch, and retries with the same sequence numbers while it is unknown whether the batch took effect,
// until the batch is folded or the owner ends.
func (o *owner) commit(b *batch) {
	delays := newBackoff()
	timeout := o.settings.AppendTimeout
	end := int64(unknownOffset)
	for {
		if end == unknownOffset {
			end = o.send(b, timeout)
		}
		if !b.isSettled() {
			o.readBack(b, end, timeout)
		}
		if b.isSettled() || !pause.For(b.ctx, delays.NextBackOff()) {
			break
		}
		timeout = min(2*timeout, o.settings.MaxAttemptTimeout)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastAppend = time.Now()
}

// send appends a batch once, and folds it if no unread entries precede it. It returns the offset after the batch, or
// unknownOffset if the log did not acknowledge the append.
func (o *owner) send(b *batch, timeout time.Duration) int64 {
	ctx, cancel := context.WithTimeout(b.ctx, timeout)
	defer cancel()
	o.counters.Appends.Add(1)
	o.counters.Records.Add(uint64(len(b.payloads)))
	o.counters.AppendBytes.Add(uint64(b.bytes))
	first, err := o.log.Append(ctx, o.stream, b.payloads)
	if err == nil {
		o.foldOwn(b, first)
		return first + int64(len(b.payloads))
	}
	if !b.isSettled() {
		o.counters.AppendRetries.Add(1)
		errorlog.Warn(o.logger, "append failed", err)
	}
	return unknownOffset
}

// readBack reads up to the tail to determine whether a batch took effect. end is the offset after the batch if the log
// acknowledged it, or unknownOffset.
func (o *owner) readBack(b *batch, end int64, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(b.ctx, timeout)
	defer cancel()
	err := o.catchUp(ctx)
	if b.isSettled() {
		return
	}
	if err != nil {
		errorlog.Warn(o.logger, "read after append failed", err)
		return
	}
	if end != unknownOffset && o.next() >= end {
		o.fail(errUnconfirmed)
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialBackoff
	delays.MaxInterval = maxBackoff
	delays.Reset()
	return delays
}
