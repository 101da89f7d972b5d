// Package membership keeps each node's view of the cluster: who is there, by probes in the manner of SWIM over UDP, and
// small facts that every node should know. Both spread by gossip. What a node sends is bounded by a byte budget and does
// not grow with the cluster.
//
// Views may differ between nodes for a while; nothing whose safety matters may depend on them.
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
var ErrSuperseded = errors.New("a later process of this node is alive elsewhere")

const (
	// receiveBacklog is how many datagrams wait for the loop; beyond it they wait in the socket.
	receiveBacklog = 64
	// leavePollInterval is how often Leave looks whether its announcement has been sent.
	leavePollInterval = 20 * time.Millisecond
)

// datagram is a received datagram.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// Membership is this process's part in the cluster. It is safe for concurrent use.
type Membership struct {
	config     Config
	connection net.PacketConn
	// wake tells the loop that something was set from outside.
	wake chan struct{}

	// mutex guards what follows. It is never held during I/O.
	mutex          sync.Mutex
	protocol       *protocol
	members        []Member
	membersChanged chan struct{}
	factsChanged   chan struct{}
}

// New checks config and opens the socket. Run must be called, since it closes the socket when it ends.
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

// checkReachable refuses an address that others could not send to.
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

// Self returns this process as others know it.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.protocol.selfEntry().member()
}

// Members returns all members known, this process and the dead not yet forgotten included, sorted by node. The slice is
// shared and must not be changed.
func (m *Membership) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.members == nil {
		m.members = m.protocol.snapshot()
	}
	return m.members
}

// Changed returns a channel that is closed at the next change of Members. Take the channel before the members.
func (m *Membership) Changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.membersChanged
}

// SetFact sets a fact and spreads it. Setting a version that is not newer has no effect. Key may have up to 128 bytes
// and value up to MaxFactBytes; more is a fault of the caller, which is logged, and has no effect.
func (m *Membership) SetFact(key string, version uint64, value []byte) {
	if !validFact(key, value) {
		m.config.Logger.Error("fact is out of bounds", "key", key, "bytes", len(value))
		return
	}
	m.change(func(now time.Time) {
		fact := Fact{Key: key, Version: version, Value: value}
		m.protocol.mergeFact(now, fact.copy(), 0)
	})
}

// Fact returns the fact of a key; false where there is none.
func (m *Membership) Fact(key string) (Fact, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	held := m.protocol.facts[key]
	if held == nil {
		return Fact{}, false
	}
	return held.fact.copy(), true
}

// Facts returns the facts whose keys begin with prefix, sorted by key.
func (m *Membership) Facts(prefix string) []Fact {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.protocol.factsWith(prefix)
}

// FactsChanged returns a channel that is closed at the next change of any fact. Take the channel before the facts.
func (m *Membership) FactsChanged() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.factsChanged
}

// Leave announces that this process stops as planned. It returns once the announcement has been sent as often as
// urgent news is, or with the context's error. Run goes on answering until its own context ends.
func (m *Membership) Leave(ctx context.Context) error {
	m.change(m.protocol.leave)
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for !m.announced() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// announced tells whether this node has told its leaving directly as often as it will, or nobody is there to be told.
func (m *Membership) announced() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, queued := m.protocol.urgent.items[memberKey(m.config.Self.Node)]
	return !queued || m.protocol.currentPeers().count() == 0
}

// change applies a change from outside and wakes the loop to send what came of it.
func (m *Membership) change(apply func(now time.Time)) {
	m.mutex.Lock()
	apply(time.Now())
	m.publish()
	m.mutex.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// publish tells users of changes. The mutex must be held.
func (m *Membership) publish() {
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

// Run takes part in the cluster until ctx ends, which returns nil, or until it cannot, which returns the error. It closes
// the socket. It must be called once.
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

// errStopped ends the group of goroutines when the loop has ended as asked.
var errStopped = errors.New("membership has stopped")

// loop drives the protocol. All datagrams are sent from here.
func (m *Membership) loop(ctx context.Context, incoming <-chan datagram, seeds <-chan []netip.AddrPort) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var step func(now time.Time)
		select {
		case <-ctx.Done():
			m.step(m.protocol.farewell)
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

// step lets the protocol make one step, and sends what it wants sent.
func (m *Membership) step(apply func(now time.Time)) (nextWake time.Time, superseded bool) {
	m.mutex.Lock()
	apply(time.Now())
	m.publish()
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

// receiveLoop hands datagrams to the loop until the socket is closed.
func (m *Membership) receiveLoop(ctx context.Context, incoming chan<- datagram) error {
	// One byte more than is allowed, so that what is too long is seen to be.
	buffer := make([]byte, maxPacketBytes+1)
	for {
		size, from, err := m.connection.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The system reports here that an earlier datagram could not be delivered, which is no fault of the socket.
			if !pause(ctx, m.config.Timing.ProbeInterval/ticksPerProbe) {
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

// seedLoop asks for the seeds now and then, and more often while nobody is known.
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
		if m.alone() {
			interval = m.config.Timing.ProbeInterval
		}
		if !pause(ctx, interval) {
			return nil
		}
	}
}

func (m *Membership) alone() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.protocol.currentPeers().count() == 0
}

// pause waits, and tells whether the context still goes on.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
