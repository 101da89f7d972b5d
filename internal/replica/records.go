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

// OperatorRecord says what a record of the operator's topic holds.
type OperatorRecord int

// Kinds of operator records.
const (
	OperatorUnknown OperatorRecord = iota
	OperatorConfiguration
	OperatorVersion
	OperatorEvacuation
)

// RecordDecoder decodes the records that others write into the store.
type RecordDecoder interface {
	// Catalog decodes the operator's configuration.
	Catalog(value []byte) (*catalog.Catalog, error)
	// OperatorKey tells what a record of the operator's topic holds, and of which model or zone.
	OperatorKey(key string) (OperatorRecord, string)
	// NamedVersion decodes a version that a trainer has named.
	NamedVersion(value []byte) (int64, error)
	// Engine decodes what an engine records of itself.
	Engine(id string, value []byte) (fleet.Engine, error)
}

// operatorApplier takes the operator's records.
type operatorApplier struct {
	decoder   RecordDecoder
	holder    *catalog.Holder
	directory *fleet.Directory
	logger    *log.Logger
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
		a.name(record, name)
	}
}

// evacuate takes that a zone is evacuated, or taken back where the record was dropped.
func (a *operatorApplier) evacuate(record keyedlog.Record, zone string) {
	evacuated := record.Value != nil
	a.directory.SetEvacuated(zone, evacuated)
	a.logger.Info("zone evacuated", "zone", zone, "evacuated", evacuated, "offset", record.Offset)
}

func (a *operatorApplier) configure(record keyedlog.Record, recovered bool) {
	next, err := a.decoder.Catalog(record.Value)
	if err != nil {
		errorlog.Warn(a.logger, "configuration skipped", err, "offset", record.Offset)
		return
	}
	if a.holder.Set(next) {
		for _, pool := range next.Pools {
			a.directory.SetColdRate(pool.Name, pool.ColdRate)
		}
		a.logger.Info("configuration in force", "version", next.Version, "routes", len(next.Routes), "bytes", len(record.Value),
			"offset", record.Offset, "recovered", recovered)
	}
}

func (a *operatorApplier) name(record keyedlog.Record, model string) {
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

// returnWindow is how long after the store's return an engine may take to record itself anew whose entry lapsed while the store
// was away; the users' platform promises about two seconds.
const returnWindow = 2 * time.Second

// engineApplier takes the engines' records of themselves. An engine whose record is dropped is gone, unless the store has just
// returned: then the record may have lapsed while the engine could not renew it, and the engine is kept until it has had time to.
type engineApplier struct {
	decoder   RecordDecoder
	directory *fleet.Directory
	// list is told of each record.
	list   *enginelist.List
	logger *log.Logger
	// returned is when the store answered again after it had not.
	returned func() time.Time
	// news is what the read under way has brought.
	news news

	mutex sync.Mutex
	// lapsed holds the engines that are kept, with what will remove them.
	lapsed map[string]*time.Timer
}

func (a *engineApplier) Apply(record keyedlog.Record, _ bool) {
	a.renewed(record.Key)
	if record.Value == nil {
		a.dropped(record)
		return
	}
	engine, err := a.decoder.Engine(record.Key, record.Value)
	if err != nil {
		errorlog.Warn(a.logger, "engine record skipped", err, "engine", record.Key, "offset", record.Offset)
		return
	}
	known, found := a.directory.Engine(engine.ID)
	if !found || known.Draining != engine.Draining {
		a.news.add(engine, record.Offset, a.logger)
	}
	if found && engine.Restarted(known) {
		a.logger.Info("engine restarted", "engine", engine.ID, "pool", engine.Pool, "address", engine.Address, "offset", record.Offset)
	}
	a.directory.Upsert(engine)
	a.list.Own(engine, record.Offset)
}

// dropped takes that an engine's record was dropped.
func (a *engineApplier) dropped(record keyedlog.Record) {
	if _, known := a.directory.Engine(record.Key); !known {
		return
	}
	left := returnWindow - time.Since(a.returned())
	if left <= 0 {
		a.remove(record)
		return
	}
	a.logger.Info("engine lapsed", "engine", record.Key, "offset", record.Offset, "kept_for", left.Round(time.Millisecond))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.lapsed == nil {
		a.lapsed = make(map[string]*time.Timer)
	}
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if a.lapsed[record.Key] == timer {
			delete(a.lapsed, record.Key)
			a.remove(record)
		}
	})
	a.lapsed[record.Key] = timer
}

// renewed takes that a record of an engine was read: what was to become of the one before does not count any more.
func (a *engineApplier) renewed(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if timer, ok := a.lapsed[id]; ok {
		timer.Stop()
		delete(a.lapsed, id)
	}
}

func (a *engineApplier) remove(record keyedlog.Record) {
	a.logger.Info("engine gone", "engine", record.Key, "offset", record.Offset)
	a.directory.Remove(record.Key)
	a.list.OwnGone(record.Key)
}

// Advanced takes that all records below an offset have been applied.
func (a *engineApplier) Advanced(end int64) {
	a.news.write(a.logger)
	a.list.OwnRead(end)
	a.directory.SetSynced()
}

// end forgets the engines that are kept for a while.
func (a *engineApplier) end() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, timer := range a.lapsed {
		timer.Stop()
	}
	clear(a.lapsed)
}

// indexApplier takes the records of the index of jobs.
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

// weightApplier takes the announcements of orders.
type weightApplier struct {
	board  *weightroll.Board
	logger *log.Logger
}

func (a *weightApplier) Apply(record keyedlog.Record, _ bool) {
	if err := a.board.Apply(record); err != nil {
		errorlog.Warn(a.logger, "announcement skipped", err, "key", record.Key, "offset", record.Offset)
	}
}

func (a *weightApplier) Advanced(int64) {}

// waits is how long the store may hold a read open, by topic. A cut that says nothing is noticed a little later than that, and
// a replica must be in step again within seconds of its end.
var waits = map[keyedlog.Topic]time.Duration{
	keyedlog.TopicOperator: time.Second, keyedlog.TopicEngines: time.Second, keyedlog.TopicJobIndex: time.Second,
	keyedlog.TopicWeights: 2 * time.Second, keyedlog.TopicCrashes: 2 * time.Second, keyedlog.TopicEngineList: time.Second,
}

// spacings is the least time between two reads that brought records. Every engine writes about once a second, and nobody needs
// to know sooner than this that one leaves.
var spacings = map[keyedlog.Topic]time.Duration{
	keyedlog.TopicEngines: 200 * time.Millisecond, keyedlog.TopicEngineList: 200 * time.Millisecond,
}

// idleSpacing is the least time between two reads that brought records of jobs or orders at a process that owns no partition. It
// has to be well under the second or so for which a load takes an engine away, so that a process that is dealt a partition starts
// with engines nearly as they are, and makes at most four reads a second of two topics, where hundreds of processes share the
// store's.
const idleSpacing = 500 * time.Millisecond

// idleSpread is how long such a process puts its first read of them off at most. All processes together ask for some 100 KB each
// when they start at once; three hundred take a store of 80 MB a second for a third of a second, during which no owner gets what it
// takes over. It is short beside the time that callers give a service to come back.
const idleSpread = 2 * time.Second
