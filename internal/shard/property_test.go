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

// action is an operation on, or a failure of, a node.
type action uint8

const (
	actAppend action = iota
	actAppendShortTimeout
	actConfirm
	actRelease
	actCrash
	// actPause delays the node's calls to the log, both before they are sent and before they return, so that its
	// appends take effect late.
	actPause
	actOutage
)

// acts is sampled uniformly; most entries are appends.
var acts = []action{
	actAppend, actAppend, actAppend, actAppend, actAppend, actAppend, actAppend, actAppend,
	actAppendShortTimeout, actConfirm, actConfirm, actRelease, actCrash, actPause, actPause, actOutage,
}

// event is one action of a script, performed after a delay.
type event struct {
	Node  int
	Act   action
	After time.Duration
}

// script is a sequence of events on several nodes that all claim one stream.
type script struct {
	Seed   uint64
	Faults int // appends out of 100 that fail, with any kind of fault
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

// pausableLog is one node's connection to the log, which can be paused.
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

// Append delays the call as if the process were suspended: the call continues after the pause even if its context has
// ended.
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

// appendResult is the result that a node received for one record.
type appendResult struct {
	body     string
	err      error
	position any
}

// testEnv runs a script and records the results that the nodes received.
type testEnv struct {
	log        *fakeLog
	nodes      []*Manager
	links      []*pausableLog
	calls      sync.WaitGroup
	mu         sync.Mutex
	results    []appendResult
	violations []string
}

func newTestEnv(s script) *testEnv {
	env := &testEnv{log: newFakeLog()}
	env.log.SetDelay(roundTrip)
	random := rand.New(rand.NewPCG(s.Seed, 0))
	env.log.setFault(func(string) fault {
		if random.IntN(100) >= s.Faults {
			return faultNone
		}
		return faultNotSent + fault(random.IntN(4))
	})
	for i := range 3 {
		link := &pausableLog{fakeLog: env.log}
		env.links = append(env.links, link)
		env.nodes = append(env.nodes, env.newNode(i, link))
	}
	return env
}

func (env *testEnv) newNode(i int, link *pausableLog) *Manager {
	// A restarted process gets the same identity as before, which is the harder case.
	config := testConfig(link, fmt.Sprint("node", i))
	config.Settings = Settings{SnapshotEvery: 4, SnapshotChunkBytes: 32, MaxBatchEntries: 3, ReadEntries: 5}
	return NewManager(config)
}

func (env *testEnv) perform(index int, e event) {
	m := env.nodes[e.Node]
	switch e.Act {
	case actAppend, actAppendShortTimeout:
		timeout := 10 * time.Second
		if e.Act == actAppendShortTimeout {
			timeout = 3 * time.Millisecond
		}
		env.calls.Go(func() { env.append(m, timeout, fmt.Sprint("event", index)) })
	case actConfirm:
		env.calls.Go(func() { env.confirm(m) })
	case actRelease:
		env.calls.Go(func() { env.release(m) })
	case actCrash:
		env.calls.Go(m.Close)
		env.nodes[e.Node] = env.newNode(e.Node, env.links[e.Node])
	case actPause:
		env.links[e.Node].pause(300 * time.Millisecond)
	case actOutage:
		env.log.DownFor(100 * time.Millisecond)
	}
}

// append writes two records in one call, so that a call that takes effect only partially is detected.
func (env *testEnv) append(m *Manager, timeout time.Duration, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	o, err := m.Open(ctx, testStream)
	var outcomes []any
	if err == nil {
		outcomes, err = o.Append(ctx, proposal(body+"/1"), proposal(body+"/2"))
	} else {
		err = errors.Join(err, platform.ErrNotSent)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for i := range 2 {
		result := appendResult{body: fmt.Sprintf("%s/%d", body, i+1), err: err}
		if err == nil {
			result.position = outcomes[i]
		}
		env.results = append(env.results, result)
	}
}

// confirm checks a confirmation against the contents of the log when the call started.
func (env *testEnv) confirm(m *Manager) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o, err := m.Open(ctx, testStream)
	if err != nil {
		return
	}
	_, before := foldAll(env.log.contents(testStream))
	if o.Confirm(ctx) == nil && (before.Epoch() > o.Epoch() || (before.Epoch() == o.Epoch() && before.position.Released)) {
		env.addViolation("epoch %d was confirmed after epoch %d began", o.Epoch(), before.Epoch())
	}
}

func (env *testEnv) release(m *Manager) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if o, err := m.Open(ctx, testStream); err == nil {
		_ = o.Release(ctx)
	}
}

func (env *testEnv) addViolation(format string, arguments ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.violations = append(env.violations, fmt.Sprintf(format, arguments...))
}

// finish ends the run and compares the results that the nodes received with the fold of the stream.
func (env *testEnv) finish() {
	env.calls.Wait()
	time.Sleep(10 * time.Second)
	env.log.setFault(nil)
	time.Sleep(10 * time.Second) // lets the retries and the delayed appends finish
	folded, _ := foldAll(env.log.contents(testStream))
	for _, m := range env.nodes {
		env.checkOwner(m, folded)
		m.Close()
	}
	for _, result := range env.results {
		env.checkResult(result, folded)
	}
}

// checkOwner compares the state of an owned shard, or of a newly recovered one, snapshots included, with the fold.
func (env *testEnv) checkOwner(m *Manager, folded []string) {
	o, err := m.Open(context.Background(), testStream)
	if err != nil {
		env.addViolation("open after the faults: %v", err)
		return
	}
	if err := o.Confirm(context.Background()); err == nil && !slices.Equal(bodies(o), folded) {
		env.addViolation("owner folded %v and a reader %v", bodies(o), folded)
	}
}

func (env *testEnv) checkResult(result appendResult, folded []string) {
	count := 0
	for _, body := range folded {
		if body == result.body {
			count++
		}
	}
	var refusal *peer.Error
	refused := errors.Is(result.err, ErrNotOwner) || errors.Is(result.err, platform.ErrNotSent) || errors.As(result.err, &refusal)
	switch {
	case count > 1:
		env.addViolation("%s was folded %d times", result.body, count)
	case result.err == nil && count == 0:
		env.addViolation("%s was acknowledged and lost", result.body)
	case result.err == nil && folded[result.position.(int)-1] != result.body:
		env.addViolation("%s was acknowledged at position %v, where a reader finds %s", result.body, result.position, folded[result.position.(int)-1])
	case refused && count > 0:
		env.addViolation("%s was refused with %v and took effect", result.body, result.err)
	}
}

// resultCounts counts the records by their append result.
type resultCounts struct{ acknowledged, notOwner, uncertain, refused int }

func (c *resultCounts) add(err error) {
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

// runScript runs a script, adds its results to counts and returns the violations found.
func runScript(t *testing.T, s script, counts *resultCounts) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		env := newTestEnv(s)
		for i, e := range s.Events {
			time.Sleep(e.After)
			env.perform(i, e)
		}
		env.finish()
		violations = env.violations
		for _, result := range env.results {
			counts.add(result.err)
		}
	})
	return violations
}

// TestRandomInterleavings runs random scripts of appends, confirmations, releases, crashes, pauses and outages on three
// nodes. It guards against lost, repeated or partially written records, and against confirmations after a later epoch
// began.
func TestRandomInterleavings(t *testing.T) {
	var counts resultCounts
	rapid.Check(t, func(rt *rapid.T) {
		violations := runScript(t, drawScript(rt), &counts)
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
	t.Logf("records: %+v", counts)
	if counts.acknowledged == 0 || counts.notOwner == 0 || counts.uncertain == 0 || counts.refused == 0 {
		t.Fatal("some kind of append result did not occur, so it was not checked")
	}
}
