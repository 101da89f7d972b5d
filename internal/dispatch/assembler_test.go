package dispatch

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/reorder"
)

func TestAssemblerDropsForeignAndDuplicateChunks(t *testing.T) {
	is := is.New(t)
	asm := newAssembler("r", 2, 0)
	chunk := func(id string, attempt uint32, index int, tokens ...uint32) platform.Chunk {
		return platform.Chunk{RequestID: id, Attempt: attempt, Index: index, Tokens: tokens}
	}
	is.Equal(len(asm.add(chunk("other", 2, 0, 1))), 0)
	is.Equal(len(asm.add(chunk("r", 1, 0, 1))), 0) // late, from an earlier attempt
	is.Equal(asm.foreign, 2)
	is.Equal(len(asm.add(chunk("r", 2, 0, 1, 2))), 1)
	is.Equal(len(asm.add(chunk("r", 2, 0, 1))), 0)
	is.Equal(asm.tokens.Drops().Duplicate, 1)
	for i := range reorder.MaxHeld + 5 {
		asm.add(chunk("r", 2, 100+i, 1))
	}
	is.Equal(asm.tokens.Drops().Overflow, 5)
	is.True(!asm.complete())
}

// TestAssemblerReordersChunks splits an answer into chunks, adds overlapping and repeated ones, and checks that every
// arrival order yields the answer without gaps, overlaps or repetitions.
func TestAssemblerReordersChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 40).Draw(t, "length")
		resumed := rapid.IntRange(0, length-1).Draw(t, "resumed")
		answer := make([]uint32, length)
		for i := range answer {
			answer[i] = uint32(i)
		}
		chunk := func(from, to int) platform.Chunk {
			return platform.Chunk{
				RequestID: "r", Attempt: 1, Index: from, Tokens: answer[from:to], Version: uint64(to / 10), Finished: to == length,
			}
		}
		var chunks []platform.Chunk
		for from := resumed; from < length; {
			to := rapid.IntRange(from+1, length).Draw(t, "to")
			chunks = append(chunks, chunk(from, to))
			from = to
		}
		for range rapid.IntRange(0, 8).Draw(t, "extra") {
			from := rapid.IntRange(resumed, length-1).Draw(t, "from")
			chunks = append(chunks, chunk(from, rapid.IntRange(from+1, length).Draw(t, "end")))
		}
		asm := newAssembler("r", 1, resumed)
		tokens := slices.Clone(answer[:resumed])
		var spans []peerapi.Span
		for _, disordered := range rapid.Permutation(chunks).Draw(t, "order") {
			for _, ready := range asm.add(disordered) {
				if ready.Index != len(tokens) {
					t.Fatalf("chunk at %d after %d tokens", ready.Index, len(tokens))
				}
				tokens = append(tokens, ready.Tokens...)
				spans = appendSpan(spans, ready)
			}
		}
		if !asm.complete() || !slices.Equal(tokens, answer) {
			t.Fatalf("got %v", tokens)
		}
		at := resumed
		for _, span := range spans {
			if span.From != at || span.To <= at {
				t.Fatalf("spans %v", spans)
			}
			at = span.To
		}
		if at != length {
			t.Fatalf("spans end at %d of %d", at, length)
		}
	})
}
