// Package simnet is an in-memory network for virtual time. Hosts at places (zone, region) exchange streams and datagrams
// with delays, and faults change at run time: partitions, one-way cuts, loss, extra delay, crashed and paused hosts.
//
// It uses only the time package, sync and channels, so that it works within a testing/synctest bubble, where New must
// then be called. Time stands still once the bubble's main function has returned, so close both ends of a stream, or wait
// for the far one to see the end, before. Deterministic in its random draws for each host, in as much as the order of that host's calls is.
//
// Lock order: link.mu before Network.mu; packetConn.mu and host.randomMu are taken last and nothing is taken under them.
package simnet

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/network"
)

// DefaultBufferBytes is the default of Options.BufferBytes.
const DefaultBufferBytes = 256 << 10

// firstFreePort is where the allocation of ports for port 0 and for dialing starts.
const firstFreePort = 32768

// lastPort is the highest port.
const lastPort = 65535

// Place is where a host is.
type Place struct {
	IP     string
	Zone   string
	Region string
}

// DelayFunc gives the one-way delay from a place to another; each transmission adds a random part of jitter.
type DelayFunc func(from, to Place) (base, jitter time.Duration)

// Options configures a Network; zero values take the defaults.
type Options struct {
	// Seed starts the random draws of loss and jitter.
	Seed uint64
	// Delay is DefaultDelay if nil.
	Delay DelayFunc
	// BufferBytes bounds what is on its way or unread in one direction of a stream; writers wait beyond it.
	BufferBytes int
}

// DefaultDelay is 50 µs within a host's zone, 500 µs within the region and 10 ms between regions.
func DefaultDelay(from, to Place) (base, jitter time.Duration) {
	switch {
	case from.Region != to.Region:
		return 10 * time.Millisecond, 0
	case from.Zone != to.Zone:
		return 500 * time.Microsecond, 0
	default:
		return 50 * time.Microsecond, 0
	}
}

// Traffic counts what a host sent and received: payload bytes of streams and of datagrams. Sent bytes count when they
// are written, lost ones too.
type Traffic struct {
	StreamBytesSent       uint64
	StreamBytesReceived   uint64
	DatagramBytesSent     uint64
	DatagramBytesReceived uint64
	DatagramsSent         uint64
	DatagramsReceived     uint64
}

// Network is an in-memory network.
type Network struct {
	options Options

	mu    sync.RWMutex
	delay DelayFunc
	hosts map[string]*host
	rules []*Rule
	// stalled holds the streams with something to deliver that a fault holds back.
	stalled map[*pipe]struct{}
	// changed is closed and replaced at each change of faults.
	changed chan struct{}
}

// host is one machine. Its fields are guarded by Network.mu unless said otherwise.
type host struct {
	network *Network
	place   Place
	process *process
	paused  bool
	// conns are the open ends of streams.
	conns     map[*conn]struct{}
	listeners map[int]*listener
	packets   map[int]*packetConn
	nextPort  int
	// held are datagrams written while paused.
	held []heldDatagram

	randomMu sync.Mutex
	random   *rand.Rand

	traffic struct {
		streamSent, streamReceived     atomic.Uint64
		datagramSent, datagramReceived atomic.Uint64
		datagramsSent, datagramsTaken  atomic.Uint64
	}
}

// process is the life of a host between start and crash, and the view of the network that it has.
type process struct {
	host *host
	// down is guarded by Network.mu and stays set.
	down bool
}

var _ network.Network = (*process)(nil)

// New returns a network without hosts and faults.
func New(options Options) *Network {
	if options.Delay == nil {
		options.Delay = DefaultDelay
	}
	if options.BufferBytes <= 0 {
		options.BufferBytes = DefaultBufferBytes
	}
	return &Network{
		options: options,
		delay:   options.Delay,
		hosts:   make(map[string]*host),
		stalled: make(map[*pipe]struct{}),
		changed: make(chan struct{}),
	}
}

// Host returns the view that the host of an IP has of the network, and makes the host at the first call. The view
// fails for good when the host crashes.
func (n *Network) Host(ip, zone, region string) network.Network {
	n.mu.Lock()
	defer n.mu.Unlock()
	if found := n.hosts[ip]; found != nil {
		return found.process
	}
	created := &host{
		network:   n,
		place:     Place{IP: ip, Zone: zone, Region: region},
		conns:     make(map[*conn]struct{}),
		listeners: make(map[int]*listener),
		packets:   make(map[int]*packetConn),
		nextPort:  firstFreePort,
		random:    rand.New(rand.NewPCG(n.options.Seed, hashOf(ip))),
	}
	created.process = &process{host: created}
	n.hosts[ip] = created
	return created.process
}

func hashOf(ip string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(ip))
	return hash.Sum64()
}

// SetDelay changes the delays of what is sent from now on.
func (n *Network) SetDelay(delay DelayFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Traffic tells what a host sent and received so far; zero for an unknown host.
func (n *Network) Traffic(ip string) Traffic {
	n.mu.RLock()
	found := n.hosts[ip]
	n.mu.RUnlock()
	if found == nil {
		return Traffic{}
	}
	counted := &found.traffic
	return Traffic{
		StreamBytesSent:       counted.streamSent.Load(),
		StreamBytesReceived:   counted.streamReceived.Load(),
		DatagramBytesSent:     counted.datagramSent.Load(),
		DatagramBytesReceived: counted.datagramReceived.Load(),
		DatagramsSent:         counted.datagramsSent.Load(),
		DatagramsReceived:     counted.datagramsTaken.Load(),
	}
}

// freePort returns a port that neither listener nor packet socket has; Network.mu is held.
func (h *host) freePort() (int, error) {
	for range lastPort - firstFreePort + 1 {
		port := h.nextPort
		h.nextPort++
		if h.nextPort > lastPort {
			h.nextPort = firstFreePort
		}
		if h.listeners[port] == nil && h.packets[port] == nil {
			return port, nil
		}
	}
	return 0, fmt.Errorf("simnet: host %s has no free port", h.place.IP)
}

// chance draws a number in [0, 1).
func (h *host) chance() float64 {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return h.random.Float64()
}

// resolve parses an address; the unspecified and loopback IPs are the host itself.
func (h *host) resolve(address string) (ip string, port int, err error) {
	parsed, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return "", 0, err
	}
	if parsed.IP == nil || parsed.IP.IsUnspecified() || parsed.IP.IsLoopback() {
		return h.place.IP, parsed.Port, nil
	}
	return parsed.IP.String(), parsed.Port, nil
}

func (h *host) tcpAddress(port int) *net.TCPAddr {
	return &net.TCPAddr{IP: net.ParseIP(h.place.IP), Port: port}
}
