package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueueBytes is the length of the write queue from which on calls wait for space.
	maxQueueBytes = 1 << 20
	// maxControlQueueBytes is the length of the write queue from which on even control frames are refused: the peer
	// sends requests and pings without reading the responses.
	maxControlQueueBytes = maxQueueBytes + 2*MaxFrameBytes
)

// errQueueStopped reports that the frame was not queued and will never be written.
var errQueueStopped = errors.New("connection is closed")

// errQueueFull reports that the peer does not read the responses to its requests.
var errQueueFull = fmt.Errorf("%w: peer does not read its responses", errProtocol)

// frameWriter queues frames and writes all queued frames with one write.
type frameWriter struct {
	mu      sync.Mutex
	pending []byte
	spare   []byte
	// writtenFlags are set just before the frames that they belong to are written.
	writtenFlags []*atomic.Bool
	stopped      bool
	// spaceFreed is closed and replaced when a full queue is taken for writing.
	spaceFreed chan struct{}
	wake       chan struct{}
	done       chan struct{}
}

func newFrameWriter() *frameWriter {
	return &frameWriter{
		spaceFreed: make(chan struct{}),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
}

// enqueue waits for space and queues the frame. If it returns an error, the frame is not queued. mark is set just
// before the frame is written; it may be nil.
func (w *frameWriter) enqueue(ctx context.Context, encoded []byte, mark *atomic.Bool) error {
	for {
		room, err := w.tryEnqueue(encoded, mark, maxQueueBytes)
		if room == nil || err != nil {
			return err
		}
		select {
		case <-room:
		case <-w.done:
			return errQueueStopped
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// enqueueControl queues a frame without waiting.
func (w *frameWriter) enqueueControl(encoded []byte) error {
	room, err := w.tryEnqueue(encoded, nil, maxControlQueueBytes)
	if room != nil {
		return errQueueFull
	}
	return err
}

// tryEnqueue queues the frame, or returns a channel that is closed when there may be space.
func (w *frameWriter) tryEnqueue(encoded []byte, mark *atomic.Bool, limit int) (<-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, errQueueStopped
	}
	if len(w.pending) >= limit {
		return w.spaceFreed, nil
	}
	w.pending = append(w.pending, encoded...)
	if mark != nil {
		w.writtenFlags = append(w.writtenFlags, mark)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

// stop ends run. Afterwards no further frame is marked as written.
func (w *frameWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		close(w.done)
	}
}

// run writes the queued frames until stop or the first error.
func (w *frameWriter) run(to io.Writer) error {
	for {
		select {
		case <-w.wake:
		case <-w.done:
			return nil
		}
		batch := w.takeBatch()
		if len(batch) == 0 {
			continue
		}
		if _, err := to.Write(batch); err != nil {
			return err
		}
		w.recycle(batch)
	}
}

func (w *frameWriter) takeBatch() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.pending) == 0 {
		return nil
	}
	for _, mark := range w.writtenFlags {
		mark.Store(true)
	}
	clear(w.writtenFlags)
	w.writtenFlags = w.writtenFlags[:0]
	batch := w.pending
	w.pending, w.spare = w.spare[:0], nil
	if len(batch) >= maxQueueBytes {
		close(w.spaceFreed)
		w.spaceFreed = make(chan struct{})
	}
	return batch
}

func (w *frameWriter) recycle(batch []byte) {
	if cap(batch) > 4*maxPooledBytes {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = batch
}
