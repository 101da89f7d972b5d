package shard

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/hillfork/hillfork/internal/mutation"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

// Config configures a Manager. Log, Identity, Placer and NewState are required. Placer, Preference and Alive are called
// with the Manager's lock held and must neither block nor call the Manager.
type Config struct {
	Log      platform.Log
	Identity Identity
	Placer   placement.Placer
	// Preference returns the preferred location of a stream's owner; nil means no preference.
	Preference func(stream string) placement.Preference
	// NewState returns the empty state of a stream.
	NewState func(stream string) (State, error)
	// Alive reports whether a process is known to be alive. The Manager does not claim a shard from such a process
	// until Settings.HandoverWait has passed. If nil, no process is known to be alive.
	Alive func(node string, incarnation uint64) bool
	// OnHandover is called before a shard that is placed elsewhere is released, and waits for the work in progress. It
	// may be nil.
	OnHandover func(ctx context.Context, stream string)
	// Logger may be nil.
	Logger   *log.Logger
	Settings Settings
	// Mutations disables mechanisms; only tests set it.
	Mutations mutation.Set
}

// Info describes an owned shard.
type Info struct {
	Stream string
	Epoch  uint64
	// Offset is the next offset to be folded.
	Offset int64
}

// Manager opens and hands over the shards of one process. It implements Opener. Lock order: Manager.mu, then owner.mu.
type Manager struct {
	config   Config
	logger   *log.Logger
	counters Counters

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// mu guards the fields below. It is never held across a call to the log.
	mu            sync.Mutex
	owned         map[string]*owner
	draining      map[string]bool
	opening       map[string]*opening
	claimDeferral claimDeferral
	stopped       bool
}

// opening is a shard that is being opened; owner and err are set before done is closed.
type opening struct {
	done  chan struct{}
	owner *owner
	err   error
}

// NewManager returns a Manager that owns no shards yet. It must be closed with Close.
func NewManager(config Config) *Manager {
	config.Settings = config.Settings.withDefaults()
	logger := cmp.Or(config.Logger, log.New(io.Discard))
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		config:        config,
		logger:        logger,
		ctx:           ctx,
		cancel:        cancel,
		owned:         make(map[string]*owner),
		draining:      make(map[string]bool),
		opening:       make(map[string]*opening),
		claimDeferral: newClaimDeferral(config.Settings),
	}
}

// Counters returns the counters of the Manager's shards.
func (m *Manager) Counters() *Counters { return &m.counters }

// List returns the owned shards, sorted by name.
func (m *Manager) List() []Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	infos := make([]Info, 0, len(m.owned))
	for stream, o := range m.owned {
		if !o.hasEnded() {
			infos = append(infos, Info{Stream: stream, Epoch: o.epoch, Offset: o.next()})
		}
	}
	slices.SortFunc(infos, func(a, b Info) int { return strings.Compare(a.Stream, b.Stream) })
	return infos
}

// Open implements Opener. All errors except the context's are *peer.Error: CodeNotOwner with a hint, or CodeNotReady if
// the log is unavailable, the shard is being handed over, or the Manager has stopped. A shard that is owned here but
// placed elsewhere stays open until it is handed over.
func (m *Manager) Open(ctx context.Context, stream string) (Owner, error) {
	o, call, err := m.find(stream)
	if err != nil {
		return nil, err
	}
	if o != nil {
		return o, nil
	}
	select {
	case <-call.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if call.err != nil {
		return nil, call.err
	}
	return call.owner, nil
}

// find returns the owner of a stream, or the opening to wait for; it starts one if there is none.
func (m *Manager) find(stream string) (*owner, *opening, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil, nil, notReady("node is stopping")
	}
	if o := m.owned[stream]; o != nil && !o.hasEnded() {
		if m.draining[stream] {
			return nil, nil, notReady("shard is being handed over")
		}
		return o, nil, nil
	}
	if call := m.opening[stream]; call != nil {
		return nil, call, nil
	}
	if refusal := m.refusal(stream); refusal != nil {
		return nil, nil, refusal
	}
	call := &opening{done: make(chan struct{})}
	m.opening[stream] = call
	m.tasks.Go(func() { m.open(stream, call) })
	return nil, call, nil
}

// refusal returns the reason why a shard that is not owned must not be opened now; nil if it may be opened. The caller
// holds mu.
func (m *Manager) refusal(stream string) *peer.Error {
	placed, ok := m.placed(stream)
	if !ok {
		return notOwner(stream, "")
	}
	if placed.Node != m.config.Placer.Self().Node {
		return notOwner(stream, placed.PeerAddress)
	}
	if m.draining[stream] {
		return notReady("shard has just been handed over")
	}
	return m.claimDeferral.refusal(stream)
}

// placed returns the member that should own a stream according to the placement.
func (m *Manager) placed(stream string) (placement.Member, bool) {
	var preference placement.Preference
	if m.config.Preference != nil {
		preference = m.config.Preference(stream)
	}
	return m.config.Placer.Owner(stream, preference)
}

// Close abandons every shard without a release, as a crash would, and waits for the Manager's goroutines. For a planned
// stop, call ReleaseAll first.
func (m *Manager) Close() {
	for _, o := range m.stop() {
		o.abandon()
	}
	m.cancel()
	m.tasks.Wait()
}

// stop makes further opens fail and returns the owned shards.
func (m *Manager) stop() []*owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	owners := make([]*owner, 0, len(m.owned))
	for _, o := range m.owned {
		owners = append(owners, o)
	}
	return owners
}

// notOwner returns the refusal for a shard that another process owns or should own.
func notOwner(stream, hint string) *peer.Error {
	return &peer.Error{Code: peer.CodeNotOwner, Message: "shard " + stream + " is owned elsewhere", OwnerHint: hint}
}

// notReady returns the refusal for a shard that cannot be opened now.
func notReady(reason string) *peer.Error {
	return &peer.Error{Code: peer.CodeNotReady, Message: reason, RetryAfter: openRetryAfter}
}
