package jobrun_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/standin/memoryengine"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/matryer/is"
)

// earlyCancel is the age up to which a cancelled run counts as useless: engines send their first event later.
const earlyCancel = 50 * time.Millisecond

// connectionCounter counts the connections that the runs of a client take: a run uses an idle connection to its engine, or
// opens one, and returns it if its answer was read to the end.
type connectionCounter struct {
	engineapi.Client
	mutex sync.Mutex
	idle  map[string]int
	// runs is the number of runs, opened the number of connections opened for them; early counts runs that were cancelled
	// within earlyCancel.
	runs, opened, early int
	// onIdle is called with the number of idle connections to an engine whenever it changes.
	onIdle func(engineID string, idle int)
}

// addIdle changes the number of idle connections to an engine. The mutex must be held.
func (c *connectionCounter) addIdle(engineID string, change int) {
	c.idle[engineID] += change
	c.onIdle(engineID, c.idle[engineID])
}

func (c *connectionCounter) Send(ctx context.Context, engine fleet.Engine, call engineapi.Call) (*engineapi.Reply, error) {
	c.mutex.Lock()
	c.runs++
	if c.idle[engine.ID] > 0 {
		c.addIdle(engine.ID, -1)
	} else {
		c.opened++
	}
	c.mutex.Unlock()
	reply, err := c.Client.Send(ctx, engine, call)
	if err == nil {
		reply.Body = &countedBody{ReadCloser: reply.Body, counter: c, engine: engine.ID, began: time.Now()}
	}
	return reply, err
}

// countedBody reports to the counter how its answer ended.
type countedBody struct {
	io.ReadCloser
	counter *connectionCounter
	engine  string
	began   time.Time
	ended   bool
}

func (b *countedBody) Read(target []byte) (int, error) {
	count, err := b.ReadCloser.Read(target)
	if err != nil && !b.ended {
		b.ended = true
		b.counter.mutex.Lock()
		defer b.counter.mutex.Unlock()
		if errors.Is(err, io.EOF) {
			b.counter.addIdle(b.engine, 1)
		} else if time.Since(b.began) < earlyCancel {
			b.counter.early++
		}
	}
	return count, err
}

// trainer submits steps of one model: the next every stepInterval, one ahead of the step that it waits for. Groups that are
// incomplete when a step ends are part of the next.
type trainer struct {
	deployment
	model    string
	random   *rand.Rand
	owner    *node
	mutex    sync.Mutex
	leftover []job.Item
}

const (
	stepInterval = 4 * time.Second
	// trainerPollInterval is how often a trainer checks the state of its steps.
	trainerPollInterval = 100 * time.Millisecond
)

// run runs a number of steps and returns the time that each took.
func (tr *trainer) run(steps int) []time.Duration {
	took := make([]time.Duration, steps)
	// ahead holds one entry for each step that may be submitted.
	ahead := make(chan struct{}, steps+2)
	ahead <- struct{}{}
	ahead <- struct{}{}
	var running sync.WaitGroup
	for i := range steps {
		<-ahead
		step := tr.nextStep(i)
		began := time.Now()
		tr.owner.world.submit(step)
		running.Go(func() {
			for tr.owner.completeGroups(step) < step.Desired {
				time.Sleep(trainerPollInterval)
			}
			took[i] = time.Since(began)
			tr.keepIncomplete(step)
			tr.owner.world.end(step.ID)
			ahead <- struct{}{}
		})
		time.Sleep(stepInterval)
	}
	running.Wait()
	return took
}

// nextStep returns the next step, including the groups that earlier ones left incomplete.
func (tr *trainer) nextStep(number int) job.Spec {
	step, _ := tr.step(fmt.Sprint(tr.model, "step", number), tr.random)
	step.Model = tr.model
	for i := range step.Items {
		step.Items[i].Group = step.ID + "-" + step.Items[i].Group
		step.Items[i].Header["Model"] = tr.model
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	step.Items = append(step.Items, tr.leftover...)
	tr.leftover = nil
	return step
}

// keepIncomplete keeps the items of a step's incomplete groups for the next step.
func (tr *trainer) keepIncomplete(step job.Spec) {
	listed := make(map[string]bool)
	for _, result := range tr.owner.results(step.ID) {
		listed[result.ItemID] = true
	}
	incomplete := make(map[string]bool)
	for _, item := range step.Items {
		incomplete[item.Group] = incomplete[item.Group] || !listed[item.ID]
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	for _, item := range step.Items {
		if incomplete[item.Group] {
			tr.leftover = append(tr.leftover, item)
		}
	}
}

// Bounds of TestOverlappingSteps, in which up to 0.2% of the runs are cancelled early and 22% open a connection. Where runs yield
// to work that does not take their slot, 8% to 9% are cancelled early and 38% to 39% open a connection. Where items of a job are
// assigned as they arrive, 2.1% to 2.7% are cancelled early.
const (
	maxEarlyShare  = 0.008
	maxOpenedShare = 0.25
	// maxStepTime is the time after which a step is late.
	maxStepTime = 7500 * time.Millisecond
)

// TestOverlappingSteps runs the steps of three models on engines that are full. Each step starts while items of the previous
// one run. Items used to be asked to yield as soon as they had a slot, by items that did not take the slot: engines of another
// model, slower engines, and items of the same pass. Each such run opens a connection and breaks it.
func TestOverlappingSteps(t *testing.T) {
	const engines, slots, groups = 6, 15, 21
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 0)
		counter := &connectionCounter{Client: w.engines, idle: make(map[string]int)}
		w.client = counter
		assigned := w.addModelEngines(engines, slots)
		owner := w.newNode("owner")
		counter.onIdle = owner.directory.SetIdleConnections
		owner.directory.SetAssignedModels("models", assigned)
		owner.own(1)
		time.Sleep(time.Second)
		took := runTrainers(owner, deployment{groups: groups, hint: hintHalf})
		mean := sum(took) / time.Duration(len(took))
		t.Logf("%d runs, %d opened a connection, %d were cancelled early; steps took %v on average, %v at most",
			counter.runs, counter.opened, counter.early, mean, slices.Max(took))
		if float64(counter.early) > maxEarlyShare*float64(counter.runs) {
			t.Errorf("%d of %d runs were cancelled early", counter.early, counter.runs)
		}
		if float64(counter.opened) > maxOpenedShare*float64(counter.runs) {
			t.Errorf("%d of %d runs opened a connection", counter.opened, counter.runs)
		}
		if slices.Max(took) > maxStepTime {
			t.Errorf("a step took %v", slices.Max(took))
		}
		owner.release()
	})
}

// sharedModels is the number of models that share the engines.
const sharedModels = 3

// addModelEngines adds engines that serve all shared models, and returns the model that each is assigned to.
func (w *world) addModelEngines(count, slots int) map[string]string {
	versions := make(map[string]int64)
	for i := range sharedModels {
		versions[fmt.Sprint("m", i)] = 2
	}
	assigned := make(map[string]string)
	for i := range count {
		engine := fleet.Engine{ID: fmt.Sprintf("model%03d", i), Pool: "models", Slots: slots, Versions: versions}
		w.models = append(w.models, engine)
		w.engines.Add(engine, memoryengine.Behaviour{Pace: time.Duration(70+8*(i%4)) * time.Millisecond})
		assigned[engine.ID] = fmt.Sprint("m", i%sharedModels)
	}
	return assigned
}

// runTrainers runs a trainer of each shared model and returns how long the steps took.
func runTrainers(owner *node, steps deployment) []time.Duration {
	const stepCount = 6
	var running sync.WaitGroup
	took := make([][]time.Duration, sharedModels)
	for i := range sharedModels {
		trainer := &trainer{
			deployment: steps, model: fmt.Sprint("m", i), random: rand.New(rand.NewSource(int64(i))), owner: owner,
		}
		running.Go(func() {
			time.Sleep(time.Duration(i) * 700 * time.Millisecond)
			took[i] = trainer.run(stepCount)
		})
	}
	running.Wait()
	return slices.Concat(took...)
}

func sum(durations []time.Duration) time.Duration {
	var total time.Duration
	for _, duration := range durations {
		total += duration
	}
	return total
}

// TestItemWithoutTargetsLeavesItsBatch submits an item whose route has no targets while the store does not confirm the catalog. The
// item waits for targets; the others of its job used to wait with it for 100 ms.
func TestItemWithoutTargetsLeavesItsBatch(t *testing.T) {
	const maxStart = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		owner := w.newNode("owner")
		owner.routes.Set(catalog.New(2, []catalog.Route{
			{Name: "items", Host: "h", Prefix: "/items/", Kind: catalog.KindJobs, Targets: []catalog.Target{{Pool: "models", Weight: 1}}},
			{Name: "empty", Host: "h", Prefix: "/empty/", Kind: catalog.KindJobs},
		}, nil, catalog.Limits{}))
		owner.own(1)
		time.Sleep(time.Second)
		w.store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Partition.Topic == keyedlog.TopicOperator {
				return memorylog.Silent
			}
			return memorylog.None
		})
		step := hintedSpec("step", 2, eventCount)
		step.Items[1].Path = "/empty/x"
		w.submit(step)
		time.Sleep(maxStart)
		is.Equal(len(w.engines.Runs()), 1)
		w.store.Heal()
		owner.release()
	})
}
