package engine

import (
	"context"
	"io"
	"slices"
	"sync"

	"github.com/hillfork/hillfork/internal/platform"
)

type streamKey struct {
	requestID string
	attempt   uint32
}

// stream is one answer in the making. Its fields are under the engine's lock; outbox has its own.
type stream struct {
	key      streamKey
	model    string
	prompt   []uint32
	hash     uint64
	priority int
	arrival  uint64
	resumed  int
	length   int

	started bool
	// prefill is what is left of the prompt's cost, in seconds.
	prefill float64
	// credit is the part of the next token already worked out, 0 to 1.
	credit float64
	// produced and sent count tokens of the whole answer, resumed ones included.
	produced int
	sent     int
	spans    []platform.VersionSpan

	// held is a chunk that is sent after the next one.
	held   *platform.Chunk
	outbox *outbox
}

func newStream(request platform.GenerateRequest, arrival uint64) *stream {
	return &stream{
		key:      streamKey{requestID: request.RequestID, attempt: request.Attempt},
		model:    request.Model,
		prompt:   slices.Clone(request.Prompt),
		hash:     promptHash(request.Prompt, request.Seed),
		priority: request.Priority,
		arrival:  arrival,
		resumed:  len(request.Resume),
		length:   max(LengthOf(request.Prompt, request.Seed, request.MaxTokens), len(request.Resume)),
		produced: len(request.Resume),
		sent:     len(request.Resume),
		outbox:   newOutbox(),
	}
}

// whole says whether every token is produced.
func (s *stream) whole() bool {
	return s.produced >= s.length
}

// produce counts tokens made by version and returns how many there were.
func (s *stream) produce(count int, version uint64) int {
	count = min(count, s.length-s.produced)
	if count <= 0 {
		return 0
	}
	from := s.produced
	s.produced += count
	last := len(s.spans) - 1
	if last >= 0 && s.spans[last].Version == version && s.spans[last].To == from {
		s.spans[last].To = s.produced
		return count
	}
	s.spans = append(s.spans, platform.VersionSpan{From: from, To: s.produced, Version: version})
	return count
}

// unsent returns the chunk of what is produced and not sent, and counts it as sent. It never spans two versions,
// because versions only change after everything unsent is sent.
func (s *stream) unsent(version uint64) platform.Chunk {
	chunk := platform.Chunk{
		RequestID: s.key.requestID,
		Attempt:   s.key.attempt,
		Index:     s.sent,
		Tokens:    tokensBetween(s.hash, s.sent, s.produced),
		Version:   version,
		Finished:  s.whole(),
	}
	s.sent = s.produced
	return chunk
}

// outbox holds chunks until they are received. It is unbounded, but an answer is not.
type outbox struct {
	mutex  sync.Mutex
	chunks []platform.Chunk
	// end is set once no more chunks will come.
	end error
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newOutbox() *outbox {
	return &outbox{changed: make(chan struct{})}
}

func (o *outbox) put(chunks ...platform.Chunk) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.end != nil {
		return
	}
	o.chunks = append(o.chunks, chunks...)
	o.signal()
}

// finish ends the outbox with err after what it holds; drop discards that first. Only the first call counts.
func (o *outbox) finish(err error, drop bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.end != nil {
		return
	}
	o.end = err
	if drop {
		o.chunks = nil
	}
	o.signal()
}

func (o *outbox) signal() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// take returns the next chunk, waiting for it, or the error that ended the outbox.
func (o *outbox) take(ctx context.Context) (platform.Chunk, error) {
	for {
		chunk, changed, err := o.next()
		if changed == nil {
			return chunk, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Chunk{}, ctx.Err()
		}
	}
}

// next returns a channel to wait for when there is neither a chunk nor an end.
func (o *outbox) next() (platform.Chunk, <-chan struct{}, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.chunks) > 0 {
		chunk := o.chunks[0]
		o.chunks = o.chunks[1:]
		return chunk, nil, nil
	}
	if o.end != nil {
		return platform.Chunk{}, nil, o.end
	}
	return platform.Chunk{}, o.changed, nil
}

// receiver is the caller's end of a stream.
type receiver struct {
	ctx    context.Context
	engine *Engine
	stream *stream
}

// Receive returns the next chunk, io.EOF after the whole answer.
func (r *receiver) Receive() (platform.Chunk, error) {
	chunk, err := r.stream.outbox.take(r.ctx)
	if err != nil && err != io.EOF {
		r.engine.end(r.stream, ErrCanceled)
	}
	return chunk, err
}

// Close cancels an unfinished answer.
func (r *receiver) Close() error {
	r.engine.end(r.stream, ErrCanceled)
	return nil
}
