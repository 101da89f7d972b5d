// Package fleet holds a node's knowledge of the engines: which exist, what they serve, how much of their capacity this
// node uses and how they have behaved. Choosing among them is a pure function over a snapshot. The package makes no
// calls.
package fleet

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/policy"
)

// Engine is one incarnation of an engine as recorded by the engine itself.
type Engine struct {
	// ID names the engine. An engine may keep its ID over a restart, and then has the state of a new one.
	ID string
	// StartedAt is the start time of the incarnation by its own clock; zero if it was not recorded.
	StartedAt time.Time
	Pool      string
	Address   string
	Zone      string
	// Region is the region of the zone, empty if it is not known; the directory sets it.
	Region string
	// Slots is the number of requests that it processes at once.
	Slots int
	// Draining means that it takes no new work.
	Draining bool
	// Versions maps models to the weight version served.
	Versions map[string]int64
	// Preemptible means that it may be removed at short notice.
	Preemptible bool
	// ColdUntil is the time until which it is slow after its start.
	ColdUntil time.Time
}

// ServedVersion returns the version of a model that the engine serves, 0 if none.
func (e Engine) ServedVersion(model string) int64 {
	return e.Versions[model]
}

// entry is an engine together with this node's observations of it.
type entry struct {
	engine Engine
	// rank is the engine's position in this process's own order of engines.
	rank     float64
	inFlight int
	// idleConnections is the number of idle connections that this process holds to the engine.
	idleConnections uint16
	// loadingUntil holds, by model, the time until which a load order keeps the engine from beginning requests.
	loadingUntil map[string]time.Time
	// avoidUntil is the time until which the engine is the last choice after failures.
	avoidUntil time.Time
	failures   int
	breaker    policy.Breaker
	pace       policy.Pace
	// paceMeasuredAt is when the pace was last measured.
	paceMeasuredAt time.Time
	// latency is the smoothed latency of complete responses.
	latency time.Duration
	cold    coldState
}

// Directory holds the engines. It is safe for concurrent use.
type Directory struct {
	mutex   sync.Mutex
	engines map[string]*entry
	changed broadcast.Signal
	// assigned maps engines, known or not, to their assigned models, by pool.
	assigned map[string]map[string]string
	regions  map[string]string
	// evacuated holds the zones whose engines take no new work.
	evacuated map[string]bool
	// coldLimits holds the limits of pools whose cold engines take less work. pendingChecks holds the causes of the health
	// checks that were requested, by engine ID; checksWanted receives a value when there are any.
	coldLimits    map[string]ColdLimit
	pendingChecks map[string]CheckCause
	checksWanted  chan struct{}
	// senderTerm returns the term in which this process is the only sender of a cold engine, nil if that is not known.
	senderTerm func(engine Engine, model string) (SenderTerm, bool)
	zones      zones
	// synced means that the list was read completely at least once; partial means that there may be unknown engines, or
	// engines whose versions are unknown.
	synced  bool
	partial bool
	// paces caches the paces of each pool for paceInterval; pools caches the engines of each pool until one comes or
	// goes.
	paces map[poolModel]poolPace
	pools map[string]*enginePool
	// onEjection is called for each ejection or readmission, nil for no call; pendingEjections holds those recorded
	// since the mutex was locked.
	onEjection       func(Ejection)
	pendingEjections []Ejection
	// peers holds the reports of other processes on engines.
	peers      peers
	departures departures
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		engines: make(map[string]*entry), changed: broadcast.New(), assigned: make(map[string]map[string]string),
		coldLimits: make(map[string]ColdLimit), pendingChecks: make(map[string]CheckCause), checksWanted: make(chan struct{}, 1), zones: newZones(),
		evacuated: make(map[string]bool),
		paces:     make(map[poolModel]poolPace), pools: make(map[string]*enginePool),
	}
}

// SetRegions sets the region of each zone. It must be called before the first engine is added.
func (d *Directory) SetRegions(regions map[string]string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.regions = regions
}

// Restarted reports whether an engine is a later incarnation than another one with its ID. Where either start time is
// unknown, they count as the same incarnation.
func (e Engine) Restarted(before Engine) bool {
	return !e.StartedAt.IsZero() && !before.StartedAt.IsZero() && e.StartedAt.After(before.StartedAt)
}

// Upsert adds or updates an engine. Versions never decrease within an incarnation: an outdated record does not undo what
// was learned from the engine itself. A later incarnation replaces the earlier one, and a record of an earlier one
// changes nothing.
func (d *Directory) Upsert(engine Engine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engine.Region = d.regions[engine.Zone]
	found, ok := d.engines[engine.ID]
	if !ok {
		d.add(engine)
		return
	}
	if found.engine.Restarted(engine) {
		return
	}
	if engine.Zone != found.engine.Zone {
		d.zones.remove(found.engine.Zone)
		d.zones.add(engine.Zone, time.Now())
	}
	if engine.Restarted(found.engine) {
		oldPool := found.engine.Pool
		found.restart(engine)
		d.noteState(engine)
		d.engineMoved(oldPool, found)
		return
	}
	engine.Versions = mergeVersions(found.engine.Versions, engine.Versions)
	engine.Draining = engine.Draining || found.engine.Draining
	same := engine.Draining == found.engine.Draining && engine.Address == found.engine.Address &&
		maps.Equal(engine.Versions, found.engine.Versions) && !d.turnsCold(found, engine)
	if engine.Address != found.engine.Address {
		// The failures occurred at the old address.
		found.breaker = policy.Breaker{}
	}
	oldPool := found.engine.Pool
	found.engine = engine
	d.noteState(engine)
	if !same || oldPool != engine.Pool {
		d.engineMoved(oldPool, found)
	}
}

// add adds an engine. The mutex must be held.
func (d *Directory) add(engine Engine) {
	now := time.Now()
	added := &entry{engine: engine, rank: unitHash("", engine.ID), loadingUntil: make(map[string]time.Time)}
	added.cold.unconfirmedSince = now
	d.engines[engine.ID] = added
	d.noteState(engine)
	d.zones.add(engine.Zone, now)
	if d.zones.returnedWithin(engine.Zone, d.coldLimits[engine.Pool].Duration, now) {
		d.suspectReturned(added, now)
	}
	d.poolChanged(engine.Pool)
}

// restart replaces an engine by a later incarnation: versions, loads and failures belonged to another process. Work in
// flight stays counted until its caller releases it.
func (e *entry) restart(engine Engine) {
	*e = entry{engine: engine, rank: e.rank, inFlight: e.inFlight, loadingUntil: make(map[string]time.Time), pace: e.pace, paceMeasuredAt: e.paceMeasuredAt, latency: e.latency}
}

// poolChanged records that an engine of a pool has come or gone. The mutex must be held.
func (d *Directory) poolChanged(name string) {
	delete(d.pools, name)
	d.changed.Notify()
}

// engineMoved records that an engine has changed, and maybe its pool. The mutex must be held.
func (d *Directory) engineMoved(oldPool string, found *entry) {
	if oldPool != found.engine.Pool {
		d.poolChanged(oldPool)
		d.poolChanged(found.engine.Pool)
		return
	}
	d.engineChanged(found)
}

// engineChanged records that an engine has changed. The mutex must be held.
func (d *Directory) engineChanged(found *entry) {
	if known, ok := d.pools[found.engine.Pool]; ok {
		known.stale[found.engine.ID] = true
	}
	d.changed.Notify()
}

func mergeVersions(known, reported map[string]int64) map[string]int64 {
	merged := maps.Clone(reported)
	if merged == nil {
		merged = make(map[string]int64)
	}
	for model, version := range known {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// Remove removes an engine that is gone, together with this node's observations of it.
func (d *Directory) Remove(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.remove(id) {
		d.departures.record(id, time.Now())
	}
}

// Forget removes an engine that this process no longer needs to know.
func (d *Directory) Forget(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.remove(id)
}

// remove removes an engine and reports whether it was known. The mutex must be held.
func (d *Directory) remove(id string) bool {
	found, ok := d.engines[id]
	if !ok {
		return false
	}
	delete(d.engines, id)
	d.zones.remove(found.engine.Zone)
	d.poolChanged(found.engine.Pool)
	return true
}

// SetServedVersion records that an engine serves a version of a model.
func (d *Directory) SetServedVersion(id, model string, version int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok || found.engine.Versions[model] >= version {
		return
	}
	delete(found.loadingUntil, model)
	d.setVersion(found, model, version)
}

// Correct records that an engine began a run with an older version of a model than recorded. The engine's own report on
// a run that has just begun is newer than any record.
func (d *Directory) Correct(id, model string, version int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok || found.engine.Versions[model] <= version {
		return
	}
	d.setVersion(found, model, version)
}

// setVersion gives an engine another version of a model. Engines that were returned earlier keep their versions. The
// mutex must be held.
func (d *Directory) setVersion(found *entry, model string, version int64) {
	versions := maps.Clone(found.engine.Versions)
	if versions == nil {
		versions = make(map[string]int64)
	}
	versions[model] = version
	found.engine.Versions = versions
	d.engineChanged(found)
}

// SetAssignedModels sets the model that each engine of a pool is assigned to. Work of that model prefers the engine. The
// map must not be changed afterwards.
func (d *Directory) SetAssignedModels(pool string, models map[string]string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordReassigned(pool, models)
	d.assigned[pool] = models
	if known, ok := d.pools[pool]; ok {
		known.own = nil
	}
	d.changed.Notify()
}

// AssignedModels returns the model that each engine of a pool is assigned to, nil if no assignment was read. The map
// must not be changed.
func (d *Directory) AssignedModels(pool string) map[string]string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.assigned[pool]
}

// SetLoading records that an engine loads weights of a model and begins no request of it until then. It never shortens a
// known load, since a rejected item only shows that the engine still loads.
func (d *Directory) SetLoading(id, model string, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok && until.After(found.loadingUntil[model]) {
		found.loadingUntil[model] = until
	}
}

// Loading reports whether an engine is loading weights of a model.
func (d *Directory) Loading(id, model string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	return ok && time.Now().Before(found.loadingUntil[model])
}

// SetIdleConnections sets the number of idle connections that this process holds to an engine.
func (d *Directory) SetIdleConnections(id string, count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		found.idleConnections = uint16(min(count, math.MaxUint16))
	}
}

// SetSynced records that the list of engines was read completely.
func (d *Directory) SetSynced() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.synced = true
}

// Synced reports whether the list of engines was read completely at least once.
func (d *Directory) Synced() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.synced
}

// SetPartial sets whether there may be unknown engines, or engines whose versions are unknown. Engines must not be
// assigned or ordered by their number then.
func (d *Directory) SetPartial(partial bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.partial = partial
	d.changed.Notify()
}

// Partial reports whether there may be unknown engines, or engines whose versions are unknown.
func (d *Directory) Partial() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.partial
}

// Engine returns an engine by ID.
func (d *Directory) Engine(id string) (Engine, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok {
		return Engine{}, false
	}
	return d.effectiveEngine(found), true
}

// SetEvacuated sets whether a zone is evacuated: its engines count as draining until the evacuation ends.
func (d *Directory) SetEvacuated(zone string, evacuated bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.evacuated[zone] == evacuated {
		return
	}
	if evacuated {
		d.evacuated[zone] = true
	} else {
		delete(d.evacuated, zone)
		d.suspectZone(zone)
	}
	clear(d.pools)
	d.changed.Notify()
}

// effectiveEngine returns an engine with evacuation and what is known of its coldness taken into account. The mutex must
// be held.
func (d *Directory) effectiveEngine(found *entry) Engine {
	engine := found.engine
	engine.Draining = engine.Draining || d.evacuated[engine.Zone]
	engine.ColdUntil = found.coldUntil()
	return engine
}

// Pool returns the engines of a pool in order of their IDs. The slice must not be changed; it stays the same one while
// no engine of the pool changes.
func (d *Directory) Pool(pool string) []Engine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.sortedEngines(d.poolOf(pool))
}

// Changed returns a channel that is closed at the next change of engines, versions or load.
func (d *Directory) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.changed.Changed()
}
