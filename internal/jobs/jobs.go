// Package jobs is the gateway side of batch jobs, the same at every node: it makes a submission or an end durable before it
// is acknowledged, and answers reads from the fold. Where it can't be sure that a job does not exist it says so. Running the
// items is not its work.
package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"golang.org/x/sync/errgroup"
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

// Follower tells how far a partition was read.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
	CaughtUp() bool
}

// Config configures the service.
type Config struct {
	Log    keyedlog.Log
	Ledger *job.Ledger
	// Followers are those of the job partitions by number.
	Followers []Follower
	// RecordBytes and CallBytes bound a record and an append.
	RecordBytes int
	CallBytes   int
	Logger      *log.Logger
}

// Service answers calls on batch jobs. It is safe for concurrent use.
type Service struct {
	config Config
}

// New returns a service.
func New(config Config) *Service {
	return &Service{config: config}
}

const (
	// appendPause is the pause between appends that failed. The log bounds each append.
	appendPause = 60 * time.Millisecond
	// confirmTimeout bounds the reads that prove that a job does not exist.
	confirmTimeout = 700 * time.Millisecond
)

// Submit makes a submission durable. A job that is known already is done.
func (s *Service) Submit(ctx context.Context, spec job.Spec) Outcome {
	if _, known := s.config.Ledger.Job(spec.ID); known {
		s.config.Logger.Info("job is known already", "job", spec.ID)
		return Done
	}
	spec.SubmittedAt = time.Now().UnixMilli()
	records, err := job.EncodeSpec(spec, s.config.RecordBytes)
	if err != nil {
		errorlog.Error(s.config.Logger, "job does not encode", err, "job", spec.ID)
		return Refused
	}
	partition := job.PartitionOf(spec, s.config.Log.Partitions(keyedlog.TopicJobs))
	outcome := s.appendUntil(ctx, partition, records, func() bool {
		_, known := s.config.Ledger.Job(spec.ID)
		return known
	})
	s.config.Logger.Info("job submitted", "job", spec.ID, "outcome", outcome, "partition", partition, "items", len(spec.Items),
		"model", spec.Model, "step", spec.Step, "min_version", spec.MinVersion)
	return outcome
}

// End ends a job durably.
func (s *Service) End(ctx context.Context, id string) Outcome {
	view, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return outcome
	}
	if view.Ended {
		return Done
	}
	partition := keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: view.Partition}
	outcome = s.appendUntil(ctx, partition, []keyedlog.Record{job.EncodeEnd(id)}, func() bool {
		current, known := s.config.Ledger.Job(id)
		return known && current.Ended
	})
	s.config.Logger.Info("job ended", "job", id, "outcome", outcome, "listed", view.Listed, "items", len(view.Spec.Items))
	return outcome
}

// appendUntil appends records until the store says that they are there, or the fold shows them, or the context ends. The
// records may be appended twice without harm. Calls whose size is over the store's are split; only the last record completes
// the value.
func (s *Service) appendUntil(
	ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record, shown func() bool,
) Outcome {
	uncertain := false
	for {
		err := s.appendAll(ctx, partition, records)
		if err == nil {
			return Done
		}
		uncertain = uncertain || !errors.Is(err, keyedlog.ErrNotDone)
		if shown() {
			return Done
		}
		errorlog.Debug(s.config.Logger, "append failed", err, "partition", partition)
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

func (s *Service) appendAll(ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record) error {
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) {
			next := job.Size(records[count : count+1])
			if count > 0 && size+next > s.config.CallBytes {
				break
			}
			size += next
			count++
		}
		if _, err := s.config.Log.Append(ctx, partition, records[:count], nil); err != nil {
			return err
		}
		records = records[count:]
	}
	return nil
}

// lookUp returns a job, or proves that there is none.
func (s *Service) lookUp(ctx context.Context, id string) (job.View, Outcome) {
	if view, known := s.config.Ledger.Job(id); known {
		return view, Done
	}
	if err := s.confirm(ctx); err != nil {
		errorlog.Debug(s.config.Logger, "job is not known and the store does not answer", err, "job", id)
		return job.View{}, Unsure
	}
	if view, known := s.config.Ledger.Job(id); known {
		return view, Done
	}
	s.config.Logger.Info("job does not exist", "job", id)
	return job.View{}, NotFound
}

// confirm waits until the fold holds all that is in the store now.
func (s *Service) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for number, follower := range s.config.Followers {
		group.Go(func() error {
			partition := keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: number}
			page, err := s.config.Log.Newest(ctx, partition, lastKey)
			if err != nil {
				return err
			}
			return follower.WaitFor(ctx, page.End)
		})
	}
	return group.Wait()
}

// lastKey sorts after every key, so that a page after it holds nothing but the partition's end.
const lastKey = "~"

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
	view, outcome := s.lookUp(ctx, id)
	if outcome != Done {
		return Listing{}, outcome
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for view.Listed <= from && wait > 0 && view.Listed < len(view.Spec.Items) {
		select {
		case <-view.Changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
		next, known := s.config.Ledger.Job(id)
		if !known {
			return Listing{}, NotFound
		}
		view = next
	}
	results := s.config.Ledger.Results(id, from, listingBytes)
	return Listing{Total: len(view.Spec.Items), Results: results, Next: from + len(results)}, Done
}

// Body returns the body of an item.
func (s *Service) Body(ctx context.Context, id, itemID string) ([]byte, Outcome) {
	if _, outcome := s.lookUp(ctx, id); outcome != Done {
		return nil, outcome
	}
	item, found := s.config.Ledger.Item(id, itemID)
	if !found {
		return nil, NotFound
	}
	return item.Body, Done
}
