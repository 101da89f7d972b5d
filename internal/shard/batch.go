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

// batch is what one append writes: the records of one or more Append calls, or a release.
type batch struct {
	waiters  []*waiter
	payloads [][]byte
	// bytes adds up the payloads.
	bytes int
	// first is the sequence number of the first record.
	first    uint64
	outcomes []any
	// ctx ends when the fate of the batch is known or the owner has ended; settled ends it.
	ctx     context.Context
	settled context.CancelFunc
}

// isSettled tells whether the fate of the batch is known.
func (b *batch) isSettled() bool { return b.ctx.Err() != nil }

// isRelease tells whether the batch is a release rather than records.
func (b *batch) isRelease() bool { return b.waiters[0].kind == typeRelease }

// add takes the outcome of the record with this sequence number, and tells whether the batch is now whole. Sequence
// numbers are folded in order, so that the number of outcomes tells which comes next.
func (b *batch) add(sequence uint64, outcome any) (whole, ok bool) {
	if b.isRelease() || sequence != b.first+uint64(len(b.outcomes)) {
		return false, false
	}
	b.outcomes = append(b.outcomes, outcome)
	return len(b.outcomes) == len(b.payloads), true
}

// succeed hands every waiter its outcomes.
func (b *batch) succeed() {
	start := 0
	for _, w := range b.waiters {
		end := start + len(w.proposals)
		w.finish(b.outcomes[start:end:end], nil)
		start = end
	}
	b.settled()
}

// fail ends the batch early. Waiters whose records are all folded succeed; those with none folded get err; a record of
// the others took effect, which leaves only ErrUncertain.
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
