// Package shard gives a stream of the platform's log one writer at a time. Ownership is decided by the stream itself:
// every record names the epoch of its writer, a Claim opens the next epoch, and a record of a superseded epoch is void
// at its offset for everybody who reads the stream. Neither clocks nor membership decide anything here.
package shard

import (
	"context"
	"errors"
)

// Errors of an owner.
var (
	// ErrNotOwner says that this process does not own the shard (any more). What was asked had no effect.
	ErrNotOwner = errors.New("shard is owned elsewhere")
	// ErrUncertain says that the log could not be asked whether the record took effect.
	ErrUncertain = errors.New("record may or may not have taken effect")
)

// Record is one valid record of a stream, as a State folds it.
type Record struct {
	Offset int64
	Epoch  uint64
	// Sequence counts the records of an epoch from 1. A repeat of a sequence number is void.
	Sequence uint64
	Kind     uint8
	Body     []byte
}

// State is the deterministic fold of the valid records of a stream. It is only called under the shard's lock, and must
// depend on nothing but the records.
type State interface {
	// Apply folds a record and returns its outcome, which Append hands to the writer. A record that contradicts the
	// state changes nothing and says so in its outcome. Bodies that cannot be decoded are skipped.
	Apply(record Record) (outcome any)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(snapshot []byte) error
}

// Identity names a process that may own shards.
type Identity struct {
	Node        string
	Incarnation uint64
	// PeerAddress is where other processes call the owner.
	PeerAddress string
}

// Proposal is a record to be written.
type Proposal struct {
	Kind uint8
	Body []byte
}

// Owner is a shard owned by this process, until it is released or superseded.
type Owner interface {
	// Append writes the proposals, contiguous and in order, and returns their outcomes once they are known to be valid
	// at their offsets and are folded. ErrNotOwner says that none took effect; ErrUncertain and the context's errors
	// leave it open.
	Append(ctx context.Context, proposals ...Proposal) (outcomes []any, err error)
	// View calls read with the state, folded at least up to every Append that has returned. read must not block or keep
	// the state.
	View(read func(State))
	// Confirm returns once it is known that this process still owned the shard at a moment after the call began.
	Confirm(ctx context.Context) error
	// Epoch is the epoch this process claimed.
	Epoch() uint64
	// Done is closed when the shard is released or superseded.
	Done() <-chan struct{}
	// Release gives the shard up, so that the next owner need not wait; work in flight has been settled by the caller.
	Release(ctx context.Context) error
}

// Opener opens shards on demand.
type Opener interface {
	// Open returns the shard if this process owns it or is the one placed to own it, in which case it is claimed.
	// Otherwise the error is a *peer.Error with CodeNotOwner and a hint.
	Open(ctx context.Context, stream string) (Owner, error)
}
