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
	// headerBytes, idBytes and itemSizeFactor determine the size of a read that fetches one record: the first record of a
	// submission contains an id for each item, and an item may be several times larger than the mean.
	headerBytes    = 1024
	idBytes        = 32
	itemSizeFactor = 8
)

// errNoRecord reports that the store returned no record at an offset where one is expected.
var errNoRecord = errors.New("no record at the expected offset")

// item reads one item of a submission from the store. It returns nil if the submission has no item with that id. Items are
// read on demand, one at a time and at any node, so that items nobody requests are not read.
func (s *Service) item(ctx context.Context, entry job.Entry, itemID string) (*job.Item, error) {
	item, found, err := s.itemByOffset(ctx, entry, itemID)
	if err == nil && !found {
		return nil, nil
	}
	if err == nil {
		return item, nil
	}
	submission := &jobApplier{id: entry.JobID, ledger: job.NewLedger(s.config.Index, partitionOf(entry)), matches: job.IsSubmissionKey}
	if err := s.submission(ctx, entry, submission, err); err != nil {
		return nil, err
	}
	whole, found := submission.ledger.Item(entry.JobID, itemID)
	if !found {
		return nil, nil
	}
	return &whole, nil
}

// submission reads a whole submission after reading a single item by its offset failed with the given cause: records of
// other jobs lie in between, the item is split into parts, or the store has dropped the records.
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

// itemByOffset reads an item at the offset computed from its index in the submission. It fails if the submission's records
// are not contiguous.
func (s *Service) itemByOffset(ctx context.Context, entry job.Entry, itemID string) (*job.Item, bool, error) {
	first, err := s.record(ctx, entry, entry.Offset, headerBytes+idBytes*entry.Items)
	if err != nil {
		return nil, false, err
	}
	header, err := job.DecodeHeader(first, entry.JobID)
	if err != nil {
		return nil, false, err
	}
	index := slices.Index(header.ItemIDs, itemID)
	if index < 0 {
		return nil, false, nil
	}
	record, err := s.record(ctx, entry, entry.Offset+1+int64(index), headerBytes+itemSizeFactor*entry.Bytes/(entry.Items+1))
	if err != nil {
		return nil, false, err
	}
	item, err := job.DecodeItem(record, entry.JobID, index)
	return item, err == nil, err
}

// record reads the record at an offset; size is the number of bytes to request.
func (s *Service) record(ctx context.Context, entry job.Entry, offset int64, size int) (keyedlog.Record, error) {
	batch, err := s.config.Log.Read(ctx, partitionOf(entry), keyedlog.Span{From: offset, MaxBytes: size})
	if err != nil {
		return keyedlog.Record{}, err
	}
	if len(batch.Records) == 0 {
		return keyedlog.Record{}, errNoRecord
	}
	return batch.Records[0], nil
}
