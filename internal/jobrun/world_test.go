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
)

// world is a store, model engines and scorers, before any number of nodes.
type world struct {
	test    *testing.T
	store   *memorylog.Store
	engines *memoryengine.Engines
	models  []fleet.Engine
	scorers []fleet.Engine
	// singleVersion makes the route allow texts of one version only.
	singleVersion bool
	ctx           context.Context
	running       *sync.WaitGroup
}

func newWorld(t *testing.T, modelEngines int) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		test: t, store: memorylog.New(memorylog.Config{Partitions: partitions, Delay: 3 * time.Millisecond}),
		engines: memoryengine.New(), ctx: ctx, running: new(sync.WaitGroup),
	}
	for i := range modelEngines {
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

// node is a process that may own partitions.
type node struct {
	world     *world
	name      string
	ledger    *job.Ledger
	directory *fleet.Directory
	log       keyedlog.Log
	holder    *jobrun.Holder
	work      ownership.Work
	cancel    context.CancelFunc
}

type applier struct {
	ledger    *job.Ledger
	partition int
}

func (a applier) Apply(record keyedlog.Record, recovered bool) {
	_ = a.ledger.Apply(a.partition, record, recovered)
}
func (a applier) Advanced(int64) {}

func (w *world) node(name string) *node {
	logger := log.New(io.Discard)
	n := &node{
		world: w, name: name, ledger: job.NewLedger(), directory: fleet.NewDirectory(), log: storetimeout.New(w.store.For(name)),
	}
	for _, engine := range append(append([]fleet.Engine(nil), w.models...), w.scorers...) {
		n.directory.Upsert(engine)
	}
	var followers []jobrun.Follower
	for number := range partitions {
		follower := follow.New(follow.Config{
			Log: n.log, Partition: keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: number},
			Applier: applier{n.ledger, number}, Wait: time.Second, Logger: logger,
		})
		followers = append(followers, follower)
		w.running.Go(func() { follower.Run(w.ctx) })
	}
	routes := catalog.NewHolder()
	routes.Set(catalog.New(1, []catalog.Route{
		{
			Name: "items", Host: "h", Prefix: "/items/", Kind: catalog.KindJobs, MaxAttempts: attempts, MaxWait: maxWait,
			SingleVersion: w.singleVersion, Targets: []catalog.Target{{Pool: "models", Weight: 1}},
		},
		{
			Name: "score", Host: "h", Prefix: "/score/", Kind: catalog.KindRepeatable, MaxAttempts: 4, Aim: 150 * time.Millisecond,
			Targets: []catalog.Target{{Pool: "scorers", Weight: 1}},
		},
	}, nil, catalog.Limits{}))
	queue := jobrun.NewQueue(n.directory)
	w.running.Go(func() { queue.Run(w.ctx) })
	n.holder = jobrun.NewHolder(jobrun.Config{
		Log: n.log, Ledger: n.ledger, Followers: followers, Catalog: routes, Splitter: catalog.NewSplitter(func() float64 { return 0 }),
		Directory: n.directory, Queue: queue, Client: w.engines,
		Forwarder: forward.New(forward.Config{Client: w.engines, Directory: n.directory, Logger: logger}),
		Limits:    jobrun.Limits{RecordBytes: 1 << 18, CallBytes: 1 << 21}, Retention: time.Minute, Logger: logger,
	})
	return n
}

// own makes the node the owner of the jobs' partition under an epoch.
func (n *node) own(epoch int64) {
	ctx, cancel := context.WithCancel(n.world.ctx)
	n.cancel = cancel
	n.work = n.holder.Gained(ctx, job.PartitionOf(spec("", 0), partitions), epoch)
}

func (n *node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.work.Release(ctx)
	n.cancel()
}

// spec returns a job of so many items of eventCount events each.
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

func (w *world) submit(spec job.Spec) {
	spec.SubmittedAt = time.Now().UnixMilli()
	records, err := job.EncodeSpec(spec, 1<<18)
	w.append(records, err)
}

func (w *world) end(id string) {
	w.append([]keyedlog.Record{job.EncodeEnd(id)}, nil)
}

func (w *world) append(records []keyedlog.Record, err error) {
	w.test.Helper()
	if err == nil {
		_, err = w.store.For("gateway").Append(context.Background(), job.PartitionOf(spec("", 0), partitions), records, nil)
	}
	if err != nil {
		w.test.Fatal(err)
	}
}

// results returns the listed results as a node sees them.
func (n *node) results(id string) []*job.Result {
	return n.ledger.Results(id, 0, 1<<30)
}

// checkWhole checks that every item of a job is listed once, with its whole text, versions and score.
func (n *node) checkWhole(spec job.Spec) {
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
				t.Errorf("%s was made under version %d", result.ItemID, version)
			}
		}
	}
	if len(listed) != len(spec.Items) {
		t.Errorf("%d of %d items are listed", len(listed), len(spec.Items))
	}
}

// load makes an engine serve another version, as an order does; streams are cut.
func (w *world) load(id string, version int64) {
	w.test.Helper()
	w.loadBy(id, version, engineapi.LoadCuts)
}

// loadBy is a load after which runs are cut or go on, by the mode.
func (w *world) loadBy(id string, version int64, mode engineapi.LoadMode) {
	w.test.Helper()
	report, err := w.engines.Report(w.ctx, fleet.Engine{ID: id})
	if err != nil {
		w.test.Fatal(err)
	}
	_, _ = w.engines.Order(w.ctx, fleet.Engine{ID: id}, engineapi.LoadOrder{
		Model: modelName, Version: version, Mode: mode, ExpectedSequence: report.Sequence,
	})
}
