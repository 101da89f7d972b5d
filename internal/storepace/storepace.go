// Package storepace limits a process to its share of the reads that the store serves to all processes together. A process does
// not know how many others there are; it adapts its rate to refusals, as TCP adapts to the capacity of a path (additive increase,
// multiplicative decrease): each refusal lowers the rate by a factor, and time without a refusal raises it step by step. Reads of
// the operator's records, of the engines' and of the engine list are few and are never delayed: processes must act on them within
// seconds.
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
	// startShare and maxShare are the initial and the maximum share of the store's reads that a process uses.
	startShare = 1.0 / 16
	maxShare   = 1.0 / 8
	// minRate is the minimum number of reads per second: enough to read each partition every few seconds.
	minRate = 4.0
	// decreaseFactor is the factor applied to the rate after a refusal; increasePerSecond is the fraction of the rate that is
	// added after each second without a refusal.
	decreaseFactor    = 0.7
	increasePerSecond = 0.05
	// decreaseInterval is the time after a decrease during which further refusals are attributed to the previous rate.
	decreaseInterval = 250 * time.Millisecond
	// burst is the number of reads that may be sent at once.
	burst = 24
	// outageThreshold is how long the store must refuse every call of a process before the cause is assumed to be other than too
	// many calls: a process that keeps lowering its rate by decreaseFactor gets some calls served long before that, however many
	// other processes there are. Stores sometimes reject single machines for seconds.
	outageThreshold = 2 * time.Second
	// resumeShare is the fraction of its former rate at which a process continues after such an outage. It has to read what it
	// missed, and owners are assigned partitions at once: at the rate that was left after 9 s of refusals, taking over a
	// partition of 1,500 records took 5.7 s.
	resumeShare = 0.5
	// maxStretch limits the factor by which reads are held open longer when the rate is low.
	maxStretch = 5.0
)

// Log is a keyedlog.Log whose reads are rate-limited.
type Log struct {
	keyedlog.Log
	limiter *rate.Limiter

	mutex       sync.Mutex
	currentRate float64
	startRate   float64
	maxRate     float64
	lastChange  time.Time
	// lastServed is when the store last served a call, servedRate the rate at that time.
	lastServed time.Time
	servedRate float64
}

// New limits the reads of a log of which all processes together may make readsPerS reads per second.
func New(log keyedlog.Log, readsPerS float64) *Log {
	startRate := max(minRate, readsPerS*startShare)
	return &Log{
		Log: log, limiter: rate.NewLimiter(rate.Limit(startRate), burst), currentRate: startRate, startRate: startRate,
		maxRate: max(minRate, readsPerS*maxShare), lastChange: time.Now(), lastServed: time.Now(), servedRate: startRate,
	}
}

// Read returns records after waiting for the rate limiter, unless the topic is urgent. The lower the rate is, the longer the store is
// asked to hold other reads open.
func (l *Log) Read(
	ctx context.Context, partition keyedlog.Partition, span keyedlog.Span,
) (keyedlog.Batch, error) {
	if urgent(partition.Topic) {
		// The read counts, but goes out whether or not the rate allows it.
		l.limiter.Allow()
	} else {
		if err := l.limiter.Wait(ctx); err != nil {
			return keyedlog.Batch{}, err
		}
		span.Wait = time.Duration(l.stretch() * float64(span.Wait))
	}
	batch, err := l.Log.Read(ctx, partition, span)
	l.adapt(err)
	return batch, err
}

// urgent reports whether reads of a topic are never delayed.
func urgent(topic keyedlog.Topic) bool {
	return topic == keyedlog.TopicOperator || topic == keyedlog.TopicEngines || topic == keyedlog.TopicEngineList
}

// Newest returns a page of the newest records after waiting for the rate limiter, unless the topic is urgent.
func (l *Log) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	if !urgent(partition.Topic) {
		if err := l.limiter.Wait(ctx); err != nil {
			return keyedlog.Page{}, err
		}
	}
	page, err := l.Log.Newest(ctx, partition, afterKey)
	l.adapt(err)
	return page, err
}

// Owners lists the owners of a group's partitions. It is not rate-limited: a caller that polls it has its own interval, far below
// the rate, and a partition that waits for an owner must not wait for reads as well. A refusal counts like one of a read.
func (l *Log) Owners(ctx context.Context, group string) ([]keyedlog.Owner, error) {
	owners, err := l.Log.Owners(ctx, group)
	l.adapt(err)
	return owners, err
}

// Rate returns the current limit in reads per second.
func (l *Log) Rate() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.currentRate
}

func (l *Log) stretch() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return min(maxStretch, max(1, l.startRate/l.currentRate))
}

// adapt updates the rate after a call: a refusal lowers it, and a served call may raise it.
func (l *Log) adapt(err error) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	elapsed := now.Sub(l.lastChange)
	if err == nil {
		defer func() { l.lastServed, l.servedRate = now, l.currentRate }()
	}
	switch {
	case errors.Is(err, keyedlog.ErrThrottled):
		if elapsed < decreaseInterval {
			return
		}
		l.currentRate = max(minRate, decreaseFactor*l.currentRate)
	case err == nil && now.Sub(l.lastServed) >= outageThreshold && l.currentRate < resumeShare*l.servedRate:
		l.currentRate = resumeShare * l.servedRate
	case err == nil && elapsed >= time.Second:
		l.currentRate = min(l.maxRate, l.currentRate*(1+increasePerSecond*min(10, elapsed.Seconds())))
	default:
		return
	}
	l.lastChange = now
	l.limiter.SetLimit(rate.Limit(l.currentRate))
}
