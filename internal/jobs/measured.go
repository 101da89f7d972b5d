package jobs

import (
	"context"
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// countingLog counts the records and bytes that reads for one job return, including records of other jobs.
type countingLog struct {
	keyedlog.Log
	records, bytes atomic.Int64
	// stats counts the bytes of all readers.
	stats *counters
}

// counters counts what a service reads for results.
type counters struct {
	tailReads, tailMisses, bytes atomic.Int64
}

// Stats is what a service has read for results since it was started.
type Stats struct {
	// TailReads is the number of reads for which the last records of a partition sufficed, TailMisses the number of those after
	// which the newest records had to be read.
	TailReads, TailMisses int64
	// Bytes is the size of the records read, those of other jobs included.
	Bytes int64
}

// Stats returns what the service has read for results.
func (s *Service) Stats() Stats {
	return Stats{TailReads: s.stats.tailReads.Load(), TailMisses: s.stats.tailMisses.Load(), Bytes: s.stats.bytes.Load()}
}

func (l *countingLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	batch, err := l.Log.Read(ctx, partition, span)
	l.count(batch.Records)
	return batch, err
}

func (l *countingLog) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	page, err := l.Log.Newest(ctx, partition, afterKey)
	l.count(page.Records)
	return page, err
}

func (l *countingLog) count(records []keyedlog.Record) {
	bytes := int64(job.Size(records))
	l.records.Add(int64(len(records)))
	l.bytes.Add(bytes)
	l.stats.bytes.Add(bytes)
}
