// Package fleet is what a node knows of the engines: which exist, what they serve, how busy this node keeps them and how
// they have behaved. Choosing among them is a pure function over a snapshot. It makes no calls.
package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/policy"
)

// Engine is one incarnation of an engine as it recorded itself.
type Engine struct {
	// ID names the engine. An engine that starts again may keep its id, and then has the state of a new one.
	ID string
	// StartedAt is when the incarnation started, by its own clock; zero if it does not say.
	StartedAt time.Time
	Pool      string
	Address   string
	Zone      string
	// Region is the region of the zone, empty if that is not known; the directory fills it in.
	Region string
	// Slots is how many requests it works on at once.
	Slots int
	// Draining says that it takes no new work.
	Draining bool
	// Versions maps models to the weight version served.
	Versions map[string]int64
	// Preemptible says that it may be taken away at short notice.
	Preemptible bool
	// ColdUntil is until when it is slow after its start.
	ColdUntil time.Time
}

// Serves tells the version of a model that the engine serves, 0 if none.
func (e Engine) Serves(model string) int64 {
	return e.Versions[model]
}

// entry is an engine with what this node has seen of it.
type entry struct {
	engine Engine
	// rank is the engine's place in this process's own order of engines.
	rank     float64
	inFlight int
	// loading holds until when an order keeps the engine from beginning requests of a model.
	loading map[string]time.Time
	// avoidUntil is until when the engine is tried last after failures.
	avoidUntil time.Time
	failures   int
	breaker    policy.Breaker
	pace       policy.Pace
	// pacedAt is when the pace was measured last.
	pacedAt time.Time
	// latency is the smoothed time of whole answers.
	latency time.Duration
	// began is when work began there of late, while it is cold.
	began []time.Time
}

// Directory holds the engines. It is safe for concurrent use.
type Directory struct {
	mutex   sync.Mutex
	engines map[string]*entry
	changed broadcast.Signal
	// dealt maps engines, known or not, to the models that they are kept up to date for, by pool.
	dealt map[string]map[string]string
	// regions maps zones to regions.
	regions map[string]string
	// evacuated holds the zones whose engines take no new work.
	evacuated map[string]bool
	// coldRates holds how many requests a second a cold engine bears, by pool, where that is bounded.
	coldRates map[string]float64
	// known says that the list was read at least once; partial that there may be engines, or versions that they serve, of which nothing is
	// known.
	known   bool
	partial bool
	// paces holds the paces of each pool, for a moment; pools the engines of each, until one comes or goes.
	paces map[poolModel]poolPace
	pools map[string]*enginePool
	// onEjection is called for each ejection, nil for no call; pendingEjections holds those recorded since the mutex was locked.
	onEjection       func(Ejection)
	pendingEjections []Ejection
	// peers holds what other processes report of engines.
	peers peers
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		engines: make(map[string]*entry), changed: broadcast.New(), dealt: make(map[string]map[string]string), coldRates: make(map[string]float64),
		evacuated: make(map[string]bool),
		paces:     make(map[poolModel]poolPace), pools: make(map[string]*enginePool),
	}
}

// SetRegions says in which regions zones lie. It comes before the first engine.
func (d *Directory) SetRegions(regions map[string]string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.regions = regions
}

// Restarted tells whether an engine is a later incarnation than another one with its id. Where either does not say when it started, they
// count as the same one.
func (e Engine) Restarted(before Engine) bool {
	return !e.StartedAt.IsZero() && !before.StartedAt.IsZero() && e.StartedAt.After(before.StartedAt)
}

// Upsert adds or updates an engine. Versions never fall within an incarnation: a lagging record does not undo what was
// learned from the engine itself. A later incarnation takes the place of the one before, and a record of an earlier one changes nothing.
func (d *Directory) Upsert(engine Engine) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	engine.Region = d.regions[engine.Zone]
	found, ok := d.engines[engine.ID]
	if !ok {
		d.engines[engine.ID] = &entry{engine: engine, rank: unitHash("", engine.ID), loading: make(map[string]time.Time)}
		d.poolChanged(engine.Pool)
		return
	}
	if found.engine.Restarted(engine) {
		return
	}
	if engine.Restarted(found.engine) {
		before := found.engine.Pool
		found.restart(engine)
		d.movedFrom(before, found)
		return
	}
	engine.Versions = newest(found.engine.Versions, engine.Versions)
	engine.Draining = engine.Draining || found.engine.Draining
	same := engine.Draining == found.engine.Draining && engine.Address == found.engine.Address &&
		maps.Equal(engine.Versions, found.engine.Versions)
	if engine.Address != found.engine.Address {
		// The failures were those of another address.
		found.breaker = policy.Breaker{}
	}
	before := found.engine.Pool
	found.engine = engine
	if !same || before != engine.Pool {
		d.movedFrom(before, found)
	}
}

// restart replaces an engine by a later incarnation: versions, loads and failures were those of another process. Work in flight stays
// counted until its caller releases it.
func (e *entry) restart(engine Engine) {
	*e = entry{engine: engine, rank: e.rank, inFlight: e.inFlight, loading: make(map[string]time.Time), pace: e.pace, pacedAt: e.pacedAt, latency: e.latency}
}

// poolChanged records that an engine of a pool has come or gone. The mutex must be held.
func (d *Directory) poolChanged(name string) {
	delete(d.pools, name)
	d.changed.Notify()
}

// movedFrom records that an engine which was in a pool has changed. The mutex must be held.
func (d *Directory) movedFrom(before string, found *entry) {
	if before != found.engine.Pool {
		d.poolChanged(before)
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

func newest(known, stated map[string]int64) map[string]int64 {
	merged := maps.Clone(stated)
	if merged == nil {
		merged = make(map[string]int64)
	}
	for model, version := range known {
		merged[model] = max(merged[model], version)
	}
	return merged
}

// Remove forgets an engine.
func (d *Directory) Remove(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok {
		delete(d.engines, id)
		d.poolChanged(found.engine.Pool)
	}
}

// SetServes records that an engine serves a version of a model.
func (d *Directory) SetServes(id, model string, version int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok || found.engine.Versions[model] >= version {
		return
	}
	delete(found.loading, model)
	d.setVersion(found, model, version)
}

// Correct records that an engine began a run under a version of a model that is older than believed. The engine's own word
// on a run that has just begun is newer than any record.
func (d *Directory) Correct(id, model string, version int64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok || found.engine.Versions[model] <= version {
		return
	}
	d.setVersion(found, model, version)
}

// setVersion gives an engine another version of a model. Engines that were handed out keep the versions they had. The mutex must be held.
func (d *Directory) setVersion(found *entry, model string, version int64) {
	versions := maps.Clone(found.engine.Versions)
	if versions == nil {
		versions = make(map[string]int64)
	}
	versions[model] = version
	found.engine.Versions = versions
	d.engineChanged(found)
}

// SetDealt records for which model each engine of a pool is kept up to date. Work of that model goes there first. The map must not
// be changed afterwards.
func (d *Directory) SetDealt(pool string, models map[string]string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.dealt[pool] = models
	if known, ok := d.pools[pool]; ok {
		known.own = nil
	}
	d.changed.Notify()
}

// Dealt returns for which model each engine of a pool is kept up to date, nil if no word of that was read. The map must not be
// changed.
func (d *Directory) Dealt(pool string) map[string]string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.dealt[pool]
}

// SetLoading records that an engine loads weights of a model and begins no request of it until then, or later if that is known. An item that
// was turned away says only that the engine still loads.
func (d *Directory) SetLoading(id, model string, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found, ok := d.engines[id]; ok && until.After(found.loading[model]) {
		found.loading[model] = until
	}
}

// Loading tells whether an engine is loading weights of a model.
func (d *Directory) Loading(id, model string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	return ok && time.Now().Before(found.loading[model])
}

// SetKnown records that the list of engines was read whole.
func (d *Directory) SetKnown() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.known = true
}

// Known tells whether the list of engines was read whole at least once.
func (d *Directory) Known() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

// SetPartial says whether there may be engines of which nothing is known, or not what they serve. Who deals or orders engines by how many
// there are must not then.
func (d *Directory) SetPartial(partial bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.partial = partial
	d.changed.Notify()
}

// Partial tells whether there may be engines of which nothing is known, or not what they serve.
func (d *Directory) Partial() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.partial
}

// Engine returns an engine by id.
func (d *Directory) Engine(id string) (Engine, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found, ok := d.engines[id]
	if !ok {
		return Engine{}, false
	}
	return d.standing(found), true
}

// SetEvacuated says whether a zone is evacuated: its engines count as ones that leave until it is taken back.
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
	}
	clear(d.pools)
	d.changed.Notify()
}

// standing returns an engine as it stands for those who choose one. The mutex must be held.
func (d *Directory) standing(found *entry) Engine {
	engine := found.engine
	engine.Draining = engine.Draining || d.evacuated[engine.Zone]
	return engine
}

// Pool returns the engines of a pool in order of their ids. The slice must not be changed; it is the same one while no engine of the pool
// is another.
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
