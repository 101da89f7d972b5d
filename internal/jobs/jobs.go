// Package jobs implements the gateway side of batch jobs, which is the same at every node. It makes the submission or the
// end of a job durable before acknowledging it, and reads the results of jobs on request. If it can't be sure that a job
// does not exist, it reports that. It does not run the items.
package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/producer"
)

// Outcome is the result of a call.
type Outcome int

// Outcomes of calls.
const (
	// Done means that the call took effect, now or earlier.
	Done Outcome = iota
	// Refused means that the call had no effect and will have none.
	Refused
	// Unknown means that the call may have taken effect.
	Unknown
	// Unsure means that the node can't determine whether the job exists.
	Unsure
	// NotFound means that no such job, or no such item, exists.
	NotFound
	// NoHome means that the submission had no effect and will have none, and that no region to which the job is bound can run
	// it now.
	NoHome
)

var outcomeNames = [...]string{"done", "refused", "unknown", "unsure", "not_found", "no_home"}

// String returns the name used in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Follower waits until a partition was read up to an offset, and reports whether the last call to the store got an answer. Hurry ends
// its current pause between reads.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
	Connected() bool
	Hurry()
}

// Config configures the service.
type Config struct {
	Log keyedlog.Log
	// Index lists the existing jobs; IndexFollower keeps it up to date.
	Index         *job.Index
	IndexFollower Follower
	// Models returns the models that are trained, in order. A nil function means that there are none.
	Models func() []string
	// Catalog holds the operator's configuration, which states the regions that jobs are bound to; nil if they are bound to
	// none. Regions are the regions of the fleet, Engines its engines.
	Catalog *catalog.Holder
	Regions []string
	Engines EngineDirectory
	// RecordBytes and CallBytes limit the size of one record and of one append.
	RecordBytes int
	CallBytes   int
	Logger      *log.Logger
}

// Service handles calls on batch jobs. It is safe for concurrent use. Close stops all reads.
type Service struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	// producer stores submissions and the ends of jobs.
	producer *producer.Producer
	owners   owners
	holds    HoldStats

	mutex   sync.Mutex
	readers map[string]*reader
	// parked holds the readers that were recently abandoned before they had caught up, so that a later call can resume them.
	parked map[string]*reader
	// recentJobs holds the jobs whose last call is less than returnWindow ago, each with the timer that removes it.
	recentJobs map[string]*time.Timer
	// recordSize is the estimated size of the records of jobs.
	recordSize follow.RecordSize
	stats      counters
	reading    sync.WaitGroup
}

// New returns a service without readers; they start with the first calls.
func New(config Config) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config: config, ctx: ctx, cancel: cancel, producer: producer.New(config.Log), readers: make(map[string]*reader), parked: make(map[string]*reader),
		recentJobs: make(map[string]*time.Timer),
	}
	s.owners = owners{config: &s.config, known: make(map[keyedlog.HomeSet]ownersRead)}
	return s
}

// Close stops all reads and waits until they have ended.
func (s *Service) Close() {
	s.cancel()
	s.reading.Wait()
}

const (
	// appendRetryInterval is the pause after a failed append. The log itself limits the duration of each append.
	appendRetryInterval = 60 * time.Millisecond
	// confirmTimeout limits the duration of the reads that prove that a job does not exist.
	confirmTimeout = 700 * time.Millisecond
	// slowReadThreshold is the duration above which reading a job's results is logged.
	slowReadThreshold = 500 * time.Millisecond
	// disconnectedTimeout limits a call while the store does not answer this node. It is long enough for one call to a store
	// that has recovered, and short enough that the caller, which tries another node next, loses little time to a node that
	// is disconnected from the store.
	disconnectedTimeout = 300 * time.Millisecond
)

// withStoreTimeout limits the duration of a call that needs the store if the store does not answer this node now.
func (s *Service) withStoreTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.config.IndexFollower.Connected() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, disconnectedTimeout)
}

// Authorize reports whether a tenant may access a job: Done if it may, NotFound for a job of another tenant. An empty tenant
// means that callers have no tenants; such a caller may access any job.
func (s *Service) Authorize(ctx context.Context, id, tenant string) Outcome {
	status, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return outcome
	}
	if tenant != "" && status.Entry.Tenant != "" && status.Entry.Tenant != tenant {
		s.config.Logger.Info("job is another tenant's", "job", id, "tenant", tenant, "owner", status.Entry.Tenant)
		return NotFound
	}
	return Done
}

// IsPublic reports whether a job was submitted without a key, as on a public route, so that every caller may access it. It
// returns false for a job that is not in this node's index.
func (s *Service) IsPublic(id string) bool {
	status, known := s.config.Index.Job(id)
	return known && status.Entry.Tenant == ""
}

// End ends a job and returns once the end is durable.
func (s *Service) End(ctx context.Context, id string) Outcome {
	ctx, cancel := s.withStoreTimeout(ctx)
	defer cancel()
	status, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return outcome
	}
	if status.Ended {
		return Done
	}
	outcome = s.appendIndex(ctx, job.EncodeEnd(id), func() bool {
		current, known := s.config.Index.Job(id)
		return known && current.Ended
	})
	s.config.Logger.Info("job ended", "job", id, "outcome", outcome, "items", status.Entry.Items)
	return outcome
}

// lookUp returns a job, or proves that it does not exist.
func (s *Service) lookUp(ctx context.Context, id string) (job.Status, Outcome) {
	if status, known := s.config.Index.Job(id); known {
		return status, Done
	}
	if err := s.confirm(ctx); err != nil {
		errorlog.Warn(s.config.Logger, "job is not known and the store does not answer", err, "job", id)
		return job.Status{}, Unsure
	}
	if status, known := s.config.Index.Job(id); known {
		return status, Done
	}
	s.config.Logger.Info("job does not exist", "job", id)
	return job.Status{}, NotFound
}

// confirm waits until the index contains everything that is in the store at the time of the call.
func (s *Service) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return follow.WaitUntilCurrent(ctx, s.config.Log, keyedlog.JobIndex, s.config.IndexFollower)
}

// Listing is a page of a job's results.
type Listing struct {
	Total   int
	Results []*job.Result
	// Next is the position after the last result of the page.
	Next int
}

// listingBytes limits the text of one listing; the platform's callers accept 1 MB.
const listingBytes = 900 << 10

// resultsCall is a call of Results.
type resultsCall struct {
	from    int
	wait    time.Duration
	started time.Time
}

// Results returns the results of a job from a position on. If there are none yet, it waits for the first one for at most
// wait. If the job has a trainer, it may hold the read for a part of that time while results arrive, and answers at once when
// the trainer can act on the answer (see holdTime).
func (s *Service) Results(ctx context.Context, id string, from int, wait time.Duration) (Listing, Outcome) {
	status, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return Listing{}, outcome
	}
	from = max(0, from)
	reader := s.reader(status, from)
	started := time.Now()
	readCtx, cancel := s.withStoreTimeout(ctx)
	defer cancel()
	err := reader.waitReady(readCtx, from, listingBytes)
	if err == nil {
		err = s.waitCurrent(readCtx, reader, from, started)
	}
	defer func() { s.release(reader, err) }()
	if elapsed := time.Since(started); err == nil && elapsed > slowReadThreshold {
		s.config.Logger.Info("results of a job read slowly", "job", id, "partition", partitionOf(status.Entry),
			"took", elapsed.Round(time.Millisecond), "position", from, "records", reader.readLog.records.Load(), "bytes", reader.readLog.bytes.Load(),
			"from", status.Entry.Next, "settled", status.Settled, "settled_end", status.SettledEnd, "tail", reader.tail)
	}
	if err != nil {
		errorlog.Warn(s.config.Logger, "results of a job were not read in time", err, "job", id, "partition", partitionOf(status.Entry),
			"from", status.Entry.Next, "settled", status.Settled, "settled_end", status.SettledEnd)
		return Listing{}, Unsure
	}
	ready := time.Now()
	s.hold(ctx, reader, resultsCall{from: from, wait: wait, started: started})
	reader.waitResult(ctx, from, wait-time.Since(ready))
	s.logMissingResults(reader)
	results := reader.ledger.Results(id, from, listingBytes)
	return Listing{Total: status.Entry.Items, Results: results, Next: from + len(results)}, Done
}

// logMissingResults logs, once per reader, that results of a settled job are missing: a job that settled without having been
// ended has all its results, and no settled job has a gap between results.
func (s *Service) logMissingResults(r *reader) {
	select {
	case <-r.complete:
	default:
		return
	}
	status, known := s.config.Index.Job(r.entry.JobID)
	position, behind := r.ledger.FirstGap(r.entry.JobID)
	if !known || behind == 0 && (status.Ended || position >= r.entry.Items) {
		return
	}
	r.logMissingOnce.Do(func() {
		s.config.Logger.Error("results of a settled job are missing", "job", r.entry.JobID, "partition", partitionOf(r.entry),
			"position", position, "behind", behind, "items", r.entry.Items, "from", r.base, "ended", status.Ended, "settled_end", status.SettledEnd)
	})
}

// Body returns the body of an item.
func (s *Service) Body(ctx context.Context, id, itemID string) ([]byte, Outcome) {
	status, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return nil, outcome
	}
	ctx, cancel := s.withStoreTimeout(ctx)
	defer cancel()
	for {
		item, err := s.item(ctx, status.Entry, itemID)
		switch {
		case err != nil:
			errorlog.Warn(s.config.Logger, "body of an item not read", err, "job", id, "item", itemID)
		case item == nil:
			return nil, NotFound
		default:
			return item.Body, Done
		}
		if !pause.For(ctx, appendRetryInterval) {
			return nil, Unsure
		}
	}
}
