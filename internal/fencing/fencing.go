// Package fencing writes to a partition of the store as its owner of one epoch: in sequence, each append once however often
// it is tried, and not at all once an owner of a higher epoch has written. It decides nothing of what is written.
package fencing

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
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
	Name string
	// Generation is that of the group under which the partition was dealt. Of two owners in different processes' places the
	// later one has the higher generation; a process that was started again in the same place has the same.
	Generation int64
	Logger     *log.Logger
}

// Writer writes under one epoch. It is safe for concurrent use; appends take turns.
type Writer struct {
	config Config
	// turn is taken by the one append that is under way; sequence is that append's number.
	turn       chan struct{}
	sequence   int64
	superseded chan struct{}
	once       sync.Once
	// epoch is set by Open and does not change afterwards.
	epoch atomic.Int64
}

const (
	// restartBits is how many low bits of an epoch tell apart the processes that own a partition under one generation.
	restartBits = 20
	// firstSequences is how many numbers the first sequence number is drawn from: so many that no two processes draw the same.
	firstSequences = 1 << 50
)

const (
	// SendWindow is how long after the sending of its announcement a call may be sent that a party can't check: an order to an engine, a
	// report. A slow store takes a quarter of a second for an append; one that takes longer than half the window has the owner announce
	// anew.
	SendWindow = time.Second
	// leaseSlack is added to the lease for the way of a call.
	leaseSlack = 300 * time.Millisecond
)

// TurnAfter is how long after the last announcement of another owner a successor may make calls itself, where calls of two owners must
// lie a lease apart.
func TurnAfter(lease time.Duration) time.Duration {
	return SendWindow + lease + leaseSlack
}

// New returns a writer. Open must be its first call.
func New(config Config) *Writer {
	return &Writer{config: config, turn: make(chan struct{}, 1), superseded: make(chan struct{})}
}

// Open sets an epoch that nobody has had, so that no earlier owner can write any more, and returns the partition's end: whoever
// has read up to there knows all that earlier owners wrote. It writes a record, since the store looks at sequence numbers of those
// alone. A process that was started again under the same generation finds the epoch of the one before taken: that one's sequence
// goes on from another number, so the store refuses ours. Then it tries a higher one, up to the next generation's.
func (w *Writer) Open(ctx context.Context) (int64, error) {
	w.sequence = rand.Int64N(firstSequences)
	for restart := int64(0); restart < 1<<restartBits; {
		epoch := w.config.Generation<<restartBits + restart
		w.epoch.Store(epoch)
		own := keyedlog.Record{Key: keyedlog.OwnerKey, Value: strconv.AppendInt(nil, epoch, 10)}
		end, err := w.append(ctx, []keyedlog.Record{own})
		var order *keyedlog.SequenceError
		switch {
		case errors.As(err, &order):
			restart++
		case errors.Is(err, keyedlog.ErrFenced):
			restart = 2*restart + 1
		default:
			return end, err
		}
	}
	w.supersede(keyedlog.ErrFenced)
	return 0, ErrSuperseded
}

// Append writes records, again and again until the store says that they are there, and returns the partition's end. The
// sequence number makes the store take them once. It fails with ErrSuperseded, or with the context's error, after which the
// records may be there all the same.
func (w *Writer) Append(ctx context.Context, records []keyedlog.Record) (int64, error) {
	end, err := w.append(ctx, records)
	var order *keyedlog.SequenceError
	if errors.Is(err, keyedlog.ErrFenced) || errors.As(err, &order) {
		w.supersede(err)
		return 0, ErrSuperseded
	}
	return end, err
}

// append writes records until the store says that they are there or refuses them for good, which it tells by its error.
func (w *Writer) append(ctx context.Context, records []keyedlog.Record) (int64, error) {
	select {
	case w.turn <- struct{}{}:
		defer func() { <-w.turn }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	fence := &keyedlog.Fence{Writer: w.config.Name, Epoch: w.epoch.Load(), Sequence: w.sequence}
	for {
		appended, err := w.config.Log.Append(ctx, w.config.Partition, records, fence)
		var order *keyedlog.SequenceError
		switch {
		case err == nil:
			w.sequence++
			return appended.End, nil
		case errors.Is(err, keyedlog.ErrFenced), errors.As(err, &order):
			return 0, err
		}
		errorlog.Debug(w.config.Logger, "append failed", err, "partition", w.config.Partition)
		if !pause.For(ctx, retryPause) {
			return 0, ctx.Err()
		}
	}
}

// supersede tells that another owner has a higher epoch.
func (w *Writer) supersede(err error) {
	w.once.Do(func() { close(w.superseded) })
	errorlog.Warn(w.config.Logger, "owner is superseded", err,
		"partition", w.config.Partition, "line", w.config.Name, "epoch", w.epoch.Load())
}

// Epoch returns the epoch that the writer writes under, once Open has returned.
func (w *Writer) Epoch() int64 {
	return w.epoch.Load()
}

// Superseded is closed when another owner has a higher epoch.
func (w *Writer) Superseded() <-chan struct{} {
	return w.superseded
}
