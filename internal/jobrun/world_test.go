package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/forward"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/jobrun"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/quarantine"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
)

const (
	modelName  = "m"
	partitions = 2
	pace       = 30 * time.Millisecond
	maxWait    = 12 * time.Second
	attempts   = 3
	eventCount = 20
	// lateBy is how much later the store applies an append of memorylog.LostLate.
	lateBy = 2500 * time.Millisecond
)

// world is the environment of the tests: a store, model engines and scorers, which any number of nodes use.
type world struct {
	test    *testing.T
	store   *memorylog.Store
	engines *memoryengine.Engines
	models  []fleet.Engine
	scorers []fleet.Engine
	// singleVersion makes the route accept only texts of one weight version.
	singleVersion bool
	// withoutRoutes starts nodes without a catalog.
	withoutRoutes bool
	// client replaces the client of the engines, nil for none.
	client  engineapi.Client
	ctx     context.Context
	running *sync.WaitGroup
}

func newWorld(t *testing.T, modelCount int) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		test: t, store: memorylog.New(memorylog.Config{Partitions: partitions, Delay: 3 * time.Millisecond, Late: lateBy}),
		engines: memoryengine.New(), ctx: ctx, running: new(sync.WaitGroup),
	}
	for i := range modelCount {
		engine := fleet.Engine{ID: fmt.Sprint("model", i), Pool: "models", Slots: 4, Versions: map[string]int64{modelName: 2}}
		w.models = append(w.models, engine)
		w.engines.Add(engine, memoryengine.Behaviour{Pace: pace, Load: 500 * time.Millisecond})
	}
	for i := range 2 {
		engine := fleet.Engine{ID: fmt.Sprint("scorer", i), Pool: "scorers", Slots: 4}
		w.scorers = append(w.scorers, engine)
		w.engines.Add(engine, memoryengine.Behaviour{Work: pace})
	}
	t.Cleanup(func() {
		cancel()
		w.running.Wait()
	})
	return w
}

type node struct {
	world *world
	name  string
	index *job.Index
	// ledger holds all records of the jobs' partition. It is read independently of the owner's runner.
	ledger    *job.Ledger
	directory *fleet.Directory
	log       keyedlog.Log
	// indexFollower updates index.
	indexFollower *follow.Follower
	holder        *jobrun.Holder
	mover         *jobrun.Mover
	routes        *catalog.Holder
	work          ownership.Work
	cancel        context.CancelFunc
}

type ledgerApplier struct {
	ledger *job.Ledger
}

func (a ledgerApplier) Apply(record keyedlog.Record, _ bool) { _ = a.ledger.Apply(record) }
func (a ledgerApplier) Advanced(int64)                       {}

type indexApplier struct {
	index *job.Index
}

func (a indexApplier) Apply(record keyedlog.Record, recovered bool) {
	_ = a.index.Apply(record, recovered)
}
func (a indexApplier) Advanced(end int64) { a.index.Advanced(end) }

func (w *world) newNode(name string) *node {
	logger := log.New(io.Discard)
	n := &node{
		world: w, name: name, index: job.NewIndex(), directory: fleet.NewDirectory(), log: storetimeout.New(w.store.For(name)),
	}
	n.ledger = job.NewLedger(n.index, jobsPartition())
	for _, engine := range append(append([]fleet.Engine(nil), w.models...), w.scorers...) {
		n.directory.Upsert(engine)
	}
	follower := func(partition keyedlog.Partition, applier follow.Applier) *follow.Follower {
		started := follow.New(follow.Config{Log: n.log, Partition: partition, Applier: applier, Wait: time.Second, Logger: logger})
		w.running.Go(func() { started.Run(w.ctx) })
		return started
	}
	indexFollower := follower(keyedlog.JobIndex, indexApplier{n.index})
	n.indexFollower = indexFollower
	follower(jobsPartition(), ledgerApplier{n.ledger})
	operator := follower(keyedlog.Partition{Topic: keyedlog.TopicOperator}, ledgerApplier{job.NewLedger(n.index, keyedlog.Partition{Topic: keyedlog.TopicJobs})})
	n.routes = catalog.NewHolder()
	if !w.withoutRoutes {
		n.configure(w)
	}
	var client engineapi.Client = w.engines
	if w.client != nil {
		client = w.client
	}
	queue := jobrun.NewQueue(n.directory)
	w.running.Go(func() { queue.Run(w.ctx) })
	n.mover = jobrun.NewMover(jobrun.MoverConfig{Directory: n.directory, Queue: queue, Client: client, Logger: logger})
	w.running.Go(func() { n.mover.Run(w.ctx) })
	held := quarantine.New(quarantine.Config{Log: n.log, Prober: w.engines, Directory: n.directory, Machine: name, Logger: logger})
	held.Attach(follower(keyedlog.Crashes, held))
	w.running.Go(func() { held.Run(w.ctx) })
	n.holder = jobrun.NewHolder(jobrun.Config{
		Log: n.log, Index: n.index, IndexFollower: indexFollower, Catalog: n.routes, CatalogFollower: operator, Splitter: catalog.NewSplitter(func() float64 { return 0 }),
		Directory: n.directory, Queue: queue, Mover: n.mover, Client: client,
		Forwarder:  forward.New(forward.Config{Client: w.engines, Directory: n.directory, Quarantine: held, Logger: logger}),
		Quarantine: held,
		Limits:     jobrun.Limits{RecordBytes: 1 << 18, CallBytes: 1 << 21}, Retention: time.Minute, Logger: logger,
	})
	return n
}

// configure sets the node's catalog.
func (n *node) configure(w *world) {
	n.routes.Set(catalog.New(1, []catalog.Route{
		{
			Name: "items", Host: "h", Prefix: "/items/", Kind: catalog.KindJobs, MaxAttempts: attempts, MaxWait: maxWait,
			SingleVersion: w.singleVersion, Targets: []catalog.Target{{Pool: "models", Weight: 1}},
		},
		{
			Name: "score", Host: "h", Prefix: "/score/", Kind: catalog.KindRepeatable, MaxAttempts: 4, Aim: 150 * time.Millisecond,
			Targets: []catalog.Target{{Pool: "scorers", Weight: 1}},
		},
	}, nil, catalog.Limits{}))
}

// own makes the node the owner of the jobs' partition with the given epoch.
func (n *node) own(epoch int64) {
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.cancel = cancel
	n.work = n.holder.Gained(ctx, jobsPartition(), epoch)
}

// jobsPartition returns the partition that contains all jobs of these tests.
func jobsPartition() keyedlog.Partition {
	return job.PartitionOf(spec("", 0), partitions, nil)
}

func (n *node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.work.Release(ctx)
	n.cancel()
}

// spec returns a job with the given number of items of eventCount events each.
func spec(id string, items int) job.Spec {
	spec := job.Spec{ID: id, Route: "items", Host: "h", Model: modelName, MinVersion: 2}
	for i := range items {
		itemID := id + "-" + strconv.Itoa(i)
		spec.Items = append(spec.Items, job.Item{
			ID: itemID, Path: "/items/x", Group: fmt.Sprint(i / 2),
			Header: map[string]string{"Model": modelName, memoryengine.EventsHeader: strconv.Itoa(eventCount)},
			Scorer: &job.Scorer{ID: "score-" + itemID, Host: "h", Path: "/score/x"},
		})
	}
	return spec
}

// submit submits a job like a gateway: first its items, then its entry in the index.
func (w *world) submit(spec job.Spec) {
	w.test.Helper()
	w.addToIndex(spec, w.writeItems(spec), "attempt")
}

// writeItems appends the items of a job, and returns their offsets.
func (w *world) writeItems(spec job.Spec) keyedlog.Appended {
	w.test.Helper()
	records, err := job.EncodeSpec(spec, 1<<18)
	return w.append(jobsPartition(), records, err)
}

// addToIndex appends the index entry of an attempt to submit a job whose items were written, which makes the job known.
func (w *world) addToIndex(spec job.Spec, items keyedlog.Appended, attemptID string) {
	w.test.Helper()
	spec.SubmittedAt = time.Now().UnixMilli()
	record, err := job.EncodeEntry(job.NewEntry(spec, jobsPartition(), items.Offset, items.End, 1000), attemptID)
	w.append(keyedlog.JobIndex, []keyedlog.Record{record}, err)
}

func (w *world) end(id string) {
	w.test.Helper()
	w.append(keyedlog.JobIndex, []keyedlog.Record{job.EncodeEnd(id)}, nil)
}

func (w *world) append(partition keyedlog.Partition, records []keyedlog.Record, err error) keyedlog.Appended {
	w.test.Helper()
	var appended keyedlog.Appended
	if err == nil {
		appended, err = w.store.For("gateway").Append(context.Background(), partition, records, nil)
	}
	if err != nil {
		w.test.Fatal(err)
	}
	return appended
}

// results returns the listed results of a job that the node has read.
func (n *node) results(id string) []*job.Result {
	return n.ledger.Results(id, 0, 1<<30)
}

// checkComplete checks that every item of a job is listed once, with its complete text, versions and score.
func (n *node) checkComplete(spec job.Spec) {
	t := n.world.test
	t.Helper()
	listed := make(map[string]bool)
	for _, result := range n.results(spec.ID) {
		if listed[result.ItemID] {
			t.Errorf("%s is listed twice", result.ItemID)
		}
		listed[result.ItemID] = true
		if want := strings.Join(memoryengine.Text(result.ItemID, eventCount), "\n"); result.Dead || result.Text != want {
			t.Errorf("%s: dead %v, text %.80q", result.ItemID, result.Dead, result.Text)
		}
		if result.Score != memoryengine.Stamp || len(result.Versions) == 0 {
			t.Errorf("%s: score %q, versions %v", result.ItemID, result.Score, result.Versions)
		}
		for _, version := range result.Versions {
			if version < spec.MinVersion {
				t.Errorf("%s was generated with version %d", result.ItemID, version)
			}
		}
	}
	if len(listed) != len(spec.Items) {
		t.Errorf("%d of %d items are listed", len(listed), len(spec.Items))
	}
}

// load makes an engine load another version, which cuts its streams.
func (w *world) load(id string, version int64) {
	w.test.Helper()
	w.loadWithMode(id, version, engineapi.LoadCuts)
}

// loadWithMode makes an engine load another version; the mode defines whether its streams are cut or continue.
func (w *world) loadWithMode(id string, version int64, mode engineapi.LoadMode) {
	w.test.Helper()
	report, err := w.engines.Report(w.ctx, fleet.Engine{ID: id})
	if err != nil {
		w.test.Fatal(err)
	}
	_, _ = w.engines.Order(w.ctx, fleet.Engine{ID: id}, engineapi.LoadOrder{
		Model: modelName, Version: version, Mode: mode, ExpectedSequence: report.Sequence,
	})
}
