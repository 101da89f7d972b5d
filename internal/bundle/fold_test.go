package bundle

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// withKey replaces the keys of a partner by the test key of the given name.
func withKey(b *Bundle, partner, key string) *Bundle {
	for i := range b.Partners {
		if b.Partners[i].Name == partner {
			b.Partners[i].Keys = []string{FormatPublicKey(testPublic(key))}
		}
	}
	return b
}

// The partners in force must sign with their keys in force, also when the proposal removes them or rotates their keys.
// Partners that the proposal adds must sign with their keys in the proposal.
func TestFoldRequiresCurrentAndAddedPartners(t *testing.T) {
	first := testBundle(1, 0.1, "ann", "bob")
	start := acceptRecords(first, "ann", "bob")
	added := testBundle(2, 0.2, "ann", "bob", "eve")
	removed := testBundle(2, 0.2, "ann")
	rotated := withKey(testBundle(2, 0.2, "ann", "bob"), "bob", "bob's new")
	for _, test := range []struct {
		name    string
		next    *Bundle
		signers [][2]string // partner and key
		want    State
		missing []string
	}{
		{"all sign", testBundle(2, 0.2, "ann", "bob"), [][2]string{{"ann", "ann"}, {"bob", "bob"}}, StateInForce, nil},
		{"one is missing", testBundle(2, 0.2, "ann", "bob"), [][2]string{{"ann", "ann"}, {"ann", "ann"}}, StateProposed, []string{"bob"}},
		{"key of another", testBundle(2, 0.2, "ann", "bob"), [][2]string{{"ann", "ann"}, {"bob", "ann"}}, StateProposed, []string{"bob"}},
		{"added partner", added, [][2]string{{"ann", "ann"}, {"bob", "bob"}}, StateProposed, []string{"eve"}},
		{"added partner signs", added, [][2]string{{"ann", "ann"}, {"bob", "bob"}, {"eve", "eve"}}, StateInForce, nil},
		{"removed partner", removed, [][2]string{{"ann", "ann"}}, StateProposed, []string{"bob"}},
		{"removed partner signs", removed, [][2]string{{"ann", "ann"}, {"bob", "bob"}}, StateInForce, nil},
		{"rotation by the new key", rotated, [][2]string{{"ann", "ann"}, {"bob", "bob's new"}}, StateProposed, []string{"bob"}},
		{"rotation by the old key", rotated, [][2]string{{"ann", "ann"}, {"bob", "bob"}}, StateInForce, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fold := NewFold(testTrusted("ann", "bob"))
			next := apply(fold, 0, start...)
			is.Equal(fold.Version(), uint64(1))
			next = apply(fold, next, proposalRecord(test.next))
			for _, signer := range test.signers {
				next = apply(fold, next, signOffRecord(test.next, signer[0], signer[1]))
			}
			status, found := fold.Status(digestOf(test.next))
			is.True(found)
			is.Equal(status.State, test.want)
			is.Equal(len(status.Missing), len(test.missing))
			is.True(slices.Equal(status.Missing, test.missing))
		})
	}
}

func TestFirstBundleRequiresTrustedKeys(t *testing.T) {
	is := is.New(t)
	for _, trusted := range []TrustedKeys{nil, testTrusted("ann", "bob")} {
		fold := NewFold(trusted)
		apply(fold, 0, acceptRecords(testBundle(1, 0.1, "eve"), "eve")...)
		is.True(fold.Current() == nil)
	}
}

func TestFirstCompleteProposalWins(t *testing.T) {
	is := is.New(t)
	fold := NewFold(testTrusted("ann", "bob"))
	slow, fast, early := testBundle(1, 0.1, "ann", "bob"), testBundle(1, 0.2, "ann", "bob"), testBundle(2, 0.3, "ann", "bob")
	next := apply(fold, 0, proposalRecord(early), proposalRecord(slow), signOffRecord(slow, "ann", "ann"), proposalRecord(fast),
		signOffRecord(fast, "bob", "bob"), signOffRecord(fast, "ann", "ann"), signOffRecord(slow, "bob", "bob"))
	is.Equal(fold.Current().Digest, digestOf(fast))
	for _, loser := range []*Bundle{slow, early} {
		status, _ := fold.Status(digestOf(loser))
		is.Equal(status.State, StateConflicted)
		is.True(status.Reason != "")
	}
	next = apply(fold, next, acceptRecords(early, "ann", "bob")...) // its base is now in force
	is.Equal(fold.Current().Digest, digestOf(early))
	apply(fold, next, acceptRecords(fast, "ann", "bob")...) // was already in force
	is.Equal(fold.Version(), uint64(2))
	status, _ := fold.Status(digestOf(fast))
	is.Equal(status.State, StateSuperseded)
	stale := testBundle(1, 0.4, "ann", "bob")
	apply(fold, next, acceptRecords(stale, "ann", "bob")...)
	is.Equal(fold.Current().Digest, digestOf(early)) // has all signatures, but a base that is no longer in force
	status, _ = fold.Status(digestOf(stale))
	is.Equal(status.State, StateConflicted)
}

func TestFoldLimitsKeptProposals(t *testing.T) {
	is := is.New(t)
	fold := NewFold(testTrusted("ann"))
	next := int64(0)
	signed := testBundle(1, 0.5, "ann", "bob")
	next = apply(fold, next, proposalRecord(signed), signOffRecord(signed, "ann", "ann"))
	for i := range MaxEndedProposals + 2*MaxOpenProposals {
		next = apply(fold, next, proposalRecord(testBundle(1, float64(i)/1000, "ann")))
	}
	is.Equal(len(fold.proposals), MaxEndedProposals+MaxOpenProposals)
	is.Equal(len(fold.order), len(fold.proposals))
	apply(fold, next, signOffRecord(signed, "bob", "bob"))
	is.Equal(fold.Current().Digest, digestOf(signed)) // a signed proposal is not evicted before unsigned ones
	is.Equal(len(fold.proposals), MaxEndedProposals+1)
	documents := 0
	for _, proposal := range fold.proposals {
		if proposal.Canonical != nil {
			documents++
		}
	}
	is.Equal(documents, MaxEndedDocuments+1)
}

// drawRecords returns records of a bundle with a version near the one in force: the proposal, a single sign-off that
// may be invalid, or all records that are needed to accept it.
func drawRecords(t *rapid.T, version uint64) [][]byte {
	partners := rapid.SampledFrom([][]string{{"ann"}, {"ann", "bob"}, {"ann", "bob", "eve"}}).Draw(t, "partners")
	target := max(1, version+rapid.Uint64Range(0, 2).Draw(t, "version"))
	b := testBundle(target, rapid.SampledFrom([]float64{0.1, 0.2}).Draw(t, "share"), partners...)
	if rapid.IntRange(0, 4).Draw(t, "rotated") == 0 {
		withKey(b, "ann", "ann's new")
	}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return [][]byte{proposalRecord(b)}
	case 1:
		return append(acceptRecords(b, "ann", "bob", "eve"), signOffRecord(b, "ann", "ann's new"))
	default:
		signer := rapid.SampledFrom([][2]string{{"ann", "ann"}, {"ann", "ann's new"}, {"bob", "bob"}, {"eve", "eve"}, {"bob", "eve"}})
		signed := signer.Draw(t, "signer")
		return [][]byte{signOffRecord(b, signed[0], signed[1])}
	}
}

// encoded returns the encoded state of a fold, without the offsets and the count of skipped records.
func encoded(t *rapid.T, fold *Fold) []byte {
	copied := *fold
	copied.skipped = 0
	copied.proposals = map[string]*proposalState{}
	for digest, proposal := range fold.proposals {
		state := *proposal
		state.Offset = 0
		copied.proposals[digest] = &state
	}
	payload, err := copied.snapshot(0)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// Garbage, repeated records and restarts from a snapshot must not change the state of a fold.
func TestFoldProperties(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		trusted := testTrusted("ann", "bob")
		plain, noisy, restored := NewFold(trusted), NewFold(trusted), NewFold(trusted)
		offset, noise := int64(0), int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "draws") {
			for _, record := range drawRecords(t, plain.Version()) {
				before := plain.Version()
				plain.Apply(offset, record)
				restored.Apply(offset, record)
				offset++
				noise = apply(noisy, noise, record)
				noise = apply(noisy, noise, rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage"), record)
				checkStep(t, plain, before)
				accepted += int(plain.Version() - before)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restored = restart(t, restored, trusted, offset)
			}
		}
		if !bytes.Equal(encoded(t, plain), encoded(t, noisy)) {
			t.Fatal("garbage or repeats changed the state")
		}
		if !bytes.Equal(encoded(t, plain), encoded(t, restored)) {
			t.Fatal("a snapshot changed the state")
		}
	})
	if accepted == 0 {
		t.Fatal("no bundle was accepted; the property was not exercised")
	}
}

// checkStep checks the invariants of a fold after each record.
func checkStep(t *rapid.T, fold *Fold, before uint64) {
	if fold.Version() < before || fold.Version() > before+1 {
		t.Fatalf("version went from %d to %d", before, fold.Version())
	}
	for _, proposal := range fold.proposals {
		isInForce := fold.Current() != nil && fold.Current().Digest == proposal.Digest
		if isInForce != (proposal.State == StateInForce) {
			t.Fatalf("proposal %s is %v", proposal.Digest, proposal.State)
		}
		if proposal.State == StateProposed && proposal.Base != fold.Version() {
			t.Fatalf("proposal %s is open on base %d under version %d", proposal.Digest, proposal.Base, fold.Version())
		}
	}
}

// restart returns a fold that is restored from a snapshot of the given one.
func restart(t *rapid.T, fold *Fold, trusted TrustedKeys, next int64) *Fold {
	payload, err := fold.snapshot(next)
	if err != nil {
		t.Fatal(err)
	}
	restored, reached, err := openSnapshot(trusted, payload, next)
	if err != nil || reached != next {
		t.Fatalf("snapshot at %d: reached %d, %v", next, reached, err)
	}
	return restored
}

func TestFoldKeepsLinkForEachKeyChange(t *testing.T) {
	is := is.New(t)
	fold := NewFold(testTrusted("ann"))
	next := int64(0)
	for version := uint64(1); version <= 6; version++ {
		key := fmt.Sprintf("key %d", version/3)
		signer := fmt.Sprintf("key %d", max(1, version-1)/3)
		if version == 1 {
			signer = "ann"
		}
		b := withKey(testBundle(version, 0.1, "ann"), "ann", key)
		next = apply(fold, next, proposalRecord(b), signOffRecord(b, "ann", signer))
		is.Equal(fold.Version(), version)
	}
	is.Equal(len(fold.links), 3) // versions 1, 3 and 6
	_, err := verifyChain(testTrusted("ann"), 0, chainOf(fold.links, fold.Current()))
	is.NoErr(err)
	late := TrustedKeys{"ann": {testPublic("key 1")}}
	accepted, err := verifyChain(late, 0, chainOf(fold.links, fold.Current()))
	is.NoErr(err) // later trusted keys verify the rest of the chain
	is.Equal(accepted.Bundle.Version, uint64(6))
	_, err = verifyChain(testTrusted("eve"), 0, chainOf(fold.links, fold.Current()))
	is.True(errors.Is(err, ErrUnproven))
}

func TestVerifyChainRequiresIncreasingVersions(t *testing.T) {
	is := is.New(t)
	var links []linkState
	fold := NewFold(testTrusted("ann"))
	for version := uint64(1); version <= 2; version++ {
		apply(fold, int64(2*version), acceptRecords(testBundle(version, 0.1, "ann"), "ann")...)
		links = append(links, linkOf(fold.Current()))
	}
	_, err := verifyChain(testTrusted("ann"), 0, []linkState{links[1], links[0]})
	is.True(errors.Is(err, ErrUnproven))
	_, err = verifyChain(testTrusted("ann"), 2, links)
	is.True(errors.Is(err, ErrUnproven)) // no bundle of the chain is newer
}

// Snapshots are not signed. A snapshot with forged or inconsistent content must be rejected.
func TestOpenSnapshotRejectsInvalidContent(t *testing.T) {
	first, open := testBundle(1, 0.1, "ann", "bob"), testBundle(2, 0.2, "ann", "bob")
	fold := NewFold(testTrusted("ann", "bob"))
	next := apply(fold, 0, acceptRecords(first, "ann", "bob")...)
	next = apply(fold, next, proposalRecord(open), signOffRecord(open, "ann", "ann"))
	payload, err := fold.snapshot(next)
	if err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*snapshotState){
		"forged signature":      func(s *snapshotState) { s.Proposals[1].Signatures[0].Signature = signOff(open, "ann", "eve").Signature },
		"signature of another":  func(s *snapshotState) { s.Proposals[1].Signatures[0].Partner = "bob" },
		"bundle without proof":  func(s *snapshotState) { s.Links[0].Signatures = s.Links[0].Signatures[:1] },
		"another in force":      func(s *snapshotState) { s.InForce = s.Proposals[1].Digest },
		"none in force":         func(s *snapshotState) { s.InForce = "" },
		"open on another base":  func(s *snapshotState) { s.Proposals[1].Base = 0 },
		"proposal given twice":  func(s *snapshotState) { s.Proposals = append(s.Proposals, s.Proposals[0]) },
		"unknown state":         func(s *snapshotState) { s.Proposals[1].State = 9 },
		"offset after the tail": func(s *snapshotState) { s.NextOffset = next + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state, err := decodeSnapshot(payload)
			is.NoErr(err)
			corrupt(state)
			_, _, err = openSnapshot(testTrusted("ann", "bob"), mustRecord(kindSnapshot, state), next)
			is.True(err != nil)
		})
	}
	if _, _, err := openSnapshot(testTrusted("ann", "bob"), payload, next); err != nil {
		t.Fatal(err)
	}
}
