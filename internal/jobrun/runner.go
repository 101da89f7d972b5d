package jobrun

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
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
	Log       keyedlog.Log
	Ledger    *job.Ledger
	Followers []Follower
	Catalog   *catalog.Holder
	Splitter  *catalog.Splitter
	Directory *fleet.Directory
	Queue     *Queue
	Client    engineapi.Client
	Forwarder *forward.Forwarder
	Zone      string
	Limits    Limits
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

// Gained starts running the items of a partition.
func (h *Holder) Gained(ctx context.Context, partition keyedlog.Partition, epoch int64) ownership.Work {
	runCtx, cancel := context.WithCancel(ctx)
	runner := &runner{
		config: h.config, partition: partition, cancel: cancel,
		writer: newWriter(h.config.Log, partition, epoch, h.config.Limits, h.config.Logger),
		jobs:   make(map[string]*runningJob),
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

	mutex    sync.Mutex
	jobs     map[string]*runningJob
	released bool
}

type runningJob struct {
	cancel context.CancelFunc
	items  map[string]*execution
}

const (
	// scanLeast is the least time between two looks at all open jobs.
	scanLeast = 5 * time.Millisecond
	// checkpointEvery is how often the events of long items are kept for the next owner.
	checkpointEvery = time.Second
	// expireEvery is how often jobs that are past their retention are dropped, expireSlack how long after it.
	expireEvery = 10 * time.Second
	expireSlack = 30 * time.Second
)

// run takes the partition over and runs its items until the context ends or the owner is superseded.
func (r *runner) run(ctx context.Context) {
	end, err := r.writer.open(ctx)
	if err != nil {
		return
	}
	if err := r.config.Followers[r.partition.Number].WaitFor(ctx, end); err != nil {
		return
	}
	r.config.Logger.Info("partition taken over", "partition", r.partition, "epoch", r.writer.epoch, "end", end,
		"open_jobs", len(r.config.Ledger.OpenJobs(r.partition.Number)))
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		r.writer.run(ctx)
	}()
	r.watch(ctx, writerDone)
	r.stopAll()
}

// watch starts and stops items as jobs come and end.
func (r *runner) watch(ctx context.Context, writerDone <-chan struct{}) {
	checkpoint := time.NewTicker(checkpointEvery)
	defer checkpoint.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		changed := r.config.Ledger.Changed()
		r.scan(ctx)
		select {
		case <-changed:
			if !sleep(ctx, scanLeast) {
				return
			}
		case <-checkpoint.C:
			r.checkpoint()
		case <-expire.C:
			r.expire()
		case <-writerDone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// scan compares the open jobs with what runs.
func (r *runner) scan(ctx context.Context) {
	open := r.config.Ledger.OpenJobs(r.partition.Number)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.released {
		return
	}
	listed := make(map[string]bool, len(open))
	for _, view := range open {
		listed[view.Spec.ID] = true
		if _, running := r.jobs[view.Spec.ID]; !running {
			r.jobs[view.Spec.ID] = r.start(ctx, view)
		}
	}
	for id, running := range r.jobs {
		if !listed[id] {
			running.cancel()
			delete(r.jobs, id)
		}
	}
}

// start begins all items of a job that are not listed.
func (r *runner) start(ctx context.Context, view job.View) *runningJob {
	r.writer.startAt(view.Spec.ID, view.Listed)
	jobCtx, cancel := context.WithCancel(ctx)
	running := &runningJob{cancel: cancel, items: make(map[string]*execution)}
	carried := carriedGroups(view.Spec)
	for _, open := range r.config.Ledger.Open(view.Spec.ID) {
		execution := newExecution(r, view, open, carried[open.Item.Group])
		running.items[open.Item.ID] = execution
		go execution.run(jobCtx)
	}
	r.config.Logger.Info("job started", "job", view.Spec.ID, "open_items", len(running.items), "listed", view.Listed,
		"age", time.Since(view.AcceptedAt).Round(time.Millisecond))
	return running
}

// carriedGroups guesses nothing: a trainer puts the groups that it carries over first and submits the rest after them, but
// does not mark them, so that only their place tells. Until a mark exists no group is preferred.
func carriedGroups(*job.Spec) map[string]bool {
	return nil
}

// checkpoint keeps the events of items that have run for long since the last one.
func (r *runner) checkpoint() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, running := range r.jobs {
		for _, execution := range running.items {
			r.keepProgress(id, execution, false)
		}
	}
}

// keepProgress queues an item's events for the next owner. Unless all is set, only events that have waited for a whole
// checkpoint count.
func (r *runner) keepProgress(jobID string, execution *execution, all bool) {
	progress, changed := execution.checkpoint(all)
	if !changed {
		return
	}
	records, err := job.EncodeProgress(jobID, progress, r.config.Limits.RecordBytes)
	if err != nil {
		errorlog.Error(r.config.Logger, "progress does not encode", err, "job", jobID, "item", progress.ItemID)
		return
	}
	r.writer.keep(records)
}

// expire drops jobs that nobody may ask for any more.
func (r *runner) expire() {
	keys := r.config.Ledger.Expired(r.partition.Number, time.Now().Add(-r.config.Retention-expireSlack))
	if len(keys) == 0 {
		return
	}
	records := make([]keyedlog.Record, len(keys))
	for i, key := range keys {
		records[i] = keyedlog.Record{Key: key}
	}
	r.config.Logger.Info("jobs expired", "partition", r.partition, "records", len(records))
	r.writer.keep(records)
}

func (r *runner) stopAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, running := range r.jobs {
		running.cancel()
		delete(r.jobs, id)
	}
}

// Release keeps the events of all items for the next owner and stops them.
func (r *runner) Release(ctx context.Context) {
	r.mutex.Lock()
	r.released = true
	for id, running := range r.jobs {
		running.cancel()
		for _, execution := range running.items {
			r.keepProgress(id, execution, true)
		}
	}
	r.mutex.Unlock()
	r.writer.flush(ctx)
	r.cancel()
	r.active.Wait()
}

// Superseded is closed when another owner has a higher epoch.
func (r *runner) Superseded() <-chan struct{} {
	return r.writer.superseded
}
