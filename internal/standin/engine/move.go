package engine

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/hillfork/hillfork/internal/platform"
)

const (
	// maxImports bounds the imported caches kept for a Generate to come; the oldest go first.
	maxImports = 64
	// stateBytes is the size of the opaque state: the hash of prompt and seed, and the count of tokens.
	stateBytes = 16
)

// importTable holds imported caches until their streams arrive. It is under the engine's lock.
type importTable struct {
	order    []string
	imported map[string]importedCache
}

type importedCache struct {
	hash   uint64
	tokens int
}

func newImportTable() *importTable {
	return &importTable{imported: make(map[string]importedCache)}
}

func (t *importTable) add(requestID string, cache importedCache) {
	if _, ok := t.imported[requestID]; !ok {
		t.order = append(t.order, requestID)
	}
	t.imported[requestID] = cache
	if len(t.order) > maxImports {
		delete(t.imported, t.order[0])
		t.order = t.order[1:]
	}
}

// take says whether the cache covers all that the stream resumes from, and forgets it.
func (t *importTable) take(next *stream) bool {
	cache, ok := t.imported[next.key.requestID]
	if !ok {
		return false
	}
	delete(t.imported, next.key.requestID)
	t.order = slices.DeleteFunc(t.order, func(id string) bool { return id == next.key.requestID })
	return cache.hash == next.hash && next.produced > 0 && next.produced <= cache.tokens
}

// ExportCache stops a stream and returns its whole answer so far, resumed tokens included. Spans cover the tokens that
// this engine produced. Receivers of the stream get ErrExported.
func (e *Engine) ExportCache(ctx context.Context, requestID string, attempt uint32) (platform.CacheExport, error) {
	if err := e.enter(ctx); err != nil {
		return platform.CacheExport{}, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.advance()
	found := e.streams[streamKey{requestID: requestID, attempt: attempt}]
	if found == nil {
		return platform.CacheExport{}, fmt.Errorf("%w: %s attempt %d", ErrUnknownStream, requestID, attempt)
	}
	e.remove(found)
	found.outbox.finish(ErrExported, true)
	e.settle()
	state := binary.LittleEndian.AppendUint64(nil, found.hash)
	state = binary.LittleEndian.AppendUint64(state, uint64(found.produced))
	return platform.CacheExport{
		RequestID: requestID,
		Tokens:    tokensBetween(found.hash, 0, found.produced),
		Spans:     slices.Clone(found.spans),
		State:     state,
	}, nil
}

// ImportCache keeps a cache for the Generate of the same request, which then costs no prefill.
func (e *Engine) ImportCache(ctx context.Context, export platform.CacheExport) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	if len(export.State) != stateBytes {
		return fmt.Errorf("%w: state of cache is malformed", platform.ErrRejected)
	}
	cache := importedCache{
		hash:   binary.LittleEndian.Uint64(export.State),
		tokens: int(binary.LittleEndian.Uint64(export.State[8:])),
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.imports.add(export.RequestID, cache)
	return nil
}
