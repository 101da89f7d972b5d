package dispatch

import (
	"errors"
	"io"

	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/reorder"
)

// assembler puts the chunks of one attempt in order. It belongs to one goroutine.
type assembler struct {
	requestID string
	attempt   uint32
	tokens    *reorder.Buffer[platform.Chunk]
	// total is the length of the whole answer; negative until the finishing chunk came.
	total int
	// foreign counts chunks of other requests and attempts.
	foreign int
	// mutations switches the checks of chunks off; only tests set it.
	mutations mutation.Set
}

// newAssembler expects the chunks of an attempt that goes on after resumed tokens.
func newAssembler(requestID string, attempt uint32, resumed int) *assembler {
	return &assembler{requestID: requestID, attempt: attempt, tokens: reorder.NewBuffer(chunkShape, resumed), total: -1}
}

var chunkShape = reorder.Accessors[platform.Chunk]{
	Index:  func(chunk platform.Chunk) int { return chunk.Index },
	Length: func(chunk platform.Chunk) int { return len(chunk.Tokens) },
	Skip: func(chunk platform.Chunk, tokens int) platform.Chunk {
		chunk.Index += tokens
		chunk.Tokens = chunk.Tokens[tokens:]
		return chunk
	},
}

// whole tells whether every token of a finished answer has arrived.
func (a *assembler) whole() bool {
	return a.total >= 0 && a.tokens.Next() >= a.total
}

// receive hands the chunks of a stream to take, in order, until the answer is whole. It ends with the first error of either, and with
// io.ErrUnexpectedEOF where the stream ends before the answer.
func (a *assembler) receive(stream platform.ChunkStream, take func(platform.Chunk) error) error {
	for !a.whole() {
		chunk, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		for _, ready := range a.add(chunk) {
			if err := take(ready); err != nil {
				return err
			}
		}
	}
	return nil
}

// add takes a chunk in and returns the chunks that are ready now: in order, without a gap or an overlap.
func (a *assembler) add(chunk platform.Chunk) []platform.Chunk {
	foreign := chunk.RequestID != a.requestID || chunk.Attempt != a.attempt
	if foreign && !a.mutations.Has(mutation.KeepForeignChunks) {
		a.foreign++
		return nil
	}
	if chunk.Finished && a.total < 0 {
		a.total = chunk.Index + len(chunk.Tokens)
	}
	if len(chunk.Tokens) == 0 {
		return nil
	}
	if a.mutations.Has(mutation.KeepRepeatedChunks) {
		a.tokens.Advance(len(chunk.Tokens))
		return []platform.Chunk{chunk}
	}
	return a.tokens.Add(chunk)
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
