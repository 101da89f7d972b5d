// Package membership maintains each node's view of the cluster: its members, detected by SWIM-style probes over UDP,
// and small facts that every node should know. Both are spread by gossip. The bytes that a node sends are limited by
// a budget and do not grow with the cluster.
//
// Views may differ between nodes for a while; nothing that is needed for safety may depend on them.
package membership

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
)

// ErrSuperseded is returned by Run when a later process of the same node is alive at another address.
var ErrSuperseded = errors.New("a later process of this node is alive at another address")

const (
	// receiveBacklog is the number of received datagrams that are queued for the loop; further ones stay in the
	// socket's buffer.
	receiveBacklog = 64
	// leavePollInterval is the interval at which Leave checks whether its announcement has been sent.
	leavePollInterval = 20 * time.Millisecond
)

// datagram is a received datagram.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// Membership is this process's participation in the cluster. It is safe for concurrent use.
type Membership struct {
	config     Config
	connection net.PacketConn
	// wake notifies the loop of a change made by a caller.
	wake chan struct{}

	// mutex guards the fields below. It is never held during I/O.
	mutex          sync.Mutex
	protocol       *protocol
	members        []Member
	membersChanged chan struct{}
	factsChanged   chan struct{}
}

// New validates config and opens the socket. Run must be called, since it closes the socket when it ends.
func New(config Config) (*Membership, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	connection, err := config.Network.ListenPacket(config.ListenAddress)
	if err != nil {
		return nil, oops.In("membership").With("address", config.ListenAddress).Wrap(err)
	}
	if config.Self.GossipAddress == "" {
		config.Self.GossipAddress = connection.LocalAddr().String()
	}
	if err := checkReachable(config.Self.GossipAddress); err != nil {
		return nil, oops.In("membership").Wrap(errors.Join(err, connection.Close()))
	}
	m := &Membership{
		config:         config,
		connection:     connection,
		wake:           make(chan struct{}, 1),
		protocol:       newProtocol(config, time.Now()),
		membersChanged: make(chan struct{}),
		factsChanged:   make(chan struct{}),
	}
	return m, nil
}

// checkReachable returns an error for an address that other nodes cannot send to.
func checkReachable(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return oops.Errorf("gossip address %s cannot be reached by others", text)
	}
	return nil
}

// Self returns this process as other members see it.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.protocol.selfEntry().member()
}

// Members returns all known members sorted by node, including this process and dead members that have not been
// removed yet. The slice is shared and must not be changed.
func (m *Membership) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.members == nil {
		m.members = m.protocol.snapshot()
	}
	return m.members
}

// Changed returns a channel that is closed at the next change of Members. Get the channel before reading the members.
func (m *Membership) Changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.membersChanged
}

// SetFact sets a fact and gossips it. Setting a version that is not newer has no effect. Key may have up to 128 bytes
// and value up to MaxFactBytes. Exceeding these is an error of the caller, which is logged and has no effect.
func (m *Membership) SetFact(key string, version uint64, value []byte) {
	if !validFact(key, value) {
		m.config.Logger.Error("fact is out of bounds", "key", key, "bytes", len(value))
		return
	}
	m.update(func(now time.Time) {
		fact := Fact{Key: key, Version: version, Value: value}
		m.protocol.mergeFact(now, fact.copy(), 0)
	})
}

// Fact returns the fact of a key, or false if there is none.
func (m *Membership) Fact(key string) (Fact, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry := m.protocol.facts[key]
	if entry == nil {
		return Fact{}, false
	}
	return entry.fact.copy(), true
}

// Facts returns the facts whose keys begin with prefix, sorted by key.
func (m *Membership) Facts(prefix string) []Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.protocol.factsWithPrefix(prefix)
}

// FactsChanged returns a channel that is closed at the next change of any fact. Get the channel before reading the
// facts.
func (m *Membership) FactsChanged() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.factsChanged
}

// Leave announces a planned stop of this process. It returns once the announcement has reached the send limit of
// urgent updates, or with the context's error. Run keeps answering until its own context ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.update(m.protocol.leave)
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for !m.leaveAnnounced() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// leaveAnnounced reports whether this node has sent its leaving announcement directly up to the send limit, or has no
// peers.
func (m *Membership) leaveAnnounced() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, queued := m.protocol.urgentQueue.items[memberKey(m.config.Self.Node)]
	return !queued || m.protocol.currentPeers().count() == 0
}

// update applies a change made by a caller and wakes the loop to send the resulting datagrams.
func (m *Membership) update(apply func(now time.Time)) {
	m.mutex.Lock()
	apply(time.Now())
	m.notifyChanges()
	m.mutex.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// notifyChanges notifies callers of changes of members and facts. The mutex must be held.
func (m *Membership) notifyChanges() {
	if m.protocol.membersChanged {
		m.protocol.membersChanged = false
		m.members = nil
		close(m.membersChanged)
		m.membersChanged = make(chan struct{})
	}
	if m.protocol.factsChanged {
		m.protocol.factsChanged = false
		close(m.factsChanged)
		m.factsChanged = make(chan struct{})
	}
}

// Run participates in the cluster until ctx ends, in which case it returns nil, or until an error occurs, which it
// returns. It closes the socket. It must be called once.
func (m *Membership) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	incoming := make(chan datagram, receiveBacklog)
	seeds := make(chan []netip.AddrPort)
	group.Go(func() error { return m.receiveLoop(ctx, incoming) })
	group.Go(func() error { return m.seedLoop(ctx, seeds) })
	group.Go(func() error {
		defer m.connection.Close()
		return m.loop(ctx, incoming, seeds)
	})
	err := group.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return oops.In("membership").With("node", m.config.Self.Node).Wrap(err)
}

// errStopped ends the group of goroutines after the context of Run has ended.
var errStopped = errors.New("membership has stopped")

// loop drives the protocol. It is the only sender of datagrams.
func (m *Membership) loop(ctx context.Context, incoming <-chan datagram, seeds <-chan []netip.AddrPort) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var step func(now time.Time)
		select {
		case <-ctx.Done():
			m.step(m.protocol.announceExit)
			return errStopped
		case received := <-incoming:
			step = func(now time.Time) { m.protocol.receive(now, received.from, received.payload) }
		case addresses := <-seeds:
			step = func(time.Time) { m.protocol.seeds = addresses }
		case <-m.wake:
			step = func(time.Time) {}
		case <-timer.C:
			step = m.protocol.tick
		}
		nextWake, superseded := m.step(step)
		if superseded {
			return ErrSuperseded
		}
		timer.Reset(max(0, time.Until(nextWake)))
	}
}

// step applies one event to the protocol and sends the resulting datagrams.
func (m *Membership) step(apply func(now time.Time)) (nextWake time.Time, superseded bool) {
	m.mutex.Lock()
	apply(time.Now())
	m.notifyChanges()
	outbox := m.protocol.outbox
	m.protocol.outbox = nil
	nextWake = m.protocol.nextWake()
	superseded = m.protocol.superseded
	m.mutex.Unlock()
	for _, datagram := range outbox {
		m.send(datagram)
	}
	return nextWake, superseded
}

func (m *Membership) send(datagram outgoing) {
	address := net.UDPAddrFromAddrPort(datagram.address)
	if _, err := m.connection.WriteTo(datagram.payload, address); err != nil {
		m.config.Observer.dropped(DropSendFailed)
		errorlog.Debug(m.config.Logger, "datagram was not sent", err, "to", datagram.address)
		return
	}
	m.config.Observer.sent(len(datagram.payload))
}

// receiveLoop passes datagrams to the loop until the socket is closed.
func (m *Membership) receiveLoop(ctx context.Context, incoming chan<- datagram) error {
	// One byte more than the maximum, so that datagrams that are too long are detected.
	buffer := make([]byte, maxPacketBytes+1)
	for {
		size, from, err := m.connection.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The operating system reports here that an earlier datagram could not be delivered; the socket still
			// works.
			if !sleep(ctx, m.config.Timing.ProbeInterval/ticksPerProbe) {
				return nil
			}
			continue
		}
		address, err := netip.ParseAddrPort(from.String())
		if err != nil {
			continue
		}
		received := datagram{from: address, payload: append([]byte(nil), buffer[:size]...)}
		select {
		case incoming <- received:
		case <-ctx.Done():
			return nil
		}
	}
}

// seedLoop calls Seeds every SeedInterval, and every ProbeInterval while no member is known.
func (m *Membership) seedLoop(ctx context.Context, seeds chan<- []netip.AddrPort) error {
	for {
		var addresses []netip.AddrPort
		for _, text := range m.config.Seeds(ctx) {
			if address, err := netip.ParseAddrPort(text); err == nil {
				addresses = append(addresses, address)
			}
		}
		select {
		case seeds <- addresses:
		case <-ctx.Done():
			return nil
		}
		interval := m.config.Timing.SeedInterval
		if m.isolated() {
			interval = m.config.Timing.ProbeInterval
		}
		if !sleep(ctx, interval) {
			return nil
		}
	}
}

func (m *Membership) isolated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.protocol.currentPeers().count() == 0
}

// sleep waits for the given time and returns false if ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
