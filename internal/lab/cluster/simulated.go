package cluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/lab/trace"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/network/simnet"
)

// jitterPart is the part of a delay by which it varies.
const jitterPart = 0.1

// clientZonePrefix marks the zones of hosts that stand with callers and trainers, outside the machine rooms.
const clientZonePrefix = "clients/"

// Simulated is the fabric of an in-memory network with the topology's delays.
type Simulated struct {
	network *simnet.Network

	mu    sync.Mutex
	hosts int
	// healLoss and healDelay end the loss and the extra delay in force; nil where there is none.
	healLoss, healDelay func()
}

// NewSimulated returns a fabric with the delays of a topology.
func NewSimulated(topology *trace.Topology) *Simulated {
	delays := newDelays(topology)
	return &Simulated{network: simnet.New(simnet.Options{Delay: delays.between, Seed: topology.Seed})}
}

// delays tells the one-way delay between places.
type delays struct {
	zone, client map[string]time.Duration
	region       time.Duration
}

func newDelays(topology *trace.Topology) *delays {
	d := &delays{
		zone: make(map[string]time.Duration), client: make(map[string]time.Duration),
		region: time.Duration(topology.RegionDelay),
	}
	for _, region := range topology.Regions {
		d.zone[region.Name] = time.Duration(region.ZoneDelay)
		d.client[region.Name] = time.Duration(region.ClientDelay)
	}
	return d
}

// localDelay is the one-way delay within a zone.
const localDelay = 50 * time.Microsecond

func (d *delays) between(from, to simnet.Place) (base, jitter time.Duration) {
	switch {
	case from.Region != to.Region:
		base = d.region
	case isClient(from) || isClient(to):
		base = d.client[from.Region]
	case from.Zone != to.Zone:
		base = d.zone[from.Region]
	default:
		base = localDelay
	}
	return base, time.Duration(jitterPart * float64(base))
}

func isClient(place simnet.Place) bool { return strings.HasPrefix(place.Zone, clientZonePrefix) }

// NewHost returns a host with the next free address.
func (s *Simulated) NewHost(place Place) Host {
	s.mu.Lock()
	s.hosts++
	ip := fmt.Sprintf("10.0.%d.%d", s.hosts/hostsPerNet, 1+s.hosts%hostsPerNet)
	s.mu.Unlock()
	zone := place.Zone
	if place.Client {
		zone = clientZonePrefix + zone
	}
	return Host{IP: ip, Network: s.network.Host(ip, zone, place.Region)}
}

// Crash ends the process on a host and resets its connections.
func (s *Simulated) Crash(ip string) error {
	s.network.Crash(ip)
	return nil
}

// CrashCutsOff is true.
func (s *Simulated) CrashCutsOff() bool { return true }

// Restart starts a new process on a host.
func (s *Simulated) Restart(ip string) (network.Network, error) {
	return s.network.Restart(ip), nil
}

// Pause freezes a host.
func (s *Simulated) Pause(ip string) error {
	s.network.Pause(ip)
	return nil
}

// Resume ends Pause.
func (s *Simulated) Resume(ip string) error {
	s.network.Resume(ip)
	return nil
}

// Partition cuts places from each other. Clients of a zone are cut off with it.
func (s *Simulated) Partition(a, b []string, oneWay bool) (func(), error) {
	if oneWay {
		return s.network.Apply(simnet.Rule{From: inPlaces(a), To: inPlaces(b), Cut: true}), nil
	}
	return s.network.Partition(inPlaces(a), inPlaces(b)), nil
}

func inPlaces(names []string) simnet.Selector {
	return func(place simnet.Place) bool {
		zone := strings.TrimPrefix(place.Zone, clientZonePrefix)
		return slices.Contains(names, zone) || slices.Contains(names, place.Region)
	}
}

// SetLoss loses datagrams everywhere.
func (s *Simulated) SetLoss(probability float64) error {
	s.replace(&s.healLoss, simnet.Rule{From: simnet.Everywhere, To: simnet.Everywhere, DatagramLoss: probability})
	return nil
}

// SetExtraDelay makes everything later.
func (s *Simulated) SetExtraDelay(delay time.Duration) error {
	s.replace(&s.healDelay, simnet.Rule{From: simnet.Everywhere, To: simnet.Everywhere, ExtraDelay: delay})
	return nil
}

// replace puts a rule in the place of the one that heal ends.
func (s *Simulated) replace(heal *func(), rule simnet.Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *heal != nil {
		(*heal)()
	}
	*heal = s.network.Apply(rule)
}
