package shard

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// entryOf encodes an entry.
func entryOf(t testing.TB, kind entryType, epoch, sequence uint64) []byte {
	entry := envelope{Type: uint8(kind), Epoch: epoch, Sequence: sequence, Nonce: epoch * 100, Body: []byte("body")}
	payload, err := entry.encode()
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// TestFoldVerdicts checks the verdict on each entry of a stream with superseded, repeated, missing and malformed
// entries.
func TestFoldVerdicts(t *testing.T) {
	is := is.New(t)
	foreign, err := (&envelope{Format: formatVersion + 1, Type: uint8(typeRecord), Epoch: 2, Sequence: 2}).MarshalMsg(nil)
	is.NoErr(err)
	unknown := entryOf(t, typeRecord+1, 2, 2)
	steps := []struct {
		payload []byte
		want    Verdict
	}{
		{entryOf(t, typeRecord, 0, 1), VerdictSuperseded},  // epoch 0 has no owner
		{entryOf(t, typeRelease, 0, 0), VerdictSuperseded}, // and cannot be released
		{entryOf(t, typeClaim, 2, 0), VerdictSuperseded},   // skips an epoch
		{entryOf(t, typeClaim, 1, 0), VerdictClaim},
		{entryOf(t, typeClaim, 1, 0), VerdictSuperseded}, // the first claim wins
		{entryOf(t, typeRecord, 1, 1), VerdictRecord},
		{entryOf(t, typeRecord, 1, 1), VerdictRepeat},
		{entryOf(t, typeRecord, 1, 3), VerdictGap},
		{entryOf(t, typeRecord, 1, 0), VerdictRepeat},
		{[]byte("noise"), VerdictGarbage},
		{nil, VerdictGarbage},
		{append(entryOf(t, typeRecord, 1, 2), 0), VerdictGarbage}, // trailing byte
		{entryOf(t, typeRecord, 1, 2), VerdictRecord},
		{entryOf(t, typeClaim, 2, 0), VerdictClaim},
		{entryOf(t, typeRecord, 1, 3), VerdictSuperseded}, // the earlier owner resumes after a pause
		{entryOf(t, typeRelease, 1, 0), VerdictSuperseded},
		{entryOf(t, typeRecord, 2, 1), VerdictRecord}, // sequence numbers start again
		{foreign, VerdictGarbage},
		{unknown, VerdictGarbage},
		{entryOf(t, typeRelease, 2, 0), VerdictRelease},
		{entryOf(t, typeRelease, 2, 0), VerdictSuperseded},
		{entryOf(t, typeRecord, 2, 2), VerdictSuperseded}, // after the release
		{entryOf(t, typeClaim, 3, 0), VerdictClaim},
	}
	var fold Fold
	for i, step := range steps {
		verdict, record := fold.Advance(step.payload)
		t.Log(i)
		is.Equal(verdict, step.want)
		is.Equal(fold.Next(), int64(i+1))
		is.Equal(record.Body != nil, verdict == VerdictRecord)
		if verdict == VerdictRecord {
			is.Equal(record.Offset, int64(i))
		}
	}
	is.Equal(fold.Counts(), FoldCounts{Valid: 7, Superseded: 8, Repeats: 2, Gaps: 1, Garbage: 5})
	is.True(fold.ownedBy(3, 300))
	is.True(!fold.ownedBy(3, 301)) // the same epoch, claimed by another process
}

// FuzzFold folds arbitrary payloads after a claim: only valid entries may change the position, and decoding must not
// panic.
func FuzzFold(f *testing.F) {
	f.Add(entryOf(f, typeClaim, 1, 0))
	f.Add(entryOf(f, typeRecord, 1, 1))
	f.Add([]byte{0x9a, 0x01, 0x03})
	chunks, err := splitSnapshot([]byte("snapshot"), 3, 4)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(chunks[0])
	f.Fuzz(func(t *testing.T, payload []byte) {
		original := slices.Clone(payload)
		var fold Fold
		fold.Advance(entryOf(t, typeClaim, 1, 0))
		before := fold.position
		verdict, record := fold.Advance(payload)
		if !slices.Equal(payload, original) {
			t.Fatal("payload was changed")
		}
		if verdict == VerdictRecord && (record.Epoch != 1 || record.Sequence != 1) {
			t.Fatalf("record %+v is valid after a claim of epoch 1", record)
		}
		after := fold.position
		after.Next--
		if verdict > VerdictRecord && after != before {
			t.Fatalf("verdict %d changed %+v to %+v", verdict, before, after)
		}
		search := &snapshotSearch{partial: make(map[snapshotKey]*partialSnapshot)}
		if complete := search.add(payload); complete != nil {
			_, _ = decodeSnapshot(complete, &journal{})
		}
		_, _ = decodeSnapshot(&completeSnapshot{encoded: payload}, &journal{})
	})
}
