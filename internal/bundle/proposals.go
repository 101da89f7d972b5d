package bundle

import (
	"slices"
	"sort"
)

// status returns the status of the proposal as shown to operators.
func (p *proposalState) status() Status {
	status := Status{
		Digest:  p.Digest,
		Version: p.Version,
		Base:    p.Base,
		State:   p.State,
		Missing: slices.Clone(p.Missing),
		Reason:  p.Reason,
	}
	for _, signature := range p.Signatures {
		status.SignedBy = append(status.SignedBy, signature.Partner)
	}
	sort.Strings(status.SignedBy)
	return status
}

func (p *proposalState) isMissing(partner string) bool {
	return slices.Contains(p.Missing, partner)
}

// addSignature records a verified signature of a partner whose signature was missing.
func (p *proposalState) addSignature(partner string, signature []byte) {
	p.Signatures = append(p.Signatures, signatureState{Partner: partner, Signature: signature})
	p.Missing = slices.DeleteFunc(p.Missing, func(name string) bool { return name == partner })
}

func (p *proposalState) ended() bool {
	return p.State == StateConflicted || p.State == StateSuperseded
}

// insert adds a proposal as the newest, replacing one with the same digest.
func (f *Fold) insert(proposal *proposalState) {
	f.remove(proposal.Digest)
	f.proposals[proposal.Digest] = proposal
	f.order = append(f.order, proposal.Digest)
}

func (f *Fold) remove(digest string) {
	if _, found := f.proposals[digest]; !found {
		return
	}
	delete(f.proposals, digest)
	f.order = slices.DeleteFunc(f.order, func(other string) bool { return other == digest })
}

// limitOpen ends the open proposal with the fewest signatures, the oldest of several, if more than MaxOpenProposals are
// open.
func (f *Fold) limitOpen(offset int64) []Event {
	var evicted *proposalState
	open := 0
	for _, digest := range f.order {
		proposal := f.proposals[digest]
		if proposal.State != StateProposed {
			continue
		}
		open++
		if evicted == nil || len(proposal.Signatures) < len(evicted.Signatures) {
			evicted = proposal
		}
	}
	if open <= MaxOpenProposals {
		return nil
	}
	return []Event{f.conflict(evicted, offset, "too many proposals were open; propose it again")}
}

// limitEnded removes the oldest ended proposals beyond MaxEndedProposals, and the documents of those beyond
// MaxEndedDocuments or MaxEndedDocumentBytes.
func (f *Fold) limitEnded() {
	ended, bytes := 0, 0
	for i := len(f.order) - 1; i >= 0; i-- {
		proposal := f.proposals[f.order[i]]
		if !proposal.ended() {
			continue
		}
		ended++
		bytes += len(proposal.Canonical)
		if ended > MaxEndedDocuments || bytes > MaxEndedDocumentBytes {
			proposal.Canonical = nil
			proposal.Signatures = withoutBytes(proposal.Signatures)
		}
		if ended > MaxEndedProposals {
			f.remove(proposal.Digest)
		}
	}
}

// withoutBytes returns the signatures with only their partner names.
func withoutBytes(signatures []signatureState) []signatureState {
	kept := make([]signatureState, len(signatures))
	for i, signature := range signatures {
		kept[i].Partner = signature.Partner
	}
	return kept
}

// list returns up to size proposals with offsets below before, newest first, and the value of before for the next page,
// 0 at the end of the list.
func (f *Fold) list(before int64, size int) ([]Status, int64) {
	var page []Status
	for i := len(f.order) - 1; i >= 0; i-- {
		proposal := f.proposals[f.order[i]]
		if proposal.Offset >= before {
			continue
		}
		if len(page) == size {
			return page, f.proposals[f.order[i+1]].Offset
		}
		page = append(page, proposal.status())
	}
	return page, 0
}
