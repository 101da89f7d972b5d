package shard

import (
	"errors"

	"github.com/tinylib/msgp/msgp"
)

//go:generate go tool msgp -file envelope.go -tests=false -io=false -unexported

// formatVersion is the version of the envelope that this code writes and the only one it reads.
const formatVersion = 1

// entryType is the type of an entry of a shard's stream.
type entryType uint8

const (
	typeClaim entryType = iota + 1
	typeRelease
	typeRecord
)

// errBadEnvelope is returned for a payload that is not an entry of a known format.
var errBadEnvelope = errors.New("payload is not a shard entry of a known format")

// envelope is one entry of a shard's stream. Fields that the entry's type does not use are zero.
//
//msgp:tuple envelope
type envelope struct {
	Format   uint8
	Type     uint8
	Epoch    uint64
	Sequence uint64
	// Nonce is a random number for each claim, by which a claimant distinguishes its own claim from any other, even if
	// two processes have the same identity.
	Nonce       uint64
	Node        string
	Incarnation uint64
	PeerAddress string
	Kind        uint8
	Body        []byte
}

// position is the state of a fold apart from its counters: the next offset, and the epoch and owner of the shard at
// that offset.
//
//msgp:tuple position
type position struct {
	Next         int64
	Epoch        uint64
	Nonce        uint64
	Node         string
	Incarnation  uint64
	PeerAddress  string
	Released     bool
	LastSequence uint64
}

// snapshotChunk is one entry of a shard's snapshot stream: a part of an encoded snapshotBody.
//
//msgp:tuple snapshotChunk
type snapshotChunk struct {
	Format uint8
	// Writer identifies the snapshot that the chunk belongs to.
	Writer uint64
	// Next is the first offset of the main stream that the snapshot does not cover.
	Next  int64
	Index uint32
	Count uint32
	// Checksum is the xxhash of the complete encoded body.
	Checksum uint64
	Data     []byte
}

// snapshotBody is a snapshot: the position of the fold and the state at that position.
//
//msgp:tuple snapshotBody
type snapshotBody struct {
	Position position
	State    []byte
}

// encode returns the encoded envelope.
func (z *envelope) encode() ([]byte, error) {
	z.Format = formatVersion
	return z.MarshalMsg(nil)
}

// decodeEnvelope decodes an envelope. Trailing bytes, other formats and unknown types are errors.
func decodeEnvelope(payload []byte) (envelope, error) {
	var entry envelope
	if err := decodeWhole(&entry, payload); err != nil {
		return envelope{}, err
	}
	known := entry.Type >= uint8(typeClaim) && entry.Type <= uint8(typeRecord)
	if entry.Format != formatVersion || !known {
		return envelope{}, errBadEnvelope
	}
	return entry, nil
}

// decodeWhole decodes a message that must fill the payload; trailing bytes are an error.
func decodeWhole(into msgp.Unmarshaler, payload []byte) error {
	rest, err := into.UnmarshalMsg(payload)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errBadEnvelope
	}
	return nil
}
