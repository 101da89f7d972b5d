package jobs

import (
	"context"
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// measuredLog counts the records and bytes that reads for one job return, those of other jobs included.
type measuredLog struct {
	keyedlog.Log
	records, bytes atomic.Int64
}

// Read reads records.
func (l *measuredLog) Read(ctx context.Context, partition keyedlog.Partition, span keyedlog.Span) (keyedlog.Batch, error) {
	batch, err := l.Log.Read(ctx, partition, span)
	l.count(batch.Records)
	return batch, err
}

// Newest reads a page.
func (l *measuredLog) Newest(ctx context.Context, partition keyedlog.Partition, afterKey string) (keyedlog.Page, error) {
	page, err := l.Log.Newest(ctx, partition, afterKey)
	l.count(page.Records)
	return page, err
}

func (l *measuredLog) count(records []keyedlog.Record) {
	l.records.Add(int64(len(records)))
	l.bytes.Add(int64(job.Size(records)))
}
