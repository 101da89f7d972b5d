package bundle

import (
	"github.com/samber/oops"
	"github.com/tinylib/msgp/msgp"
)

//go:generate go tool msgp -file records.go -tests=false -unexported

// The limits prevent a length in a corrupt record from causing a large allocation. The limit of documents is
// MaxDocumentBytes.
//
//msgp:limit arrays:4096 maps:64
//msgp:tuple envelope

// Log streams of bundle records and of their snapshots.
const (
	Stream         = "bundles"
	SnapshotStream = "bundles.snapshots"
)

// recordFormat is the version of the record encoding. Records of other versions are skipped.
const recordFormat = 1

// Kinds of record.
const (
	kindProposal uint8 = iota + 1
	kindSignOff
	kindSnapshot
)

// maxRecordBytes limits the size of a record of the bundle stream.
const maxRecordBytes = MaxDocumentBytes + 4096

// State is the state of a proposal.
type State uint8

// States of a proposal.
const (
	// StateProposed is a proposal that waits for sign-offs.
	StateProposed State = iota + 1
	StateInForce
	// StateSuperseded is a bundle that was in force before a later version.
	StateSuperseded
	// StateConflicted is a proposal that can no longer be accepted because its base is not, or no longer, the version
	// in force.
	StateConflicted
)

// envelope wraps each payload of the log.
type envelope struct {
	Format uint8
	Kind   uint8
	// Body is the encoded record.
	Body msgp.Raw
}

// Proposal is the record that proposes a bundle for sign-off.
type Proposal struct {
	Canonical []byte `msg:"c,limit=262144"`
}

// SignOff is the record of one partner's signature of a proposal.
type SignOff struct {
	Digest    string `msg:"d"`
	Version   uint64 `msg:"v"`
	Base      uint64 `msg:"b"`
	Partner   string `msg:"p"`
	Signature []byte `msg:"s"`
}

// signatureState is a verified signature.
type signatureState struct {
	Partner   string `msg:"p"`
	Signature []byte `msg:"s"`
}

// proposalState is the state of a proposal in the fold.
type proposalState struct {
	Digest  string `msg:"d"`
	Version uint64 `msg:"v"`
	Base    uint64 `msg:"b"`
	// Offset is the offset of the record that opened the proposal.
	Offset     int64            `msg:"o"`
	State      State            `msg:"st"`
	Reason     string           `msg:"r"`
	Canonical  []byte           `msg:"c,limit=262144"`
	Signatures []signatureState `msg:"s"`
	Missing    []string         `msg:"m"`
}

// linkState is an accepted bundle with its signatures.
type linkState struct {
	Canonical  []byte           `msg:"c,limit=262144"`
	Signatures []signatureState `msg:"s"`
}

// snapshotState is the state of the fold of all records below NextOffset.
type snapshotState struct {
	NextOffset int64           `msg:"n"`
	Skipped    uint64          `msg:"sk"`
	Proposals  []proposalState `msg:"p"`
	InForce    string          `msg:"f"`
	Links      []linkState     `msg:"l"`
}

// recordBody is the content of an envelope.
type recordBody interface {
	MarshalMsg([]byte) ([]byte, error)
}

func encodeRecord(kind uint8, body recordBody) ([]byte, error) {
	encoded, err := body.MarshalMsg(nil)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	wrapped := envelope{Format: recordFormat, Kind: kind, Body: encoded}
	payload, err := wrapped.MarshalMsg(nil)
	return payload, oops.Wrap(err)
}

// decodeEnvelope decodes a payload. It rejects other formats and trailing bytes.
func decodeEnvelope(payload []byte) (envelope, error) {
	var wrapped envelope
	rest, err := wrapped.UnmarshalMsg(payload)
	if err != nil {
		return envelope{}, oops.Wrapf(err, "decode record")
	}
	if len(rest) != 0 || wrapped.Format != recordFormat {
		return envelope{}, oops.Errorf("record of format %d with %d bytes after it", wrapped.Format, len(rest))
	}
	return wrapped, nil
}
