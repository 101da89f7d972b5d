package jobs

import (
	"context"
	"errors"
	"slices"

	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// headerBytes and itemRoom size the reads of single records: the first record of a submission holds an id for each item,
	// and an item may be some times larger than the mean.
	headerBytes = 1024
	idBytes     = 32
	itemRoom    = 8
)

// errNoRecord says that the store returned no record where one should lie.
var errNoRecord = errors.New("no record where one should lie")

// item reads one item of a submission from the store, nil if the submission has none of that id. Items are asked for one by
// one and at any node, so that what is not asked for is not read.
func (s *Service) item(ctx context.Context, entry job.Entry, itemID string) (*job.Item, error) {
	item, found, err := s.singleItem(ctx, entry, itemID)
	if err == nil && !found {
		return nil, nil
	}
	if err == nil {
		return item, nil
	}
	submission := &jobApplier{id: entry.JobID, ledger: job.NewLedger(s.config.Index, entry.Partition), wanted: job.IsSubmission}
	if err := s.submission(ctx, entry, submission, err); err != nil {
		return nil, err
	}
	whole, found := submission.ledger.Item(entry.JobID, itemID)
	if !found {
		return nil, nil
	}
	return &whole, nil
}

// submission reads all of a submission of which an item could not be read by its place, for the given cause: records of others lie
// between, the item is in parts, or the store has dropped the records.
func (s *Service) submission(ctx context.Context, entry job.Entry, applier follow.Applier, cause error) error {
	if !errors.Is(cause, keyedlog.ErrTrimmed) {
		return follow.Range(ctx, s.config.Log, partitionOf(entry), entry.Offset, entry.Next, entry.Bytes, applier)
	}
	for _, prefix := range job.SubmissionPrefixes(entry.JobID) {
		if err := follow.NewestWithPrefix(ctx, s.config.Log, partitionOf(entry), prefix, applier); err != nil {
			return err
		}
	}
	return nil
}

// singleItem reads an item by its place. It fails if the submission's records don't lie one after another.
func (s *Service) singleItem(ctx context.Context, entry job.Entry, itemID string) (*job.Item, bool, error) {
	first, err := s.record(ctx, entry, entry.Offset, headerBytes+idBytes*entry.Items)
	if err != nil {
		return nil, false, err
	}
	header, err := job.DecodeHeader(first, entry.JobID)
	if err != nil {
		return nil, false, err
	}
	place := slices.Index(header.ItemIDs, itemID)
	if place < 0 {
		return nil, false, nil
	}
	record, err := s.record(ctx, entry, entry.Offset+1+int64(place), headerBytes+itemRoom*entry.Bytes/(entry.Items+1))
	if err != nil {
		return nil, false, err
	}
	item, err := job.DecodeItem(record, entry.JobID, place)
	return item, err == nil, err
}

// record reads the record at an offset.
func (s *Service) record(ctx context.Context, entry job.Entry, offset int64, size int) (keyedlog.Record, error) {
	batch, err := s.config.Log.Read(ctx, partitionOf(entry), keyedlog.Span{From: offset, Bytes: size})
	if err != nil {
		return keyedlog.Record{}, err
	}
	if len(batch.Records) == 0 {
		return keyedlog.Record{}, errNoRecord
	}
	return batch.Records[0], nil
}
