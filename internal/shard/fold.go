package shard

import "github.com/hillfork/hillfork/internal/mutation"

// Verdict is what the fold found an entry to be.
type Verdict uint8

// Verdicts. Only claims, releases and records of the first three kinds change anything.
const (
	// VerdictClaim is a valid claim: a new epoch began.
	VerdictClaim Verdict = iota + 1
	// VerdictRelease is a valid release: the epoch has no owner any more.
	VerdictRelease
	// VerdictRecord is a valid record.
	VerdictRecord
	// VerdictSuperseded is an entry of an epoch that is not, or no longer, the current one.
	VerdictSuperseded
	// VerdictRepeat is a record whose sequence number was folded before.
	VerdictRepeat
	// VerdictGap is a record whose predecessor is missing, which no correct owner writes.
	VerdictGap
	// VerdictGarbage is a payload that is no entry of a known format.
	VerdictGarbage
)

// FoldCounts counts the entries that a fold has seen, by verdict.
type FoldCounts struct {
	Valid      uint64
	Superseded uint64
	Repeats    uint64
	Gaps       uint64
	Garbage    uint64
}

// Fold decides which entries of a stream are valid. It is a pure function of the entries: every reader of a stream
// reaches the same verdicts. The zero Fold stands at offset 0 of a stream that nobody owns.
type Fold struct {
	position  position
	counts    FoldCounts
	mutations mutation.Set
}

// Next is the offset of the entry to be folded next.
func (f *Fold) Next() int64 { return f.position.Next }

// Epoch is the current epoch; 0 before the first claim.
func (f *Fold) Epoch() uint64 { return f.position.Epoch }

// LastSequence is the sequence number of the last valid record of the current epoch.
func (f *Fold) LastSequence() uint64 { return f.position.LastSequence }

// Counts tells how many entries this fold has seen. Entries covered by a snapshot are not among them.
func (f *Fold) Counts() FoldCounts { return f.counts }

// Owner returns who claimed the current epoch; false when nobody did or it was released.
func (f *Fold) Owner() (Identity, bool) {
	identity := Identity{
		Node:        f.position.Node,
		Incarnation: f.position.Incarnation,
		PeerAddress: f.position.PeerAddress,
	}
	owned := f.position.Epoch > 0 && !f.position.Released
	return identity, owned
}

// ownedBy tells whether the claim with this nonce opened the current epoch and still holds it.
func (f *Fold) ownedBy(epoch, nonce uint64) bool {
	return f.position.Epoch == epoch && f.position.Nonce == nonce && !f.position.Released
}

// Advance folds the payload at offset Next. The record is set only where the verdict is VerdictRecord.
func (f *Fold) Advance(payload []byte) (Verdict, Record) {
	offset := f.position.Next
	f.position.Next++
	entry, err := decodeEnvelope(payload)
	if err != nil {
		f.counts.Garbage++
		return VerdictGarbage, Record{}
	}
	verdict := f.judge(&entry)
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

// judge decides on an entry and takes its effect over into the position.
func (f *Fold) judge(entry *envelope) Verdict {
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
	if !f.current(entry) {
		return VerdictSuperseded
	}
	f.position.Released = true
	return VerdictRelease
}

func (f *Fold) record(entry *envelope) Verdict {
	if !f.current(entry) {
		return VerdictSuperseded
	}
	if entry.Epoch != f.position.Epoch {
		return VerdictRecord // only where the check of epochs is switched off
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

// current tells whether an entry is of the epoch in force. Epoch 0 is nobody's.
func (f *Fold) current(entry *envelope) bool {
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
