package follow

import (
	"context"
	"errors"
	"math"
	"sync"

	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/uptime"
)

const (
	// tailBytes is the approximate size of the records with which a read of a partition's tail begins. If they don't suffice, records
	// before them are read, up to maxTailBytes in total. pageBytes is the size of a page of the newest records, which is a third
	// larger when encoded as text.
	tailBytes    = 96 << 10
	maxTailBytes = 3 * tailBytes
	pageBytes    = 1 << 20
	// tailMargin is the factor by which a read may exceed the expected size of its records before it is cut short.
	tailMargin = 1.25
	// minExtensionBytes is the minimum size for which records before a tail are read.
	minExtensionBytes = 32 << 10
)

// OffsetRange is a range of offsets from From up to, but not including, To.
type OffsetRange struct {
	From, To int64
}

// Tail configures the read of the last records of a partition that a follower does in place of the newest record of each key. If these
// records don't suffice, or the store has dropped some of them, the follower reads the newest records as without a Tail.
type Tail struct {
	// First is the lowest offset of any record that matters.
	First int64
	// End is the offset after the last record that matters, and the follower stops once it has read up to it; 0 if it is not known.
	// The tail then ends with the partition.
	End int64
	// Whole means that the tail begins at First, and is not read if it is expected to exceed the maximum size of a tail.
	Whole bool
	// Covered reports whether the records applied so far show that no record before them matters. When it is called, all records that
	// matter from some offset up to the end of the tail are applied.
	Covered func() bool
	// Skip returns ranges of offsets that contain no record that matters, in order of their offsets; nil for none.
	Skip func() []OffsetRange
	// RecordSize estimates the size of records. Followers of partitions with similar records share it.
	RecordSize *RecordSize
	// OnDone, if not nil, is called at the end of the read of the tail with whether the tail sufficed.
	OnDone func(covered bool)
}

// RecordSize estimates the mean size of the records of partitions outside of skipped ranges. The zero value is ready for use. It is
// safe for concurrent use.
type RecordSize struct {
	mutex sync.Mutex
	mean  float64
}

const (
	// initialRecordBytes is the estimate before any record was read.
	initialRecordBytes = 2 << 10
	// recordSizeWindow is the number of records after which an estimate consists mostly of their sizes.
	recordSizeWindow = 64
)

// bytes returns the estimated mean size in bytes.
func (s *RecordSize) bytes() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.mean == 0 {
		return initialRecordBytes
	}
	return s.mean
}

// observe updates the estimate with records that were read.
func (s *RecordSize) observe(records, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean := max(1, float64(bytes)/float64(records))
	if s.mean == 0 {
		s.mean = mean
		return
	}
	s.mean += (mean - s.mean) * min(1, float64(records)/recordSizeWindow)
}

// tailReader reads the tail of a partition. After a failure it resumes where it stopped.
type tailReader struct {
	config    Tail
	log       keyedlog.Log
	partition keyedlog.Partition
	// end is Tail.End, or the partition's end when it was last requested, 0 before that. The tail is complete once it is read up
	// to end.
	end int64
	// requestedAt is when end was requested.
	requestedAt uptime.Mark
	// All records from low to before high are applied except those of skipped ranges. started is set once low and high are set.
	started   bool
	low, high int64
	// extension is the range before low that is being read, nil if there is none.
	extension *extension
	skipped   []OffsetRange
	readBytes int
	// records and recordBytes count the records read outside of skipped ranges.
	records, recordBytes int
}

// extension is a range of records before the tail. Those from start to before next are applied except those of skipped ranges.
type extension struct {
	start, next int64
}

// minSampleRecords is the number of records of a tail from which on their mean size is a better estimate than that of earlier tails.
const minSampleRecords = 8

// meanBytes returns the expected mean size of records outside of skipped ranges.
func (t *tailReader) meanBytes() float64 {
	if t.records < minSampleRecords {
		return t.config.RecordSize.bytes()
	}
	return max(1, float64(t.recordBytes)/float64(t.records))
}

// errTailInsufficient is returned when the tail that was read does not suffice.
var errTailInsufficient = errors.New("the last records of the partition do not suffice")

// read applies the tail up to the partition's end. It fails with errTailInsufficient if the tail does not suffice, and with
// keyedlog.ErrTrimmed if the store has dropped some of it; after any other error, the next call continues.
func (t *tailReader) read(ctx context.Context, apply func(keyedlog.Record)) error {
	if t.end == 0 || t.requestedAt.IsZero() {
		t.requestedAt = suspended.Mark()
	}
	if t.end == 0 {
		page, err := t.log.Newest(ctx, t.partition, keyedlog.AfterAllKeys)
		if err != nil {
			return err
		}
		t.end = page.End
	}
	if t.end < t.config.First {
		return errTailInsufficient
	}
	if err := t.start(); err != nil {
		return err
	}
	if err := t.readForward(ctx, apply); err != nil {
		return err
	}
	for t.extension != nil || !t.covered() {
		if err := t.readBackward(ctx, apply); err != nil {
			return err
		}
	}
	return nil
}

// start sets the offset at which the tail begins. Later calls have no effect.
func (t *tailReader) start() error {
	if t.started {
		return nil
	}
	t.started = true
	t.updateSkipped()
	t.low = t.windowStart(t.end, tailBytes)
	if t.config.Whole {
		t.low = t.config.First
	}
	t.high = t.low
	if t.config.Whole && t.expectedBytes() > maxTailBytes {
		return errTailInsufficient
	}
	return nil
}

// updateSkipped updates the skipped ranges.
func (t *tailReader) updateSkipped() {
	if t.config.Skip != nil {
		t.skipped = t.config.Skip()
	}
}

// covered reports whether no record before low matters.
func (t *tailReader) covered() bool {
	return t.low <= t.config.First || t.config.Covered()
}

// readForward applies the records from high up to the end, and later ones that the last read returns.
func (t *tailReader) readForward(ctx context.Context, apply func(keyedlog.Record)) error {
	for t.high < t.end {
		t.high = t.nextUnskipped(t.high)
		if t.high >= t.end {
			return nil
		}
		next, err := t.readSpan(ctx, t.high, min(t.end, t.nextSkipped(t.high)), apply)
		if err != nil {
			return err
		}
		t.high = next
		switch left := t.expectedBytes(); {
		case left <= maxTailBytes-t.readBytes, left <= pageBytes && t.config.Covered():
			continue
		case t.config.Whole || t.config.Covered():
			return errTailInsufficient
		}
		// The records are larger than expected, so the tail begins later.
		t.low = t.windowStart(t.end, min(maxTailBytes-t.readBytes, tailBytes))
		t.high = t.low
	}
	return nil
}

// expectedBytes returns the expected size of the records from high up to the end.
func (t *tailReader) expectedBytes() int {
	return int(float64(t.count(t.high, t.end)) * t.meanBytes())
}

// readBackward applies records before low, for as many bytes as are left. After a failure, the next call continues the same range:
// Covered must not be called before all records up to low are applied.
func (t *tailReader) readBackward(ctx context.Context, apply func(keyedlog.Record)) error {
	if t.extension == nil {
		t.updateSkipped()
		left := maxTailBytes - t.readBytes
		if left < minExtensionBytes {
			return errTailInsufficient
		}
		start := t.windowStart(t.low, int(float64(left)/tailMargin))
		t.extension = &extension{start: start, next: start}
	}
	for {
		t.extension.next = t.nextUnskipped(t.extension.next)
		if t.extension.next >= t.low {
			break
		}
		next, err := t.readSpan(ctx, t.extension.next, min(t.low, t.nextSkipped(t.extension.next)), apply)
		if err != nil {
			return err
		}
		t.extension.next = next
	}
	t.low = t.extension.start
	t.extension = nil
	return nil
}

// readSpan reads records from an offset on, as many bytes as the records up to before to are expected to have, and applies them. It
// returns the offset after the last one.
func (t *tailReader) readSpan(ctx context.Context, from, to int64, apply func(keyedlog.Record)) (int64, error) {
	if t.readBytes >= maxTailBytes && !t.config.Covered() {
		return from, errTailInsufficient
	}
	size := int(tailMargin * float64(to-from) * t.meanBytes())
	batch, err := t.log.Read(ctx, t.partition, keyedlog.Span{From: from, MaxBytes: min(max(size, minTailReadBytes), maxTailBytes)})
	if err != nil {
		return from, err
	}
	if len(batch.Records) == 0 {
		return from, errStale
	}
	// Records from to on may be those of a skipped range, whose size doesn't count.
	within, withinBytes := 0, 0
	for _, record := range batch.Records {
		bytes := len(record.Key) + len(record.Value)
		t.readBytes += bytes
		if record.Offset < to {
			within++
			withinBytes += bytes
		}
		apply(record)
	}
	t.records += within
	t.recordBytes += withinBytes
	t.config.RecordSize.observe(within, withinBytes)
	return from + int64(len(batch.Records)), nil
}

// minTailReadBytes is the minimum size of one read, so that few records that are larger than expected need no second one.
const minTailReadBytes = 8 << 10

// windowStart returns the offset such that the records from there to before to, without those of skipped ranges, are expected to have
// the given size in bytes in total. It is not lower than the first offset that matters.
func (t *tailReader) windowStart(to int64, size int) int64 {
	count := max(1, int64(float64(size)/t.meanBytes()))
	for i := len(t.skipped) - 1; i >= 0; i-- {
		skipped := t.skipped[i]
		if skipped.From >= to {
			continue
		}
		if between := to - skipped.To; between > 0 {
			if between >= count {
				break
			}
			count -= between
		}
		to = skipped.From
	}
	return max(t.config.First, to-count)
}

// nextUnskipped returns the first offset from an offset on that is in no skipped range.
func (t *tailReader) nextUnskipped(offset int64) int64 {
	for _, skipped := range t.skipped {
		if skipped.From <= offset && offset < skipped.To {
			offset = skipped.To
		}
	}
	return offset
}

// nextSkipped returns the start of the first skipped range after an offset, or the highest offset if there is none.
func (t *tailReader) nextSkipped(offset int64) int64 {
	for _, skipped := range t.skipped {
		if skipped.From > offset {
			return skipped.From
		}
	}
	return math.MaxInt64
}

// count returns the number of records from one offset up to before another one that are in no skipped range.
func (t *tailReader) count(from, to int64) int64 {
	count := max(0, to-from)
	for _, skipped := range t.skipped {
		count -= max(0, min(to, skipped.To)-max(from, skipped.From))
	}
	return count
}

// readTail applies the tail of the partition. If it does not suffice, the next step reads the newest records.
func (f *Follower) readTail(ctx context.Context) error {
	err := f.tail.read(ctx, func(record keyedlog.Record) { f.apply(record, true) })
	switch {
	case err == nil:
		f.nextOffset, f.tailing = f.tail.high, true
	case !errors.Is(err, errTailInsufficient) && !errors.Is(err, keyedlog.ErrTrimmed):
		return err
	}
	if f.config.Tail.OnDone != nil {
		f.config.Tail.OnDone(err == nil)
	}
	requestedAt := f.tail.requestedAt
	f.tail = nil
	if f.tailing {
		f.advance(f.nextOffset, true, requestedAt)
	}
	return nil
}
