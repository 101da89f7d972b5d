package weightroll

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// writerName names the line of epochs of order givers in a partition.
	writerName = "orders"
	// orderTimeout bounds the answer to an order, reportTimeout that to a report.
	orderTimeout  = 700 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// reportEvery is how often an engine that loads is asked whether it is done.
	reportEvery = 150 * time.Millisecond
	// reportFrom is the part of the quickest load's time after which it is asked first.
	reportFrom = 0.9
	// loadSmoothing is the weight of a new load in the usual time; loadShortening applies to the quickest when one was over at the
	// first question.
	loadSmoothing  = 0.3
	loadShortening = 0.95
	// overdueLoads is how many usual load times an order may take before it is planned anew.
	overdueLoads = 4
	// replanEvery is how often the plan is looked at when nothing is known to have changed.
	replanEvery = 100 * time.Millisecond
	// planRest is how many times as long as a plan took the next one is put off at least: of a pool of thousands plans take milliseconds, and
	// each load that ends asks for one.
	planRest = 4
	// forgetAfter is how long announcements for engines that are gone are kept, in leases.
	forgetAfter = 4
)

// Follower tells how far a partition was read.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
}

// Config configures the rollers of a process.
type Config struct {
	Log       keyedlog.Log
	Followers []Follower
	Board     *Board
	Catalog   *catalog.Holder
	Directory *fleet.Directory
	Client    engineapi.Client
	// Loads returns what the steps of each model ask of engines, nil if nothing is known of any. JobsKnown tells whether it was read which jobs
	// there are, so that Loads can be gone by; a nil function stands for always.
	Loads     func() map[string]policy.StepLoad
	JobsKnown func() bool
	// Paces returns the usual time between two events of a pool's engines, by id, as far as it is known. A nil function stands for none.
	Paces func(pool string) map[string]time.Duration
	// Node names the holder in orders: the machine, which runs one process at a time.
	Node string
	// Lease is the least time between the orders of two holders.
	Lease time.Duration
	// OnRolled takes the time from the naming of a version, as this process learnt it, to an engine serving it.
	OnRolled func(time.Duration)
	Logger   *log.Logger
}

// Holder starts the roller of a partition; it implements ownership.Holder for weight partitions.
type Holder struct {
	config Config
}

// NewHolder returns a holder.
func NewHolder(config Config) *Holder {
	return &Holder{config: config}
}

// Gained starts ordering the engines of a partition's pools.
func (h *Holder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	runCtx, cancel := context.WithCancel(ctx)
	r := &roller{
		config: h.config, partition: partition, cancel: cancel,
		writer: fencing.New(fencing.Config{
			Log: h.config.Log, Partition: partition, Name: writerName, Generation: generation, Logger: h.config.Logger,
		}),
		assignments: make(map[string]Assignment), shares: make(map[string]map[string]int),
		looked: make(map[string]shareLook), balancedAt: make(map[string]time.Time), publishing: make(map[string]bool), loading: make(map[string]map[string]string),
		together: make(map[string]*concurrency), waiting: make(map[string]int),
		sequences: make(map[string]sequence), retryAt: make(map[string]time.Time), wake: make(chan struct{}, 1),
		usual: loadUsual, quickest: loadUsual, namedAt: make(map[string]naming),
	}
	r.announcer = newAnnouncer(r.writer)
	r.active.Go(func() { r.run(runCtx) })
	return r
}

// roller orders the engines of one partition's pools while this process owns it.
type roller struct {
	config    Config
	partition keyedlog.Partition
	writer    *fencing.Writer
	announcer *announcer
	cancel    context.CancelFunc
	active    sync.WaitGroup
	wake      chan struct{}

	mutex       sync.Mutex
	assignments map[string]Assignment
	// shares maps pools to how many engines each model is to have.
	shares map[string]map[string]int
	// looked holds when these were last worked out, by pool; balancedAt when engines were last compared by pace.
	looked     map[string]shareLook
	balancedAt map[string]time.Time
	// loading maps pools to the engines that are being ordered, with the model.
	loading map[string]map[string]string
	// publishing holds the pools whose assignment is being told.
	publishing map[string]bool
	// sequences holds how many orders each engine has taken, by engine, as far as this process knows.
	sequences map[string]sequence
	retryAt   map[string]time.Time
	// usual is the smoothed time of a load, quickest the shortest.
	usual    time.Duration
	quickest time.Duration
	// together holds, by pool, how many engines may load at once; waiting how many wait for their turn.
	together map[string]*concurrency
	waiting  map[string]int
	namedAt  map[string]naming
}

// sequence is how many orders an incarnation of an engine has taken since its start.
type sequence struct {
	engine fleet.Engine
	orders int64
}

// naming is a version of a model and when this process learnt of it.
type naming struct {
	version int64
	at      time.Time
}

func (r *roller) run(ctx context.Context) {
	end, err := r.writer.Open(ctx)
	if err != nil {
		return
	}
	r.announcer.started = time.Now()
	if err := r.config.Followers[r.partition.Number].WaitFor(ctx, end); err != nil {
		return
	}
	r.config.Logger.Info("order lease taken over", "partition", r.partition, "epoch", r.writer.Epoch(), "end", end)
	ticker := time.NewTicker(replanEvery)
	defer ticker.Stop()
	cleanup := time.NewTicker(r.config.Lease)
	defer cleanup.Stop()
	for {
		began := time.Now()
		r.plan(ctx)
		if !pause.For(ctx, planRest*time.Since(began)) {
			return
		}
		select {
		case <-r.config.Catalog.Changed():
		case <-r.wake:
		case <-ticker.C:
		case <-cleanup.C:
			r.forget(ctx)
		case <-r.writer.Superseded():
			return
		case <-ctx.Done():
			return
		}
	}
}

// plan starts the orders that are due in the pools of the partition.
func (r *roller) plan(ctx context.Context) {
	current := r.config.Catalog.Current()
	if current == nil {
		return
	}
	named := r.config.Catalog.Versions()
	partitions := r.config.Log.Partitions(keyedlog.TopicWeights)
	for _, pool := range current.Pools {
		if len(pool.Models) > 0 && PartitionOf(pool.Name, partitions) == r.partition {
			r.planPool(ctx, current, pool, named)
		}
	}
}

func (r *roller) planPool(ctx context.Context, current *catalog.Catalog, pool catalog.Pool, named map[string]int64) {
	targets := make(map[string]int64, len(pool.Models))
	for _, model := range pool.Models {
		targets[model] = named[model]
	}
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.noteNames(targets, now)
	var engines []fleet.Engine
	for _, engine := range r.config.Directory.Pool(pool.Name) {
		if !engine.Draining {
			engines = append(engines, engine)
		}
	}
	assignment := r.assign(ctx, pool.Name, engines, targets)
	loading := r.loading[pool.Name]
	if loading == nil {
		loading = make(map[string]string)
		r.loading[pool.Name] = loading
	}
	var ready []fleet.Engine
	for _, engine := range engines {
		if assignment[engine.ID] != "" && !now.Before(r.retryAt[engine.ID]) && !now.Before(r.allowedAt(engine.ID)) {
			ready = append(ready, engine)
		}
	}
	mode := loadMode(current, pool.Name)
	together := r.together[pool.Name]
	if together == nil {
		together = new(concurrency)
		r.together[pool.Name] = together
	}
	together.startAt(len(engines), r.config.Board.together(pool.Name))
	steps, waiting := Plan(PlanInput{
		Engines: ready, Targets: targets, Assignment: assignment, Loading: loading, AtOnce: together.limit(),
	})
	r.waiting[pool.Name] = waiting
	for _, step := range steps {
		loading[step.Engine.ID] = step.Model
	}
	under := len(loading)
	for _, step := range steps {
		r.active.Go(func() { r.carryOut(ctx, pool.Name, step, mode, under) })
	}
}

// noteNames remembers when this process learnt of each target.
func (r *roller) noteNames(targets map[string]int64, now time.Time) {
	for model, version := range targets {
		if r.namedAt[model].version < version {
			r.namedAt[model] = naming{version: version, at: now}
		}
	}
}

// loadMode says what becomes of an engine's runs when it loads: they go on under the new version, unless the pool has a route
// whose texts may not mix versions; then they end first. Cutting them off, to be taken up elsewhere at once, was tried: it
// reads more prompts anew, opens more connections, and is no faster.
func loadMode(current *catalog.Catalog, pool string) engineapi.LoadMode {
	for _, route := range current.Routes {
		if route.SingleVersion && leadsTo(route, pool) {
			return engineapi.LoadWaits
		}
	}
	return engineapi.LoadKeeps
}

func leadsTo(route catalog.Route, pool string) bool {
	return slices.ContainsFunc(route.Targets, func(target catalog.Target) bool { return target.Pool == pool })
}

// allowedAt is when an engine may hear this holder: a lease after the last moment at which another may have announced an order to it. What an
// earlier process of this machine ordered is this holder's own.
func (r *roller) allowedAt(engineID string) time.Time {
	last, ordered := r.config.Board.last(engineID)
	if !ordered || last.Epoch == r.writer.Epoch() || last.Holder == r.config.Node {
		return time.Time{}
	}
	return last.announcedBy.Add(fencing.SuccessorDelay(r.config.Lease))
}

// carryOut brings one engine to a version. under is how many loads of the pool are under way, this one included.
func (r *roller) carryOut(ctx context.Context, pool string, step Step, mode engineapi.LoadMode, under int) {
	started := time.Now()
	load, err := r.order(ctx, pool, step, mode)
	served := err == nil
	r.mutex.Lock()
	delete(r.loading[pool], step.Engine.ID)
	if !served {
		r.retryAt[step.Engine.ID] = time.Now().Add(reportEvery)
	}
	r.learnTogether(pool, load, under)
	named := r.namedAt[step.Model]
	r.mutex.Unlock()
	r.config.Logger.Info("load ended", "engine", step.Engine.ID, "model", step.Model, "version", step.Version,
		"epoch", r.writer.Epoch(), "served", served, "error", err, "took", time.Since(started).Round(time.Millisecond), "load", load.Round(time.Millisecond))
	if served && named.version == step.Version && r.config.OnRolled != nil {
		r.config.OnRolled(time.Since(named.at))
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// learnTogether takes how long a load took, 0 for an order that says nothing of that, and tells when the number that may load
// together has changed. What the store of announcements took does not count: that many engines wait for it together says nothing of
// the store of weights.
func (r *roller) learnTogether(pool string, took time.Duration, under int) {
	together := r.together[pool]
	before := together.limit()
	together.loaded(took, under, r.waiting[pool] > 0, time.Now())
	if after := together.limit(); after != before {
		r.config.Logger.Info("loads at once changed", "pool", pool, "before", before, "after", after,
			"loads_per_s", together.rate, "waiting", r.waiting[pool])
	}
}

// forget drops announcements for engines that are long gone.
func (r *roller) forget(ctx context.Context) {
	before := time.Now().Add(-forgetAfter * r.config.Lease)
	var records []keyedlog.Record
	for _, id := range r.config.Board.gone(r.partition, r.config.Log.Partitions(keyedlog.TopicWeights), before) {
		records = append(records, keyedlog.Record{Key: id})
	}
	if len(records) > 0 {
		_, _ = r.writer.Append(ctx, records)
	}
}

// Release ends the work; orders under way are given up.
func (r *roller) Release(context.Context) {
	r.cancel()
	r.active.Wait()
}

// Superseded is closed when another order giver has a higher epoch.
func (r *roller) Superseded() <-chan struct{} {
	return r.writer.Superseded()
}
