package enginelist

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Reader applies the records of one partition of a list. It implements follow.Applier.
type Reader struct {
	list      *List
	partition int
	whole     bool
	logger    *log.Logger
	// Observe, if not nil, is called with the maximum age of each read that says of engines that they leave or are gone.
	Observe  func(maxAge time.Duration)
	follower Follower
	// departures holds the engines of which the current read says that they leave or are gone.
	departures departureLog
	// changes counts the records of the current read.
	changes int
	// seen holds the engines of the newest entries, until all entries to be read at the start were read.
	seen map[string]bool
}

// NewReader returns a reader for the records of a partition of a list, the newest of all engines if whole is set.
// Attach and Close must be called afterwards.
func NewReader(list *List, partition int, whole bool, logger *log.Logger) *Reader {
	return &Reader{list: list, partition: partition, whole: whole, logger: logger, seen: make(map[string]bool)}
}

// Apply applies a record to the list.
func (r *Reader) Apply(record keyedlog.Record, _ bool) {
	r.changes++
	if r.seen != nil {
		r.seen[idOf(record.Key)] = true
	}
	departed, err := r.list.apply(r.partition, record)
	if err != nil {
		errorlog.Warn(r.logger, "entry of the engine list skipped", err, "key", record.Key, "offset", record.Offset)
		return
	}
	if departed != nil && r.seen == nil {
		r.departures.add(*departed)
	}
}

// Advanced notes that all records below an offset have been applied. Of the newest entries it logs the number only: there are too
// many for every process to log each.
func (r *Reader) Advanced(end int64) {
	r.reportDepartures()
	if r.seen != nil {
		r.list.caughtUp(r.partition, r.seen, end, r.whole)
		r.seen = nil
		r.logger.Info("engine list known", "partition", r.partition, "entries", r.changes, "end", end, "whole", r.whole)
	}
	r.changes = 0
	r.list.setReadTo(r.partition, end)
}

// reportDepartures logs the engines of which the current read says that they leave or are gone.
func (r *Reader) reportDepartures() {
	if r.departures.count == 0 {
		return
	}
	confirmed := r.follower.Confirmed()
	if confirmed.IsZero() {
		r.departures.write(r.logger, r.partition, 0)
		return
	}
	maxAge := time.Since(confirmed)
	r.departures.write(r.logger, r.partition, maxAge)
	if r.Observe != nil {
		r.Observe(maxAge)
	}
}

// Follower delivers the records of a partition.
type Follower interface {
	follow.Reader
	// Confirmed returns when the store last reported that there were no further records.
	Confirmed() time.Time
}

// Attach sets the follower that delivers the records. It must be called before the follower runs.
func (r *Reader) Attach(follower Follower) {
	r.follower = follower
	r.list.attach(r.partition, follower)
}

// Close notes that no more records follow.
func (r *Reader) Close() {
	r.list.detach(r.partition)
}
