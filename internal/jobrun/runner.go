package jobrun

import (
	"context"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
	"github.com/hillfork/hillfork/internal/producer"
	"github.com/hillfork/hillfork/internal/quarantine"
)

// Limits bounds the size of records and of append calls, in bytes.
type Limits struct {
	RecordBytes int
	CallBytes   int
}

// Follower waits until a partition has been read up to an offset.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
}

// Config configures the runners of a process.
type Config struct {
	Log keyedlog.Log
	// Index holds the known jobs; IndexFollower updates it.
	Index         *job.Index
	IndexFollower Follower
	// Catalog holds the operator's configuration; CatalogFollower updates it.
	Catalog         *catalog.Holder
	CatalogFollower Follower
	Splitter        *catalog.Splitter
	Directory       *fleet.Directory
	Queue           *Queue
	// Mover moves runs off engines that leave, nil for none.
	Mover     *Mover
	Client    engineapi.Client
	Forwarder *forward.Forwarder
	// Quarantine withholds items that crash engines, nil for none.
	Quarantine *quarantine.Quarantine
	Zone       string
	Limits     Limits
	// Retention is how long a job is kept after its submission.
	Retention time.Duration
	Metrics   *Metrics
	Logger    *log.Logger
}

// Holder starts the runners of job partitions. It implements ownership.Holder.
type Holder struct {
	config   Config
	producer *producer.Producer
}

// NewHolder returns a Holder that starts runners with the given configuration.
func NewHolder(config Config) *Holder {
	return &Holder{config: config, producer: producer.New(config.Log)}
}

// Gained starts a runner for a partition that was assigned to this process with the given generation.
func (h *Holder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	runCtx, cancel := context.WithCancel(ctx)
	runner := &runner{
		config: h.config, producer: h.producer, partition: partition, cancel: cancel, ledger: job.NewLedger(h.config.Index, partition),
		writer: newWriter(fencing.New(fencing.Config{
			Log: h.config.Log, Partition: partition, Name: writerName, Generation: generation, Logger: h.config.Logger,
		}), h.config.Limits, h.config.Logger),
		jobs: make(map[string]*runningJob), settling: make(map[string]bool), partialTexts: make(map[string]*job.Progress),
		engineUsage: make(map[string]job.SlotTime),
	}
	runner.active.Add(1)
	go func() {
		defer runner.active.Done()
		runner.run(runCtx)
	}()
	return runner
}

// runner runs the items of one partition while this process owns it. It implements ownership.Work.
type runner struct {
	config    Config
	partition keyedlog.Partition
	writer    *writer
	// producer stores records that need no epoch. All runners of the process share it.
	producer *producer.Producer
	cancel   context.CancelFunc
	active   sync.WaitGroup
	// ledger holds the records of the partition from the offset readFrom on. readFrom and settling are accessed by the goroutine
	// of run only.
	ledger   *job.Ledger
	readFrom int64
	settling map[string]bool
	// expiring is set while dropExpired is running.
	expiring atomic.Bool

	// lengths estimates the lengths of the partition's items. It is guarded by lengthMutex.
	lengthMutex sync.Mutex
	lengths     policy.Lengths

	mutex   sync.Mutex
	jobs    map[string]*runningJob
	stopped bool
	// partialTexts holds the incomplete texts of items of ended jobs, by item ID.
	partialTexts map[string]*job.Progress
	// engineUsage holds the engine time that ended jobs have used, by job ID, until they are settled.
	engineUsage map[string]job.SlotTime
}

type runningJob struct {
	cancel context.CancelFunc
	spec   *job.Spec
	items  map[string]*execution
	// carried holds the groups that the trainer waits for, no matter which others are complete.
	carried  map[string]bool
	critical *criticalEvents
	// progressSeen is the job's progress count at the last time that progress was offered to its items.
	progressSeen int
	// ranFromStart reports that this process has run all items of the job from their beginning.
	ranFromStart bool
}

const (
	// minScanInterval is the minimum time between two scans of all open jobs.
	minScanInterval = 5 * time.Millisecond
	// checkpointInterval is how often the events of long items are stored for the next owner, and the critical events of jobs are
	// updated. It bounds the work that is lost when an owner fails, which matters for steps of a few seconds. All items of one
	// partition are stored by one append.
	checkpointInterval = 250 * time.Millisecond
	// saveTimeout bounds the storing of progress after the partition was lost.
	saveTimeout = time.Second
	// expireInterval is how often jobs that are past their retention are deleted. expireSlack is the delay after the end of the
	// retention.
	expireInterval = 10 * time.Second
	expireSlack    = 30 * time.Second
	// openRetention is how long a job is kept whose results are all listed and that its caller does not end. A caller that has not ended
	// it within a day is gone.
	openRetention = 24 * time.Hour
)

// run takes the partition over and runs its items until the context ends or the owner is superseded.
func (r *runner) run(ctx context.Context) {
	end, err := r.writer.Open(ctx)
	if err != nil || !r.confirmIndex(ctx) {
		return
	}
	follower := r.follow(ctx, end)
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.active.Go(func() { follower.Run(followCtx) })
	if err := follower.WaitFor(ctx, end); err != nil {
		return
	}
	r.config.Logger.Info("partition taken over", "partition", r.partition, "epoch", r.writer.Epoch(), "from", r.readFrom,
		"end", end, "open_jobs", len(r.ledger.OpenJobs()))
	writerDone := make(chan struct{})
	r.active.Go(func() {
		defer close(writerDone)
		r.writer.run(ctx)
	})
	r.watch(ctx, writerDone)
	r.stopAll()
	saveCtx, cancelSave := context.WithTimeout(context.WithoutCancel(ctx), saveTimeout)
	defer cancelSave()
	r.saveAllProgress(saveCtx)
}

// watch starts and stops items as jobs are submitted and end.
func (r *runner) watch(ctx context.Context, writerDone <-chan struct{}) {
	checkpoint := time.NewTicker(checkpointInterval)
	defer checkpoint.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		changed, indexChanged := r.ledger.Changed(), r.config.Index.Changed()
		r.readEarlier(ctx)
		r.scan(ctx)
		r.settleJobs(ctx)
		select {
		case <-changed:
			if !pause.For(ctx, minScanInterval) {
				return
			}
		case <-indexChanged:
		case <-checkpoint.C:
			r.checkpoint()
		case <-expire.C:
			r.active.Go(func() { r.dropExpired(ctx) })
		case <-writerDone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// scan starts jobs that are open and not running, and stops running jobs that are no longer open. It passes on new progress
// that other owners have stored.
func (r *runner) scan(ctx context.Context) {
	open := r.ledger.OpenJobs()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped {
		return
	}
	batch := r.config.Queue.BeginBatch()
	defer batch.Close()
	listed := make(map[string]bool, len(open))
	for _, view := range open {
		listed[view.Spec.ID] = true
		running, ok := r.jobs[view.Spec.ID]
		if !ok {
			r.jobs[view.Spec.ID] = r.startJob(ctx, view, batch)
			continue
		}
		if view.ProgressCount > running.progressSeen {
			r.offerProgress(view, running)
		}
	}
	for id, running := range r.jobs {
		if !listed[id] {
			running.cancel()
			delete(r.jobs, id)
			if !r.settling[id] {
				r.engineUsage[id] = running.usage(time.Now())
			}
			r.savePartialTexts(running)
		}
	}
}

// offerProgress passes progress that another owner has stored to the items of a job. Items that are further ignore it.
func (r *runner) offerProgress(view job.View, running *runningJob) {
	running.progressSeen = view.ProgressCount
	for _, open := range r.ledger.Open(view.Spec.ID) {
		if execution, ok := running.items[open.Item.ID]; ok && open.Progress != nil {
			execution.offerProgress(open.Progress)
		}
	}
}

// startJob starts all items of a job that are not listed, as part of a batch.
func (r *runner) startJob(ctx context.Context, view job.View, batch *Batch) *runningJob {
	carried := r.carriedGroups(view.Spec)
	r.writer.startJob(view.Spec.ID, view.Listed, newWantedGroups(view.Spec, carried, r.ledger.Results(view.Spec.ID, 0, math.MaxInt)))
	r.recordListedLengths(view)
	jobCtx, cancel := context.WithCancel(ctx)
	running := &runningJob{
		cancel: cancel, spec: view.Spec, items: make(map[string]*execution), progressSeen: view.ProgressCount,
		ranFromStart: view.Listed == 0 && view.ProgressCount == 0, carried: carried, critical: &criticalEvents{},
	}
	openItems := r.ledger.Open(view.Spec.ID)
	for _, open := range openItems {
		if earlier := r.earlierProgress(view.Spec, open); earlier != nil {
			open.Progress = earlier
		}
		execution := newExecution(r, view, open, running.carried[open.Item.Group])
		execution.critical = running.critical
		execution.queued = batch.Add()
		running.items[open.Item.ID] = execution
	}
	running.critical.update(running)
	for _, open := range openItems {
		go running.items[open.Item.ID].run(jobCtx)
	}
	r.config.Logger.Info("job started", "job", view.Spec.ID, "open_items", len(running.items), "listed", view.Listed,
		"age", time.Since(view.AcceptedAt).Round(time.Millisecond))
	return running
}

// expectedEvents returns the expected number of further events of an item that has produced made events so far, or 0 if nothing
// is known.
func (r *runner) expectedEvents(estimate, made int) float64 {
	r.lengthMutex.Lock()
	defer r.lengthMutex.Unlock()
	return r.lengths.Remaining(estimate, made)
}

// recordLength records the number of events of a complete item.
func (r *runner) recordLength(estimate, events int) {
	r.lengthMutex.Lock()
	defer r.lengthMutex.Unlock()
	r.lengths.Observe(estimate, events)
}

// recordListedLengths records the lengths of a job's items that are listed already: an owner that has just started knows no
// others.
func (r *runner) recordListedLengths(view job.View) {
	estimates := make(map[string]int, len(view.Spec.Items))
	for _, item := range view.Spec.Items {
		estimates[item.ID] = item.LengthHint
	}
	for _, result := range r.ledger.Results(view.Spec.ID, 0, math.MaxInt) {
		if !result.Dead {
			r.recordLength(estimates[result.ItemID], 1+strings.Count(result.Text, "\n"))
		}
	}
}

// checkpoint updates the critical events of all jobs, and stores the events of long items since the last checkpoint.
func (r *runner) checkpoint() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, running := range r.jobs {
		running.critical.update(running)
		for _, execution := range running.items {
			r.saveProgress(id, execution)
		}
	}
}

// saveProgress queues an item's new events for storing, if there are enough of them since the last checkpoint.
func (r *runner) saveProgress(jobID string, execution *execution) {
	progress, piece, due := execution.checkpoint()
	if !due {
		return
	}
	records, err := job.EncodeProgress(jobID, execution.ordinal, piece, progress, r.config.Limits.RecordBytes)
	if err != nil {
		errorlog.Error(r.config.Logger, "progress does not encode", err, "job", jobID, "item", progress.ItemID)
		return
	}
	r.writer.save(jobID, records)
}

// stopAll stops all items and prevents that further ones are started.
func (r *runner) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stopped = true
	for _, running := range r.jobs {
		running.cancel()
	}
}

// saveAllProgress stores the progress of all items that are not listed. It appends without a fence, so that a superseded owner
// does not lose what it produced while the store was not reachable.
func (r *runner) saveAllProgress(ctx context.Context) {
	var records []keyedlog.Record
	r.mutex.Lock()
	for id, running := range r.jobs {
		for _, open := range r.ledger.Open(id) {
			execution, ok := running.items[open.Item.ID]
			if !ok {
				continue
			}
			progress, changed := execution.progress()
			if !changed {
				continue
			}
			encoded, err := job.EncodeProgress(id, execution.ordinal, 0, progress, r.config.Limits.RecordBytes)
			if err != nil {
				errorlog.Error(r.config.Logger, "progress does not encode", err, "job", id, "item", progress.ItemID)
				continue
			}
			records = append(records, encoded...)
		}
	}
	r.mutex.Unlock()
	if len(records) == 0 {
		return
	}
	err := r.appendUnfenced(ctx, records)
	r.config.Logger.Info("progress kept", "partition", r.partition, "epoch", r.writer.Epoch(), "records", len(records), "error", err)
}

// appendUnfenced appends records without the owner's epoch, retrying each call until it succeeds or the context ends.
func (r *runner) appendUnfenced(ctx context.Context, records []keyedlog.Record) error {
	for _, call := range job.SplitAppends(records, r.config.Limits.CallBytes) {
		if _, err := r.producer.AppendRetrying(ctx, r.partition, call, producer.Retry{Interval: appendRetryInterval}); err != nil {
			return err
		}
	}
	return nil
}

// Release implements ownership.Work: it stops all items, lists the results that are finished, and stores the progress of the
// others for the next owner.
func (r *runner) Release(ctx context.Context) {
	r.stopAll()
	r.writer.flush(ctx)
	r.cancel()
	r.active.Wait()
}

// Superseded returns a channel that is closed when another owner has a higher epoch.
func (r *runner) Superseded() <-chan struct{} {
	return r.writer.Superseded()
}
