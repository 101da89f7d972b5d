package membership

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeNetwork carries datagrams between nodes in virtual time.
type fakeNetwork struct {
	mutex   sync.Mutex
	sockets map[string]*socket
	// blocked reports whether a datagram is lost.
	blocked func(from, to string) bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{sockets: make(map[string]*socket), blocked: func(string, string) bool { return false }}
}

func (f *fakeNetwork) DialContext(context.Context, string) (net.Conn, error) {
	return nil, errors.ErrUnsupported
}

func (f *fakeNetwork) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

func (f *fakeNetwork) ListenPacket(address string) (net.PacketConn, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.sockets[address] != nil {
		return nil, errors.New("address in use")
	}
	opened := &socket{
		network: f,
		address: address,
		inbox:   make(chan inbound, 4096),
		closed:  make(chan struct{}),
		resumed: make(chan struct{}),
	}
	close(opened.resumed)
	f.sockets[address] = opened
	return opened, nil
}

// block replaces the rule that determines which datagrams are lost.
func (f *fakeNetwork) block(rule func(from, to string) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.blocked = rule
}

const fakeNetworkLatency = 2 * time.Millisecond

func (f *fakeNetwork) deliver(from, to string, payload []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	target := f.sockets[to]
	if target == nil || f.blocked(from, to) {
		return
	}
	message := inbound{from: from, payload: append([]byte(nil), payload...), due: time.Now().Add(fakeNetworkLatency)}
	select {
	case target.inbox <- message:
	default:
	}
}

type inbound struct {
	from    string
	payload []byte
	// due is when the datagram arrives. The latency is the same for all datagrams, so they arrive in order.
	due time.Time
}

// socket is a packet connection of the fake network. While it is paused, its owner blocks in ReadFrom and WriteTo.
type socket struct {
	network *fakeNetwork
	address string
	inbox   chan inbound
	closed  chan struct{}

	mutex   sync.Mutex
	resumed chan struct{}
}

func (s *socket) pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resumed = make(chan struct{})
}

func (s *socket) resume() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.resumed)
}

func (s *socket) waitUntilResumed() {
	s.mutex.Lock()
	resumed := s.resumed
	s.mutex.Unlock()
	<-resumed
}

func (s *socket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case message := <-s.inbox:
		time.Sleep(time.Until(message.due))
		s.waitUntilResumed()
		from, err := net.ResolveUDPAddr("udp", message.from)
		return copy(buffer, message.payload), from, err
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

func (s *socket) WriteTo(payload []byte, to net.Addr) (int, error) {
	s.waitUntilResumed()
	s.network.deliver(s.address, to.String(), payload)
	return len(payload), nil
}

func (s *socket) Close() error {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	if s.network.sockets[s.address] == s {
		delete(s.network.sockets, s.address)
		close(s.closed)
	}
	return nil
}

func (s *socket) LocalAddr() net.Addr {
	address, _ := net.ResolveUDPAddr("udp", s.address)
	return address
}

func (s *socket) SetDeadline(time.Time) error      { return errors.ErrUnsupported }
func (s *socket) SetReadDeadline(time.Time) error  { return errors.ErrUnsupported }
func (s *socket) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }

// cluster runs nodes over a fake network inside a synctest bubble.
type cluster struct {
	t            *testing.T
	network      *fakeNetwork
	nodes        map[string]*node
	zones        int
	adjustConfig func(config *Config)
}

type node struct {
	*Membership
	stop func()
	// done is closed after Run has returned; err is its error.
	done chan struct{}
	err  error

	mutex   sync.Mutex
	sent    int
	dropped map[DropReason]int
}

func newCluster(t *testing.T, zones int) *cluster {
	c := &cluster{t: t, network: newFakeNetwork(), nodes: make(map[string]*node), zones: zones}
	c.adjustConfig = func(*Config) {}
	return c
}

func nodeName(number int) string    { return fmt.Sprintf("node-%03d", number) }
func nodeAddress(number int) string { return fmt.Sprintf("10.0.%d.%d:7000", number/200, number%200+1) }

// start runs a node, whose seeds are the first three nodes.
func (c *cluster) start(number int) *node {
	return c.startAs(nodeName(number), number, 1)
}

// startAs runs a node with the given name at the address of number.
func (c *cluster) startAs(name string, number int, incarnation uint64) *node {
	c.t.Helper()
	started := &node{done: make(chan struct{}), dropped: make(map[DropReason]int)}
	config := Config{
		Self: Member{
			Node:        name,
			Incarnation: incarnation,
			PeerAddress: nodeAddress(number),
			Zone:        fmt.Sprintf("zone-%d", number%c.zones),
			Region:      "region",
		},
		Network:       c.network,
		ListenAddress: nodeAddress(number),
		Seeds: func(context.Context) []string {
			return []string{nodeAddress(0), nodeAddress(1), nodeAddress(2)}
		},
		Seed: uint64(number) + 1,
		Observer: Observer{
			Sent:    func(bytes int) { started.count(func() { started.sent += bytes }) },
			Dropped: func(reason DropReason) { started.count(func() { started.dropped[reason]++ }) },
		},
	}
	c.adjustConfig(&config)
	membership, err := New(config)
	is.New(c.t).NoErr(err)
	started.Membership = membership
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(started.done)
		started.err = membership.Run(ctx)
	}()
	started.stop = func() {
		cancel()
		<-started.done
	}
	c.nodes[name] = started
	return started
}

func (n *node) count(update func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	update()
}

func (n *node) bytesSent() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sent
}

// bytesSent returns the bytes sent by all running nodes.
func (c *cluster) bytesSent() int {
	total := 0
	for _, running := range c.nodes {
		total += running.bytesSent()
	}
	return total
}

// startAll runs nodes 0 to count-1.
func (c *cluster) startAll(count int) {
	for number := range count {
		c.start(number)
	}
}

// crash stops a node without letting it announce its exit.
func (c *cluster) crash(name string) {
	crashed := c.nodes[name]
	address := crashed.Self().GossipAddress
	c.network.mutex.Lock()
	before := c.network.blocked
	c.network.blocked = func(from, to string) bool { return from == address || before(from, to) }
	c.network.mutex.Unlock()
	crashed.stop()
	c.network.block(before)
	delete(c.nodes, name)
}

// stopAll ends all nodes.
func (c *cluster) stopAll() {
	for _, running := range c.nodes {
		running.stop()
	}
}

// stateOf returns the state that the node assigns to other, or 0 if it does not know it.
func (n *node) stateOf(other string) State {
	for _, member := range n.Members() {
		if member.Node == other {
			return member.State
		}
	}
	return 0
}

// waitFor advances virtual time until done returns true and returns the elapsed time. It fails the test after limit.
func (c *cluster) waitFor(limit time.Duration, done func() bool) time.Duration {
	c.t.Helper()
	step := 50 * time.Millisecond
	if len(c.nodes) >= 100 {
		step = time.Second // checking the views of all nodes takes most of the real time
	}
	begin := time.Now()
	for !done() {
		if time.Since(begin) > limit {
			c.t.Fatalf("condition not met within %v", limit)
		}
		time.Sleep(step)
		synctest.Wait()
	}
	return time.Since(begin)
}

// allNodes reports whether predicate is true for all running nodes.
func (c *cluster) allNodes(predicate func(running *node) bool) bool {
	for _, running := range c.nodes {
		if !predicate(running) {
			return false
		}
	}
	return true
}

// allAlive reports whether every running node sees exactly the running nodes as alive.
func (c *cluster) allAlive() bool {
	return c.allNodes(func(running *node) bool {
		alive := 0
		for _, member := range running.Members() {
			if member.State == StateAlive {
				alive++
			}
			if member.State == StateAlive && c.nodes[member.Node] == nil {
				return false
			}
		}
		return alive == len(c.nodes)
	})
}
