package follow

import (
	"context"
	"errors"
	"strings"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Range applies the records of a partition from an offset to before another. What the store has dropped is taken from the
// newest record of each key; records outside the range may come with it. size is about how many bytes the range has, 0 if that
// is not known.
func Range(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, size int, applier Applier) error {
	err := kept(ctx, log, partition, from, to, size, applier)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		return NewestOf(ctx, log, partition, "", applier)
	}
	return err
}

// kept applies the records of a range, if the store has not dropped any of them.
func kept(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, size int, applier Applier) error {
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

// NewestBelow applies the newest record of each key of a partition, if the store answers with all that lie below an offset.
func NewestBelow(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, below int64, applier Applier) error {
	var records []keyedlog.Record
	end, err := pages(ctx, log, partition, "", func(record keyedlog.Record) { records = append(records, record) })
	if err != nil {
		return err
	}
	if end < below {
		return errStale
	}
	for _, record := range records {
		applier.Apply(record, true)
	}
	applier.Advanced(end)
	return nil
}

// NewestOf applies the newest record of each key of a partition that begins with a prefix.
func NewestOf(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, prefix string, applier Applier) error {
	_, err := pages(ctx, log, partition, prefix, func(record keyedlog.Record) { applier.Apply(record, true) })
	return err
}

// pages gives the newest record of each key of a partition that begins with a prefix, and returns the partition's end when the first page
// was read.
func pages(
	ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, prefix string, give func(record keyedlog.Record),
) (end int64, err error) {
	pager := newPager(log, partition, prefix, "")
	err = pager.read(ctx, give)
	return pager.end, err
}

// pager reads the newest record of each key of a partition that begins with a prefix, page by page. The store gives keys in their order, so
// that those of a prefix lie together.
type pager struct {
	log       keyedlog.Log
	partition keyedlog.Partition
	prefix    string
	// after is the last key that was read; begun says that a page was, end is the partition's end then: whatever changes later lies at or
	// after it.
	after string
	begun bool
	end   int64
}

// newPager returns a pager that begins after a key, with the first key of the prefix if that is empty.
func newPager(log keyedlog.Log, partition keyedlog.Partition, prefix, after string) *pager {
	started := &pager{log: log, partition: partition, prefix: prefix, after: after}
	if prefix != "" && after == "" {
		// A page begins after a key, and the prefix may be one.
		started.after = prefix[:len(prefix)-1]
	}
	return started
}

// read gives all records. If it fails, the next call goes on with the page that failed.
func (p *pager) read(ctx context.Context, give func(record keyedlog.Record)) error {
	for {
		page, err := p.log.Newest(ctx, p.partition, p.after)
		if err != nil {
			return err
		}
		if !p.begun {
			p.begun, p.end = true, page.End
		}
		for _, record := range page.Records {
			p.after = record.Key
			switch {
			case strings.HasPrefix(record.Key, p.prefix):
				give(record)
			case record.Key > p.prefix:
				return nil
			}
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

// sample gives the records of the page that begins where the pager stands, and of the first page too if that one reaches the last key. The
// keys between the two are left out.
func (p *pager) sample(ctx context.Context, give func(record keyedlog.Record)) error {
	page, err := p.log.Newest(ctx, p.partition, p.after)
	if err != nil {
		return err
	}
	p.begun, p.end = true, page.End
	for _, record := range page.Records {
		give(record)
	}
	if page.More {
		return nil
	}
	page, err = p.log.Newest(ctx, p.partition, "")
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		give(record)
	}
	return nil
}

// lastKey sorts after every key, so that a page after it holds nothing but the partition's end.
const lastKey = "~"

// Reader tells how far a partition was read.
type Reader interface {
	WaitFor(ctx context.Context, end int64) error
}

// Confirm waits until a reader has all that its partition holds now.
func Confirm(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, reader Reader) error {
	page, err := log.Newest(ctx, partition, lastKey)
	if err != nil {
		return err
	}
	return reader.WaitFor(ctx, page.End)
}

// readsTogether is how many reads of one range are under way at once. The store gives one read a part of what it can give.
const readsTogether = 4

// RangeTogether applies the records of a partition from an offset to before another as Range does, in order, and reads several
// parts of them at once. It holds what it reads until it is applied. What the store has dropped is read once for all parts.
func RangeTogether(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, applier Applier) error {
	err := keptTogether(ctx, log, partition, from, to, applier)
	if errors.Is(err, keyedlog.ErrTrimmed) {
		return NewestOf(ctx, log, partition, "", applier)
	}
	return err
}

// keptTogether applies the records of a range, if the store has not dropped any of them, and reads several parts of it at once.
func keptTogether(ctx context.Context, log keyedlog.Log, partition keyedlog.Partition, from, to int64, applier Applier) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var parts []chan gathered
	for _, bounds := range split(from, to, readsTogether) {
		part := make(chan gathered, 1)
		parts = append(parts, part)
		go func() {
			read := gathered{}
			read.err = kept(ctx, log, partition, bounds[0], bounds[1], 0, &read)
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

// gathered holds the records of one part of a range until their turn.
type gathered struct {
	records []keyedlog.Record
	err     error
}

// Apply keeps a record.
func (g *gathered) Apply(record keyedlog.Record, _ bool) { g.records = append(g.records, record) }

// Advanced does nothing: a range has its end.
func (g *gathered) Advanced(int64) {}

// split divides a range into at most so many parts of about the same length, in order.
func split(from, to int64, most int) [][2]int64 {
	var parts [][2]int64
	for left := int64(most); left > 0 && from < to; left-- {
		next := from + (to-from+left-1)/left
		parts = append(parts, [2]int64{from, next})
		from = next
	}
	return parts
}
