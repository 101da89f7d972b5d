package dispatch

import (
	"errors"
	"io"

	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/reorder"
)

// assembler puts the chunks of one attempt in order. It is not safe for concurrent use.
type assembler struct {
	requestID string
	attempt   uint32
	tokens    *reorder.Buffer[platform.Chunk]
	// total is the length of the complete answer in tokens; negative until the finishing chunk has arrived.
	total int
	// foreign counts the dropped chunks of other requests and attempts.
	foreign int
	// mutations disables the checks of chunks; only tests set it.
	mutations mutation.Set
}

// newAssembler returns an assembler for an attempt that continues after resumed tokens.
func newAssembler(requestID string, attempt uint32, resumed int) *assembler {
	return &assembler{requestID: requestID, attempt: attempt, tokens: reorder.NewBuffer(chunkAccessors, resumed), total: -1}
}

var chunkAccessors = reorder.Accessors[platform.Chunk]{
	Index:  func(chunk platform.Chunk) int { return chunk.Index },
	Length: func(chunk platform.Chunk) int { return len(chunk.Tokens) },
	Skip: func(chunk platform.Chunk, tokens int) platform.Chunk {
		chunk.Index += tokens
		chunk.Tokens = chunk.Tokens[tokens:]
		return chunk
	},
}

// complete reports whether every token of a finished answer has arrived.
func (a *assembler) complete() bool {
	return a.total >= 0 && a.tokens.Next() >= a.total
}

// receive passes the chunks of a stream to handle, in order, until the answer is complete. It returns the first error
// of the stream or of handle, and io.ErrUnexpectedEOF if the stream ends before the answer is complete.
func (a *assembler) receive(stream platform.ChunkStream, handle func(platform.Chunk) error) error {
	for !a.complete() {
		chunk, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		for _, ready := range a.add(chunk) {
			if err := handle(ready); err != nil {
				return err
			}
		}
	}
	return nil
}

// add adds a chunk and returns the chunks that are ready: in order, without gaps or overlaps.
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

// appendSpan records the version of a chunk's tokens, extending the last span where possible.
func appendSpan(spans []peerapi.Span, chunk platform.Chunk) []peerapi.Span {
	end := chunk.Index + len(chunk.Tokens)
	last := len(spans) - 1
	if last >= 0 && spans[last].Version == chunk.Version && spans[last].To == chunk.Index {
		spans[last].To = end
		return spans
	}
	return append(spans, peerapi.Span{From: chunk.Index, To: end, Version: chunk.Version})
}
