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
	l.records.Add(int64(len(records)))
	l.bytes.Add(int64(job.Size(records)))
}
