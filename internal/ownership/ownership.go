// Package ownership assigns partitions to the processes of a group through the store's group service, and notifies a
// process of the partitions that it gains and loses. An assignment is a hint with a generation: an owner writes under a
// fence of that generation, and the store rejects a writer with a lower one, so that a process that was paused and
// still believes that it owns a partition cannot change anything. Members keep their names across restarts: a process
// that restarts within its lifetime regains its partitions at once, and no other partition moves.
//
// A group assigns partitions evenly, whatever the sizes of its members. Where machines state their share of a
// processor, small machines stand by while larger ones hold all partitions and have more processor capacity per
// partition than the small ones would provide; see policy.StandsBy. Machines decide this from the list of owners alone,
// because members' names contain their shares.
package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/uptime"
)

// Holder starts the work that belongs to the ownership of a partition.
type Holder interface {
	// Gained starts the work of a partition that was assigned under a generation of the group. The context is cancelled
	// when the partition is lost.
	Gained(ctx context.Context, partition keyedlog.Partition, generation int64) Work
}

// Work is the running work of a partition.
type Work interface {
	// Release stops the work. It returns once everything that the next owner may use is written, or when the context
	// ends.
	Release(ctx context.Context)
	// Superseded returns a channel that is closed once the work has learned that another owner has a higher epoch.
	Superseded() <-chan struct{}
}

// Config configures a manager.
type Config struct {
	Log    keyedlog.Log
	Group  string
	Member string
	// Share is the machine's share of a processor, in cores. 0 means unknown: the machine is then always a member.
	Share  float64
	Topics []keyedlog.Topic
	// Lifetime is how long the member may be silent before its partitions are reassigned.
	Lifetime time.Duration
	Holder   Holder
	Logger   *log.Logger
}

// Intervals and timeouts within the lifetime.
const (
	// joinsPerLifetime is how often a member joins within its lifetime. A partition moves in two joins, one of the old
	// owner and one of the new, and is not served in between; a join costs the store a tenth of a call.
	joinsPerLifetime = 8
	// releaseTimeout limits the time for the writes that are made when a partition is released.
	releaseTimeout = 400 * time.Millisecond
	// maxStarts is how often the work of a partition is started under one generation before the member leaves the group
	// to get a new one.
	maxStarts = 2
)

// Manager keeps a process in a group and runs the work of its partitions.
type Manager struct {
	config Config
	// member is the name of this process in the group.
	member string
	// changed holds a value if the group has had a new generation since watch last read it.
	changed chan struct{}
	// participates is the result of Participates, which is called from any goroutine.
	participates atomic.Bool

	generation int64
	held       map[keyedlog.Partition]*holding
	// heldCount is the number of partitions held, for Holds, which is called from any goroutine.
	heldCount atomic.Int32
	// lastJoin is when the last join that was answered was sent; confirmed is the period for which joins confirm the
	// membership, for Confirmed, which is called from any goroutine.
	lastJoin  time.Time
	confirmed atomic.Pointer[confirmation]
	connected bool
}

// confirmation is the period for which joins without a gap of a lifetime confirm the membership.
type confirmation struct {
	since time.Time
	// sent is when the last of the joins was sent; it takes suspensions of the machine into account.
	sent uptime.Mark
}

// holding is a partition that is held.
type holding struct {
	generation int64
	// starts is how often the work was started under the generation.
	starts int
	cancel context.CancelFunc
	work   Work
	// supersededAt is when the manager noticed that the work is superseded, zero before that.
	supersededAt time.Time
}

// New returns a manager. Run starts it.
func New(config Config) *Manager {
	config.Share = roundShare(config.Share)
	return &Manager{
		config: config, member: memberName(config.Member, config.Share), changed: make(chan struct{}, 1),
		held: make(map[keyedlog.Partition]*holding),
	}
}

// Holds reports whether any partition is held or its work is still being released. It is safe for concurrent use.
func (m *Manager) Holds() bool {
	return m.heldCount.Load() > 0
}

// Confirmed returns the period in which the store assigns the partitions held to no other process: it reassigns them a
// lifetime after the last join that it received. Before that period another process may have owned them, even if this
// process has held them without interruption. Both times are zero before the first join. It is safe for concurrent use.
func (m *Manager) Confirmed() (since, until time.Time) {
	confirmed := m.confirmed.Load()
	if confirmed == nil {
		return time.Time{}, time.Time{}
	}
	return confirmed.since, confirmed.sent.At().Add(m.config.Lifetime)
}

// confirm records that a join that was sent at a mark was answered.
func (m *Manager) confirm(sent uptime.Mark) {
	now := time.Now()
	since, until := m.Confirmed()
	if !now.Before(until) {
		since = now
	}
	m.confirmed.Store(&confirmation{since: since, sent: sent})
}

// Participates reports whether the process is a member of the group or is trying to join it. It is safe for concurrent
// use.
func (m *Manager) Participates() bool {
	return m.participates.Load()
}

// Run keeps the process in the group whenever the machine is needed there, until the context ends. Before it returns it
// releases all partitions and leaves the group.
func (m *Manager) Run(ctx context.Context) {
	for started := true; m.standBy(ctx, started); started = false {
		m.participate(ctx)
	}
}

// participate stays in the group until the context ends or larger members have capacity for all partitions, then
// releases all partitions and leaves.
func (m *Manager) participate(ctx context.Context) {
	m.participates.Store(true)
	defer m.participates.Store(false)
	dispensable, end := m.startWatch(ctx)
	defer end()
	ticker := time.NewTicker(m.config.Lifetime / joinsPerLifetime)
	defer ticker.Stop()
	for {
		if m.join(ctx) {
			// Released partitions are reassigned in the next join.
			m.join(ctx)
		}
		select {
		case <-ticker.C:
		case <-dispensable:
			m.leave()
			return
		case <-ctx.Done():
			m.leave()
			return
		}
	}
}

// startWatch starts to watch the group for larger members if the share of this machine is known. The channel is closed
// once they have capacity for all partitions; end stops the watch.
func (m *Manager) startWatch(ctx context.Context) (dispensable <-chan struct{}, end func()) {
	if m.config.Share <= 0 {
		return nil, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	found := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		if m.watch(ctx) {
			close(found)
		}
	})
	return found, func() {
		cancel()
		watching.Wait()
	}
}

// join renews the membership and reports whether partitions were released.
func (m *Manager) join(ctx context.Context) bool {
	sent, mark := time.Now(), uptime.Meter(uptime.Suspended).Mark()
	membership, err := m.config.Log.Join(ctx, keyedlog.JoinRequest{
		Group: m.config.Group, Member: m.member, Topics: m.config.Topics, Lifetime: m.config.Lifetime,
		Generation: m.generation,
	})
	if err != nil {
		m.joinFailed(ctx, err)
		return false
	}
	m.lastJoin = sent
	if !m.connected {
		m.connected = true
		m.config.Logger.Info("group joined", "group", m.config.Group, "generation", membership.Generation)
	}
	released := m.reconcile(ctx, membership)
	// Until reconcile returns, partitions that were reassigned are still held.
	m.confirm(mark)
	return released
}

// joinFailed keeps the partitions: a store that is down assigns them to no other member, and a store that is up fences
// this process once it has reassigned them.
func (m *Manager) joinFailed(ctx context.Context, err error) {
	if m.connected && ctx.Err() == nil {
		m.connected = false
		errorlog.Warn(m.config.Logger, "group lost", err, "group", m.config.Group, "heard_ago", time.Since(m.lastJoin))
	}
}

// reconcile starts and stops work so that the partitions held match those assigned, and reports whether partitions were
// released.
func (m *Manager) reconcile(ctx context.Context, membership keyedlog.Membership) bool {
	if m.generation != membership.Generation {
		m.generation = membership.Generation
		m.signalChange()
	}
	assigned := make(map[keyedlog.Partition]bool, len(membership.Partitions))
	for _, partition := range membership.Partitions {
		assigned[partition] = true
	}
	released := m.releaseUnassigned(assigned)
	for partition := range assigned {
		held, ok := m.held[partition]
		if !ok {
			m.gain(ctx, partition, membership.Generation, 1)
			continue
		}
		switch m.handleSuperseded(held, membership.Generation) {
		case keepWork:
		case restartWork:
			starts := 1
			if held.generation == membership.Generation {
				starts += held.starts
			}
			m.release(partition, held)
			m.gain(ctx, partition, membership.Generation, starts)
		case leaveGroup:
			m.config.Logger.Warn("group left to join it under a new generation, the owner is superseded under the current one",
				"group", m.config.Group, "partition", partition, "generation", membership.Generation)
			m.leave()
			return true
		}
	}
	return released
}

// supersededAction is what is done about a partition that is held and assigned.
type supersededAction int

const (
	keepWork supersededAction = iota
	restartWork
	leaveGroup
)

// handleSuperseded returns what is done about a partition that is assigned under a generation. The owner that supersedes
// the work usually has a higher generation, which the next joins return. If they don't within a lifetime, that owner is an
// earlier process of the same member, of which a late append set an epoch of the same generation, and nobody serves the
// partition. The work is then started again, with a higher epoch. If the generation has no such epoch, the member leaves
// the group, since each change of its members begins a new generation.
func (m *Manager) handleSuperseded(held *holding, generation int64) supersededAction {
	switch {
	case !superseded(held.work):
		return keepWork
	case held.generation < generation:
		return restartWork
	case held.supersededAt.IsZero():
		held.supersededAt = time.Now()
		return keepWork
	case time.Since(held.supersededAt) < m.config.Lifetime:
		return keepWork
	case held.starts < maxStarts:
		return restartWork
	default:
		return leaveGroup
	}
}

// signalChange makes watch read the group.
func (m *Manager) signalChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func superseded(work Work) bool {
	select {
	case <-work.Superseded():
		return true
	default:
		return false
	}
}

// gain starts the work of a partition. starts is how often that has been done under the generation, this time included.
func (m *Manager) gain(ctx context.Context, partition keyedlog.Partition, generation int64, starts int) {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.heldCount.Add(1)
	m.config.Logger.Info("partition gained", "partition", partition, "generation", generation, "start", starts)
	m.held[partition] = &holding{
		generation: generation, starts: starts, cancel: cancel, work: m.config.Holder.Gained(workCtx, partition, generation),
	}
}

// releaseUnassigned releases the partitions that are held but not assigned, and reports whether there were any.
func (m *Manager) releaseUnassigned(assigned map[keyedlog.Partition]bool) bool {
	var waiting sync.WaitGroup
	released := false
	for partition, held := range m.held {
		if assigned[partition] {
			continue
		}
		delete(m.held, partition)
		released = true
		waiting.Go(func() { m.release(partition, held) })
	}
	waiting.Wait()
	return released
}

func (m *Manager) release(partition keyedlog.Partition, held *holding) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	held.work.Release(ctx)
	held.cancel()
	m.heldCount.Add(-1)
	m.config.Logger.Info("partition released", "partition", partition, "generation", held.generation)
}

// leave releases all partitions and leaves the group, so that the other members need not wait until the lifetime has
// passed.
func (m *Manager) leave() {
	m.releaseUnassigned(nil)
	m.connected = false
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.config.Log.Leave(ctx, m.config.Group, m.member); err != nil {
		errorlog.Warn(m.config.Logger, "group not left", err, "group", m.config.Group)
		return
	}
	m.config.Logger.Info("group left", "group", m.config.Group)
}
