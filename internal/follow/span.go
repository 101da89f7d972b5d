package follow

import (
	"context"
	"errors"
	"strings"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/uptime"
)

// Range applies the records of a partition from offset from up to, but not including, offset to. If the store has
// dropped any of them, the newest record of each key is applied instead, which may include records outside the range.
// size is the approximate size of the range in bytes, 0 if unknown.
func Range(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, size int, applier Applier) error {
	err := applyRange(ctx, log, partition, from, to, size, applier)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		return NewestWithPrefix(ctx, log, partition, "", applier)
	}
	return err
}

// applyRange applies the records of a range, and fails with keyedlog.ErrTrimmed if the store has dropped any of them.
func applyRange(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, size int, applier Applier) error {
	for from < to {
		batch, err := log.Read(ctx, partition, keyedlog.Span{From: from, MaxBytes: size})
		if err != nil {
			return err
		}
		if len(batch.Records) == 0 {
			return errStale
		}
		for _, record := range batch.Records {
			if record.Offset < to {
				applier.Apply(record, true)
			}
		}
		from += int64(len(batch.Records))
	}
	return nil
}

// NewestCovering applies the newest record of each key of a partition. It fails with errStale, and applies nothing, if
// the store's answer does not cover all records below the offset.
func NewestCovering(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, end int64, applier Applier) error {
	var records []keyedlog.Record
	newestEnd, err := readNewest(ctx, log, partition, "", func(record keyedlog.Record) { records = append(records, record) })
	if err != nil {
		return err
	}
	if newestEnd < end {
		return errStale
	}
	for _, record := range records {
		applier.Apply(record, true)
	}
	applier.Advanced(newestEnd)
	return nil
}

// NewestWithPrefix applies the newest record of each key of a partition that begins with a prefix.
func NewestWithPrefix(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, prefix string, applier Applier) error {
	_, err := readNewest(ctx, log, partition, prefix, func(record keyedlog.Record) { applier.Apply(record, true) })
	return err
}

// readNewest passes the newest record of each key that begins with a prefix to handle, and returns the end of the
// partition at the time the first page was read.
func readNewest(
	ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, prefix string, handle func(record keyedlog.Record),
) (end int64, err error) {
	pager := newPager(log, partition, prefix, "")
	err = pager.read(ctx, handle)
	return pager.end, err
}

// pager reads the newest record of each key of a partition that begins with a prefix, page by page. The store returns
// keys in sorted order, so the keys of a prefix are contiguous.
type pager struct {
	log       keyedlog.Log
	partition keyedlog.Partition
	prefix    string
	// afterKey is the last key that was read; started is set once a page was read, and end is the partition's end at
	// that time: every later change has an offset of end or higher.
	afterKey string
	started  bool
	end      int64
	// requestedAt is when the first page was requested.
	requestedAt uptime.Mark
}

// newPager returns a pager that begins after a key, or with the first key of the prefix if afterKey is empty.
func newPager(log keyedlog.Log, partition keyedlog.Partition, prefix, afterKey string) *pager {
	p := &pager{log: log, partition: partition, prefix: prefix, afterKey: afterKey}
	if prefix != "" && afterKey == "" {
		// A page excludes the key that it begins after, and the prefix itself may be a key.
		p.afterKey = prefix[:len(prefix)-1]
	}
	return p
}

// read passes all records to handle. After a failure, the next call resumes at the page that failed.
func (p *pager) read(ctx context.Context, handle func(record keyedlog.Record)) error {
	for {
		page, err := p.log.Newest(ctx, p.partition, p.afterKey)
		if err != nil {
			return err
		}
		if !p.started {
			p.started, p.end = true, page.End
		}
		for _, record := range page.Records {
			p.afterKey = record.Key
			switch {
			case strings.HasPrefix(record.Key, p.prefix):
				handle(record)
			case record.Key > p.prefix:
				return nil
			}
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

// sample passes the records of one page, which begins after afterKey, to handle; if that page reaches the last key,
// also those of the partition's first page. All other keys are skipped.
func (p *pager) sample(ctx context.Context, handle func(record keyedlog.Record)) error {
	page, err := p.log.Newest(ctx, p.partition, p.afterKey)
	if err != nil {
		return err
	}
	p.started, p.end = true, page.End
	for _, record := range page.Records {
		handle(record)
	}
	if page.More {
		return nil
	}
	page, err = p.log.Newest(ctx, p.partition, "")
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		handle(record)
	}
	return nil
}

// Reader waits until the records of a partition below an offset have been read.
type Reader interface {
	WaitFor(ctx context.Context, end int64) error
}

// WaitUntilCurrent waits until a reader has read all records that the partition holds now.
func WaitUntilCurrent(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, reader Reader) error {
	page, err := log.Newest(ctx, partition, keyedlog.AfterAllKeys)
	if err != nil {
		return err
	}
	return reader.WaitFor(ctx, page.End)
}

// concurrentReads is the number of concurrent reads of one range. The store serves a single read with only a fraction
// of its throughput.
const concurrentReads = 4

// RangeConcurrently applies the records of a range as Range does, in order, but reads several parts of the range
// concurrently and buffers them until they are applied. If the store has dropped records, the newest records are read
// once for all parts.
func RangeConcurrently(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, applier Applier) error {
	err := applyRangeConcurrently(ctx, log, partition, from, to, applier)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		return NewestWithPrefix(ctx, log, partition, "", applier)
	}
	return err
}

// applyRangeConcurrently reads several parts of a range concurrently and applies their records in order. It fails with
// keyedlog.ErrTrimmed if the store has dropped any of them.
func applyRangeConcurrently(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, applier Applier) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var parts []chan bufferedPart
	for _, bounds := range split(from, to, concurrentReads) {
		part := make(chan bufferedPart, 1)
		parts = append(parts, part)
		go func() {
			read := bufferedPart{}
			read.err = applyRange(ctx, log, partition, bounds[0], bounds[1], 0, &read)
			part <- read
		}()
	}
	for _, part := range parts {
		read := <-part
		if read.err != nil {
			return read.err
		}
		for _, record := range read.records {
			applier.Apply(record, true)
		}
	}
	return nil
}

// bufferedPart buffers the records of one part of a range until the parts before it have been applied.
type bufferedPart struct {
	records []keyedlog.Record
	err     error
}

// Apply buffers a record.
func (p *bufferedPart) Apply(record keyedlog.Record, _ bool) { p.records = append(p.records, record) }

// Advanced does nothing: the end of the range is known.
func (p *bufferedPart) Advanced(int64) {}

// split divides a range into at most maxParts parts of about the same length, in order.
func split(from, to int64, maxParts int) [][2]int64 {
	var parts [][2]int64
	for remaining := int64(maxParts); remaining > 0 && from < to; remaining-- {
		next := from + (to-from+remaining-1)/remaining
		parts = append(parts, [2]int64{from, next})
		from = next
	}
	return parts
}
