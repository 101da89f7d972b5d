package engine

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// Generate queues a stream. platform.ErrRejected says that it was refused before any of it ran.
func (e *Engine) Generate(ctx context.Context, request platform.GenerateRequest) (platform.ChunkStream, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.life.Err() != nil {
		return nil, ErrCrashed
	}
	e.advance()
	if e.config.Observer != nil {
		e.config.Observer.Received(e.config.ID, request.RequestID, request.Attempt, time.Now())
	}
	if reason := e.refusal(request); reason != "" {
		return nil, fmt.Errorf("%w: %s", platform.ErrRejected, reason)
	}
	e.arrived++
	added := newStream(request, e.arrived)
	e.streams[added.key] = added
	e.enqueue(added)
	e.settle()
	return &receiver{ctx: ctx, engine: e, stream: added}, nil
}

// refusal says why a request is refused; empty when it is not. The caller holds the lock.
func (e *Engine) refusal(request platform.GenerateRequest) string {
	key := streamKey{requestID: request.RequestID, attempt: request.Attempt}
	switch {
	case e.refusesWork():
		return "engine is leaving"
	case e.streams[key] != nil:
		return "the same attempt is running"
	case request.MaxTokens <= 0:
		return "max_tokens must be positive"
	case !e.serves(request.Model):
		return "model is not served"
	case len(e.waiting) >= e.config.MaxWaiting && len(e.running) >= e.config.Slots:
		return "queue is full"
	default:
		return ""
	}
}

func (e *Engine) serves(model string) bool {
	_, ok := e.served[model]
	return ok
}

func (e *Engine) refusesWork() bool {
	since := e.faults.leavingSince
	return !since.IsZero() && time.Since(since) >= e.config.LeavingGrace
}

// Cancel stops a stream. An unknown one is no error.
func (e *Engine) Cancel(ctx context.Context, requestID string, attempt uint32) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	e.mutex.Lock()
	found := e.streams[streamKey{requestID: requestID, attempt: attempt}]
	e.mutex.Unlock()
	if found != nil {
		e.end(found, ErrCanceled)
	}
	return nil
}

// end takes a stream out of the engine, with what it has produced left to be received, then err.
func (e *Engine) end(ended *stream, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[ended.key] != ended {
		return
	}
	e.advance()
	e.remove(ended)
	ended.outbox.finish(err, false)
	e.settle()
}

// remove takes a stream out of all tables. The caller holds the lock.
func (e *Engine) remove(removed *stream) {
	if e.streams[removed.key] != removed {
		return
	}
	delete(e.streams, removed.key)
	isRemoved := func(other *stream) bool { return other == removed }
	e.running = slices.DeleteFunc(e.running, isRemoved)
	e.waiting = slices.DeleteFunc(e.waiting, isRemoved)
}

// enqueue puts a stream among the waiting: by priority, then by arrival. The caller holds the lock.
func (e *Engine) enqueue(added *stream) {
	position, _ := slices.BinarySearchFunc(e.waiting, added, compareStreams)
	e.waiting = slices.Insert(e.waiting, position, added)
}

// compareStreams orders streams by who runs first.
func compareStreams(a, b *stream) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}
