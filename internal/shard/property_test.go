package shard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/platform"
)

// act is one thing that happens to a node of a script.
type act uint8

const (
	actAppend act = iota
	actAppendImpatient
	actConfirm
	actRelease
	actCrash
	// actPause stops the node's calls of the log at both their ends, so that its appends take effect late.
	actPause
	actOutage
)

// acts are drawn from evenly; most are appends.
var acts = []act{
	actAppend, actAppend, actAppend, actAppend, actAppend, actAppend, actAppend, actAppend,
	actAppendImpatient, actConfirm, actConfirm, actRelease, actCrash, actPause, actPause, actOutage,
}

// event is one act of a script, after a pause.
type event struct {
	Node  int
	Act   act
	After time.Duration
}

// script is a run of several nodes that all claim one stream.
type script struct {
	Seed   uint64
	Faults int // appends in 100 that fail, by any kind of fault
	Events []event
}

func drawScript(t *rapid.T) script {
	events := rapid.Custom(func(t *rapid.T) event {
		return event{
			Node:  rapid.IntRange(0, 2).Draw(t, "node"),
			Act:   rapid.SampledFrom(acts).Draw(t, "act"),
			After: time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * time.Millisecond,
		}
	})
	return script{
		Seed:   rapid.Uint64().Draw(t, "seed"),
		Faults: rapid.IntRange(0, 60).Draw(t, "faults"),
		Events: rapid.SliceOfN(events, 20, 80).Draw(t, "events"),
	}
}

// pausableLog is one node's way to the log.
type pausableLog struct {
	*fakeLog
	mu    sync.Mutex
	until time.Time
}

func (l *pausableLog) pause(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Now().Add(length)
}

func (l *pausableLog) wait() {
	l.mu.Lock()
	rest := time.Until(l.until)
	l.mu.Unlock()
	time.Sleep(rest)
}

// Append holds the call like a process that was stopped: it goes on with what it had in hand, whatever its context says.
func (l *pausableLog) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	l.wait()
	first, err := l.fakeLog.Append(context.WithoutCancel(ctx), stream, payloads)
	l.wait()
	return first, err
}

func (l *pausableLog) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	l.wait()
	result, err := l.fakeLog.Read(ctx, stream, offset, options)
	l.wait()
	return result, err
}

// fate is what a node was told of one append.
type fate struct {
	body     string
	err      error
	position any
}

// world runs a script and records what the nodes were told.
type world struct {
	log      *fakeLog
	nodes    []*Manager
	links    []*pausableLog
	calls    sync.WaitGroup
	mu       sync.Mutex
	fates    []fate
	problems []string
}

func newWorld(s script) *world {
	w := &world{log: newFakeLog()}
	w.log.SetDelay(roundTrip)
	random := rand.New(rand.NewPCG(s.Seed, 0))
	w.log.setFault(func(string) fault {
		if random.IntN(100) >= s.Faults {
			return faultNone
		}
		return faultNotSent + fault(random.IntN(4))
	})
	for i := range 3 {
		link := &pausableLog{fakeLog: w.log}
		w.links = append(w.links, link)
		w.nodes = append(w.nodes, w.newNode(i, link))
	}
	return w
}

func (w *world) newNode(i int, link *pausableLog) *Manager {
	// A process that comes back with the identity it had before is the harder case.
	config := testConfig(link, fmt.Sprint("node", i))
	config.Settings = Settings{SnapshotEvery: 4, SnapshotChunkBytes: 32, MaxBatchEntries: 3, ReadEntries: 5}
	return NewManager(config)
}

func (w *world) do(index int, e event) {
	m := w.nodes[e.Node]
	switch e.Act {
	case actAppend, actAppendImpatient:
		timeout := 10 * time.Second
		if e.Act == actAppendImpatient {
			timeout = 3 * time.Millisecond
		}
		w.calls.Go(func() { w.append(m, timeout, fmt.Sprint("event", index)) })
	case actConfirm:
		w.calls.Go(func() { w.confirm(m) })
	case actRelease:
		w.calls.Go(func() { w.release(m) })
	case actCrash:
		w.calls.Go(m.Close)
		w.nodes[e.Node] = w.newNode(e.Node, w.links[e.Node])
	case actPause:
		w.links[e.Node].pause(300 * time.Millisecond)
	case actOutage:
		w.log.DownFor(100 * time.Millisecond)
	}
}

// append writes two records in one call, so that a call that takes effect by half would be seen.
func (w *world) append(m *Manager, timeout time.Duration, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	o, err := m.Open(ctx, testStream)
	var outcomes []any
	if err == nil {
		outcomes, err = o.Append(ctx, proposal(body+"/1"), proposal(body+"/2"))
	} else {
		err = errors.Join(err, platform.ErrNotSent)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range 2 {
		told := fate{body: fmt.Sprintf("%s/%d", body, i+1), err: err}
		if err == nil {
			told.position = outcomes[i]
		}
		w.fates = append(w.fates, told)
	}
}

// confirm checks a confirmation against the log as it was when the call began.
func (w *world) confirm(m *Manager) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o, err := m.Open(ctx, testStream)
	if err != nil {
		return
	}
	_, before := refold(w.log.contents(testStream))
	if o.Confirm(ctx) == nil && (before.Epoch() > o.Epoch() || (before.Epoch() == o.Epoch() && before.position.Released)) {
		w.problem("epoch %d was confirmed after epoch %d began", o.Epoch(), before.Epoch())
	}
}

func (w *world) release(m *Manager) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if o, err := m.Open(ctx, testStream); err == nil {
		_ = o.Release(ctx)
	}
}

func (w *world) problem(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, arguments...))
}

// finish ends the run and checks what was told against what every reader of the stream folds.
func (w *world) finish() {
	w.calls.Wait()
	time.Sleep(10 * time.Second)
	w.log.setFault(nil)
	time.Sleep(10 * time.Second) // ends the retries and the late effects
	folded, _ := refold(w.log.contents(testStream))
	for _, m := range w.nodes {
		w.checkOwner(m, folded)
		m.Close()
	}
	for _, told := range w.fates {
		w.checkFate(told, folded)
	}
}

// checkOwner checks an owned shard, and what a new owner recovers, snapshots and all.
func (w *world) checkOwner(m *Manager, folded []string) {
	o, err := m.Open(context.Background(), testStream)
	if err != nil {
		w.problem("open after the faults: %v", err)
		return
	}
	if err := o.Confirm(context.Background()); err == nil && !slices.Equal(bodies(o), folded) {
		w.problem("owner folded %v and a reader %v", bodies(o), folded)
	}
}

func (w *world) checkFate(told fate, folded []string) {
	count := 0
	for _, body := range folded {
		if body == told.body {
			count++
		}
	}
	var refusal *peer.Error
	refused := errors.Is(told.err, ErrNotOwner) || errors.Is(told.err, platform.ErrNotSent) || errors.As(told.err, &refusal)
	switch {
	case count > 1:
		w.problem("%s was folded %d times", told.body, count)
	case told.err == nil && count == 0:
		w.problem("%s was acknowledged and lost", told.body)
	case told.err == nil && folded[told.position.(int)-1] != told.body:
		w.problem("%s was acknowledged at place %v, where a reader finds %s", told.body, told.position, folded[told.position.(int)-1])
	case refused && count > 0:
		w.problem("%s was refused with %v and took effect", told.body, told.err)
	}
}

// tally counts the records by what their writers were told.
type tally struct{ acknowledged, notOwner, uncertain, refused int }

func (c *tally) add(err error) {
	switch {
	case err == nil:
		c.acknowledged++
	case errors.Is(err, ErrNotOwner):
		c.notOwner++
	case errors.Is(err, ErrUncertain):
		c.uncertain++
	default:
		c.refused++
	}
}

// runScript returns the broken promises of a script, and adds to the tally.
func runScript(t *testing.T, s script, counts *tally) (problems []string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s)
		for i, e := range s.Events {
			time.Sleep(e.After)
			w.do(i, e)
		}
		w.finish()
		problems = w.problems
		for _, told := range w.fates {
			counts.add(told.err)
		}
	})
	return problems
}

func TestEveryInterleavingKeepsThePromises(t *testing.T) {
	var counts tally
	rapid.Check(t, func(rt *rapid.T) {
		problems := runScript(t, drawScript(rt), &counts)
		if len(problems) > 0 {
			rt.Fatalf("%d problems, first: %s", len(problems), problems[0])
		}
	})
	t.Logf("records: %+v", counts)
	if counts.acknowledged == 0 || counts.notOwner == 0 || counts.uncertain == 0 || counts.refused == 0 {
		t.Fatal("a kind of answer did not come up, so that nothing was checked on it")
	}
}
