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
	"github.com/hillfork/hillfork/internal/producer"
)

const (
	// reportKey is the key of the newest report in the duty's partition.
	reportKey = "report"
	// minReportDelay is the minimum time between the end of a window and its report.
	minReportDelay = finalDelay + finalJitter + 200*time.Millisecond
	// waitShare is the fraction of the time limit of a report during which the reporter waits for machines that have not
	// published their final counts. The rest is for calls that fail.
	waitShare = 0.65
	// pollInterval is the interval at which the holder checks whether a window can be reported.
	pollInterval = 100 * time.Millisecond
	// sendTimeout is the timeout of one call, retryDelay the delay after a failed one.
	sendTimeout = 700 * time.Millisecond
	retryDelay  = 150 * time.Millisecond
	// followWait is how long the store may hold a read of counts open, followSpacing the minimum time between two reads that
	// returned some.
	followWait    = time.Second
	followSpacing = 300 * time.Millisecond
)

// Receiver receives reports.
type Receiver interface {
	// ReportUsage reports the number of requests of each tenant in a window. token is the fencing token of the duty's holder. The
	// call is idempotent.
	ReportUsage(ctx context.Context, token, window int64, counts map[string]int64) error
}

// ReporterConfig configures a reporter.
type ReporterConfig struct {
	Log      keyedlog.Log
	Receiver Receiver
	Windows  Windows
	Clock    *Clock
	// ReportLimit is the maximum time between the end of a window and its report.
	ReportLimit time.Duration
	Logger      *log.Logger
}

// Reporter performs the duty of reporting usage; it implements duty.Duty.
type Reporter struct {
	config   ReporterConfig
	producer *producer.Producer
}

// NewReporter returns a reporter.
func NewReporter(config ReporterConfig) *Reporter {
	return &Reporter{config: config, producer: producer.New(config.Log)}
}

// Name returns the name of the duty in logs.
func (r *Reporter) Name() string { return "usage" }

// Perform reports one window after the other until the context ends. It begins with the report that was stored last, which its
// writer may not have sent, and continues with the window after it, so that missed windows are reported as well.
func (r *Reporter) Perform(ctx context.Context, tenure *duty.Tenure) {
	tally := NewTally()
	followCtx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for number := range r.config.Log.Partitions(keyedlog.TopicUsage) {
		follower := r.follow(number, tally)
		background.Go(func() { follower.Run(followCtx) })
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
		pending := report{Window: next, Counts: tally.Sum(next)}
		if !r.send(ctx, tenure, pending) {
			return
		}
		r.config.Logger.Info("usage reported", "window", next, "token", tenure.Token(), "tenants", len(pending.Counts), "requests", pending.total(),
			"after", r.config.Clock.At(time.Now()).Sub(r.config.Windows.End(next)).Round(time.Millisecond), "missing", missing)
		deletions := tally.Forget(next - expectedFor)
		background.Go(func() { r.deleteRecords(followCtx, deletions) })
	}
}

func (r *report) total() int64 {
	total := int64(0)
	for _, count := range r.Counts {
		total += count
	}
	return total
}

// last returns the report that was stored last.
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

// follow returns a follower of one partition of the published counts.
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

// Apply adds a record to the tally.
func (a *applier) Apply(record keyedlog.Record, _ bool) {
	if err := a.tally.Apply(a.partition, record); err != nil {
		errorlog.Warn(a.logger, "usage counts skipped", err, "partition", a.partition)
	}
}

// Advanced does nothing: the tally is read when a window is to be reported.
func (a *applier) Advanced(int64) {}

// await waits until a window can be reported: until all machines have published their final counts of it, or until the time to
// wait for the machines that it returns as missing is over. ok is false if the context ended first.
func (r *Reporter) await(ctx context.Context, tally *Tally, window int64) (missing []string, ok bool) {
	end := r.config.Windows.End(window)
	latest := end.Add(time.Duration(waitShare * float64(r.config.ReportLimit)))
	for {
		now := r.config.Clock.At(time.Now())
		if !now.Before(end.Add(minReportDelay)) {
			missing = tally.Missing(window)
			if len(missing) == 0 || !now.Before(latest) {
				return missing, true
			}
		}
		if !pause.For(ctx, max(pollInterval, end.Add(minReportDelay).Sub(now))) {
			return nil, false
		}
	}
}

// send stores a report and sends it until it is accepted. It returns false if the tenure or the context ended first.
func (r *Reporter) send(ctx context.Context, tenure *duty.Tenure, pending report) bool {
	value, err := pending.MarshalMsg(nil)
	if err != nil {
		errorlog.Error(r.config.Logger, "report of usage does not encode", err, "window", pending.Window)
		return false
	}
	for {
		window, err := tenure.Announce(ctx, reportKey, value)
		if err != nil {
			return false
		}
		if r.sendWithin(ctx, tenure, pending, window) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// sendWithin sends a report until it is accepted or the fencing window ends, and reports whether it was accepted.
func (r *Reporter) sendWithin(ctx context.Context, tenure *duty.Tenure, pending report, window fencing.Window) bool {
	windowCtx, cancel := window.Context(ctx)
	defer cancel()
	for windowCtx.Err() == nil {
		callCtx, cancelCall := context.WithTimeout(windowCtx, sendTimeout)
		err := r.config.Receiver.ReportUsage(callCtx, tenure.Token(), pending.Window, pending.Counts)
		cancelCall()
		if err == nil {
			return true
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			errorlog.Warn(r.config.Logger, "report of usage not taken", err, "window", pending.Window, "token", tenure.Token())
		}
		pause.For(windowCtx, retryDelay)
	}
	return false
}

// deleteRecords deletes records that are no longer needed. The next holder reads and deletes those that cannot be deleted now.
func (r *Reporter) deleteRecords(ctx context.Context, records map[keyedlog.Partition][]keyedlog.Record) {
	for partition, deletions := range records {
		if _, err := r.producer.Append(ctx, partition, deletions); err != nil {
			errorlog.Debug(r.config.Logger, "counts of reported windows not deleted", err, "partition", partition, "records", len(deletions))
		}
	}
}
