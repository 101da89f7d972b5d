package shard

import "github.com/hillfork/hillfork/internal/mutation"

// Verdict is the classification of an entry by the fold.
type Verdict uint8

// Verdicts. Only entries with one of the first three verdicts change anything.
const (
	// VerdictClaim is a valid claim: a new epoch began.
	VerdictClaim Verdict = iota + 1
	// VerdictRelease is a valid release: the epoch no longer has an owner.
	VerdictRelease
	// VerdictRecord is a valid record.
	VerdictRecord
	// VerdictSuperseded is an entry whose epoch is not the current one.
	VerdictSuperseded
	// VerdictRepeat is a record whose sequence number was already folded.
	VerdictRepeat
	// VerdictGap is a record whose predecessor is missing; no correct owner writes one.
	VerdictGap
	// VerdictGarbage is a payload that is not an entry of a known format.
	VerdictGarbage
)

// FoldCounts counts the entries that a fold has processed, by verdict.
type FoldCounts struct {
	Valid      uint64
	Superseded uint64
	Repeats    uint64
	Gaps       uint64
	Garbage    uint64
}

// Fold decides which entries of a stream are valid. It is a pure function of the entries: every reader of a stream gets
// the same verdicts. The zero Fold is at offset 0 of a stream without an owner.
type Fold struct {
	position  position
	counts    FoldCounts
	mutations mutation.Set
}

// Next returns the offset of the next entry to fold.
func (f *Fold) Next() int64 { return f.position.Next }

// Epoch returns the current epoch; 0 before the first claim.
func (f *Fold) Epoch() uint64 { return f.position.Epoch }

// LastSequence returns the sequence number of the last valid record of the current epoch.
func (f *Fold) LastSequence() uint64 { return f.position.LastSequence }

// Counts returns the number of entries that this fold has processed, by verdict. Entries covered by a snapshot are not
// included.
func (f *Fold) Counts() FoldCounts { return f.counts }

// Owner returns the process that claimed the current epoch; false if there is none or it released the shard.
func (f *Fold) Owner() (Identity, bool) {
	identity := Identity{
		Node:        f.position.Node,
		Incarnation: f.position.Incarnation,
		PeerAddress: f.position.PeerAddress,
	}
	owned := f.position.Epoch > 0 && !f.position.Released
	return identity, owned
}

// ownedBy reports whether the claim with this nonce opened the current epoch and was not released.
func (f *Fold) ownedBy(epoch, nonce uint64) bool {
	return f.position.Epoch == epoch && f.position.Nonce == nonce && !f.position.Released
}

// Advance folds the payload at offset Next. The record is set only if the verdict is VerdictRecord.
func (f *Fold) Advance(payload []byte) (Verdict, Record) {
	offset := f.position.Next
	f.position.Next++
	entry, err := decodeEnvelope(payload)
	if err != nil {
		f.counts.Garbage++
		return VerdictGarbage, Record{}
	}
	verdict := f.evaluate(&entry)
	f.count(verdict)
	if verdict != VerdictRecord {
		return verdict, Record{}
	}
	record := Record{
		Offset:   offset,
		Epoch:    entry.Epoch,
		Sequence: entry.Sequence,
		Kind:     entry.Kind,
		Body:     entry.Body,
	}
	return verdict, record
}

// evaluate returns the verdict on an entry and applies its effect to the position.
func (f *Fold) evaluate(entry *envelope) Verdict {
	switch entryType(entry.Type) {
	case typeClaim:
		return f.claim(entry)
	case typeRelease:
		return f.release(entry)
	default:
		return f.record(entry)
	}
}

func (f *Fold) claim(entry *envelope) Verdict {
	if entry.Epoch != f.position.Epoch+1 && !f.mutations.Has(mutation.NoEpochCheck) {
		return VerdictSuperseded
	}
	f.position = position{
		Next:        f.position.Next,
		Epoch:       entry.Epoch,
		Nonce:       entry.Nonce,
		Node:        entry.Node,
		Incarnation: entry.Incarnation,
		PeerAddress: entry.PeerAddress,
	}
	return VerdictClaim
}

func (f *Fold) release(entry *envelope) Verdict {
	if !f.isCurrent(entry) {
		return VerdictSuperseded
	}
	f.position.Released = true
	return VerdictRelease
}

func (f *Fold) record(entry *envelope) Verdict {
	if !f.isCurrent(entry) {
		return VerdictSuperseded
	}
	if entry.Epoch != f.position.Epoch {
		return VerdictRecord // reached only if a mutation disables the epoch check
	}
	expected := f.position.LastSequence + 1
	if f.mutations.Has(mutation.NoSequenceCheck) {
		f.position.LastSequence = max(f.position.LastSequence, entry.Sequence)
		return VerdictRecord
	}
	if entry.Sequence < expected {
		return VerdictRepeat
	}
	if entry.Sequence > expected {
		return VerdictGap
	}
	f.position.LastSequence = entry.Sequence
	return VerdictRecord
}

// isCurrent reports whether an entry belongs to the current epoch. Epoch 0 has no owner.
func (f *Fold) isCurrent(entry *envelope) bool {
	if f.mutations.Has(mutation.NoEpochCheck) {
		return entry.Epoch > 0
	}
	return entry.Epoch > 0 && entry.Epoch == f.position.Epoch && !f.position.Released
}

func (f *Fold) count(verdict Verdict) {
	switch verdict {
	case VerdictClaim, VerdictRelease, VerdictRecord:
		f.counts.Valid++
	case VerdictSuperseded:
		f.counts.Superseded++
	case VerdictRepeat:
		f.counts.Repeats++
	case VerdictGap:
		f.counts.Gaps++
	}
}
