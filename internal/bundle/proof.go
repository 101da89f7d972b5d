package bundle

import (
	"errors"
	"sort"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/samber/oops"
)

// ErrUnproven is returned for a bundle whose signatures do not prove that every required partner accepted it.
var ErrUnproven = errors.New("bundle is not proven to be accepted")

// maxLinks limits the chain of bundles that changed partners or keys. Nodes whose settings contain keys older than the
// whole chain cannot verify it.
const maxLinks = 256

// requiredKeys returns the partners that must sign a proposal, each with the keys that are valid for it: every partner
// of the bundle in force with its keys there, and every partner that the proposal adds with its keys in the proposal.
// Without a partner in force no proposal can be accepted, and the result is empty.
func requiredKeys(inForce, proposed TrustedKeys) TrustedKeys {
	required := TrustedKeys{}
	if len(inForce) == 0 {
		return required
	}
	for partner, keys := range proposed {
		required[partner] = keys
	}
	for partner, keys := range inForce {
		required[partner] = keys
	}
	return required
}

// partnersOf returns the partners sorted by name.
func partnersOf(keys TrustedKeys) []string {
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// sameKeys reports whether both contain the same partners with the same keys. The order of a partner's keys does not
// matter.
func sameKeys(a, b TrustedKeys) bool {
	if len(a) != len(b) {
		return false
	}
	for partner, keys := range a {
		others, found := b[partner]
		if !found || len(keys) != len(others) {
			return false
		}
		for _, key := range keys {
			if !containsKey(others, key) {
				return false
			}
		}
	}
	return true
}

// verifyLink checks that every required partner has signed the bundle, and returns the bundle.
func verifyLink(inForce TrustedKeys, link linkState) (*Accepted, error) {
	decoded, err := DecodeCanonical(link.Canonical)
	if err != nil {
		return nil, err
	}
	accepted := newAccepted(decoded, link)
	required := requiredKeys(inForce, keysOf(decoded))
	if len(required) == 0 {
		return nil, oops.Wrapf(ErrUnproven, "no keys are known")
	}
	for _, partner := range partnersOf(required) {
		if !signedBy(accepted, partner, required) {
			return nil, oops.With("partner", partner).Wrapf(ErrUnproven, "no valid signature of partner %q", partner)
		}
	}
	return accepted, nil
}

func signedBy(accepted *Accepted, partner string, required TrustedKeys) bool {
	for _, signature := range accepted.Signatures {
		if signature.Partner != partner {
			continue
		}
		if verifyAny(required[partner], accepted.Digest, accepted.Bundle.Version, accepted.Bundle.Base, signature.Signature) {
			return true
		}
	}
	return false
}

func newAccepted(decoded *Bundle, link linkState) *Accepted {
	accepted := &Accepted{Bundle: *decoded, Digest: Digest(link.Canonical), Canonical: link.Canonical}
	for _, signature := range link.Signatures {
		accepted.Signatures = append(accepted.Signatures, Signature(signature))
	}
	return accepted
}

// verifyChain verifies a chain of accepted bundles, oldest first, each signed with the keys of the one before, and
// returns the last. known contains the keys in force at version. Version 0 means that known comes from the settings,
// which may match any position in the chain.
func verifyChain(known TrustedKeys, version uint64, chain []linkState) (*Accepted, error) {
	start, accepted, err := chainStart(known, version, chain)
	if err != nil {
		return nil, err
	}
	for _, link := range chain[start+1:] {
		next, err := verifyLink(keysOf(&accepted.Bundle), link)
		if err != nil {
			return nil, err
		}
		if next.Bundle.Version <= accepted.Bundle.Version {
			return nil, oops.Wrapf(ErrUnproven, "versions of the chain do not rise")
		}
		accepted = next
	}
	return accepted, nil
}

// chainStart finds the first bundle of the chain that is newer than version and proven by the known keys.
func chainStart(known TrustedKeys, version uint64, chain []linkState) (int, *Accepted, error) {
	var failure error
	for i, link := range chain {
		accepted, err := verifyLink(known, link)
		if err == nil && accepted.Bundle.Version > version {
			return i, accepted, nil
		}
		failure = errors.Join(failure, err)
	}
	if failure == nil {
		failure = oops.Wrapf(ErrUnproven, "no bundle of the chain is newer")
	}
	return 0, nil, failure
}

// chainOf returns the chain that proves accepted: the bundles that changed partners or keys, followed by accepted
// itself.
func chainOf(links []linkState, accepted *Accepted) []linkState {
	chain := append([]linkState(nil), links...)
	last := len(chain) - 1
	if last >= 0 && Digest(chain[last].Canonical) == accepted.Digest {
		return chain
	}
	return append(chain, linkOf(accepted))
}

func linkOf(accepted *Accepted) linkState {
	link := linkState{Canonical: accepted.Canonical}
	for _, signature := range accepted.Signatures {
		link.Signatures = append(link.Signatures, signatureState(signature))
	}
	return link
}

// proofOf converts a chain to the peer protocol.
func proofOf(chain []linkState) peerapi.BundleProof {
	last := len(chain) - 1
	proof := peerapi.BundleProof{Canonical: chain[last].Canonical, Signatures: wireSignatures(chain[last])}
	for _, link := range chain[:last] {
		proof.Links = append(proof.Links, peerapi.BundleLink{Canonical: link.Canonical, Signatures: wireSignatures(link)})
	}
	return proof
}

// chainFrom converts a chain from the peer protocol.
func chainFrom(proof peerapi.BundleProof) []linkState {
	var chain []linkState
	for _, link := range proof.Links {
		chain = append(chain, linkState{Canonical: link.Canonical, Signatures: foldSignatures(link.Signatures)})
	}
	return append(chain, linkState{Canonical: proof.Canonical, Signatures: foldSignatures(proof.Signatures)})
}

func wireSignatures(link linkState) []peerapi.BundleSignature {
	var list []peerapi.BundleSignature
	for _, signature := range link.Signatures {
		list = append(list, peerapi.BundleSignature(signature))
	}
	return list
}

func foldSignatures(list []peerapi.BundleSignature) []signatureState {
	var signatures []signatureState
	for _, signature := range list {
		signatures = append(signatures, signatureState(signature))
	}
	return signatures
}
