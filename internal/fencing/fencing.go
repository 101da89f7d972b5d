// Package fencing writes to a partition of the store as its owner in one epoch. Appends are written in sequence, each
// exactly once however often it is retried, and are rejected once an owner with a higher epoch has written. The package
// does not interpret the records.
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

// ErrSuperseded is returned when another owner has a higher epoch.
var ErrSuperseded = errors.New("another owner has the partition")

// retryInterval is the pause between attempts of an append. The log bounds the duration of each attempt.
const retryInterval = 50 * time.Millisecond

// Config configures a Writer.
type Config struct {
	Log       keyedlog.Log
	Partition keyedlog.Partition
	// Name identifies the sequence of epochs within the partition.
	Name string
	// Generation is the generation of the group in which the partition was assigned. Of two owners that are different
	// members of the group, the later one has the higher generation; a process that is restarted as the same member
	// keeps its generation.
	Generation int64
	Logger     *log.Logger
}

// Writer appends records in one epoch. It is safe for concurrent use; appends are serialized.
type Writer struct {
	config Config
	// appending is held by the append in progress; sequence is the sequence number of that append.
	appending     chan struct{}
	sequence      int64
	superseded    chan struct{}
	supersedeOnce sync.Once
	// epoch is set by Open and does not change afterwards.
	epoch atomic.Int64
}

const (
	// restartBits is the number of low bits of an epoch that distinguish the processes that own a partition in the same
	// generation.
	restartBits = 20
	// initialSequences is the size of the range from which the first sequence number is drawn. It is large enough that
	// two processes do not draw the same number.
	initialSequences = 1 << 50
	// triedRestarts is how many epochs of a generation are tried one after another before the last owner's is read: a
	// rejected append costs less than a page of records, and few processes start more often in one generation.
	triedRestarts = 3
	// beforeOwnerKey is a key after which keyedlog.OwnerKey is the first.
	beforeOwnerKey = "owner/epoc"
)

const (
	// SendWindow is how long after an announcement was sent a call may be sent whose receiver cannot check the epoch,
	// such as an order to an engine or a report. A slow store takes 0.25 s for an append. If an append takes longer
	// than half the window, the owner announces again.
	SendWindow = time.Second
	// leaseSlack is added to the lease to allow for the transit time of a call.
	leaseSlack = 300 * time.Millisecond
)

// SuccessorDelay returns how long after the last announcement of another owner a successor may make calls itself, where
// calls of two owners must be at least a lease apart.
func SuccessorDelay(lease time.Duration) time.Duration {
	return SendWindow + lease + leaseSlack
}

// New returns a writer. Open must be called first.
func New(config Config) *Writer {
	return &Writer{config: config, appending: make(chan struct{}, 1), superseded: make(chan struct{})}
}

// Open sets an epoch that no other owner has had, so that no earlier owner can write any more, and returns the
// partition's end: all records of earlier owners lie below it.
//
// Open writes a record, because the store checks sequence numbers of appends only. A process that is restarted in the
// same generation first tries the epoch of the previous process. That epoch's sequence continues from a different
// number, so the store rejects the append, and Open tries higher epochs, all below those of the next generation. It
// takes the one after the last owner's, so that each start uses up one epoch of the generation.
func (w *Writer) Open(ctx context.Context) (int64, error) {
	w.sequence = rand.Int64N(initialSequences)
	first, next := w.config.Generation<<restartBits, (w.config.Generation+1)<<restartBits
	for epoch := first; epoch < next; {
		w.epoch.Store(epoch)
		ownerRecord := keyedlog.Record{Key: keyedlog.OwnerKey, Value: strconv.AppendInt(nil, epoch, 10)}
		end, err := w.append(ctx, []keyedlog.Record{ownerRecord})
		var sequenceErr *keyedlog.SequenceError
		switch {
		case errors.As(err, &sequenceErr):
			epoch++
		case errors.Is(err, keyedlog.ErrFenced) && epoch-first < triedRestarts:
			epoch++
		case errors.Is(err, keyedlog.ErrFenced):
			last, err := w.lastEpoch(ctx)
			if err != nil {
				return 0, err
			}
			if last < epoch {
				// The record of the owner that has set the epoch is missing or of another form.
				last = first + 2*(epoch-first)
			}
			epoch = last + 1
		default:
			return end, err
		}
	}
	w.markSuperseded(keyedlog.ErrFenced)
	return 0, ErrSuperseded
}

// lastEpoch returns the epoch that the partition's last owner wrote, retrying until the store answers, and 0 if there is
// none that can be read.
func (w *Writer) lastEpoch(ctx context.Context) (int64, error) {
	for {
		page, err := w.config.Log.Newest(ctx, w.config.Partition, beforeOwnerKey)
		if err == nil {
			if len(page.Records) == 0 || page.Records[0].Key != keyedlog.OwnerKey {
				return 0, nil
			}
			epoch, _ := strconv.ParseInt(string(page.Records[0].Value), 10, 64)
			return epoch, nil
		}
		errorlog.Debug(w.config.Logger, "owner not read", err, "partition", w.config.Partition)
		if !pause.For(ctx, retryInterval) {
			return 0, ctx.Err()
		}
	}
}

// Append writes records, retrying until the store confirms them, and returns the partition's end. The sequence number
// makes the store apply them exactly once. It fails with ErrSuperseded, or with the context's error, after which the
// records may have been written all the same.
func (w *Writer) Append(ctx context.Context, records []keyedlog.Record) (int64, error) {
	end, err := w.append(ctx, records)
	var sequenceErr *keyedlog.SequenceError
	if errors.Is(err, keyedlog.ErrFenced) || errors.As(err, &sequenceErr) {
		w.markSuperseded(err)
		return 0, ErrSuperseded
	}
	return end, err
}

// append writes records until the store confirms them or rejects them permanently, with an error that matches
// keyedlog.ErrFenced or *keyedlog.SequenceError.
func (w *Writer) append(ctx context.Context, records []keyedlog.Record) (int64, error) {
	select {
	case w.appending <- struct{}{}:
		defer func() { <-w.appending }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	fence := &keyedlog.Fence{Writer: w.config.Name, Epoch: w.epoch.Load(), Sequence: w.sequence}
	for {
		appended, err := w.config.Log.Append(ctx, w.config.Partition, records, fence)
		var sequenceErr *keyedlog.SequenceError
		switch {
		case err == nil:
			w.sequence++
			return appended.End, nil
		case errors.Is(err, keyedlog.ErrFenced), errors.As(err, &sequenceErr):
			return 0, err
		}
		errorlog.Debug(w.config.Logger, "append failed", err, "partition", w.config.Partition)
		if !pause.For(ctx, retryInterval) {
			return 0, ctx.Err()
		}
	}
}

// markSuperseded closes the channel of Superseded and logs the reason.
func (w *Writer) markSuperseded(err error) {
	w.supersedeOnce.Do(func() { close(w.superseded) })
	errorlog.Warn(w.config.Logger, "owner is superseded", err,
		"partition", w.config.Partition, "line", w.config.Name, "epoch", w.epoch.Load())
}

// Epoch returns the epoch of the writer. It is valid once Open has returned.
func (w *Writer) Epoch() int64 {
	return w.epoch.Load()
}

// Superseded returns a channel that is closed when another owner has a higher epoch.
func (w *Writer) Superseded() <-chan struct{} {
	return w.superseded
}
