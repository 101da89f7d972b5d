package unread

import (
	"errors"
	"net/http"
	"os"
	"time"
)

const (
	// WriteTimeout is how long a reader may take nothing. A reader that lost a packet or its processor goes on within 3 s. One that does not
	// holds up the engine from which its answer streams, and engines cut such streams off after some seconds.
	WriteTimeout = 5 * time.Second
	// chunkBytes is how many bytes a reader has to take within CutAfter, which is 13 KB/s: callers' links carry megabytes a second.
	chunkBytes = 64 << 10
)

// Write writes a whole body in chunks. The error is os.ErrDeadlineExceeded if the reader was cut off; the caller must then abort the
// answer, since it is not whole.
func (b *Budget) Write(w http.ResponseWriter, content []byte) error {
	controller := http.NewResponseController(w)
	for {
		next := content[:min(chunkBytes, len(content))]
		content = content[len(next):]
		err := b.WithDeadline(controller, func() error {
			if _, err := w.Write(next); err != nil || len(content) > 0 {
				return err
			}
			return flush(controller)
		})
		if err != nil || len(content) == 0 {
			return err
		}
	}
}

// WithDeadline calls write, whose bytes the reader has to take within CutAfter. The error is os.ErrDeadlineExceeded if the reader was cut
// off.
func (b *Budget) WithDeadline(controller *http.ResponseController, write func() error) error {
	if err := deadline(controller, time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	err := write()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.mutex.Lock()
		b.cut++
		held := b.held
		b.mutex.Unlock()
		b.logger.Info("reader cut off, it took nothing", "after", WriteTimeout, "held", held)
		return err
	}
	if err == nil {
		// The next request on the connection has no deadline for its answer yet.
		err = deadline(controller, time.Time{})
	}
	return err
}

// deadline sets the write deadline of a connection, if the connection supports one.
func deadline(controller *http.ResponseController, at time.Time) error {
	if err := controller.SetWriteDeadline(at); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// flush sends what is buffered, if the connection supports that.
func flush(controller *http.ResponseController) error {
	if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
