package usage

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/producer"
)

const (
	// minPublishInterval and maxPublishInterval limit the interval between two appends of counts. The first count after a pause
	// is published at once, so that a power loss loses at most the counts of the shorter interval. The interval increases when
	// the store refuses appends: 410 processes that all count make 1,370 appends a second at the shorter interval and 205 at the
	// longer.
	minPublishInterval = 300 * time.Millisecond
	maxPublishInterval = 2 * time.Second
	// finalDelay is the time after the end of a window at which its final counts are published: requests that started in it are
	// counted when they are answered.
	finalDelay = 700 * time.Millisecond
	// finalJitter is the range of a random additional delay, so that not all processes publish at the same moment.
	finalJitter = 200 * time.Millisecond
	// keepWindows is the number of windows that are retained after their counts were published.
	keepWindows = 4
	// leaveTimeout is the timeout of the last append of a process that ends.
	leaveTimeout = time.Second
	separator    = "/"
)

// PublisherConfig configures a publisher.
type PublisherConfig struct {
	Log     keyedlog.Log
	Counter *Counter
	// Machine is the ID of the machine that the process runs on.
	Machine string
	Logger  *log.Logger
}

// Publisher publishes the counts of this process to the store.
type Publisher struct {
	config PublisherConfig
	// producer appends the counts, so that an append that was given up is not stored behind the next one.
	producer  *producer.Producer
	partition keyedlog.Partition
	// process identifies this incarnation of the process.
	process  string
	interval time.Duration
}

// NewPublisher returns a publisher; Run starts publishing.
func NewPublisher(config PublisherConfig) *Publisher {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(config.Machine))
	partitions := config.Log.Partitions(keyedlog.TopicUsage)
	return &Publisher{
		config: config, producer: producer.New(config.Log), process: config.Machine + "#" + strconv.FormatUint(rand.Uint64(), 36), interval: minPublishInterval,
		partition: keyedlog.Partition{Topic: keyedlog.TopicUsage, Number: int(hash.Sum32() % uint32(partitions))},
	}
}

// key returns the record key of a process's counts of a window.
func key(window int64, process string) string {
	return strconv.FormatInt(window, 10) + separator + process
}

// parseKey splits a record key into window and process.
func parseKey(key string) (window int64, process string, ok bool) {
	number, process, found := strings.Cut(key, separator)
	window, err := strconv.ParseInt(number, 10, 64)
	return window, process, found && err == nil
}

// Run publishes counts until the context ends, and then a last time with the notice that the process is leaving.
func (p *Publisher) Run(ctx context.Context) {
	counter := p.config.Counter
	windows := counter.windows
	open := windows.Number(counter.clock.At(time.Now()))
	spread := rand.N(finalJitter)
	sample := time.NewTicker(time.Second)
	defer sample.Stop()
	for ctx.Err() == nil {
		// The clock is sampled between two iterations, of which there is at least one in each window.
		select {
		case <-sample.C:
			counter.clock.Sample()
		default:
		}
		now := counter.clock.At(time.Now())
		for ; !now.Before(windows.End(open).Add(finalDelay + spread)); open++ {
			counter.markUnpublished(open)
		}
		records, changed := counter.next(open, open-keepWindows)
		if len(records) > 0 {
			p.publish(ctx, records)
			pause.For(ctx, p.interval)
			continue
		}
		finalTimer := time.NewTimer(windows.End(open).Add(finalDelay + spread).Sub(now))
		select {
		case <-changed:
		case <-finalTimer.C:
		case <-ctx.Done():
		}
		finalTimer.Stop()
	}
	p.leave(ctx, open)
}

// leave publishes the counts that were not published yet, and that nothing more will be counted.
func (p *Publisher) leave(ctx context.Context, open int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	counter := p.config.Counter
	now := counter.windows.Number(counter.clock.At(time.Now()))
	for window := open; window <= now; window++ {
		counter.markUnpublished(window)
	}
	records, _ := counter.next(now+1, 0)
	if last := records[now]; last != nil {
		last.Leaving = true
	}
	p.publish(ctx, records)
}

// publish writes the counts of windows to the store; windows that cannot be written are scheduled to be published again.
func (p *Publisher) publish(ctx context.Context, windows map[int64]*windowCounts) {
	var records []keyedlog.Record
	for window, record := range windows {
		record.Machine = p.config.Machine
		value, err := record.MarshalMsg(nil)
		if err != nil {
			errorlog.Error(p.config.Logger, "usage counts cannot be encoded", err, "window", window)
			continue
		}
		records = append(records, keyedlog.Record{Key: key(window, p.process), Value: value})
	}
	if len(records) == 0 {
		return
	}
	_, err := p.producer.Append(ctx, p.partition, records)
	switch {
	case err == nil:
		p.interval = max(minPublishInterval, p.interval*3/4)
		return
	case errors.Is(err, keyedlog.ErrThrottled):
		p.interval = min(maxPublishInterval, 2*p.interval)
	}
	errorlog.Debug(p.config.Logger, "usage counts not published", err, "windows", len(windows))
	p.config.Counter.markAllUnpublished(windows)
}
