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
	"github.com/hillfork/hillfork/internal/quarantine"
)

// Limits bounds records and appends, in bytes.
type Limits struct {
	RecordBytes int
	CallBytes   int
}

// Follower tells how far a partition was read.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
}

// Config configures the runners of a process.
type Config struct {
	Log keyedlog.Log
	// Index tells which jobs there are; IndexFollower keeps it in step.
	Index         *job.Index
	IndexFollower Follower
	// Catalog is what the operator has configured; CatalogFollower keeps it in step.
	Catalog         *catalog.Holder
	CatalogFollower Follower
	Splitter        *catalog.Splitter
	Directory       *fleet.Directory
	Queue           *Queue
	Client          engineapi.Client
	Forwarder       *forward.Forwarder
	// Quarantine watches items whose engines end, nil for none.
	Quarantine *quarantine.Quarantine
	Zone       string
	Limits     Limits
	// Retention is how long a job is kept after it was submitted.
	Retention time.Duration
	Measures  *Measures
	Logger    *log.Logger
}

// Holder starts the runner of a partition; it implements ownership.Holder for job partitions.
type Holder struct {
	config Config
}

// NewHolder returns a holder.
func NewHolder(config Config) *Holder {
	return &Holder{config: config}
}

// Gained starts running the items of a partition that was dealt under a generation.
func (h *Holder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	runCtx, cancel := context.WithCancel(ctx)
	runner := &runner{
		config: h.config, partition: partition, cancel: cancel, ledger: job.NewLedger(h.config.Index, partition.Number),
		writer: newWriter(fencing.New(fencing.Config{
			Log: h.config.Log, Partition: partition, Name: writerName, Generation: generation, Logger: h.config.Logger,
		}), h.config.Limits, h.config.Logger),
		jobs: make(map[string]*runningJob), settling: make(map[string]bool), leftovers: make(map[string]*job.Progress),
		took: make(map[string]job.Took),
	}
	runner.active.Add(1)
	go func() {
		defer runner.active.Done()
		runner.run(runCtx)
	}()
	return runner
}

// runner runs the items of one partition while this process owns it.
type runner struct {
	config    Config
	partition keyedlog.Partition
	writer    *writer
	cancel    context.CancelFunc
	active    sync.WaitGroup
	// ledger holds the partition from the offset covered on. Only the goroutine of run touches covered and settling.
	ledger   *job.Ledger
	covered  int64
	settling map[string]bool
	// expiring is set while expired jobs are being dropped.
	expiring atomic.Bool

	// lengths learns how long the partition's items are.
	lengthMutex sync.Mutex
	lengths     policy.Lengths

	mutex    sync.Mutex
	jobs     map[string]*runningJob
	released bool
	// leftovers holds the text of items of ended jobs that were not listed.
	leftovers map[string]*job.Progress
	// took is what ended jobs took of engines that are not settled yet.
	took map[string]job.Took
}

type runningJob struct {
	cancel context.CancelFunc
	spec   *job.Spec
	items  map[string]*execution
	// carried holds the groups that the trainer waits for whatever others are whole.
	carried  map[string]bool
	critical *criticalEvents
	// progressed is how much progress of the job has been looked at.
	progressed int
	// whole says that this process has run all items of the job from their beginning.
	whole bool
}

const (
	// scanLeast is the least time between two looks at all open jobs.
	scanLeast = 5 * time.Millisecond
	// checkpointEvery is how often the events of long items are kept for the next owner, and the critical events of jobs are updated. It
	// bounds what an owner's death costs a step of a few seconds. Items of one partition are kept by one append.
	checkpointEvery = 250 * time.Millisecond
	// keepTimeout bounds the keeping of progress when the partition was lost.
	keepTimeout = time.Second
	// expireEvery is how often jobs that are past their retention are dropped, expireSlack how long after it.
	expireEvery = 10 * time.Second
	expireSlack = 30 * time.Second
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
	r.config.Logger.Info("partition taken over", "partition", r.partition, "epoch", r.writer.Epoch(), "from", r.covered,
		"end", end, "open_jobs", len(r.ledger.OpenJobs()))
	writerDone := make(chan struct{})
	r.active.Go(func() {
		defer close(writerDone)
		r.writer.run(ctx)
	})
	r.watch(ctx, writerDone)
	r.stopAll()
	keepCtx, cancelKeep := context.WithTimeout(context.WithoutCancel(ctx), keepTimeout)
	defer cancelKeep()
	r.keepAll(keepCtx)
}

// watch starts and stops items as jobs come and end.
func (r *runner) watch(ctx context.Context, writerDone <-chan struct{}) {
	checkpoint := time.NewTicker(checkpointEvery)
	defer checkpoint.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		changed, indexChanged := r.ledger.Changed(), r.config.Index.Changed()
		r.cover(ctx)
		r.scan(ctx)
		r.settle(ctx)
		select {
		case <-changed:
			if !pause.For(ctx, scanLeast) {
				return
			}
		case <-indexChanged:
		case <-checkpoint.C:
			r.checkpoint()
		case <-expire.C:
			r.active.Go(func() { r.expire(ctx) })
		case <-writerDone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// scan compares the open jobs with what runs.
func (r *runner) scan(ctx context.Context) {
	open := r.ledger.OpenJobs()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.released {
		return
	}
	listed := make(map[string]bool, len(open))
	for _, view := range open {
		listed[view.Spec.ID] = true
		running, ok := r.jobs[view.Spec.ID]
		if !ok {
			r.jobs[view.Spec.ID] = r.start(ctx, view)
			continue
		}
		if view.Progressed > running.progressed {
			r.adopt(view, running)
		}
	}
	for id, running := range r.jobs {
		if !listed[id] {
			running.cancel()
			delete(r.jobs, id)
			if !r.settling[id] {
				r.took[id] = running.took(time.Now())
			}
			r.keepLeftovers(running)
		}
	}
}

// adopt hands progress that another owner has kept to the items that have not come as far.
func (r *runner) adopt(view job.View, running *runningJob) {
	running.progressed = view.Progressed
	for _, open := range r.ledger.Open(view.Spec.ID) {
		if execution, ok := running.items[open.Item.ID]; ok && open.Progress != nil {
			execution.adopt(open.Progress)
		}
	}
}

// start begins all items of a job that are not listed.
func (r *runner) start(ctx context.Context, view job.View) *runningJob {
	r.writer.startAt(view.Spec.ID, view.Listed)
	r.learnListed(view)
	jobCtx, cancel := context.WithCancel(ctx)
	running := &runningJob{
		cancel: cancel, spec: view.Spec, items: make(map[string]*execution), progressed: view.Progressed,
		whole: view.Listed == 0 && view.Progressed == 0, carried: r.carriedGroups(view.Spec), critical: &criticalEvents{},
	}
	openItems := r.ledger.Open(view.Spec.ID)
	for _, open := range openItems {
		if kept := r.kept(view.Spec, open); kept != nil {
			open.Progress = kept
		}
		execution := newExecution(r, view, open, running.carried[open.Item.Group])
		execution.critical = running.critical
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

// left is how many events are expected of an item of which some have come.
func (r *runner) left(estimate, made int) float64 {
	r.lengthMutex.Lock()
	defer r.lengthMutex.Unlock()
	return r.lengths.Remaining(estimate, made)
}

// learnLength takes how many events an item came to.
func (r *runner) learnLength(estimate, events int) {
	r.lengthMutex.Lock()
	defer r.lengthMutex.Unlock()
	r.lengths.Observe(estimate, events)
}

// learnListed takes the lengths of a job's items that are listed already: an owner that has just begun knows no others.
func (r *runner) learnListed(view job.View) {
	estimates := make(map[string]int, len(view.Spec.Items))
	for _, item := range view.Spec.Items {
		estimates[item.ID] = item.LengthHint
	}
	for _, result := range r.ledger.Results(view.Spec.ID, 0, math.MaxInt) {
		if !result.Dead {
			r.learnLength(estimates[result.ItemID], 1+strings.Count(result.Text, "\n"))
		}
	}
}

// checkpoint keeps the events of items that have run for long since the last one.
func (r *runner) checkpoint() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, running := range r.jobs {
		running.critical.update(running)
		for _, execution := range running.items {
			r.keepProgress(id, execution)
		}
	}
}

// keepProgress queues an item's events for the next owner, if it has come far enough since the last time.
func (r *runner) keepProgress(jobID string, execution *execution) {
	progress, piece, worth := execution.checkpoint()
	if !worth {
		return
	}
	records, err := job.EncodeProgress(jobID, execution.ordinal, piece, progress, r.config.Limits.RecordBytes)
	if err != nil {
		errorlog.Error(r.config.Logger, "progress does not encode", err, "job", jobID, "item", progress.ItemID)
		return
	}
	r.writer.keep(jobID, records)
}

// stopAll stops all items and starts no further ones.
func (r *runner) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.released = true
	for _, running := range r.jobs {
		running.cancel()
	}
}

// keepAll keeps how far the items have come that are not listed. It needs no fence, so that a superseded owner does not lose
// what it finished while the store was away.
func (r *runner) keepAll(ctx context.Context) {
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

// appendUnfenced appends records, each call until it is done or the context ends.
func (r *runner) appendUnfenced(ctx context.Context, records []keyedlog.Record) error {
	calls := job.Calls(records, r.config.Limits.CallBytes)
	for len(calls) > 0 {
		if _, err := r.config.Log.Append(ctx, r.partition, calls[0], nil); err != nil {
			if !pause.For(ctx, appendPause) {
				return err
			}
			continue
		}
		calls = calls[1:]
	}
	return nil
}

// Release lists what is finished, keeps the progress of the rest for the next owner and stops all items.
func (r *runner) Release(ctx context.Context) {
	r.stopAll()
	r.writer.flush(ctx)
	r.cancel()
	r.active.Wait()
}

// Superseded is closed when another owner has a higher epoch.
func (r *runner) Superseded() <-chan struct{} {
	return r.writer.Superseded()
}
