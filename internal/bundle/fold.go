package bundle

import (
	"fmt"
)

// Limits on the proposals that a Fold keeps.
const (
	// MaxEndedProposals limits the ended proposals that are kept.
	MaxEndedProposals = 256
	// MaxEndedDocuments limits the ended proposals that are kept with their documents.
	MaxEndedDocuments = 64
	// MaxEndedDocumentBytes limits the total size of those documents.
	MaxEndedDocumentBytes = 1 << 20
	// MaxOpenProposals limits the proposals that wait for sign-offs. Beyond it, the one with the fewest signatures is
	// ended, the oldest of several.
	MaxOpenProposals = 64
)

// Fold is the state that results from applying the records of the bundle stream in order. It depends only on the
// records, their offsets and the initial trusted keys, so all nodes that have read up to the same offset have the same
// state. It is not safe for concurrent use.
//
// A proposal is accepted at the offset where every required partner has signed it and its base is still the version in
// force. The version in force increases by one with each acceptance and never decreases.
type Fold struct {
	trusted TrustedKeys
	// proposals maps digests to proposals; order lists the digests by offset.
	proposals map[string]*proposalState
	order     []string
	inForce   *Accepted
	links     []linkState
	skipped   uint64
}

// NewFold returns a Fold without a bundle in force. trusted maps the partners that must sign the first bundle to their
// keys.
func NewFold(trusted TrustedKeys) *Fold {
	return &Fold{trusted: trusted, proposals: map[string]*proposalState{}}
}

// Apply folds the payload at an offset. Each offset must be applied once and in order. Payloads that cannot be decoded
// are counted and change nothing else.
func (f *Fold) Apply(offset int64, payload []byte) []Event {
	if len(payload) > maxRecordBytes {
		return f.skipUndecodable(offset, "record is too large")
	}
	record, err := decodeEnvelope(payload)
	if err != nil {
		return f.skipUndecodable(offset, err.Error())
	}
	switch record.Kind {
	case kindProposal:
		var proposal Proposal
		if rest, err := proposal.UnmarshalMsg(record.Body); err != nil || len(rest) != 0 {
			return f.skipUndecodable(offset, "proposal cannot be decoded")
		}
		return f.applyProposal(offset, proposal)
	case kindSignOff:
		var signOff SignOff
		if rest, err := signOff.UnmarshalMsg(record.Body); err != nil || len(rest) != 0 {
			return f.skipUndecodable(offset, "sign-off cannot be decoded")
		}
		return f.applySignOff(offset, signOff)
	default:
		return f.skipUndecodable(offset, fmt.Sprintf("record is of unknown kind %d", record.Kind))
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

// Skipped returns the number of payloads that could not be decoded.
func (f *Fold) Skipped() uint64 {
	return f.skipped
}

// Status returns the status of a proposal, and false if the proposal is unknown or no longer kept.
func (f *Fold) Status(digest string) (Status, bool) {
	proposal, found := f.proposals[digest]
	if !found {
		return Status{}, false
	}
	return proposal.status(), true
}

func (f *Fold) skipUndecodable(offset int64, reason string) []Event {
	f.skipped++
	return skip(offset, reason)
}

func skip(offset int64, reason string) []Event {
	return []Event{{Kind: EventSkipped, Offset: offset, Reason: reason}}
}

// keysInForce returns the partners' keys of the bundle in force, or the trusted keys before the first bundle.
func (f *Fold) keysInForce() TrustedKeys {
	if f.inForce == nil {
		return f.trusted
	}
	return keysOf(&f.inForce.Bundle)
}

func (f *Fold) applyProposal(offset int64, record Proposal) []Event {
	decoded, err := DecodeCanonical(record.Canonical)
	if err != nil {
		return f.skipUndecodable(offset, err.Error())
	}
	digest := Digest(record.Canonical)
	existing := f.proposals[digest]
	if existing != nil && (existing.State != StateConflicted || existing.Base != f.Version()) {
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
	return append(events, f.limitOpen(offset)...)
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
	case !proposal.isMissing(record.Partner):
		return skip(offset, "sign-off of this partner is not missing")
	}
	if !f.signatureValid(proposal, record) {
		return skip(offset, "signature does not verify")
	}
	proposal.addSignature(record.Partner, record.Signature)
	events := []Event{{Kind: EventSigned, Offset: offset, Status: proposal.status()}}
	if len(proposal.Missing) > 0 {
		return events
	}
	return append(events, f.accept(proposal, offset)...)
}

func (f *Fold) signatureValid(proposal *proposalState, record SignOff) bool {
	required, err := f.requiredFor(proposal)
	if err != nil {
		return false
	}
	return verifyAny(required[record.Partner], record.Digest, record.Version, record.Base, record.Signature)
}

// requiredFor returns the partners that must sign an open proposal, each with the keys that are valid for it.
func (f *Fold) requiredFor(proposal *proposalState) (TrustedKeys, error) {
	decoded, err := DecodeCanonical(proposal.Canonical)
	if err != nil {
		return nil, err
	}
	return requiredKeys(f.keysInForce(), keysOf(decoded)), nil
}

// accept puts a proposal in force and ends all other open proposals, because their base is the version that it
// supersedes.
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
	f.limitEnded()
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
	f.limitEnded()
	return event
}
