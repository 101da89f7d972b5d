package bundle

import (
	"reflect"
	"testing"
)

// FuzzDecode checks that Decode and DecodeCanonical both decode the canonical form to the original bundle.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add(Canonical(testBundle(1, 0.3, "ann")))
	f.Add([]byte("version: 1\nbase: 0\npartners: &a [*a]"))
	f.Fuzz(func(t *testing.T, document []byte) {
		decoded, err := Decode(document)
		if err != nil {
			return
		}
		canonical := Canonical(decoded)
		again, err := DecodeCanonical(canonical)
		if err != nil || !reflect.DeepEqual(again, decoded) {
			t.Fatalf("canonical form does not decode to the same bundle: %v", err)
		}
		if strict, err := Decode(canonical); err != nil || !reflect.DeepEqual(strict, decoded) {
			t.Fatalf("the two decoders do not agree: %v", err)
		}
	})
}

// FuzzRecords checks that a single record puts no bundle in force and that restored snapshots contain a proven one.
func FuzzRecords(f *testing.F) {
	b := testBundle(1, 0.3, "ann")
	for _, record := range acceptRecords(b, "ann") {
		f.Add(record)
	}
	fold := NewFold(testTrusted("ann"))
	apply(fold, 0, acceptRecords(b, "ann")...)
	snapshot, err := fold.snapshot(2)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, payload []byte) {
		fold := NewFold(testTrusted("ann"))
		fold.Apply(0, payload)
		if fold.Current() != nil {
			t.Fatal("one record put a bundle in force")
		}
		restored, _, err := openSnapshot(testTrusted("ann"), payload, 1000)
		if err != nil || restored.Current() == nil {
			return
		}
		if _, err := verifyChain(testTrusted("ann"), 0, chainOf(restored.links, restored.Current())); err != nil {
			t.Fatalf("snapshot with an unproven bundle was accepted: %v", err)
		}
	})
}
