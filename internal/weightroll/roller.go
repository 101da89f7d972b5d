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
	// writerName identifies the sequence of owner epochs in a partition.
	writerName = "orders"
	// orderTimeout limits the wait for the response to an order, reportTimeout that for a report.
	orderTimeout  = 700 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// pollInterval is how often a loading engine is polled for completion.
	pollInterval = 150 * time.Millisecond
	// firstPollFraction is the fraction of the shortest load time after which an engine is polled first.
	firstPollFraction = 0.9
	// loadTimeSmoothing is the weight of a new sample in the typical load time. shortestLoadFactor is applied to the
	// shortest load time when a load was complete at the first poll.
	loadTimeSmoothing  = 0.3
	shortestLoadFactor = 0.95
	// overdueFactor is the multiple of the typical load time after which an order is planned again.
	overdueFactor = 4
	// replanInterval is how often the plan is computed when nothing is known to have changed.
	replanInterval = 100 * time.Millisecond
	// planIdleFactor is the minimum delay between two plans as a multiple of the duration of the last one: a plan for a
	// pool of thousands of engines takes milliseconds, and each load that ends triggers one.
	planIdleFactor = 4
	// departedRetention is how long announcements for departed engines are kept, in leases.
	departedRetention = 4
)

// Follower waits until a partition was read up to a position.
type Follower interface {
	WaitFor(ctx context.Context, end int64) error
}

// Config configures the rollers of a process.
type Config struct {
	Log        keyedlog.Log
	Followers  []Follower
	OrderTable *OrderTable
	Catalog    *catalog.Holder
	Directory  *fleet.Directory
	Client     engineapi.Client
	// Loads returns the load that the steps of each model put on engines, nil if none is known. JobsKnown reports
	// whether the list of jobs was read, so that the result of Loads is usable; nil means always.
	Loads     func() map[string]policy.StepLoad
	JobsKnown func() bool
	// Paces returns the typical time between two events of a pool's engines by engine id, as far as known. A nil
	// function means that none is known.
	Paces func(pool string) map[string]time.Duration
	// Node identifies the holder in orders: the machine, which runs one process at a time.
	Node string
	// Lease is the minimum time between the orders of two holders.
	Lease time.Duration
	// OnVersionServed is called with the time from when this process learned of a version until an engine serves it.
	OnVersionServed func(time.Duration)
	Logger          *log.Logger
}

// Holder starts the roller of a partition; it implements ownership.Holder for weight partitions.
type Holder struct {
	config Config
}

// NewHolder returns a holder that starts rollers with the given configuration.
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
		shareChecks: make(map[string]shareCheck), balancedAt: make(map[string]time.Time), publishing: make(map[string]bool), loading: make(map[string]map[string]string),
		loadLimit: make(map[string]*concurrency), waiting: make(map[string]int),
		departed:  make(map[string]Assignment),
		sequences: make(map[string]sequence), retryAt: make(map[string]time.Time), wake: make(chan struct{}, 1),
		typicalLoad: defaultLoadTime, shortestLoad: defaultLoadTime, latestTargets: make(map[string]versionTarget),
	}
	r.announcer = newAnnouncer(r.writer)
	r.active.Go(func() { r.run(runCtx) })
	return r
}

// roller orders the engines of one partition's pools while this process owns the partition.
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
	// departed holds, by pool, the models of engines that are draining or whose zone is evacuated.
	departed map[string]Assignment
	// shares maps pools to the number of engines that each model is to have.
	shares map[string]map[string]int
	// shareChecks maps pools to the last computation of shares, balancedAt to the last comparison of engines by pace.
	shareChecks map[string]shareCheck
	balancedAt  map[string]time.Time
	// loading maps pools to the engines with an order in progress, each with its model.
	loading map[string]map[string]string
	// publishing holds the pools whose assignment is being published.
	publishing map[string]bool
	// sequences maps engine ids to the number of orders that the engine has accepted, as far as this process knows.
	sequences map[string]sequence
	retryAt   map[string]time.Time
	// typicalLoad is the smoothed load time, shortestLoad the shortest one.
	typicalLoad  time.Duration
	shortestLoad time.Duration
	// loadLimit maps pools to the number of engines that may load concurrently, waiting to the number of engines
	// waiting to load.
	loadLimit map[string]*concurrency
	waiting   map[string]int
	// latestTargets maps models to their newest version known to this process.
	latestTargets map[string]versionTarget
}

// sequence is how many orders an incarnation of an engine has accepted since its start.
type sequence struct {
	engine fleet.Engine
	orders int64
}

// versionTarget is a version of a model and when this process learned of it.
type versionTarget struct {
	version   int64
	learnedAt time.Time
}

func (r *roller) run(ctx context.Context) {
	end, err := r.writer.Open(ctx)
	if err != nil {
		return
	}
	r.announcer.epochStart = time.Now()
	if err := r.config.Followers[r.partition.Number].WaitFor(ctx, end); err != nil {
		return
	}
	r.config.Logger.Info("order lease taken over", "partition", r.partition, "epoch", r.writer.Epoch(), "end", end)
	ticker := time.NewTicker(replanInterval)
	defer ticker.Stop()
	cleanup := time.NewTicker(r.config.Lease)
	defer cleanup.Stop()
	for {
		started := time.Now()
		r.plan(ctx)
		if !pause.For(ctx, planIdleFactor*time.Since(started)) {
			return
		}
		select {
		case <-r.config.Catalog.Changed():
		case <-r.wake:
		case <-ticker.C:
		case <-cleanup.C:
			r.removeDeparted(ctx)
		case <-r.writer.Superseded():
			return
		case <-ctx.Done():
			return
		}
	}
}

// plan starts the pending orders in the pools of the partition.
func (r *roller) plan(ctx context.Context) {
	current := r.config.Catalog.Current()
	if current == nil {
		return
	}
	versions := r.config.Catalog.Versions()
	partitions := r.config.Log.Partitions(keyedlog.TopicWeights)
	for _, pool := range current.Pools {
		if len(pool.Models) > 0 && PartitionOf(pool.Name, partitions) == r.partition {
			r.planPool(ctx, current, pool, versions)
		}
	}
}

func (r *roller) planPool(ctx context.Context, current *catalog.Catalog, pool catalog.Pool, versions map[string]int64) {
	targets := make(map[string]int64, len(pool.Models))
	for _, model := range pool.Models {
		targets[model] = versions[model]
	}
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recordTargets(targets, now)
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
	loadLimit := r.loadLimit[pool.Name]
	if loadLimit == nil {
		loadLimit = new(concurrency)
		r.loadLimit[pool.Name] = loadLimit
	}
	loadLimit.setInitial(len(engines), r.config.OrderTable.loadLimit(pool.Name))
	steps, waiting := Plan(PlanInput{
		Engines: ready, Targets: targets, Assignment: assignment, Loading: loading, MaxLoads: loadLimit.limit(),
	})
	r.waiting[pool.Name] = waiting
	for _, step := range steps {
		loading[step.Engine.ID] = step.Model
	}
	concurrent := len(loading)
	for _, step := range steps {
		r.active.Go(func() { r.runStep(ctx, pool.Name, step, mode, concurrent) })
	}
}

// recordTargets records when this process learned of each target version.
func (r *roller) recordTargets(targets map[string]int64, now time.Time) {
	for model, version := range targets {
		if r.latestTargets[model].version < version {
			r.latestTargets[model] = versionTarget{version: version, learnedAt: now}
		}
	}
}

// loadMode returns how the runs of an engine are handled when it loads: they continue with the new version, unless the
// pool has a route whose texts may not mix versions; then they finish first. Cutting them off to continue them
// elsewhere at once reads more prompts again, opens more connections, and is no faster.
func loadMode(current *catalog.Catalog, pool string) engineapi.LoadMode {
	for _, route := range current.Routes {
		if route.SingleVersion && routesTo(route, pool) {
			return engineapi.LoadWaits
		}
	}
	return engineapi.LoadKeeps
}

func routesTo(route catalog.Route, pool string) bool {
	return slices.ContainsFunc(route.Targets, func(target catalog.Target) bool { return target.Pool == pool })
}

// allowedAt returns the earliest time at which this holder may send an engine an order: a lease after the last time at
// which another holder may have announced one to it. Orders of an earlier process on this machine are this holder's
// own.
func (r *roller) allowedAt(engineID string) time.Time {
	lastOrder, ordered := r.config.OrderTable.lastOrder(engineID)
	if !ordered || lastOrder.Epoch == r.writer.Epoch() || lastOrder.Holder == r.config.Node {
		return time.Time{}
	}
	return lastOrder.announcedBefore.Add(fencing.SuccessorDelay(r.config.Lease))
}

// runStep brings one engine to a version. concurrent is the number of loads in progress in the pool, this one included.
func (r *roller) runStep(ctx context.Context, pool string, step Step, mode engineapi.LoadMode, concurrent int) {
	started := time.Now()
	load, err := r.order(ctx, pool, step, mode)
	served := err == nil
	r.mutex.Lock()
	delete(r.loading[pool], step.Engine.ID)
	if !served {
		r.retryAt[step.Engine.ID] = time.Now().Add(pollInterval)
	}
	r.adjustConcurrency(pool, load, concurrent)
	target := r.latestTargets[step.Model]
	r.mutex.Unlock()
	r.config.Logger.Info("load ended", "engine", step.Engine.ID, "model", step.Model, "version", step.Version,
		"epoch", r.writer.Epoch(), "served", served, "error", err, "took", time.Since(started).Round(time.Millisecond), "load", load.Round(time.Millisecond))
	if served && target.version == step.Version && r.config.OnVersionServed != nil {
		r.config.OnVersionServed(time.Since(target.learnedAt))
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// adjustConcurrency records the duration of a load, 0 for an order that shows none, and logs a change of the number of
// concurrent loads. The duration excludes the time that the store of announcements took: engines that wait for it
// together show nothing about the store of weights.
func (r *roller) adjustConcurrency(pool string, elapsed time.Duration, concurrent int) {
	loadLimit := r.loadLimit[pool]
	before := loadLimit.limit()
	loadLimit.observe(elapsed, concurrent, r.waiting[pool] > 0, time.Now())
	if after := loadLimit.limit(); after != before {
		r.config.Logger.Info("loads at once changed", "pool", pool, "before", before, "after", after,
			"loads_per_s", loadLimit.rate, "waiting", r.waiting[pool])
	}
}

// removeDeparted removes announcements for engines that left several leases ago.
func (r *roller) removeDeparted(ctx context.Context) {
	before := time.Now().Add(-departedRetention * r.config.Lease)
	var records []keyedlog.Record
	for _, id := range r.config.OrderTable.departed(r.partition, r.config.Log.Partitions(keyedlog.TopicWeights), before) {
		records = append(records, keyedlog.Record{Key: id})
	}
	if len(records) > 0 {
		_, _ = r.writer.Append(ctx, records)
	}
}

// Release stops the roller and abandons the orders in progress.
func (r *roller) Release(context.Context) {
	r.cancel()
	r.active.Wait()
}

// Superseded returns a channel that is closed when another owner has a higher epoch.
func (r *roller) Superseded() <-chan struct{} {
	return r.writer.Superseded()
}
