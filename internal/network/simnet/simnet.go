// Package simnet is an in-memory network for virtual time. Hosts at places (zone, region) exchange streams and datagrams
// with delays, and faults change at run time: partitions, one-way cuts, loss, extra delay, crashed and paused hosts.
//
// It uses only the time package, sync and channels, so that it works within a testing/synctest bubble; New must then be
// called within the bubble. Time does not advance after the bubble's main function has returned. Before that, close both
// ends of each stream, or wait until the remote end has seen the end of the stream. Random numbers are drawn per host and
// are deterministic if the order of that host's calls is.
//
// Lock order: link.mu before Network.mu; packetConn.mu and host.randomMu are acquired last, and no lock is acquired
// while they are held.
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

// firstFreePort is the lowest port allocated for port 0 and for dialing.
const firstFreePort = 32768

// lastPort is the highest port.
const lastPort = 65535

// Place is the location of a host.
type Place struct {
	IP     string
	Zone   string
	Region string
}

// DelayFunc returns the one-way delay between two places; each transmission adds a random fraction of jitter.
type DelayFunc func(from, to Place) (base, jitter time.Duration)

// Options configures a Network; zero values take the defaults.
type Options struct {
	// Seed seeds the random numbers for loss and jitter.
	Seed uint64
	// Delay is DefaultDelay if nil.
	Delay DelayFunc
	// BufferBytes limits the bytes in transit or unread in one direction of a stream; writers block at the limit.
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

// Traffic counts the payload bytes that a host sent and received, for streams and datagrams, and its datagrams. Sent
// bytes are counted when they are written, even if they are lost.
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
	// stalled holds the stream directions whose next segment is blocked by a fault.
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
		streamSent, streamReceived       atomic.Uint64
		datagramSent, datagramReceived   atomic.Uint64
		datagramsSent, datagramsReceived atomic.Uint64
	}
}

// process is the incarnation of a host between start and crash, and its view of the network.
type process struct {
	host *host
	// down is guarded by Network.mu and is never cleared.
	down bool
}

var _ network.Network = (*process)(nil)

// New returns a network without hosts or faults.
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

// Host returns the network as seen by the host with the IP, and creates the host at the first call. The returned view
// fails permanently when the host crashes.
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

// SetDelay changes the delays of later transmissions.
func (n *Network) SetDelay(delay DelayFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Traffic returns the host's counters so far; zero for an unknown host.
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
		DatagramsReceived:     counted.datagramsReceived.Load(),
	}
}

// freePort returns a port that no listener or packet socket uses; Network.mu is held.
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

// randomFloat returns a random number in [0, 1).
func (h *host) randomFloat() float64 {
	h.randomMu.Lock()
	defer h.randomMu.Unlock()
	return h.random.Float64()
}

// resolve parses an address; the unspecified and loopback IPs resolve to the host itself.
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
