package shard

import "context"

// waiter is one Append or Release call.
type waiter struct {
	kind      entryType
	proposals []Proposal
	bytes     int
	outcomes  []any
	err       error
	// done is closed once outcomes or err is set.
	done chan struct{}
}

func newWaiter(kind entryType, proposals []Proposal) *waiter {
	w := &waiter{kind: kind, proposals: proposals, done: make(chan struct{})}
	for _, proposal := range proposals {
		w.bytes += len(proposal.Body)
	}
	return w
}

// finish ends the call. It is called once, under the owner's lock.
func (w *waiter) finish(outcomes []any, err error) {
	w.outcomes = outcomes
	w.err = err
	close(w.done)
}

// batch is the content of one append: the records of one or more Append calls, or a release.
type batch struct {
	waiters  []*waiter
	payloads [][]byte
	// bytes is the total size of the payloads.
	bytes int
	// first is the sequence number of the first record.
	first    uint64
	outcomes []any
	// ctx is cancelled by settled when it is known whether the batch took effect, or when the owner has ended.
	ctx     context.Context
	settled context.CancelFunc
}

// isSettled reports whether it is known if the batch took effect.
func (b *batch) isSettled() bool { return b.ctx.Err() != nil }

// isRelease reports whether the batch is a release instead of records.
func (b *batch) isRelease() bool { return b.waiters[0].kind == typeRelease }

// add adds the outcome of the record with this sequence number and reports whether the batch is now complete. Sequence
// numbers are folded in order, so the number of outcomes determines the next one; ok is false for any other number.
func (b *batch) add(sequence uint64, outcome any) (complete, ok bool) {
	if b.isRelease() || sequence != b.first+uint64(len(b.outcomes)) {
		return false, false
	}
	b.outcomes = append(b.outcomes, outcome)
	return len(b.outcomes) == len(b.payloads), true
}

// succeed returns their outcomes to all waiters.
func (b *batch) succeed() {
	start := 0
	for _, w := range b.waiters {
		end := start + len(w.proposals)
		w.finish(b.outcomes[start:end:end], nil)
		start = end
	}
	b.settled()
}

// fail ends the batch early. Waiters whose records are all folded succeed, and those with no folded record get err. If
// only some records of a waiter took effect, it gets ErrUncertain.
func (b *batch) fail(err error) {
	start := 0
	for _, w := range b.waiters {
		end := start + len(w.proposals)
		switch {
		case w.kind == typeRecord && end <= len(b.outcomes):
			w.finish(b.outcomes[start:end:end], nil)
		case start < len(b.outcomes):
			w.finish(nil, ErrUncertain)
		default:
			w.finish(nil, err)
		}
		start = end
	}
	b.settled()
}
