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
	// queueBytes is the length of the write queue at which calls wait for room.
	queueBytes = 1 << 20
	// controlBytes is the length of the write queue at which even control frames do not fit: the peer sends requests and
	// pings without reading the answers.
	controlBytes = queueBytes + 2*MaxFrameBytes
)

// errQueueStopped says that the frame was not queued and never will be written.
var errQueueStopped = errors.New("connection is closed")

// errQueueFull says that the peer does not read what it asks for.
var errQueueFull = fmt.Errorf("%w: peer does not read its answers", errProtocol)

// frameWriter queues frames and writes all that are queued with one write.
type frameWriter struct {
	mu      sync.Mutex
	pending []byte
	spare   []byte
	// marks are set when the frames that they belong to are about to be written.
	marks   []*atomic.Bool
	stopped bool
	// room is closed and replaced each time the queue is taken.
	room chan struct{}
	wake chan struct{}
	done chan struct{}
}

func newFrameWriter() *frameWriter {
	return &frameWriter{
		room: make(chan struct{}),
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
}

// enqueue waits for room and queues the frame. When it returns an error, the frame is not queued. The mark may be nil.
func (w *frameWriter) enqueue(ctx context.Context, encoded []byte, mark *atomic.Bool) error {
	for {
		room, err := w.tryEnqueue(encoded, mark, queueBytes)
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
	room, err := w.tryEnqueue(encoded, nil, controlBytes)
	if room != nil {
		return errQueueFull
	}
	return err
}

// tryEnqueue queues the frame, or returns the channel that is closed when there may be room.
func (w *frameWriter) tryEnqueue(encoded []byte, mark *atomic.Bool, limit int) (<-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, errQueueStopped
	}
	if len(w.pending) >= limit {
		return w.room, nil
	}
	w.pending = append(w.pending, encoded...)
	if mark != nil {
		w.marks = append(w.marks, mark)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil, nil
}

// stop ends run. After it no further frame is marked as written.
func (w *frameWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		close(w.done)
	}
}

// run writes what is queued until stop or the first error.
func (w *frameWriter) run(to io.Writer) error {
	for {
		select {
		case <-w.wake:
		case <-w.done:
			return nil
		}
		batch := w.take()
		if len(batch) == 0 {
			continue
		}
		if _, err := to.Write(batch); err != nil {
			return err
		}
		w.recycle(batch)
	}
}

func (w *frameWriter) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.pending) == 0 {
		return nil
	}
	for _, mark := range w.marks {
		mark.Store(true)
	}
	clear(w.marks)
	w.marks = w.marks[:0]
	batch := w.pending
	w.pending, w.spare = w.spare[:0], nil
	if len(batch) >= queueBytes {
		close(w.room)
		w.room = make(chan struct{})
	}
	return batch
}

func (w *frameWriter) recycle(batch []byte) {
	if cap(batch) > 4*pooledBytes {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spare = batch
}
