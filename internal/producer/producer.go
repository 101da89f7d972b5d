// Package producer appends records to partitions that no process owns. The store may apply a call that got no answer seconds
// later. Without further measures a repeated call would then store its records twice, and an abandoned call would store its
// records behind newer ones of the same keys. A producer numbers its appends, and the store applies each number once and none
// of an earlier epoch. The package does not interpret the records.
package producer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

// Producer makes appends to any number of partitions. It is safe for concurrent use. While no two appends to a partition are in
// progress at once, none is stored behind a later one.
type Producer struct {
	log keyedlog.Log

	mutex sync.Mutex
	// idle holds the sequences that no append uses, by partition. The last one was used last.
	idle map[keyedlog.Partition][]*sequence
}

// New returns a producer that appends to log.
func New(log keyedlog.Log) *Producer {
	return &Producer{log: log, idle: make(map[keyedlog.Partition][]*sequence)}
}

// sequence numbers the appends of one writer to one partition. At most one append uses it at a time.
type sequence struct {
	writer string
	epoch  int64
	next   int64
}

// namePrefix begins the names of writers, so that they differ from those of owners.
const namePrefix = "producer-"

func newSequence() *sequence {
	return &sequence{writer: namePrefix + strconv.FormatUint(rand.Uint64(), 36), epoch: 1}
}

// Begin prepares an append of records to a partition. The caller sends it as often as necessary and closes it in the end. It must not
// change the records until then.
func (p *Producer) Begin(partition keyedlog.Partition, records []keyedlog.Record) *Append {
	return &Append{producer: p, partition: partition, records: records, sequence: p.acquire(partition)}
}

// Append makes one append and sends it once. After an error the records may still be stored, unless the error matches
// keyedlog.ErrNotDone.
func (p *Producer) Append(ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record) (keyedlog.Appended, error) {
	pending := p.Begin(partition, records)
	defer pending.Close()
	return pending.Send(ctx)
}

// Retry is how an append is repeated.
type Retry struct {
	// Interval is the pause after a failure. The log itself limits the duration of each attempt.
	Interval time.Duration
	// OnFailure, if not nil, is called with the error of each attempt that failed.
	OnFailure func(err error)
}

// AppendRetrying makes one append and sends it until the store confirms it or the context ends. It fails with the context's error, after
// which the records may still be stored.
func (p *Producer) AppendRetrying(
	ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record, retry Retry,
) (keyedlog.Appended, error) {
	pending := p.Begin(partition, records)
	defer pending.Close()
	for {
		appended, err := pending.Send(ctx)
		if err == nil {
			return appended, nil
		}
		if retry.OnFailure != nil {
			retry.OnFailure(err)
		}
		if !pause.For(ctx, retry.Interval) {
			return keyedlog.Appended{}, ctx.Err()
		}
	}
}

// acquire returns the sequence that was used last of those that are idle, and a new one if there is none.
func (p *Producer) acquire(partition keyedlog.Partition) *sequence {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[partition]
	if len(idle) == 0 {
		return newSequence()
	}
	last := len(idle) - 1
	p.idle[partition] = idle[:last]
	return idle[last]
}

func (p *Producer) release(partition keyedlog.Partition, released *sequence) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[partition] = append(p.idle[partition], released)
}

// Append is one append in progress. One goroutine uses it.
type Append struct {
	producer  *Producer
	partition keyedlog.Partition
	records   []keyedlog.Record
	sequence  *sequence
	// sent is set once the append was sent, confirmed while the store has confirmed it.
	sent, confirmed bool
}

// Send sends the append. It may be called until it succeeds: however often the append is sent, its records are stored once at most. It
// fails with the errors of keyedlog.Log; ErrFenced and SequenceError mean that the store lost track of the producer's appends, so
// that records of an earlier Send may be stored once more.
func (a *Append) Send(ctx context.Context) (keyedlog.Appended, error) {
	fence := &keyedlog.Fence{Writer: a.sequence.writer, Epoch: a.sequence.epoch, Sequence: a.sequence.next}
	a.sent, a.confirmed = true, false
	appended, err := a.producer.log.Append(ctx, a.partition, a.records, fence)
	if err == nil {
		a.confirmed = true
		return appended, nil
	}
	var outOfSequence *keyedlog.SequenceError
	if errors.Is(err, keyedlog.ErrFenced) || errors.As(err, &outOfSequence) {
		// The store no longer has the sequence as this process left it.
		a.sequence = newSequence()
		err = fmt.Errorf("append is out of its producer's sequence: %w", err)
	}
	return keyedlog.Appended{}, err
}

// Close ends the append. If the store has not confirmed the append, it may still apply it, but not after the next append of its
// sequence.
func (a *Append) Close() {
	switch {
	case !a.sent:
		// The store has not seen its number.
	case a.confirmed:
		a.sequence.next++
	default:
		a.sequence.epoch++
		a.sequence.next = 0
	}
	a.producer.release(a.partition, a.sequence)
}
