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
)

const (
	// tellLeast and tellMost bound the pause between two appends of counts. The first count after a pause is told at once, so that a
	// power loss costs the counts of the shorter pause at most. A store that takes no more lengthens it: 410 processes that all count
	// make 1,370 appends a second at the shorter one and 205 at the longer.
	tellLeast = 300 * time.Millisecond
	tellMost  = 2 * time.Second
	// finalAfter is how long after its end a window is told as final: requests that began in it are counted when they are answered.
	finalAfter = 700 * time.Millisecond
	// finalSpread is within what time the processes tell it, so that they don't all at once.
	finalSpread = 200 * time.Millisecond
	// keepWindows is how many windows are kept after they were told.
	keepWindows = 4
	// leaveTimeout bounds the last append of a process that ends.
	leaveTimeout = time.Second
	separator    = "/"
)

// TellerConfig configures a teller.
type TellerConfig struct {
	Log     keyedlog.Log
	Counter *Counter
	// Machine names the machine that the process runs on.
	Machine string
	Logger  *log.Logger
}

// Teller tells the store what this process counts.
type Teller struct {
	config    TellerConfig
	partition keyedlog.Partition
	// process is alone to this life of the process.
	process string
	spacing time.Duration
}

// NewTeller returns a teller; Run tells.
func NewTeller(config TellerConfig) *Teller {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(config.Machine))
	partitions := config.Log.Partitions(keyedlog.TopicUsage)
	return &Teller{
		config: config, process: config.Machine + "#" + strconv.FormatUint(rand.Uint64(), 36), spacing: tellLeast,
		partition: keyedlog.Partition{Topic: keyedlog.TopicUsage, Number: int(hash.Sum32() % uint32(partitions))},
	}
}

// key returns the key of the record of a window.
func key(window int64, process string) string {
	return strconv.FormatInt(window, 10) + separator + process
}

// parseKey takes a key apart.
func parseKey(key string) (window int64, process string, ok bool) {
	number, process, found := strings.Cut(key, separator)
	window, err := strconv.ParseInt(number, 10, 64)
	return window, process, found && err == nil
}

// Run tells what is counted until the context ends, and then once more that the process leaves.
func (t *Teller) Run(ctx context.Context) {
	counter := t.config.Counter
	windows := counter.windows
	open := windows.Number(counter.clock.At(time.Now()))
	spread := rand.N(finalSpread)
	sample := time.NewTicker(time.Second)
	defer sample.Stop()
	for ctx.Err() == nil {
		// The clock is sampled between two looks, of which there is at least one in each window.
		select {
		case <-sample.C:
			counter.clock.Sample()
		default:
		}
		now := counter.clock.At(time.Now())
		for ; !now.Before(windows.End(open).Add(finalAfter + spread)); open++ {
			counter.close(open)
		}
		records, changed := counter.next(open, open-keepWindows)
		if len(records) > 0 {
			t.tell(ctx, records)
			pause.For(ctx, t.spacing)
			continue
		}
		closing := time.NewTimer(windows.End(open).Add(finalAfter + spread).Sub(now))
		select {
		case <-changed:
		case <-closing.C:
		case <-ctx.Done():
		}
		closing.Stop()
	}
	t.leave(ctx, open)
}

// leave tells what was not told yet, and that nothing more is counted.
func (t *Teller) leave(ctx context.Context, open int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	counter := t.config.Counter
	now := counter.windows.Number(counter.clock.At(time.Now()))
	for window := open; window <= now; window++ {
		counter.close(window)
	}
	records, _ := counter.next(now+1, 0)
	if last := records[now]; last != nil {
		last.Leaving = true
	}
	t.tell(ctx, records)
}

// tell writes records of windows; what can't be written is told again.
func (t *Teller) tell(ctx context.Context, windows map[int64]*told) {
	var records []keyedlog.Record
	for window, record := range windows {
		record.Machine = t.config.Machine
		value, err := record.MarshalMsg(nil)
		if err != nil {
			errorlog.Error(t.config.Logger, "counts of usage do not encode", err, "window", window)
			continue
		}
		records = append(records, keyedlog.Record{Key: key(window, t.process), Value: value})
	}
	if len(records) == 0 {
		return
	}
	_, err := t.config.Log.Append(ctx, t.partition, records, nil)
	switch {
	case err == nil:
		t.spacing = max(tellLeast, t.spacing*3/4)
		return
	case errors.Is(err, keyedlog.ErrThrottled):
		t.spacing = min(tellMost, 2*t.spacing)
	}
	errorlog.Debug(t.config.Logger, "counts of usage not told", err, "windows", len(windows))
	t.config.Counter.again(windows)
}
