package replica

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/enginelist"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/weightroll"
)

// OperatorRecord is the kind of a record of the operator's topic.
type OperatorRecord int

// Kinds of operator records.
const (
	OperatorUnknown OperatorRecord = iota
	OperatorConfiguration
	OperatorVersion
	OperatorEvacuation
)

// RecordDecoder decodes the records that other components write into the store.
type RecordDecoder interface {
	// Catalog decodes the operator's configuration.
	Catalog(value []byte) (*catalog.Catalog, error)
	// OperatorKey returns the kind of a record of the operator's topic, and the model or zone that it applies to.
	OperatorKey(key string) (OperatorRecord, string)
	// NamedVersion decodes a version that a trainer has named.
	NamedVersion(value []byte) (int64, error)
	// Engine decodes the own record of an engine.
	Engine(id string, value []byte) (fleet.Engine, error)
}

// operatorApplier applies the operator's records.
type operatorApplier struct {
	decoder     RecordDecoder
	holder      *catalog.Holder
	directory   *fleet.Directory
	evacuations *evacuations
	logger      *log.Logger
}

func (a *operatorApplier) Apply(record keyedlog.Record, recovered bool) {
	kind, name := a.decoder.OperatorKey(record.Key)
	if kind == OperatorEvacuation {
		a.evacuate(record, name)
		return
	}
	if record.Value == nil {
		return
	}
	switch kind {
	case OperatorConfiguration:
		a.configure(record, recovered)
	case OperatorVersion:
		a.setVersion(record, name)
	}
}

// evacuate marks a zone as evacuated, or as back in use if the record was dropped.
func (a *operatorApplier) evacuate(record keyedlog.Record, zone string) {
	a.evacuations.set(zone, record.Value != nil, record.Offset)
}

func (a *operatorApplier) configure(record keyedlog.Record, recovered bool) {
	next, err := a.decoder.Catalog(record.Value)
	if err != nil {
		errorlog.Warn(a.logger, "configuration skipped", err, "offset", record.Offset)
		return
	}
	if a.holder.Set(next) {
		for _, pool := range next.Pools {
			a.directory.SetColdLimit(pool.Name, coldLimit(pool))
		}
		a.logger.Info("configuration in force", "version", next.Version, "routes", len(next.Routes), "bytes", len(record.Value),
			"offset", record.Offset, "recovered", recovered)
	}
}

func (a *operatorApplier) setVersion(record keyedlog.Record, model string) {
	version, err := a.decoder.NamedVersion(record.Value)
	if err != nil {
		errorlog.Warn(a.logger, "named version skipped", err, "model", model, "offset", record.Offset)
		return
	}
	if a.holder.SetVersion(model, version) {
		a.logger.Info("weight version named", "model", model, "version", version, "offset", record.Offset)
	}
}

// Advanced does nothing: the holder is set record by record.
func (a *operatorApplier) Advanced(int64) {}

// renewalWindow is how long after the return of the store an engine may take to write its record again if it lapsed
// while the store was down. The users' platform guarantees about 2 s.
const renewalWindow = 2 * time.Second

// minLapseHeartbeats is the minimum duration, in heartbeats of engines, of an outage of the store in which records lapse: a record
// lapses after three heartbeats without a write, and its last write was at most one heartbeat before the outage. An engine whose
// record is dropped after a shorter disconnection has left.
const minLapseHeartbeats = 2

// engineApplier applies the engines' own records. An engine whose record is dropped is gone, unless the store has just
// returned: then the record may have lapsed while the engine could not renew it, and the engine is kept until it has
// had time to do so.
type engineApplier struct {
	decoder   RecordDecoder
	directory *fleet.Directory
	// list receives each record.
	list   *enginelist.List
	logger *log.Logger
	// returned returns when the store last answered again after an outage in which records may have lapsed.
	returned func() time.Time
	// confirmed returns when the store last reported that there were no further records, nil if that is not known.
	confirmed func() time.Time
	// observe, if not nil, is called with the maximum age of each read that says of engines that they leave or are gone.
	observe func(maxAge time.Duration)
	// departed reports whether the current read says of an engine that it leaves or is gone.
	departed bool
	// changes holds the engines that the current read added or changed.
	changes engineChanges

	mutex sync.Mutex
	// lapsed holds the engines that are kept, with the timers that will remove them.
	lapsed map[string]*time.Timer
}

func (a *engineApplier) Apply(record keyedlog.Record, _ bool) {
	a.cancelRemoval(record.Key)
	if record.Value == nil {
		a.recordDropped(record)
		return
	}
	engine, err := a.decoder.Engine(record.Key, record.Value)
	if err != nil {
		errorlog.Warn(a.logger, "engine record skipped", err, "engine", record.Key, "offset", record.Offset)
		a.recordReplaced(record)
		return
	}
	known, found := a.directory.Engine(engine.ID)
	if !found || known.Draining != engine.Draining {
		a.changes.add(engine, record.Offset, a.logger)
		a.departed = a.departed || found && engine.Draining
	}
	if found && engine.Restarted(known) {
		a.logger.Info("engine restarted", "engine", engine.ID, "pool", engine.Pool, "address", engine.Address, "offset", record.Offset)
	}
	a.directory.Upsert(engine)
	a.list.PutOwnRecord(engine, record.Offset)
}

// recordReplaced removes an engine whose record another writer has replaced by one that names no engine to use. If the engine lives, it
// writes its own again within a heartbeat.
func (a *engineApplier) recordReplaced(record keyedlog.Record) {
	if _, known := a.directory.Engine(record.Key); !known {
		return
	}
	a.departed = true
	a.logger.Info("engine gone", "engine", record.Key, "offset", record.Offset, "max_age", a.maxAge(), "cause", "unreadable")
	a.remove(record)
}

// recordDropped removes an engine whose record was dropped, after the rest of renewalWindow if the store has just
// returned.
func (a *engineApplier) recordDropped(record keyedlog.Record) {
	if _, known := a.directory.Engine(record.Key); !known {
		return
	}
	a.departed = true
	remaining := renewalWindow - time.Since(a.returned())
	if remaining <= 0 {
		a.logger.Info("engine gone", "engine", record.Key, "offset", record.Offset, "max_age", a.maxAge())
		a.remove(record)
		return
	}
	a.logger.Info("engine lapsed", "engine", record.Key, "offset", record.Offset, "kept_for", remaining.Round(time.Millisecond),
		"max_age", a.maxAge())
	a.list.SetLapsed(record.Key)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.lapsed == nil {
		a.lapsed = make(map[string]*time.Timer)
	}
	var timer *time.Timer
	timer = time.AfterFunc(remaining, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if a.lapsed[record.Key] == timer {
			delete(a.lapsed, record.Key)
			a.logger.Info("lapsed engine was not renewed", "engine", record.Key, "offset", record.Offset)
			a.remove(record)
		}
	})
	a.lapsed[record.Key] = timer
}

// cancelRemoval cancels the pending removal of an engine, because a newer record of it was read.
func (a *engineApplier) cancelRemoval(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if timer, ok := a.lapsed[id]; ok {
		timer.Stop()
		delete(a.lapsed, id)
	}
}

func (a *engineApplier) remove(record keyedlog.Record) {
	a.directory.Remove(record.Key)
	a.list.RemoveOwnRecord(record.Key)
}

// maxAge returns the maximum age of the records of the current read: the store had reported before that there were no further ones. It
// returns 0 if that is not known.
func (a *engineApplier) maxAge() time.Duration {
	if a.confirmed == nil || a.confirmed().IsZero() {
		return 0
	}
	return time.Since(a.confirmed()).Round(time.Millisecond)
}

// Advanced notes that all records below an offset have been applied.
func (a *engineApplier) Advanced(end int64) {
	a.changes.write(a.logger)
	if a.departed && a.observe != nil {
		a.observe(a.maxAge())
	}
	a.departed = false
	a.list.OwnRecordsReadTo(end)
	a.directory.SetSynced()
}

// stop cancels the pending removals of engines.
func (a *engineApplier) stop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, timer := range a.lapsed {
		timer.Stop()
	}
	clear(a.lapsed)
}

// indexApplier applies the records of the index of jobs.
type indexApplier struct {
	index  *job.Index
	logger *log.Logger
}

func (a *indexApplier) Apply(record keyedlog.Record, recovered bool) {
	if err := a.index.Apply(record, recovered); err != nil {
		errorlog.Warn(a.logger, "record of the index skipped", err, "key", record.Key)
	}
}

func (a *indexApplier) Advanced(end int64) {
	a.index.Advanced(end)
}

// weightApplier applies the announcements of orders.
type weightApplier struct {
	board  *weightroll.OrderTable
	logger *log.Logger
}

func (a *weightApplier) Apply(record keyedlog.Record, _ bool) {
	if err := a.board.Apply(record); err != nil {
		errorlog.Warn(a.logger, "announcement skipped", err, "key", record.Key, "offset", record.Offset)
	}
}

func (a *weightApplier) Advanced(int64) {}

// readWaits is how long the store may hold a read open, by topic. A connection loss without an error is detected a
// little later than that, and a replica must have caught up within seconds of its end.
var readWaits = map[keyedlog.Topic]time.Duration{
	keyedlog.TopicOperator: time.Second, keyedlog.TopicEngines: time.Second, keyedlog.TopicJobIndex: time.Second,
	keyedlog.TopicWeights: 2 * time.Second, keyedlog.TopicCrashes: 2 * time.Second, keyedlog.TopicEngineList: time.Second,
}

// readSpacings is the minimum time between two reads that returned records. Every engine writes about once a second,
// and no component needs to know sooner than this that an engine leaves.
var readSpacings = map[keyedlog.Topic]time.Duration{
	keyedlog.TopicEngines: 200 * time.Millisecond, keyedlog.TopicEngineList: 200 * time.Millisecond,
}

// idleSpacing is the minimum time between two reads that returned records of jobs or orders in a process that owns no
// partition. It has to be well under the 1 s or so for which a load makes an engine unavailable, so that a process that
// is assigned a partition starts with nearly current data of the engines. It also limits the process to four reads/s of
// two topics, because hundreds of processes share the read limit of the store.
const idleSpacing = 500 * time.Millisecond

// idleSpread is the maximum time by which such a process delays its first read of them. All processes together read
// some 100 KB each when they start at once; 300 of them occupy a store of 80 MB/s for a third of a second, during which
// no owner can read what it takes over. The delay is short compared to the time that callers allow a service to come
// back.
const idleSpread = 2 * time.Second
