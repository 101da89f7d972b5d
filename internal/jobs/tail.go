package jobs

import (
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
)

// minSkippedBytes is the size from which on a submission in the tail of a partition is skipped: reading it takes longer than the
// additional call.
const minSkippedBytes = 32 << 10

// resultTail decides whether the last records of a partition contain all results of a job from a position on. An owner lists the
// results of a job in the order of their positions, and its successor begins after what it has listed, so the first result in the
// tail shows that all results with higher positions are in the tail too.
type resultTail struct {
	service *Service
	entry   job.Entry
	ledger  *job.Ledger
	from    int
	// end is the offset below which all results lie, 0 if the job is not settled.
	end int64
	// lowestPosition is the lowest position of a result that was read. Only the follower's goroutine uses it.
	lowestPosition int
	// state is accessed by any goroutine.
	state atomic.Int32
}

// tailState is how far the read of a tail is.
type tailState int32

// States of the read of a tail.
const (
	tailReading tailState = iota
	tailSufficed
	tailMissed
)

var tailStateNames = [...]string{"reading", "sufficed", "missed"}

// String returns the name of the state in logs; "none" if the tail is nil.
func (t *resultTail) String() string {
	if t == nil {
		return "none"
	}
	return tailStateNames[t.state.Load()]
}

// done records whether the tail sufficed.
func (t *resultTail) done(covered bool) {
	if covered {
		t.state.Store(int32(tailSufficed))
		t.service.stats.tailReads.Add(1)
		return
	}
	t.state.Store(int32(tailMissed))
	t.service.stats.tailMisses.Add(1)
}

// newTail returns the tail of a read of results from a position on, nil if the read begins with the newest records. If the position is
// not 0, the caller has read the results before it, the last of which was listed a short time ago. At position 0 there may be no result
// yet, which only a read of all records since the submission can show. A trainer that reads a settled job from another position needs its
// last results. Other callers read settled jobs page by page; most of their reads begin far from the last results.
func (s *Service) newTail(status job.Status, from int, ledger *job.Ledger) *resultTail {
	if status.Settled && (from == 0 || !status.Entry.HasTrainer()) {
		return nil
	}
	if !status.Settled {
		// The index is read while the end of the partition is requested, so that it has the submissions before that end.
		s.config.IndexFollower.Hurry()
	}
	return &resultTail{
		service: s, entry: status.Entry, ledger: ledger, from: from, lowestPosition: status.Entry.Items, end: status.SettledEnd,
	}
}

// observe notes the key of a record of a result. It does nothing if the tail is nil.
func (t *resultTail) observe(key string) {
	if t == nil {
		return
	}
	if position, listed := job.ListedPosition(key, t.entry.JobID); listed {
		t.lowestPosition = min(t.lowestPosition, position)
	}
}

// covered reports whether the records read so far contain all results from the position on. They do if they contain the last part of
// a result before the position, or all parts of the one at the position.
func (t *resultTail) covered() bool {
	listed, _ := t.ledger.Listed(t.entry.JobID)
	return t.lowestPosition < t.from || listed > t.from
}

// submissions returns the offsets of large submissions in the partition, which contain no results.
func (t *resultTail) submissions() []follow.OffsetRange {
	var ranges []follow.OffsetRange
	for _, entry := range t.service.config.Index.Submissions(t.entry.StorePartition(), t.entry.Next, minSkippedBytes) {
		ranges = append(ranges, follow.OffsetRange{From: entry.Offset, To: entry.Next})
	}
	return ranges
}

// config returns how the follower reads the tail; nil if the tail is nil.
func (t *resultTail) config() *follow.Tail {
	if t == nil {
		return nil
	}
	return &follow.Tail{
		First: t.entry.Next, End: t.end, Whole: t.from == 0, Covered: t.covered, Skip: t.submissions, RecordSize: &t.service.recordSize,
		OnDone: t.done,
	}
}
