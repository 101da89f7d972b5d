package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/producer"
)

// Submit makes a submission durable: first its items, then the index entry that makes the job exist. Items without an entry
// are not a job and never run. Submitting a job that already exists returns Done. A job that is bound to regions is stored in
// the topic of its home set, which only processes of these regions own.
func (s *Service) Submit(ctx context.Context, spec job.Spec) Outcome {
	if status, known := s.config.Index.Job(spec.ID); known {
		s.config.Logger.Info("job is known already", "job", spec.ID, "tenant", spec.Tenant, "owner", status.Entry.Tenant)
		if status.Entry.Tenant != spec.Tenant {
			return Refused
		}
		return Done
	}
	ctx, cancel := s.withStoreTimeout(ctx)
	defer cancel()
	homes, cause := s.homesOf(ctx, spec)
	if cause != "" {
		s.config.Logger.Info("job refused for its homes", "job", spec.ID, "route", spec.Route, "tenant", spec.Tenant, "homes", homes,
			"cause", cause)
		return NoHome
	}
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
	partition := job.PartitionOf(spec, s.config.Log.Partitions(homes.Topic()), models)
	partition.Topic = homes.Topic()
	outcome := s.appendSubmission(ctx, spec, partition, records)
	s.config.Logger.Info("job submitted", "job", spec.ID, "outcome", outcome, "partition", partition, "items", len(spec.Items),
		"tenant", spec.Tenant, "bytes", job.Size(records), "model", spec.Model, "step", spec.Step, "wanted", spec.Desired,
		"min_version", spec.MinVersion)
	return outcome
}

// appendSubmission appends the records of a submission and then its index entry.
func (s *Service) appendSubmission(
	ctx context.Context, spec job.Spec, partition keyedlog.Partition, records []keyedlog.Record,
) Outcome {
	offset, next, err := s.appendAll(ctx, partition, records)
	if err != nil {
		return Refused
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

// appendIndex appends a record to the index until the store confirms it, the index contains it as reported by applied, or
// the context ends.
func (s *Service) appendIndex(ctx context.Context, record keyedlog.Record, applied func() bool) Outcome {
	uncertain := false
	pending := s.producer.Begin(keyedlog.JobIndex, []keyedlog.Record{record})
	defer pending.Close()
	for {
		_, err := pending.Send(ctx)
		if err == nil {
			return Done
		}
		uncertain = uncertain || !errors.Is(err, keyedlog.ErrNotDone)
		if applied() {
			return Done
		}
		errorlog.Debug(s.config.Logger, "append failed", err, "partition", keyedlog.JobIndex)
		if !pause.For(ctx, appendRetryInterval) {
			break
		}
	}
	switch {
	case applied():
		return Done
	case uncertain:
		return Unknown
	default:
		return Refused
	}
}

// appendAll appends records, in several calls if they exceed the size of one, and returns the offset of the first record and
// the offset after the last. Records of other jobs may lie in between. It fails only with the context's error.
func (s *Service) appendAll(
	ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record,
) (offset, next int64, err error) {
	offset = -1
	retry := producer.Retry{Interval: appendRetryInterval, OnFailure: func(err error) {
		errorlog.Debug(s.config.Logger, "append failed", err, "partition", partition)
	}}
	for _, call := range job.SplitAppends(records, s.config.CallBytes) {
		appended, err := s.producer.AppendRetrying(ctx, partition, call, retry)
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
