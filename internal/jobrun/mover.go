package jobrun

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/policy"
)

const (
	// minMoverInterval is the minimum time between two decisions on runs at leaving engines. Slots are released up to some
	// hundred times a second, and the shortest notice is two seconds.
	minMoverInterval = 50 * time.Millisecond
	// leavingCheckInterval is the time between two decisions while runs are at leaving engines and nothing else changes, since
	// runs may turn out longer or shorter than expected.
	leavingCheckInterval = 200 * time.Millisecond
)

// MoverConfig configures a Mover.
type MoverConfig struct {
	Directory *fleet.Directory
	Queue     *Queue
	Client    engineapi.Client
	Metrics   *Metrics
	Logger    *log.Logger
}

// Mover moves runs of this process off engines that have announced that they leave. Package policy decides which runs move. A
// run keeps its engine until it is assigned a slot elsewhere, in the order of the queue, so that it takes no slot from more
// urgent items. The Mover needs no store: it uses the directory and one report of each leaving engine. A nil *Mover moves
// nothing. It is safe for concurrent use.
type Mover struct {
	config MoverConfig
	wake   chan struct{}
	active sync.WaitGroup

	mutex sync.Mutex
	runs  map[*execution]*movableRun
	// notices holds what the leaving engines with runs have reported, by engine ID.
	notices map[string]*notice
}

// movableRun is a run that holds a slot. Its fields are guarded by the mutex of the Mover.
type movableRun struct {
	slot *Slot
	// cancelRequest withdraws the pending request of another slot, nil if there is none.
	cancelRequest context.CancelFunc
	// moved reports that the run has been assigned another slot and is about to end.
	moved bool
}

// NewMover returns a Mover. It moves runs while Run is running.
func NewMover(config MoverConfig) *Mover {
	return &Mover{
		config: config, wake: make(chan struct{}, 1), runs: make(map[*execution]*movableRun), notices: make(map[string]*notice),
	}
}

// begin records that a run starts in a slot. The run may be moved until end is called.
func (m *Mover) begin(e *execution, slot *Slot) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	m.runs[e] = &movableRun{slot: slot}
	first := len(m.runs) == 1
	m.mutex.Unlock()
	if first || len(m.config.Directory.Leaving([]string{slot.Engine.ID})) > 0 {
		m.notify()
	}
}

// end records that a run has ended, and withdraws its pending request of another slot.
func (m *Mover) end(e *execution) {
	if m == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if run := m.runs[e]; run != nil && run.cancelRequest != nil {
		run.cancelRequest()
	}
	delete(m.runs, e)
}

func (m *Mover) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// LeavingRuns returns the number of runs of this process at engines that leave or whose zone is evacuated.
func (m *Mover) LeavingRuns() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	left := 0
	for _, run := range m.runs {
		if engine, ok := m.config.Directory.Engine(run.slot.Engine.ID); ok && engine.Draining {
			left++
		}
	}
	return left
}

// Run moves runs until the context ends.
func (m *Mover) Run(ctx context.Context) {
	defer m.active.Wait()
	for ctx.Err() == nil {
		changed := m.config.Directory.Changed()
		var timer <-chan time.Time
		if m.check(ctx) {
			timer = time.After(leavingCheckInterval)
		}
		if m.idle() {
			changed = nil
		}
		if !pause.For(ctx, minMoverInterval) {
			return
		}
		select {
		case <-changed:
		case <-m.wake:
		case <-timer:
		case <-ctx.Done():
		}
	}
}

// idle reports whether no run holds a slot.
func (m *Mover) idle() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.runs) == 0
}

// check decides on the runs at leaving engines, and reports whether there are any.
func (m *Mover) check(ctx context.Context) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	leaving := m.leavingEngines()
	if len(leaving) == 0 {
		clear(m.notices)
		return false
	}
	m.updateNotices(ctx, leaving)
	released := m.releases()
	for kind, group := range m.groups(time.Now()) {
		m.decide(ctx, group, released[poolModel{kind.Pool, kind.Model}])
	}
	return true
}

// leavingEngines returns the leaving engines that have runs of this process, by ID. The mutex must be held.
func (m *Mover) leavingEngines() map[string]fleet.Engine {
	used := make(map[string]bool)
	for _, run := range m.runs {
		used[run.slot.Engine.ID] = true
	}
	ids := make([]string, 0, len(used))
	for id := range used {
		ids = append(ids, id)
	}
	leaving := make(map[string]fleet.Engine)
	for _, engine := range m.config.Directory.Leaving(ids) {
		leaving[engine.ID] = engine
	}
	return leaving
}

// runKind identifies runs that may use the same slots.
type runKind struct {
	fleet.WorkKind
	// reclaimed is the zone whose preemptible engines the runs do not use, empty if there is none.
	reclaimed string
}

// runGroup is the runs of one kind.
type runGroup struct {
	// want holds the requirements of one of the runs.
	want    fleet.Want
	leaving []leavingRun
	// requested is the number of runs that have already requested another slot.
	requested int
}

// leavingRun is a run at a leaving engine and its requirements elsewhere.
type leavingRun struct {
	execution *execution
	want      fleet.Want
	policy.LeavingRun
}

// groups returns the runs by kind. It omits runs of leaving engines whose report they wait for. The mutex must be held.
func (m *Mover) groups(now time.Time) map[runKind]*runGroup {
	groups := make(map[runKind]*runGroup)
	preemptible := make(map[poolZone][]string)
	for execution, run := range m.runs {
		engine := run.slot.Engine
		notice := m.notices[engine.ID]
		want, ok := execution.leavingWant(engine.Pool)
		if !ok || notice == nil || notice.awaited() || run.moved {
			continue
		}
		kind := runKind{WorkKind: want.Kind()}
		if engine.Preemptible {
			kind.reclaimed = engine.Zone
			key := poolZone{engine.Pool, engine.Zone}
			if _, known := preemptible[key]; !known {
				preemptible[key] = m.preemptibleEngines(key)
			}
			want.Exclude = preemptible[key]
		}
		group := groups[kind]
		if group == nil {
			group = &runGroup{want: want}
			groups[kind] = group
		}
		if run.cancelRequest != nil {
			group.requested++
			continue
		}
		group.leaving = append(group.leaving, leavingRun{execution, want, policy.LeavingRun{
			Events: want.Events, Pace: m.config.Directory.Pace(engine.ID), Slack: want.Slack,
			LeavesIn: notice.endsAt.Sub(now), LeavesKnown: notice.endKnown,
		}})
	}
	return groups
}

// poolZone identifies the engines of a pool in a zone.
type poolZone struct {
	pool, zone string
}

// preemptibleEngines returns the IDs of the preemptible engines of a pool in a zone. They are reclaimed together, and the notices
// of some are read later than those of others.
func (m *Mover) preemptibleEngines(of poolZone) []string {
	var ids []string
	for _, engine := range m.config.Directory.Pool(of.pool) {
		if engine.Preemptible && engine.Zone == of.zone {
			ids = append(ids, engine.ID)
		}
	}
	return ids
}

// poolModel identifies the items of one model in a pool.
type poolModel struct {
	pool, model string
}

// releases returns the times after which runs at engines that stay are expected to release their slots. The mutex must be held.
func (m *Mover) releases() map[poolModel][]time.Duration {
	released := make(map[poolModel][]time.Duration)
	paces := make(map[string]time.Duration)
	for execution, run := range m.runs {
		id := run.slot.Engine.ID
		pace, known := paces[id]
		if !known {
			if engine, ok := m.config.Directory.Engine(id); ok && !engine.Draining {
				pace = m.config.Directory.Pace(id)
			}
			paces[id] = pace
		}
		if pace == 0 {
			continue
		}
		if events := execution.remaining(); events > 0 {
			key := poolModel{run.slot.Engine.Pool, execution.view.Spec.Model}
			released[key] = append(released[key], time.Duration(events*float64(pace)))
		}
	}
	return released
}

// decide requests slots for the runs of a group that are to move. The mutex must be held.
func (m *Mover) decide(ctx context.Context, group *runGroup, released []time.Duration) {
	if len(group.leaving) == 0 {
		return
	}
	runs := make([]policy.LeavingRun, len(group.leaving))
	for i, run := range group.leaving {
		runs[i] = run.LeavingRun
	}
	free := max(0, m.config.Directory.FreeSlots(group.want)-group.requested)
	for i, departure := range policy.Departures(runs, free, released) {
		if departure != policy.DepartureStay {
			m.request(ctx, group.leaving[i])
		}
	}
}

// request starts to request a slot for a run. No other run yields to it, since it would wait while this one still runs. The mutex
// must be held.
func (m *Mover) request(ctx context.Context, leaving leavingRun) {
	requestCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	run := m.runs[leaving.execution]
	run.cancelRequest = cancel
	rank := leaving.execution.rankOf(leaving.want)
	rank.MayBeCritical = false
	m.active.Go(func() {
		defer cancel()
		slot, _ := m.config.Queue.Acquire(requestCtx, rank, leaving.want, nil)
		m.moveRun(leaving, run, slot)
		m.notify()
	})
}

// moveRun moves a run to a slot, nil if none was assigned. It releases the slot if the run has ended in the meantime.
func (m *Mover) moveRun(leaving leavingRun, run *movableRun, slot *Slot) {
	m.mutex.Lock()
	run.cancelRequest = nil
	run.moved = slot != nil && m.runs[leaving.execution] == run && leaving.execution.moveTo(slot)
	moved := run.moved
	m.mutex.Unlock()
	if slot == nil {
		return
	}
	if !moved {
		slot.Release()
		return
	}
	e := leaving.execution
	m.config.Metrics.moved()
	m.config.Logger.Info("run moves off a leaving engine", "job", e.view.Spec.ID, "item", e.item.ID, "engine", run.slot.Engine.ID,
		"to", slot.Engine.ID, "left", math.Round(leaving.Events), "leaves_known", leaving.LeavesKnown,
		"leaves_in", leaving.LeavesIn.Round(time.Millisecond), "slack", leaving.Slack.Round(time.Millisecond))
}
