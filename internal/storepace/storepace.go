// Package storepace keeps a process within its part of the reads that the store takes from all processes together. Nobody
// tells a process how many others there are; it learns from refusals, as TCP learns the capacity of a path: each refusal
// lowers its rate by a factor, time without one raises it by a step. Reads of the operator's records are few and never wait.
package storepace

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"golang.org/x/time/rate"
)

const (
	// startShare and mostShare are the parts of the store's reads that a process takes at first and at most.
	startShare = 1.0 / 16
	mostShare  = 1.0 / 8
	// leastRate is the fewest reads a second: enough to read each partition every few seconds.
	leastRate = 4.0
	// decrease is the factor of a refusal, increase the part of the rate that a second without one adds.
	decrease = 0.7
	increase = 0.05
	// settle is how long after a decrease further refusals belong to the rate before it.
	settle = 250 * time.Millisecond
	// burst is how many reads may follow each other at once.
	burst = 24
	// turnedAwayFor is how long a store has to refuse every call of a process for the cause to be another than too many calls: a process
	// that slows down by decrease gets some through long before that, at any number of others. Stores turn single machines away for seconds.
	turnedAwayFor = 2 * time.Second
	// regained is the part of its former rate at which a process goes on once it is no longer turned away. It has to read what it missed, and
	// owners are dealt partitions at once: at the rate that 9 s of refusals had left, a partition of 1,500 records took 5.7 s to take over.
	regained = 0.5
	// stretchMost bounds how much longer reads are held open when the rate is low.
	stretchMost = 5.0
)

// Log is a log whose reads keep to a rate.
type Log struct {
	keyedlog.Log
	limiter *rate.Limiter

	mutex   sync.Mutex
	current float64
	start   float64
	most    float64
	changed time.Time
	// served is when the store served a call last, former the rate at that time.
	served time.Time
	former float64
}

// New paces the reads of a log of which all processes together may make so many reads a second.
func New(log keyedlog.Log, readsPerS float64) *Log {
	start := max(leastRate, readsPerS*startShare)
	return &Log{
		Log: log, limiter: rate.NewLimiter(rate.Limit(start), burst), current: start, start: start,
		most: max(leastRate, readsPerS*mostShare), changed: time.Now(), served: time.Now(), former: start,
	}
}

// Read returns records, once the rate allows a read. The store is asked to hold the read open for longer the lower the rate is.
func (l *Log) Read(
	ctx context.Context, partition keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	if partition.Topic != keyedlog.TopicOperator {
		if err := l.limiter.Wait(ctx); err != nil {
			return keyedlog.Batch{}, err
		}
		span.Wait = time.Duration(l.stretch() * float64(span.Wait))
	}
	batch, err := l.Log.Read(ctx, partition, span)
	l.learn(err)
	return batch, err
}

// Newest returns a page of the newest records, once the rate allows a read.
func (l *Log) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	if partition.Topic != keyedlog.TopicOperator {
		if err := l.limiter.Wait(ctx); err != nil {
			return keyedlog.Page{}, err
		}
	}
	page, err := l.Log.Newest(ctx, partition, afterKey)
	l.learn(err)
	return page, err
}

// Owners lists who holds the partitions of a group. A machine that looks has its own pace, far below the rate, and a partition that
// waits for an owner is not to wait for reads too; a refusal counts as one of a read.
func (l *Log) Owners(ctx context.Context, group string) ([]keyedlog.Owner, error) {
	owners, err := l.Log.Owners(ctx, group)
	l.learn(err)
	return owners, err
}

// Rate returns how many reads a second the process makes at most now.
func (l *Log) Rate() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.current
}

func (l *Log) stretch() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return min(stretchMost, max(1, l.start/l.current))
}

// learn adapts the rate to what the store answered.
func (l *Log) learn(err error) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	passed := now.Sub(l.changed)
	if err == nil {
		defer func() { l.served, l.former = now, l.current }()
	}
	switch {
	case errors.Is(err, keyedlog.ErrThrottled):
		if passed < settle {
			return
		}
		l.current = max(leastRate, decrease*l.current)
	case err == nil && now.Sub(l.served) >= turnedAwayFor && l.current < regained*l.former:
		l.current = regained * l.former
	case err == nil && passed >= time.Second:
		l.current = min(l.most, l.current*(1+increase*min(10, passed.Seconds())))
	default:
		return
	}
	l.changed = now
	l.limiter.SetLimit(rate.Limit(l.current))
}
