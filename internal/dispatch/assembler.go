package dispatch

import (
	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
)

// maxHeldChunks bounds the chunks held for one that is missing before them.
const maxHeldChunks = 256

// drops counts chunks that were not taken as they came.
type drops struct {
	foreign   int
	duplicate int
	reordered int
	overflow  int
}

// assembler puts the chunks of one attempt in order. It belongs to one goroutine.
type assembler struct {
	requestID string
	attempt   uint32
	next      int
	// total is the length of the whole answer; negative until the finishing chunk came.
	total int
	held  map[int]platform.Chunk
	drops drops
	// mutations switches the checks of chunks off; only tests set it.
	mutations mutation.Set
}

// newAssembler expects the chunks of an attempt that goes on after resumed tokens.
func newAssembler(requestID string, attempt uint32, resumed int) *assembler {
	return &assembler{requestID: requestID, attempt: attempt, next: resumed, total: -1, held: map[int]platform.Chunk{}}
}

// whole tells whether every token of a finished answer has arrived.
func (a *assembler) whole() bool {
	return a.total >= 0 && a.next >= a.total
}

// add takes a chunk in and returns the chunks that are ready now: in order, without a gap or an overlap.
func (a *assembler) add(chunk platform.Chunk) []platform.Chunk {
	foreign := chunk.RequestID != a.requestID || chunk.Attempt != a.attempt
	if foreign && !a.mutations.Has(mutation.KeepForeignChunks) {
		a.drops.foreign++
		return nil
	}
	end := chunk.Index + len(chunk.Tokens)
	if chunk.Finished && a.total < 0 {
		a.total = end
	}
	if len(chunk.Tokens) == 0 {
		return nil
	}
	if a.mutations.Has(mutation.KeepRepeatedChunks) {
		a.next += len(chunk.Tokens)
		return []platform.Chunk{chunk}
	}
	if end <= a.next {
		a.drops.duplicate++
		return nil
	}
	if chunk.Index > a.next {
		a.hold(chunk)
		return nil
	}
	ready := []platform.Chunk{a.take(chunk)}
	for {
		held, found := a.unhold()
		if !found {
			return ready
		}
		ready = append(ready, a.take(held))
	}
}

// take cuts off what has arrived before and moves on past the chunk.
func (a *assembler) take(chunk platform.Chunk) platform.Chunk {
	chunk.Tokens = chunk.Tokens[a.next-chunk.Index:]
	chunk.Index = a.next
	a.next += len(chunk.Tokens)
	return chunk
}

func (a *assembler) hold(chunk platform.Chunk) {
	known, exists := a.held[chunk.Index]
	switch {
	case exists && len(known.Tokens) >= len(chunk.Tokens):
		a.drops.duplicate++
	case !exists && len(a.held) >= maxHeldChunks:
		a.drops.overflow++
	default:
		a.drops.reordered++
		a.held[chunk.Index] = chunk
	}
}

// unhold returns a held chunk that goes on where the answer stands.
func (a *assembler) unhold() (platform.Chunk, bool) {
	for index, chunk := range a.held {
		if index > a.next {
			continue
		}
		delete(a.held, index)
		if index+len(chunk.Tokens) > a.next {
			return chunk, true
		}
		a.drops.duplicate++
	}
	return platform.Chunk{}, false
}

// appendSpan notes that the tokens of a chunk came from its version.
func appendSpan(spans []peerapi.Span, chunk platform.Chunk) []peerapi.Span {
	end := chunk.Index + len(chunk.Tokens)
	last := len(spans) - 1
	if last >= 0 && spans[last].Version == chunk.Version && spans[last].To == chunk.Index {
		spans[last].To = end
		return spans
	}
	return append(spans, peerapi.Span{From: chunk.Index, To: end, Version: chunk.Version})
}
