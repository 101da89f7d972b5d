package usage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// reportKey is the key of the newest report in the duty's partition.
	reportKey = "report"
	// settleAfter is how long after its end a window is reported at the earliest.
	settleAfter = finalAfter + finalSpread + 200*time.Millisecond
	// waitShare is the part of the time in which a window has to be reported for which machines that have not told all are waited for.
	// The rest is for calls that fail.
	waitShare = 0.65
	// lookEvery is how often the holder looks whether a window can be reported.
	lookEvery = 100 * time.Millisecond
	// sendTimeout bounds one call, sendPause is the pause after one that failed.
	sendTimeout = 700 * time.Millisecond
	sendPause   = 150 * time.Millisecond
	// followWait is how long the store may hold a read of counts open, followSpacing the least time between two that brought some.
	followWait    = time.Second
	followSpacing = 300 * time.Millisecond
)

// Receiver takes reports.
type Receiver interface {
	// ReportUsage tells the requests of each tenant in a window. token is that of the duty's holder. A repeat changes nothing.
	ReportUsage(ctx context.Context, token, window int64, counts map[string]int64) error
}

// ReporterConfig configures a reporter.
type ReporterConfig struct {
	Log      keyedlog.Log
	Receiver Receiver
	Windows  Windows
	Clock    *Clock
	// Late is how long after its end a window has to be reported.
	Late   time.Duration
	Logger *log.Logger
}

// Reporter is the duty of reporting usage; it implements duty.Duty.
type Reporter struct {
	config ReporterConfig
}

// NewReporter returns a reporter.
func NewReporter(config ReporterConfig) *Reporter {
	return &Reporter{config: config}
}

// Name names the duty in logs.
func (r *Reporter) Name() string { return "usage" }

// Perform reports window after window until the context ends. It begins with the report that was written down last, which its writer
// may not have sent, and goes on with the window after it: windows that were missed are caught up.
func (r *Reporter) Perform(ctx context.Context, tenure *duty.Tenure) {
	tally := NewTally()
	followCtx, cancel := context.WithCancel(ctx)
	var besides sync.WaitGroup
	defer besides.Wait()
	defer cancel()
	for number := range r.config.Log.Partitions(keyedlog.TopicUsage) {
		follower := r.follow(number, tally)
		besides.Go(func() { follower.Run(followCtx) })
	}
	next := r.config.Windows.Number(r.config.Clock.At(time.Now())) + 1
	if last, ok := r.last(tenure); ok {
		if !r.send(ctx, tenure, last) {
			return
		}
		next = last.Window + 1
	}
	for ; ; next++ {
		missing, ok := r.await(ctx, tally, next)
		if !ok {
			return
		}
		due := report{Window: next, Counts: tally.Sum(next)}
		if !r.send(ctx, tenure, due) {
			return
		}
		r.config.Logger.Info("usage reported", "window", next, "token", tenure.Token(), "tenants", len(due.Counts), "requests", due.total(),
			"after", r.config.Clock.At(time.Now()).Sub(r.config.Windows.End(next)).Round(time.Millisecond), "missing", missing)
		forgotten := tally.Forget(next - expectedFor)
		besides.Go(func() { r.drop(followCtx, forgotten) })
	}
}

func (r *report) total() int64 {
	total := int64(0)
	for _, count := range r.Counts {
		total += count
	}
	return total
}

// last returns the report that was written down last.
func (r *Reporter) last(tenure *duty.Tenure) (report, bool) {
	var last report
	value := tenure.Record(reportKey)
	if value == nil {
		return last, false
	}
	if _, err := last.UnmarshalMsg(value); err != nil {
		errorlog.Error(r.config.Logger, "last report of usage does not decode; windows before now are not reported", err)
		return report{}, false
	}
	return last, true
}

// follow returns a follower of what some of the processes tell.
func (r *Reporter) follow(number int, tally *Tally) *follow.Follower {
	partition := keyedlog.Partition{Topic: keyedlog.TopicUsage, Number: number}
	return follow.New(follow.Config{
		Log: r.config.Log, Partition: partition, Applier: &applier{tally: tally, partition: partition, logger: r.config.Logger},
		Wait: followWait, MinReadInterval: followSpacing, Logger: r.config.Logger,
	})
}

type applier struct {
	tally     *Tally
	partition keyedlog.Partition
	logger    *log.Logger
}

// Apply takes a record.
func (a *applier) Apply(record keyedlog.Record, _ bool) {
	if err := a.tally.Apply(a.partition, record); err != nil {
		errorlog.Warn(a.logger, "counts of usage skipped", err, "partition", a.partition)
	}
}

// Advanced does nothing: the tally is asked when a window is due.
func (a *applier) Advanced(int64) {}

// await waits until a window can be reported: all machines have told it, or no more time is left to wait for those that it returns.
func (r *Reporter) await(ctx context.Context, tally *Tally, window int64) (missing []string, ok bool) {
	end := r.config.Windows.End(window)
	latest := end.Add(time.Duration(waitShare * float64(r.config.Late)))
	for {
		now := r.config.Clock.At(time.Now())
		if !now.Before(end.Add(settleAfter)) {
			missing = tally.Missing(window)
			if len(missing) == 0 || !now.Before(latest) {
				return missing, true
			}
		}
		if !pause.For(ctx, max(lookEvery, end.Add(settleAfter).Sub(now))) {
			return nil, false
		}
	}
}

// send writes a report down and sends it until it is taken. It returns false if the tenure or the context ended before.
func (r *Reporter) send(ctx context.Context, tenure *duty.Tenure, due report) bool {
	value, err := due.MarshalMsg(nil)
	if err != nil {
		errorlog.Error(r.config.Logger, "report of usage does not encode", err, "window", due.Window)
		return false
	}
	for {
		window, err := tenure.Announce(ctx, reportKey, value)
		if err != nil {
			return false
		}
		if r.sendWithin(ctx, tenure, due, window) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// sendWithin sends a report until it is taken, and not after a window.
func (r *Reporter) sendWithin(ctx context.Context, tenure *duty.Tenure, due report, window fencing.Window) bool {
	windowCtx, cancel := window.Context(ctx)
	defer cancel()
	for windowCtx.Err() == nil {
		callCtx, cancelCall := context.WithTimeout(windowCtx, sendTimeout)
		err := r.config.Receiver.ReportUsage(callCtx, tenure.Token(), due.Window, due.Counts)
		cancelCall()
		if err == nil {
			return true
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			errorlog.Warn(r.config.Logger, "report of usage not taken", err, "window", due.Window, "token", tenure.Token())
		}
		pause.For(windowCtx, sendPause)
	}
	return false
}

// drop drops records that are not needed any more. What can't be dropped now is read again by the next holder and dropped then.
func (r *Reporter) drop(ctx context.Context, records map[keyedlog.Partition][]keyedlog.Record) {
	for partition, dropped := range records {
		if _, err := r.config.Log.Append(ctx, partition, dropped, nil); err != nil {
			errorlog.Debug(r.config.Logger, "counts of reported windows not dropped", err, "partition", partition, "records", len(dropped))
		}
	}
}
