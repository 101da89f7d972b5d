package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/answercheck"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/enginelist"
	"github.com/hillfork/hillfork/internal/engineview"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/healthcheck"
	"github.com/hillfork/hillfork/internal/inbound"
	"github.com/hillfork/hillfork/internal/ingress"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobrun"
	"github.com/hillfork/hillfork/internal/jobs"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/scaler"
	"github.com/hillfork/hillfork/internal/sendguard"
	"github.com/hillfork/hillfork/internal/storepace"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/hillfork/hillfork/internal/usage"
	"github.com/hillfork/hillfork/internal/weightroll"
)

// Config configures a replica.
type Config struct {
	Settings Settings
	Log      keyedlog.Log
	Client   engineapi.Client
	// Connections knows the connections of Client, nil if they are not known.
	Connections engineapi.Connections
	// Health sends health checks, nil if none can be sent.
	Health healthcheck.Client
	// Prober checks whether engines have ended.
	Prober  quarantine.Prober
	Decoder RecordDecoder
	// Inbound bounds the memory of answers while they are read, nil for no bound.
	Inbound *inbound.Budget
	// BrokenAnswers counts answers that are none, nil for no count.
	BrokenAnswers *answercheck.Counter
	// Usage receives reports of usage, nil if there is no receiver.
	Usage usage.Receiver
	// Engines is the provider that engines are ordered from, nil if none can be ordered.
	Engines scaler.Provider
	// RecordBytes and CallBytes limit a record and an append of the store.
	RecordBytes int
	CallBytes   int
	Logger      *log.Logger
}

// Replica is one process of hillfork on a platform.
type Replica struct {
	config    Config
	catalog   *catalog.Holder
	directory *fleet.Directory
	// list is the list of engines as read from the store, keeper writes it.
	list   *enginelist.List
	keeper *enginelist.Keeper
	index  *job.Index
	// indexFollower reads the index of jobs.
	indexFollower *follow.Follower
	ingress       *ingress.Ingress
	jobs          *jobs.Service
	queue         *jobrun.Queue
	// mover moves runs off engines that leave.
	mover       *jobrun.Mover
	evacuations *evacuations
	// quarantine withholds requests that crash engines.
	quarantine *quarantine.Quarantine
	// followers run for the lifetime of the process; weights, by partition, run while a pool of models has its orders
	// there.
	followers []*follow.Follower
	weights   []*follow.Follower
	managers  []*ownership.Manager
	// runners starts the work of partitions of jobs, those of home sets included.
	runners ownership.Holder
	// holdings tracks the partitions held; duties is the number of duties.
	holdings *holdings
	duties   int
	// viewPublisher and viewReader share views of engines with other owners.
	viewPublisher *engineview.Publisher
	viewReader    *engineview.Reader
	// checker makes health checks of engines that may be cold.
	checker *healthcheck.Checker
	// teller publishes the usage of tenants' requests that this process has run, nil if it is not reported.
	teller  *usage.Publisher
	metrics *metrics
	ready   atomic.Bool
}

// New returns a replica. Run starts it.
func New(config Config) *Replica {
	config.Log = storepace.New(storetimeout.New(config.Log), config.Settings.StoreReadsPerS)
	r := &Replica{
		config: config, catalog: catalog.NewHolder(), directory: fleet.NewDirectory(), index: job.NewIndex(),
		metrics: newMetrics(), holdings: newHoldings(),
	}
	r.directory.SetRegions(config.Settings.Regions)
	r.evacuations = newEvacuations(r.directory, config.Logger)
	r.list = enginelist.NewList(r.directory, r.listPartitions())
	r.keeper = enginelist.NewKeeper(enginelist.KeeperConfig{Log: config.Log, List: r.list, Logger: config.Logger})
	r.watchEjections()
	r.config.Client = r.meterRegions(r.guardSends(config.Client))
	config.Client = r.config.Client
	if config.Connections != nil {
		r.metrics.connections(config.Connections.Stats)
		config.Connections.OnIdle(r.directory.SetIdleConnections)
	}
	if config.Inbound != nil {
		r.metrics.inbound(config.Inbound.Stats)
	}
	if config.BrokenAnswers != nil {
		r.metrics.brokenAnswers(config.BrokenAnswers.Count)
	}
	r.setUpHealthChecks()
	splitter := catalog.NewSplitter(rand.Float64)
	crashFollower := r.quarantineCrashes()
	forwarder := forward.New(forward.Config{
		Client: config.Client, Directory: r.directory, Quarantine: r.quarantine, Inbound: config.Inbound, Zone: config.Settings.Zone,
		Logger: config.Logger,
	})
	operator := r.follow(keyedlog.Partition{Topic: keyedlog.TopicOperator}, &operatorApplier{
		decoder: config.Decoder, holder: r.catalog, directory: r.directory, evacuations: r.evacuations, logger: config.Logger,
	})
	reporting, meter := r.countUsage()
	r.ingress = ingress.New(ingress.Config{
		Catalog: r.catalog, Splitter: splitter, Meter: meter, Forwarder: forwarder, OnRequest: r.metrics.request,
		KeyBound: config.Settings.KeyBound, Confirmed: operator.Confirmed,
		MemoryBytes: config.Settings.MemoryBytes, Logger: config.Logger,
	})
	r.metrics.unread(r.ingress.Unread().Stats)
	r.queue = jobrun.NewQueue(r.directory)
	r.mover = jobrun.NewMover(jobrun.MoverConfig{
		Directory: r.directory, Queue: r.queue, Client: config.Client, Metrics: r.metrics.measures(), Logger: config.Logger,
	})
	r.metrics.leaving(r.mover.LeavingRuns)
	r.shareViews()
	board := weightroll.NewOrderTable(r.directory)
	indexFollower := r.follow(keyedlog.JobIndex, &indexApplier{index: r.index, logger: config.Logger})
	r.indexFollower = indexFollower
	r.followers = append(r.followers, indexFollower, operator, crashFollower)
	for number := range config.Log.Partitions(keyedlog.TopicWeights) {
		partition := keyedlog.Partition{Topic: keyedlog.TopicWeights, Number: number}
		r.weights = append(r.weights, r.follow(partition, &weightApplier{board: board, logger: config.Logger}))
	}
	r.jobs = jobs.New(jobs.Config{
		Log: config.Log, Index: r.index, IndexFollower: indexFollower, Models: r.models, Catalog: r.catalog, Engines: r.directory,
		Regions:     config.Settings.regions(),
		RecordBytes: config.RecordBytes, CallBytes: config.CallBytes, Logger: config.Logger,
	})
	r.metrics.results(r.jobs.Stats)
	r.metrics.holds(r.jobs.HoldStats())
	r.runners = jobrun.NewHolder(jobrun.Config{
		Log: config.Log, Index: r.index, IndexFollower: indexFollower, Catalog: r.catalog, CatalogFollower: operator,
		Splitter: splitter, Directory: r.directory, Queue: r.queue, Mover: r.mover, Client: config.Client, Forwarder: forwarder,
		Quarantine: r.quarantine, Zone: config.Settings.Zone, Limits: jobrun.Limits{RecordBytes: config.RecordBytes, CallBytes: config.CallBytes},
		Retention: config.Settings.Retention, Metrics: r.metrics.measures(), Logger: config.Logger,
	})
	rollers := weightroll.NewHolder(weightroll.Config{
		Log: config.Log, Followers: convert[weightroll.Follower](r.weights), OrderTable: board, Catalog: r.catalog,
		Directory: r.directory, Client: config.Client, Loads: r.stepLoads, JobsKnown: indexFollower.CaughtUp, Paces: r.directory.UsualPaces,
		Node: memberName(config.Settings), Lease: config.Settings.OrderLease, OnVersionServed: r.metrics.rolled, Logger: config.Logger,
	})
	r.joinGroups(rollers, reporting)
	r.limitColdSenders()
	r.checkDepartureBudget()
	return r
}

// watchEjections logs and counts ejections of engines.
func (r *Replica) watchEjections() {
	r.metrics.ejected(r.directory.Ejected)
	r.directory.OnEjection(func(ejection fleet.Ejection) {
		if ejection.Readmitted {
			r.config.Logger.Info("engine taken back", "engine", ejection.EngineID, "failures", ejection.Failures)
			return
		}
		r.config.Logger.Info("engine ejected", "engine", ejection.EngineID, "cause", ejection.Cause, "lasts", ejection.OpenFor,
			"failures", ejection.Failures)
	})
}

// guardSends returns a client that sends nothing to engines that leave.
func (r *Replica) guardSends(client engineapi.Client) engineapi.Client {
	guarded := sendguard.New(client, r.directory, r.config.Logger)
	r.metrics.withheldSends(guarded.Withheld)
	return guarded
}

// quarantineCrashes sets up the quarantine of requests that crash engines, and returns the follower of the crash
// records of all machines.
func (r *Replica) quarantineCrashes() *follow.Follower {
	r.quarantine = quarantine.New(quarantine.Config{
		Log: r.config.Log, Prober: r.config.Prober, Directory: r.directory, Machine: memberName(r.config.Settings),
		Logger: r.config.Logger,
	})
	r.metrics.quarantine(r.quarantine.Contents)
	follower := r.follow(keyedlog.Crashes, r.quarantine)
	r.quarantine.Attach(follower)
	return follower
}

// shareViews creates the publisher and the reader of views of engines.
func (r *Replica) shareViews() {
	machine := memberName(r.config.Settings)
	r.viewPublisher = engineview.NewPublisher(engineview.PublisherConfig{
		Log: r.config.Log, Machine: machine, Source: r.directory, Held: r.queue.Held, Logger: r.config.Logger,
	})
	r.viewReader = engineview.NewReader(engineview.ReaderConfig{
		Log: r.config.Log, Machine: machine, Directory: r.directory, Busy: r.actsOnEngines, Logger: r.config.Logger,
	})
	r.metrics.views(r.viewPublisher.Written, r.directory.PeerSummary)
}

// countUsage sets up the counting and publishing of tenants' usage if there is a receiver of reports, and returns the
// duty of reporting.
func (r *Replica) countUsage() ([]duty.Duty, ingress.Meter) {
	if r.config.Usage == nil {
		return nil, nil
	}
	clock := usage.NewClock()
	windows := usage.Windows{Length: r.config.Settings.UsageWindow}
	counter := usage.NewCounter(windows, clock)
	r.teller = usage.NewPublisher(usage.PublisherConfig{
		Log: r.config.Log, Counter: counter, Machine: memberName(r.config.Settings), Logger: r.config.Logger,
	})
	reporter := usage.NewReporter(usage.ReporterConfig{
		Log: r.config.Log, Receiver: r.config.Usage, Windows: windows, Clock: clock, ReportLimit: r.config.Settings.UsageReportLimit,
		Logger: r.config.Logger,
	})
	return []duty.Duty{reporter}, counter
}

// orderEngines returns the duty of ordering engines, if any can be ordered.
func (r *Replica) orderEngines() []duty.Duty {
	if r.config.Engines == nil {
		return nil
	}
	return []duty.Duty{scaler.New(scaler.Config{
		Provider: r.config.Engines, Catalog: r.catalog, Directory: r.directory, Loads: r.stepLoads, Logger: r.config.Logger,
	})}
}

// follow returns a follower of a partition.
func (r *Replica) follow(partition keyedlog.Partition, applier follow.Applier) *follow.Follower {
	return follow.New(r.followConfig(partition, applier))
}

// followConfig returns the configuration for following a partition.
func (r *Replica) followConfig(partition keyedlog.Partition, applier follow.Applier) follow.Config {
	var onSkipped func()
	if partition.Topic == keyedlog.TopicOperator {
		// The skipped records may have begun and ended an evacuation.
		onSkipped = r.directory.UnconfirmCold
	}
	var minOutage time.Duration
	if partition.Topic == keyedlog.TopicEngines {
		minOutage = minLapseHeartbeats * r.config.Settings.engineHeartbeat()
	}
	return follow.Config{
		Log: r.config.Log, Partition: partition, Applier: applier, Wait: r.readWait(partition.Topic),
		MinReadInterval: readSpacings[partition.Topic], NewestOnly: partition.Topic == keyedlog.TopicOperator, Busy: r.busy(partition.Topic), IdleReadInterval: idleSpacing, MaxIdleStartDelay: idleSpread,
		OnSkipped: onSkipped, MinOutage: minOutage, Logger: r.config.Logger,
	}
}

// busy returns a function that reports whether this process acts on each record of a topic at once, nil if it always
// does. Only processes that own partitions act on jobs and orders; the others only need them to answer requests.
func (r *Replica) busy(topic keyedlog.Topic) func() bool {
	if topic != keyedlog.TopicWeights && topic != keyedlog.TopicJobIndex {
		return nil
	}
	return r.actsOnEngines
}

func convert[T any, F any](followers []F) []T {
	converted := make([]T, len(followers))
	for i, follower := range followers {
		converted[i] = any(follower).(T)
	}
	return converted
}

// Run follows the store and runs the work of the assigned partitions until the context ends. Then it hands over its
// partitions and continues to follow the store until stop is closed, so that requests in progress are served.
func (r *Replica) Run(ctx context.Context, stop <-chan struct{}) {
	followCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var running sync.WaitGroup
	for _, follower := range r.followers {
		running.Go(func() { follower.Run(followCtx) })
	}
	running.Go(func() { r.readEngines(followCtx) })
	running.Go(func() { r.checkHomes(followCtx) })
	running.Go(func() { r.followList(followCtx) })
	running.Go(func() { r.keeper.Run(followCtx) })
	running.Go(func() { r.followWeights(followCtx) })
	running.Go(func() { r.queue.Run(followCtx) })
	running.Go(func() { r.mover.Run(followCtx) })
	running.Go(func() { r.evacuations.run(followCtx) })
	running.Go(func() { r.quarantine.Run(followCtx) })
	running.Go(func() { r.viewPublisher.Run(followCtx) })
	running.Go(func() { r.viewReader.Run(followCtx) })
	running.Go(func() { r.checker.Run(followCtx) })
	if r.teller != nil {
		running.Go(func() { r.teller.Run(followCtx) })
	}
	var owning sync.WaitGroup
	for _, manager := range r.managers {
		owning.Go(func() { manager.Run(ctx) })
	}
	owning.Go(func() { r.runHomeGroups(ctx) })
	owning.Wait()
	<-stop
	cancel()
	r.jobs.Close()
	running.Wait()
}

// Ready reports whether callers may be sent here: the configuration and the engines are known, and no stop was
// requested. A replica that was ready stays ready while the store is down.
func (r *Replica) Ready() bool {
	if r.ingress.Stopping() {
		return false
	}
	if !r.ready.Load() && r.catalog.Current() != nil && r.directory.Synced() {
		if r.ready.CompareAndSwap(false, true) {
			r.config.Logger.Info("ready", "configuration", r.catalog.Current().Version)
		}
	}
	return r.ready.Load()
}

// Drain starts the stop of the replica, with the time at which work in progress is cut off: the replica is not ready
// any more, answers close their connections, and requests that can't be completed in time are refused.
func (r *Replica) Drain(cut time.Time) {
	r.ingress.Stop(cut)
}

// GracePeriod returns how long the process has for a planned stop.
func (r *Replica) GracePeriod() time.Duration {
	return r.config.Settings.GracePeriod
}

// Ingress returns the component that serves callers' requests.
func (r *Replica) Ingress() *ingress.Ingress {
	return r.ingress
}

// Jobs returns the service that answers calls on batch jobs.
func (r *Replica) Jobs() *jobs.Service {
	return r.jobs
}
