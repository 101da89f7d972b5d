package simnet

import (
	"slices"
	"syscall"
	"time"

	"github.com/hillfork/hillfork/internal/network"
)

// Selector chooses places.
type Selector func(Place) bool

// ByIP chooses hosts.
func ByIP(ips ...string) Selector {
	return func(p Place) bool { return slices.Contains(ips, p.IP) }
}

// ByZone chooses zones.
func ByZone(zones ...string) Selector {
	return func(p Place) bool { return slices.Contains(zones, p.Zone) }
}

// ByRegion chooses regions.
func ByRegion(regions ...string) Selector {
	return func(p Place) bool { return slices.Contains(regions, p.Region) }
}

// Everywhere chooses all places.
func Everywhere(Place) bool { return true }

// Not chooses the places that the selector does not.
func Not(selector Selector) Selector {
	return func(p Place) bool { return !selector(p) }
}

// Rule is a fault in one direction. It does not touch what a host sends to itself.
type Rule struct {
	From Selector
	To   Selector
	// Cut drops all datagrams, and holds streams and dials up until it is removed.
	Cut bool
	// DatagramLoss is the probability that a datagram is lost.
	DatagramLoss float64
	// ExtraDelay is added to the delay of what is sent while the rule is active.
	ExtraDelay time.Duration
}

func (r *Rule) applies(from, to *host) bool {
	return from != to && r.From(from.place) && r.To(to.place)
}

// Apply makes rules active and returns a function that removes them.
func (n *Network) Apply(rules ...Rule) (remove func()) {
	added := make([]*Rule, len(rules))
	for i := range rules {
		added[i] = &rules[i]
	}
	n.change(func() { n.rules = append(n.rules, added...) })
	return func() {
		n.change(func() {
			n.rules = slices.DeleteFunc(n.rules, func(r *Rule) bool { return slices.Contains(added, r) })
		})
	}
}

// Partition cuts a off from b in both directions until heal is called.
func (n *Network) Partition(a, b Selector) (heal func()) {
	return n.Apply(Rule{From: a, To: b, Cut: true}, Rule{From: b, To: a, Cut: true})
}

// Isolate cuts the chosen places off from all others until heal is called.
func (n *Network) Isolate(chosen Selector) (heal func()) {
	return n.Partition(chosen, Not(chosen))
}

// RemoveRules removes all rules; crashed and paused hosts stay so.
func (n *Network) RemoveRules() {
	n.change(func() { n.rules = nil })
}

// Pause freezes a host's traffic: nothing that it writes leaves and nothing reaches its process until Resume.
func (n *Network) Pause(ip string) { n.setPaused(ip, true) }

// Resume lets everything that was held up since Pause flow.
func (n *Network) Resume(ip string) { n.setPaused(ip, false) }

func (n *Network) setPaused(ip string, paused bool) {
	var touched *host
	var held []heldDatagram
	n.change(func() {
		touched = n.hosts[ip]
		if touched != nil {
			touched.paused = paused
			held, touched.held = touched.held, nil
		}
	})
	if touched == nil {
		return
	}
	touched.wakeReaders()
	for _, each := range held {
		n.transmit(touched, each)
	}
}

// wakeReaders lets blocked reads look at the host's state again.
func (h *host) wakeReaders() {
	conns, packets := h.openSockets()
	for _, open := range conns {
		open.wake()
	}
	for _, open := range packets {
		open.wake()
	}
}

func (h *host) openSockets() ([]*conn, []*packetConn) {
	h.network.mu.RLock()
	defer h.network.mu.RUnlock()
	conns := make([]*conn, 0, len(h.conns))
	for open := range h.conns {
		conns = append(conns, open)
	}
	packets := make([]*packetConn, 0, len(h.packets))
	for _, open := range h.packets {
		packets = append(packets, open)
	}
	return conns, packets
}

// Crash ends the host's process: its sockets fail, its peers see a reset as soon as one can reach them, and later dials
// to it are refused. The host's views of the network fail for good; Restart gives a new one.
func (n *Network) Crash(ip string) {
	crashed := n.find(ip)
	if crashed == nil {
		return
	}
	listeners := crashed.markDown()
	conns, packets := crashed.openSockets()
	for _, open := range conns {
		open.abort(syscall.ENETDOWN)
	}
	for _, open := range packets {
		_ = open.Close()
	}
	for _, open := range listeners {
		_ = open.Close()
	}
	// Only now, so that nothing leaves that a paused process had not let go.
	n.change(func() { crashed.paused = false })
}

// markDown keeps the process from opening sockets and returns its listeners.
func (h *host) markDown() []*listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.process.down = true
	h.held = nil
	listeners := make([]*listener, 0, len(h.listeners))
	for _, open := range h.listeners {
		listeners = append(listeners, open)
	}
	return listeners
}

// Restart starts a new process on a host that Host has made, and returns its view of the network. A host that runs is
// crashed first.
func (n *Network) Restart(ip string) network.Network {
	n.Crash(ip)
	n.mu.Lock()
	defer n.mu.Unlock()
	restarted := n.hosts[ip]
	restarted.process = &process{host: restarted}
	return restarted.process
}

// change alters faults and lets everything that was held up try again.
func (n *Network) change(alter func()) {
	for _, each := range n.alter(alter) {
		each.restart()
	}
}

func (n *Network) alter(alter func()) []*pipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	alter()
	close(n.changed)
	n.changed = make(chan struct{})
	released := make([]*pipe, 0, len(n.stalled))
	for each := range n.stalled {
		released = append(released, each)
	}
	clear(n.stalled)
	return released
}

// isCut is called with mu held.
func (n *Network) isCut(from, to *host) bool {
	for _, rule := range n.rules {
		if rule.Cut && rule.applies(from, to) {
			return true
		}
	}
	return false
}

// transitDelay draws the one-way delay of what is sent now.
func (n *Network) transitDelay(from, to *host) time.Duration {
	n.mu.RLock()
	delay, jitter := n.delay(from.place, to.place)
	for _, rule := range n.rules {
		if rule.ExtraDelay > 0 && rule.applies(from, to) {
			delay += rule.ExtraDelay
		}
	}
	n.mu.RUnlock()
	if jitter > 0 {
		delay += time.Duration(from.chance() * float64(jitter))
	}
	return delay
}

func (n *Network) isPaused(h *host) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return h.paused
}

// stall reports whether a fault holds the pipe's next segment up, and if so restarts the pipe at the next change. A held
// segment is one that its paused sender has not let go yet.
func (n *Network) stall(p *pipe, held bool) bool {
	n.mu.RLock()
	blocked := n.isBlocked(p, held)
	n.mu.RUnlock()
	if !blocked {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isBlocked(p, held) {
		return false
	}
	n.stalled[p] = struct{}{}
	return true
}

func (n *Network) isBlocked(p *pipe, held bool) bool {
	return p.to.paused || held && p.from.paused || n.isCut(p.from, p.to)
}
