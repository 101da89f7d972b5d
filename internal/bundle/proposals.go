package bundle

import (
	"slices"
	"sort"
)

// status copies what operators see of a proposal.
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

func (p *proposalState) misses(partner string) bool {
	return slices.Contains(p.Missing, partner)
}

// sign records a verified signature of a partner that was missing.
func (p *proposalState) sign(partner string, signature []byte) {
	p.Signatures = append(p.Signatures, signatureState{Partner: partner, Signature: signature})
	p.Missing = slices.DeleteFunc(p.Missing, func(name string) bool { return name == partner })
}

func (p *proposalState) ended() bool {
	return p.State == StateConflicted || p.State == StateSuperseded
}

// insert adds a proposal as the newest.
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

// boundOpen ends the open proposal with the fewest signatures, the oldest of those, when there are too many.
func (f *Fold) boundOpen(offset int64) []Event {
	var weakest *proposalState
	open := 0
	for _, digest := range f.order {
		proposal := f.proposals[digest]
		if proposal.State != StateProposed {
			continue
		}
		open++
		if weakest == nil || len(proposal.Signatures) < len(weakest.Signatures) {
			weakest = proposal
		}
	}
	if open <= MaxOpenProposals {
		return nil
	}
	return []Event{f.conflict(weakest, offset, "too many proposals were open; propose it again")}
}

// boundEnded forgets the oldest ended proposals beyond MaxEndedProposals, and the documents of those beyond
// MaxEndedDocuments or MaxEndedDocumentBytes.
func (f *Fold) boundEnded() {
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

// withoutBytes keeps who signed.
func withoutBytes(signatures []signatureState) []signatureState {
	kept := make([]signatureState, len(signatures))
	for i, signature := range signatures {
		kept[i].Partner = signature.Partner
	}
	return kept
}

// list returns up to size proposals older than the offset before, newest first, and the offset to go on before; 0 at
// the end of the list.
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
