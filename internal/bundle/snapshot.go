package bundle

import (
	"github.com/samber/oops"
)

// snapshot encodes the fold of all records below next.
func (f *Fold) snapshot(next int64) ([]byte, error) {
	state := snapshotState{NextOffset: next, Skipped: f.skipped, Links: f.links}
	for _, digest := range f.order {
		state.Proposals = append(state.Proposals, *f.proposals[digest])
	}
	if f.inForce != nil {
		state.InForce = f.inForce.Digest
	}
	return encodeRecord(kindSnapshot, &state)
}

func decodeSnapshot(payload []byte) (*snapshotState, error) {
	record, err := decodeEnvelope(payload)
	if err != nil {
		return nil, err
	}
	if record.Kind != kindSnapshot {
		return nil, oops.Errorf("record is of kind %d, not a snapshot", record.Kind)
	}
	state := &snapshotState{}
	if rest, err := state.UnmarshalMsg(record.Body); err != nil || len(rest) != 0 {
		return nil, oops.Errorf("snapshot cannot be decoded: %v", err)
	}
	if state.NextOffset < 0 {
		return nil, oops.Errorf("snapshot is of offset %d", state.NextOffset)
	}
	return state, nil
}

// restoreFold rebuilds a fold from a snapshot. Snapshots are not signed, so their signatures are verified again: those
// of the bundle in force, along the chain from the trusted keys, and those of every open proposal.
func restoreFold(trusted TrustedKeys, state *snapshotState) (*Fold, error) {
	fold := NewFold(trusted)
	fold.skipped = state.Skipped
	for i := range state.Proposals {
		proposal := state.Proposals[i]
		if fold.proposals[proposal.Digest] != nil {
			return nil, oops.Errorf("snapshot holds proposal %s twice", proposal.Digest)
		}
		fold.insert(&proposal)
	}
	if err := fold.restoreInForce(state); err != nil {
		return nil, err
	}
	for _, proposal := range fold.proposals {
		if err := fold.checkRestored(proposal); err != nil {
			return nil, err
		}
	}
	return fold, nil
}

func (f *Fold) restoreInForce(state *snapshotState) error {
	if state.InForce == "" {
		return nil
	}
	proposal := f.proposals[state.InForce]
	if proposal == nil {
		return oops.Errorf("snapshot lacks the bundle in force")
	}
	decoded, err := DecodeCanonical(proposal.Canonical)
	if err != nil {
		return err
	}
	claimed := newAccepted(decoded, linkState{Canonical: proposal.Canonical, Signatures: proposal.Signatures})
	if claimed.Digest != proposal.Digest || decoded.Version != proposal.Version || decoded.Base != proposal.Base {
		return oops.Errorf("snapshot has a bundle in force that contradicts itself")
	}
	f.inForce, err = verifyChain(f.trusted, 0, chainOf(state.Links, claimed))
	f.links = state.Links
	return err
}

// checkRestored returns an error for a proposal whose state is not possible in a fold.
func (f *Fold) checkRestored(proposal *proposalState) error {
	isInForce := f.inForce != nil && f.inForce.Digest == proposal.Digest
	switch proposal.State {
	case StateInForce, StateSuperseded, StateConflicted:
		if isInForce != (proposal.State == StateInForce) {
			return oops.Errorf("snapshot has the wrong bundle in force")
		}
		return nil
	case StateProposed:
		return f.checkRestoredOpen(proposal)
	default:
		return oops.Errorf("snapshot has a proposal in state %d", proposal.State)
	}
}

// checkRestoredOpen checks an open proposal against its document and verifies its signatures.
func (f *Fold) checkRestoredOpen(proposal *proposalState) error {
	decoded, err := DecodeCanonical(proposal.Canonical)
	if err != nil {
		return err
	}
	same := Digest(proposal.Canonical) == proposal.Digest && decoded.Version == proposal.Version && decoded.Base == proposal.Base
	if !same || proposal.Base != f.Version() {
		return oops.Errorf("snapshot has an open proposal that contradicts itself")
	}
	required := requiredKeys(f.keysInForce(), keysOf(decoded))
	signed := proposal.Signatures
	proposal.Signatures = nil
	proposal.Missing = partnersOf(required)
	for _, signature := range signed {
		valid := verifyAny(required[signature.Partner], proposal.Digest, proposal.Version, proposal.Base, signature.Signature)
		if !valid || !proposal.isMissing(signature.Partner) {
			return oops.Errorf("snapshot has a signature that does not verify")
		}
		proposal.addSignature(signature.Partner, signature.Signature)
	}
	if len(proposal.Missing) == 0 && len(required) > 0 {
		return oops.Errorf("snapshot has an open proposal that every partner signed")
	}
	return nil
}
