package bundle

import (
	"fmt"
)

// Bounds of what a Fold keeps.
const (
	// MaxEndedProposals is how many proposals are kept after they ended.
	MaxEndedProposals = 256
	// MaxEndedDocuments is how many of those are kept with their documents.
	MaxEndedDocuments = 64
	// MaxEndedDocumentBytes bounds the sum of those documents.
	MaxEndedDocumentBytes = 1 << 20
	// MaxOpenProposals is how many proposals wait for sign-offs at once; the oldest with the fewest signatures gives way.
	MaxOpenProposals = 64
)

// Fold is the state that the records of the bundle stream add up to. It depends on nothing but the records, their
// offsets and the keys it starts with, so every node that has read as far holds the same. It is not safe for
// concurrent use.
//
// A proposal is accepted at the offset where every required partner has signed and its base is still the version in
// force. The version in force rises by one at each acceptance and never falls.
type Fold struct {
	trusted TrustedKeys
	// proposals by digest; order lists them by offset.
	proposals map[string]*proposalState
	order     []string
	inForce   *Accepted
	links     []linkState
	skipped   uint64
}

// NewFold starts with no bundle in force; trusted holds who signs the first.
func NewFold(trusted TrustedKeys) *Fold {
	return &Fold{trusted: trusted, proposals: map[string]*proposalState{}}
}

// Apply folds the payload at an offset. Offsets must be given once each and in order. Payloads that cannot be decoded
// are counted and change nothing.
func (f *Fold) Apply(offset int64, payload []byte) []Event {
	if len(payload) > maxRecordBytes {
		return f.garbage(offset, "record is too large")
	}
	record, err := decodeEnvelope(payload)
	if err != nil {
		return f.garbage(offset, err.Error())
	}
	switch record.Kind {
	case kindProposal:
		var proposal Proposal
		if rest, err := proposal.UnmarshalMsg(record.Body); err != nil || len(rest) != 0 {
			return f.garbage(offset, "proposal cannot be decoded")
		}
		return f.applyProposal(offset, proposal)
	case kindSignOff:
		var signOff SignOff
		if rest, err := signOff.UnmarshalMsg(record.Body); err != nil || len(rest) != 0 {
			return f.garbage(offset, "sign-off cannot be decoded")
		}
		return f.applySignOff(offset, signOff)
	default:
		return f.garbage(offset, fmt.Sprintf("record is of unknown kind %d", record.Kind))
	}
}

// Current returns the bundle in force, nil before the first.
func (f *Fold) Current() *Accepted {
	return f.inForce
}

// Version returns the version in force, 0 before the first.
func (f *Fold) Version() uint64 {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Bundle.Version
}

// Skipped counts the payloads that could not be decoded.
func (f *Fold) Skipped() uint64 {
	return f.skipped
}

// Status tells how a proposal stands; false where it is not known (any more).
func (f *Fold) Status(digest string) (Status, bool) {
	proposal, found := f.proposals[digest]
	if !found {
		return Status{}, false
	}
	return proposal.status(), true
}

func (f *Fold) garbage(offset int64, reason string) []Event {
	f.skipped++
	return skip(offset, reason)
}

func skip(offset int64, reason string) []Event {
	return []Event{{Kind: EventSkipped, Offset: offset, Reason: reason}}
}

// keysInForce are the keys that sign for the partners now.
func (f *Fold) keysInForce() TrustedKeys {
	if f.inForce == nil {
		return f.trusted
	}
	return keysOf(&f.inForce.Bundle)
}

func (f *Fold) applyProposal(offset int64, record Proposal) []Event {
	decoded, err := DecodeCanonical(record.Canonical)
	if err != nil {
		return f.garbage(offset, err.Error())
	}
	digest := Digest(record.Canonical)
	known := f.proposals[digest]
	if known != nil && (known.State != StateConflicted || known.Base != f.Version()) {
		return skip(offset, "proposal is a repeat")
	}
	proposal := &proposalState{
		Digest:    digest,
		Version:   decoded.Version,
		Base:      decoded.Base,
		Offset:    offset,
		State:     StateProposed,
		Canonical: record.Canonical,
	}
	f.insert(proposal)
	if proposal.Base != f.Version() {
		reason := fmt.Sprintf("base %d is not the version in force, %d", proposal.Base, f.Version())
		return []Event{f.conflict(proposal, offset, reason)}
	}
	proposal.Missing = partnersOf(requiredKeys(f.keysInForce(), keysOf(decoded)))
	events := []Event{{Kind: EventProposed, Offset: offset, Status: proposal.status()}}
	return append(events, f.boundOpen(offset)...)
}

func (f *Fold) applySignOff(offset int64, record SignOff) []Event {
	proposal := f.proposals[record.Digest]
	switch {
	case proposal == nil:
		return skip(offset, "sign-off is of an unknown proposal")
	case proposal.State != StateProposed:
		return skip(offset, "sign-off is of a proposal that has ended")
	case proposal.Version != record.Version || proposal.Base != record.Base:
		return skip(offset, "sign-off is of another version or base")
	case !proposal.misses(record.Partner):
		return skip(offset, "sign-off of this partner is not missing")
	}
	if !f.signatureCounts(proposal, record) {
		return skip(offset, "signature does not verify")
	}
	proposal.sign(record.Partner, record.Signature)
	events := []Event{{Kind: EventSigned, Offset: offset, Status: proposal.status()}}
	if len(proposal.Missing) > 0 {
		return events
	}
	return append(events, f.accept(proposal, offset)...)
}

func (f *Fold) signatureCounts(proposal *proposalState, record SignOff) bool {
	required, err := f.requiredFor(proposal)
	if err != nil {
		return false
	}
	return verifyAny(required[record.Partner], record.Digest, record.Version, record.Base, record.Signature)
}

// requiredFor returns who must sign an open proposal, with the keys that count.
func (f *Fold) requiredFor(proposal *proposalState) (TrustedKeys, error) {
	decoded, err := DecodeCanonical(proposal.Canonical)
	if err != nil {
		return nil, err
	}
	return requiredKeys(f.keysInForce(), keysOf(decoded)), nil
}

// accept puts a proposal in force and ends all others, whose base is the version that it supersedes.
func (f *Fold) accept(proposal *proposalState, offset int64) []Event {
	decoded, err := DecodeCanonical(proposal.Canonical)
	if err != nil {
		panic("an open proposal does not decode: " + err.Error())
	}
	keysBefore := f.keysInForce()
	if f.inForce != nil {
		if before := f.proposals[f.inForce.Digest]; before != nil {
			before.State = StateSuperseded
		}
	}
	proposal.State = StateInForce
	link := linkState{Canonical: proposal.Canonical, Signatures: proposal.Signatures}
	if f.inForce == nil || !sameKeys(keysBefore, keysOf(decoded)) {
		f.addLink(link)
	}
	f.inForce = newAccepted(decoded, link)
	events := []Event{{Kind: EventAccepted, Offset: offset, Status: proposal.status()}}
	reason := fmt.Sprintf("version %d was accepted as %s first", proposal.Version, proposal.Digest)
	for _, digest := range append([]string(nil), f.order...) {
		if other := f.proposals[digest]; other.State == StateProposed {
			events = append(events, f.conflict(other, offset, reason))
		}
	}
	f.boundEnded()
	return events
}

func (f *Fold) addLink(link linkState) {
	f.links = append(f.links, link)
	if excess := len(f.links) - maxLinks; excess > 0 {
		f.links = append([]linkState(nil), f.links[excess:]...)
	}
}

func (f *Fold) conflict(proposal *proposalState, offset int64, reason string) Event {
	proposal.State = StateConflicted
	proposal.Missing = nil
	proposal.Reason = reason
	event := Event{Kind: EventConflicted, Offset: offset, Status: proposal.status()}
	f.boundEnded()
	return event
}
