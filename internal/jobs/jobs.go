// Package jobs is the gateway side of batch jobs, the same at every node: it makes a submission or an end durable before it
// is acknowledged, and reads the results of the jobs that it is asked for. Where it can't be sure that a job does not exist it
// says so. Running the items is not its work.
package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
)

// Outcome says what became of a call.
type Outcome int

// Outcomes of calls.
const (
	// Done says that the call took effect, or had before.
	Done Outcome = iota
	// Refused says that the call had no effect and will have none.
	Refused
	// Unknown says that the call may have taken effect.
	Unknown
	// Unsure says that the node can't tell whether the job exists.
	Unsure
	// NotFound says that no such job, or no such item, exists.
	NotFound
)

var outcomeNames = [...]string{"done", "refused", "unknown", "unsure", "not_found"}

// String returns the name used in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Follower tells how far a partition was read, and whether the store answered last.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
	Connected() bool
}

// Config configures the service.
type Config struct {
	Log keyedlog.Log
	// Index tells which jobs there are; IndexFollower keeps it in step.
	Index         *job.Index
	IndexFollower Follower
	// Models returns the models that are trained, in order; nil stands for none.
	Models func() []string
	// RecordBytes and CallBytes bound a record and an append.
	RecordBytes int
	CallBytes   int
	Logger      *log.Logger
}

// Service answers calls on batch jobs. It is safe for concurrent use. Close ends its reading.
type Service struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc

	mutex   sync.Mutex
	readers map[string]*reader
	// parked holds readers that were given up of late.
	parked map[string]*reader
	// recent holds the jobs whose last call is less than backWithin ago, each until its timer ends.
	recent  map[string]*time.Timer
	reading sync.WaitGroup
}

// New returns a service.
func New(config Config) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		config: config, ctx: ctx, cancel: cancel, readers: make(map[string]*reader), parked: make(map[string]*reader),
		recent: make(map[string]*time.Timer),
	}
}

// Close ends all reading.
func (s *Service) Close() {
	s.cancel()
	s.reading.Wait()
}

const (
	// appendPause is the pause between appends that failed. The log bounds each append.
	appendPause = 60 * time.Millisecond
	// confirmTimeout bounds the reads that prove that a job does not exist.
	confirmTimeout = 700 * time.Millisecond
	// slowRead is how long the reading of a job's results may take without a line that tells of it.
	slowRead = 500 * time.Millisecond
	// lostPatience bounds a submission or an end while the store does not answer this node: long enough for one append to a
	// store that is back, and so short that the sender, who asks another node next, loses little to one that is cut off.
	lostPatience = 300 * time.Millisecond
)

// patient bounds a call that has to append by how long that may take now.
func (s *Service) patient(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.config.IndexFollower.Connected() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, lostPatience)
}

// Submit makes a submission durable: its items first, then the entry in the index that makes the job exist. Items without an
// entry are no job and never run. A job that is known already is done.
func (s *Service) Submit(ctx context.Context, spec job.Spec) Outcome {
	if status, known := s.config.Index.Job(spec.ID); known {
		s.config.Logger.Info("job is known already", "job", spec.ID, "tenant", spec.Tenant, "owner", status.Entry.Tenant)
		if status.Entry.Tenant != spec.Tenant {
			return Refused
		}
		return Done
	}
	ctx, cancel := s.patient(ctx)
	defer cancel()
	spec.SubmittedAt = time.Now().UnixMilli()
	records, err := job.EncodeSpec(spec, s.config.RecordBytes)
	if err != nil {
		errorlog.Error(s.config.Logger, "job does not encode", err, "job", spec.ID)
		return Refused
	}
	var models []string
	if s.config.Models != nil {
		models = s.config.Models()
	}
	partition := job.PartitionOf(spec, s.config.Log.Partitions(keyedlog.TopicJobs), models)
	outcome := s.enter(ctx, spec, partition, records)
	s.config.Logger.Info("job submitted", "job", spec.ID, "outcome", outcome, "partition", partition, "items", len(spec.Items),
		"tenant", spec.Tenant, "bytes", job.Size(records), "model", spec.Model, "step", spec.Step, "wanted", spec.Desired,
		"min_version", spec.MinVersion)
	return outcome
}

// enter appends a submission and its entry.
func (s *Service) enter(
	ctx context.Context, spec job.Spec, partition keyedlog.Partition, records []keyedlog.Record,
) Outcome {
	var offset, next int64
	for {
		var err error
		if offset, next, err = s.appendAll(ctx, partition, records); err == nil {
			break
		}
		errorlog.Debug(s.config.Logger, "append failed", err, "partition", partition)
		if !pause.For(ctx, appendPause) {
			return Refused
		}
	}
	entry, err := job.EncodeEntry(job.NewEntry(spec, partition, offset, next, job.Size(records)), strconv.FormatUint(rand.Uint64(), 36))
	if err != nil {
		errorlog.Error(s.config.Logger, "entry does not encode", err, "job", spec.ID)
		return Refused
	}
	return s.appendIndex(ctx, entry, func() bool {
		_, known := s.config.Index.Job(spec.ID)
		return known
	})
}

// Permit tells whether a tenant may ask for a job. One of another tenant does not exist for it. The tenant is empty where callers have
// none, and may ask for any.
func (s *Service) Permit(ctx context.Context, id, tenant string) Outcome {
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

// Public tells whether a job was submitted without a key, as on a public route: anyone may ask for it. It is false for a job that is not
// known here.
func (s *Service) Public(id string) bool {
	status, known := s.config.Index.Job(id)
	return known && status.Entry.Tenant == ""
}

// End ends a job durably.
func (s *Service) End(ctx context.Context, id string) Outcome {
	ctx, cancel := s.patient(ctx)
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

// appendIndex appends a record to the index until the store says that it is there, or the index shows it, or the context
// ends. The record may be appended twice without harm.
func (s *Service) appendIndex(ctx context.Context, record keyedlog.Record, shown func() bool) Outcome {
	uncertain := false
	for {
		_, err := s.config.Log.Append(ctx, keyedlog.JobIndex, []keyedlog.Record{record}, nil)
		if err == nil {
			return Done
		}
		uncertain = uncertain || !errors.Is(err, keyedlog.ErrNotDone)
		if shown() {
			return Done
		}
		errorlog.Debug(s.config.Logger, "append failed", err, "partition", keyedlog.JobIndex)
		if !pause.For(ctx, appendPause) {
			break
		}
	}
	switch {
	case shown():
		return Done
	case uncertain:
		return Unknown
	default:
		return Refused
	}
}

// appendAll appends records, in several calls if they are more than one takes, and returns the offset of the first and that
// after the last. Records of others may lie between.
func (s *Service) appendAll(
	ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record,
) (offset, next int64, err error) {
	offset = -1
	for _, call := range job.Calls(records, s.config.CallBytes) {
		appended, err := s.config.Log.Append(ctx, partition, call, nil)
		if err != nil {
			return 0, 0, err
		}
		if offset < 0 {
			offset = appended.Offset
		}
		next = appended.End
	}
	return offset, next, nil
}

// lookUp returns a job, or proves that there is none.
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

// confirm waits until the index holds all that is in the store now.
func (s *Service) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return follow.WaitUntilCurrent(ctx, s.config.Log, keyedlog.JobIndex, s.config.IndexFollower)
}

// Listing is a part of a job's results.
type Listing struct {
	Total   int
	Results []*job.Result
	// Next is the position after the last result.
	Next int
}

// listingBytes bounds the text of one listing; the platform's callers take 1 MB.
const listingBytes = 900 << 10

// Results returns the results from a position on, waiting up to wait for the first one.
func (s *Service) Results(ctx context.Context, id string, from int, wait time.Duration) (Listing, Outcome) {
	status, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return Listing{}, outcome
	}
	from = max(0, from)
	reader := s.reader(status, from)
	began := time.Now()
	err := reader.ready(ctx, from, listingBytes)
	defer func() { s.left(reader, err) }()
	if took := time.Since(began); err == nil && took > slowRead {
		s.config.Logger.Info("results of a job read slowly", "job", id, "partition", partitionOf(status.Entry),
			"took", took.Round(time.Millisecond), "position", from, "records", reader.read.records.Load(), "bytes", reader.read.bytes.Load(),
			"from", status.Entry.Next, "settled", status.Settled, "settled_end", status.SettledEnd)
	}
	if err != nil {
		errorlog.Warn(s.config.Logger, "results of a job were not read in time", err, "job", id, "partition", partitionOf(status.Entry),
			"from", status.Entry.Next, "settled", status.Settled, "settled_end", status.SettledEnd)
		return Listing{}, Unsure
	}
	reader.awaitResult(ctx, from, wait)
	s.checkWhole(reader)
	results := reader.ledger.Results(id, from, listingBytes)
	return Listing{Total: status.Entry.Items, Results: results, Next: from + len(results)}, Done
}

// checkWhole logs that results of a settled job are missing: one that was not ended has all of them, and none has a gap. It logs once a
// reader.
func (s *Service) checkWhole(r *reader) {
	select {
	case <-r.complete:
	default:
		return
	}
	status, known := s.config.Index.Job(r.entry.JobID)
	position, behind := r.ledger.Missing(r.entry.JobID)
	if !known || behind == 0 && (status.Ended || position >= r.entry.Items) {
		return
	}
	r.missed.Do(func() {
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
		if !pause.For(ctx, appendPause) {
			return nil, Unsure
		}
	}
}
