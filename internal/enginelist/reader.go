package enginelist

import (
	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Reader takes the records of one partition of a list; it implements follow.Applier.
type Reader struct {
	list      *List
	partition int
	whole     bool
	logger    *log.Logger
	// changes counts the records of the read under way.
	changes int
	// seen holds the engines of the newest entries until all were read that are to be.
	seen map[string]bool
}

// NewReader returns what takes the records of a partition of a list, the newest of all engines if whole is set. Attach and Close must follow.
func NewReader(list *List, partition int, whole bool, logger *log.Logger) *Reader {
	return &Reader{list: list, partition: partition, whole: whole, logger: logger, seen: make(map[string]bool)}
}

// Apply takes a record.
func (r *Reader) Apply(record keyedlog.Record, _ bool) {
	r.changes++
	if r.seen != nil {
		r.seen[idOf(record.Key)] = true
	}
	if err := r.list.apply(r.partition, record); err != nil {
		errorlog.Warn(r.logger, "entry of the engine list skipped", err, "key", record.Key, "offset", record.Offset)
	}
}

// Advanced takes that all records below an offset have been applied. It logs how many, since the entries are too many to be named at each
// process.
func (r *Reader) Advanced(end int64) {
	if r.seen != nil {
		r.list.caughtUp(r.partition, r.seen, end, r.whole)
		r.seen = nil
		r.logger.Info("engine list known", "partition", r.partition, "entries", r.changes, "end", end, "whole", r.whole)
	}
	r.changes = 0
	r.list.advanced(r.partition, end)
}

// Attach names what brings the records, before it runs.
func (r *Reader) Attach(follower follow.Reader) {
	r.list.read(r.partition, follower)
}

// Close says that no more records come.
func (r *Reader) Close() {
	r.list.unread(r.partition)
}
