// Package shard ensures that a stream of the platform's log has one writer at a time. Ownership is decided by the
// stream itself: every record contains the epoch of its writer, a Claim opens the next epoch, and a record of a
// superseded epoch is void at its offset for every reader of the stream. Neither clocks nor membership affect
// ownership.
package shard

import (
	"context"
	"errors"
)

var (
	// ErrNotOwner means that this process does not own the shard, or no longer owns it. The operation had no effect.
	ErrNotOwner = errors.New("shard is owned elsewhere")
	// ErrUncertain means that the log could not be read to determine whether the record took effect.
	ErrUncertain = errors.New("record may or may not have taken effect")
)

// Record is one valid record of a stream, as passed to State.Apply.
type Record struct {
	Offset int64
	Epoch  uint64
	// Sequence numbers the records of an epoch from 1. A repeated sequence number is void.
	Sequence uint64
	Kind     uint8
	Body     []byte
}

// State is the deterministic fold of the valid records of a stream. Its methods are called only with the shard's lock
// held, and their results must depend on nothing but the records.
type State interface {
	// Apply folds a record and returns its outcome, which Append returns to its caller. A record that contradicts the
	// state changes nothing, and its outcome reports that. Bodies that cannot be decoded are skipped.
	Apply(record Record) (outcome any)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(snapshot []byte) error
}

// Identity identifies a process that may own shards.
type Identity struct {
	Node        string
	Incarnation uint64
	// PeerAddress is the address at which other processes call the owner.
	PeerAddress string
}

// Proposal is a record to be appended.
type Proposal struct {
	Kind uint8
	Body []byte
}

// Owner is a shard owned by this process, until it is released or superseded.
type Owner interface {
	// Append writes the proposals, contiguous and in order, and returns their outcomes once they are known to be valid
	// at their offsets and are folded. ErrNotOwner means that none took effect; after ErrUncertain or an error of the
	// context, they may or may not take effect.
	Append(ctx context.Context, proposals ...Proposal) (outcomes []any, err error)
	// View calls read with the state, which includes at least every Append that has returned. read must not block or
	// retain the state.
	View(read func(State))
	// Confirm returns nil once it is known that this process still owned the shard at some time after the call started.
	Confirm(ctx context.Context) error
	// Epoch returns the epoch that this process claimed.
	Epoch() uint64
	// Done returns a channel that is closed when the shard is released or superseded.
	Done() <-chan struct{}
	// Release releases the shard, so that the next owner need not wait. The caller must have completed the work in
	// flight.
	Release(ctx context.Context) error
}

// Opener opens shards on demand.
type Opener interface {
	// Open returns the shard if this process owns it, or claims it if this process is placed to own it. Otherwise the
	// error is a *peer.Error with CodeNotOwner and a hint.
	Open(ctx context.Context, stream string) (Owner, error)
}
