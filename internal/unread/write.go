package unread

import (
	"errors"
	"net/http"
	"os"
	"time"
)

const (
	// WriteTimeout is how long a reader may read nothing. A reader that lost a packet or was not scheduled continues within 3 s.
	// A reader that does not continue blocks the engine from which its answer streams, and engines abort such streams after
	// several seconds.
	WriteTimeout = 5 * time.Second
	// chunkBytes is the number of bytes that a reader has to read within WriteTimeout, which is 13 KB/s: callers' links carry
	// megabytes per second.
	chunkBytes = 64 << 10
)

// Write writes a whole body in chunks. The error is os.ErrDeadlineExceeded if the reader was too slow; the caller must then
// abort the answer, since it is incomplete.
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

// WithDeadline calls write, whose bytes the reader has to read within WriteTimeout. The error is os.ErrDeadlineExceeded if the
// reader was too slow.
func (b *Budget) WithDeadline(controller *http.ResponseController, write func() error) error {
	if err := setDeadline(controller, time.Now().Add(WriteTimeout)); err != nil {
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
		// The write deadline must not apply to the next request on the connection.
		err = setDeadline(controller, time.Time{})
	}
	return err
}

// setDeadline sets the write deadline of a connection, if the connection supports one.
func setDeadline(controller *http.ResponseController, at time.Time) error {
	if err := controller.SetWriteDeadline(at); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}

// flush sends buffered data, if the connection supports that.
func flush(controller *http.ResponseController) error {
	if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
