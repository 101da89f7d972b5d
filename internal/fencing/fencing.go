// Package fencing writes to a partition of the store as its owner of one epoch: in sequence, each append once however often
// it is tried, and not at all once an owner of a higher epoch has written. It decides nothing of what is written.
package fencing

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

// ErrSuperseded says that another owner has a higher epoch.
var ErrSuperseded = errors.New("another owner has the partition")

// retryPause is the pause between tries of an append. The log bounds each try.
const retryPause = 50 * time.Millisecond

// Config configures a writer.
type Config struct {
	Log       keyedlog.Log
	Partition keyedlog.Partition
	// Name is the line of epochs within the partition.
	Name   string
	Epoch  int64
	Logger *log.Logger
}

// Writer writes under one epoch. It is safe for concurrent use; appends take turns.
type Writer struct {
	config Config
	// turn is taken by the one append that is under way; sequence is that append's number.
	turn       chan struct{}
	sequence   int64
	superseded chan struct{}
	once       sync.Once
}

// New returns a writer. Open must be its first call.
func New(config Config) *Writer {
	return &Writer{config: config, turn: make(chan struct{}, 1), superseded: make(chan struct{})}
}

// Open sets the epoch, so that no owner of a lower one can write any more, and returns the partition's end: whoever has read up
// to there knows all that earlier owners wrote.
func (w *Writer) Open(ctx context.Context) (int64, error) {
	return w.Append(ctx, nil)
}

// Append writes records, again and again until the store says that they are there, and returns the partition's end. The
// sequence number makes the store take them once. It fails with ErrSuperseded, or with the context's error, after which the
// records may be there all the same.
func (w *Writer) Append(ctx context.Context, records []keyedlog.Record) (int64, error) {
	select {
	case w.turn <- struct{}{}:
		defer func() { <-w.turn }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	fence := &keyedlog.Fence{Writer: w.config.Name, Epoch: w.config.Epoch, Sequence: w.sequence}
	for {
		appended, err := w.config.Log.Append(ctx, w.config.Partition, records, fence)
		var order *keyedlog.SequenceError
		switch {
		case err == nil:
			w.sequence++
			return appended.End, nil
		case errors.Is(err, keyedlog.ErrFenced), errors.As(err, &order):
			w.once.Do(func() { close(w.superseded) })
			errorlog.Warn(w.config.Logger, "owner is superseded", err,
				"partition", w.config.Partition, "line", w.config.Name, "epoch", w.config.Epoch)
			return 0, ErrSuperseded
		}
		errorlog.Debug(w.config.Logger, "append failed", err, "partition", w.config.Partition)
		if !pause.For(ctx, retryPause) {
			return 0, ctx.Err()
		}
	}
}

// Epoch returns the epoch that the writer writes under.
func (w *Writer) Epoch() int64 {
	return w.config.Epoch
}

// Superseded is closed when another owner has a higher epoch.
func (w *Writer) Superseded() <-chan struct{} {
	return w.superseded
}
