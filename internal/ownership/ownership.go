// Package ownership deals partitions to the processes of a group, by the store's group service, and tells a process which it
// holds. What it tells is a hint with a generation: an owner writes under a fence of that generation, and the store refuses a
// writer of a lower one, so that a process that was paused and believes to own a partition changes nothing. Members keep their
// names over restarts: a process that is back before its lifetime has passed has its partitions at once, and nobody else's move.
//
// A group deals evenly, whatever the members' sizes. Where machines state their share of a processor, small ones stand by while larger ones
// hold all partitions and have more of a processor for each than the small ones would give; see policy.StandsBy. Machines decide that by
// the list of owners alone, since members' names contain their shares.
package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Holder runs what the owner of a partition does.
type Holder interface {
	// Gained starts the work of a partition that was dealt under a generation of the group. The context ends when the partition
	// is lost.
	Gained(ctx context.Context, partition keyedlog.Partition, generation int64) Work
}

// Work is the work of a partition that is under way.
type Work interface {
	// Release ends the work and returns once everything that its next owner may use is written, or the context ends.
	Release(ctx context.Context)
	// Superseded is closed when the work has learnt that another owner has a higher epoch.
	Superseded() <-chan struct{}
}

// Config configures a manager.
type Config struct {
	Log    keyedlog.Log
	Group  string
	Member string
	// Share is what the machine has of a processor, in cores; 0 if that is not known, which makes it a member at all times.
	Share  float64
	Topics []keyedlog.Topic
	// Lifetime is how long the member may be silent before its partitions pass on.
	Lifetime time.Duration
	Holder   Holder
	Logger   *log.Logger
}

// Parts of the lifetime.
const (
	// joinsPerLifetime is how often the member is heard within its lifetime. A partition passes on in two joins, one of the
	// old owner and one of the new, and stands still until then; a join costs the store a tenth of a call.
	joinsPerLifetime = 8
	// releaseTimeout bounds what is written when a partition is given up.
	releaseTimeout = 400 * time.Millisecond
)

// Manager keeps a process in a group.
type Manager struct {
	config Config
	// member is the name in the group.
	member string
	// changed has a value when the group has a new generation since watch read it.
	changed chan struct{}
	// takesPart is TakesPart, which any goroutine may call.
	takesPart atomic.Bool

	generation int64
	held       map[keyedlog.Partition]*holding
	// count is how many partitions are held, for Holds, which any goroutine may call.
	count atomic.Int32
	// heard is when the last join that was answered was sent.
	heard     time.Time
	connected bool
}

type holding struct {
	generation int64
	cancel     context.CancelFunc
	work       Work
}

// New returns a manager; Run starts it.
func New(config Config) *Manager {
	config.Share = rounded(config.Share)
	return &Manager{
		config: config, member: memberName(config.Member, config.Share), changed: make(chan struct{}, 1),
		held: make(map[keyedlog.Partition]*holding),
	}
}

// Holds tells whether any partition is held, or its work is being released. It is safe for concurrent use.
func (m *Manager) Holds() bool {
	return m.count.Load() > 0
}

// TakesPart tells whether the process is a member of the group, or tries to be. It is safe for concurrent use.
func (m *Manager) TakesPart() bool {
	return m.takesPart.Load()
}

// Run takes part in the group whenever the machine is needed there, until the context ends; then it has released all partitions and left.
func (m *Manager) Run(ctx context.Context) {
	for started := true; m.standBy(ctx, started); started = false {
		m.takePart(ctx)
	}
}

// takePart stays in the group until the context ends or larger members have room for all, then releases all partitions and leaves.
func (m *Manager) takePart(ctx context.Context) {
	m.takesPart.Store(true)
	defer m.takesPart.Store(false)
	dispensable, end := m.startWatch(ctx)
	defer end()
	ticker := time.NewTicker(m.config.Lifetime / joinsPerLifetime)
	defer ticker.Stop()
	for {
		if m.join(ctx) {
			// What was released passes on with the next join.
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

// startWatch has the group watched for larger members, if the machine's size is known. The channel is closed once they have room for
// all partitions; end ends the watch.
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

// join stays in the group, and tells whether partitions were released.
func (m *Manager) join(ctx context.Context) bool {
	sent := time.Now()
	membership, err := m.config.Log.Join(ctx, keyedlog.JoinRequest{
		Group: m.config.Group, Member: m.member, Topics: m.config.Topics, Lifetime: m.config.Lifetime,
		Generation: m.generation,
	})
	if err != nil {
		m.failed(ctx, err)
		return false
	}
	m.heard = sent
	if !m.connected {
		m.connected = true
		m.config.Logger.Info("group joined", "group", m.config.Group, "generation", membership.Generation)
	}
	return m.take(ctx, membership)
}

// failed keeps the partitions: a store that is down deals them to nobody else, and one that is up fences this process once
// it has.
func (m *Manager) failed(ctx context.Context, err error) {
	if m.connected && ctx.Err() == nil {
		m.connected = false
		errorlog.Warn(m.config.Logger, "group lost", err, "group", m.config.Group, "heard_ago", time.Since(m.heard))
	}
}

// take compares what is dealt with what is held, and tells whether partitions were released.
func (m *Manager) take(ctx context.Context, membership keyedlog.Membership) bool {
	if m.generation != membership.Generation {
		m.generation = membership.Generation
		m.announceChange()
	}
	listed := make(map[keyedlog.Partition]bool, len(membership.Partitions))
	for _, partition := range membership.Partitions {
		listed[partition] = true
	}
	released := m.releaseUnlisted(listed)
	for partition := range listed {
		held, ok := m.held[partition]
		if ok && !superseded(held.work) {
			continue
		}
		if ok {
			if held.generation >= membership.Generation {
				continue
			}
			m.release(partition, held)
		}
		m.gain(ctx, partition, membership.Generation)
	}
	return released
}

// announceChange has watch read the group.
func (m *Manager) announceChange() {
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

func (m *Manager) gain(ctx context.Context, partition keyedlog.Partition, generation int64) {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.count.Add(1)
	m.config.Logger.Info("partition gained", "partition", partition, "generation", generation)
	m.held[partition] = &holding{
		generation: generation, cancel: cancel, work: m.config.Holder.Gained(workCtx, partition, generation),
	}
}

// releaseUnlisted releases what is held and not listed, and tells whether there was any.
func (m *Manager) releaseUnlisted(listed map[keyedlog.Partition]bool) bool {
	var waiting sync.WaitGroup
	released := false
	for partition, held := range m.held {
		if listed[partition] {
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
	m.count.Add(-1)
	m.config.Logger.Info("partition released", "partition", partition, "generation", held.generation)
}

// leave releases everything and leaves the group, so that the others need not wait for the lifetime to pass.
func (m *Manager) leave() {
	m.releaseUnlisted(nil)
	m.connected = false
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.config.Log.Leave(ctx, m.config.Group, m.member); err != nil {
		errorlog.Warn(m.config.Logger, "group not left", err, "group", m.config.Group)
		return
	}
	m.config.Logger.Info("group left", "group", m.config.Group)
}
