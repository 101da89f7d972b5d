package simnet

import (
	"slices"
	"syscall"
	"time"

	"github.com/hillfork/hillfork/internal/network"
)

// Selector reports whether it matches a place.
type Selector func(Place) bool

// ByIP matches hosts by IP address.
func ByIP(ips ...string) Selector {
	return func(p Place) bool { return slices.Contains(ips, p.IP) }
}

// ByZone matches all places in the given zones.
func ByZone(zones ...string) Selector {
	return func(p Place) bool { return slices.Contains(zones, p.Zone) }
}

// ByRegion matches all places in the given regions.
func ByRegion(regions ...string) Selector {
	return func(p Place) bool { return slices.Contains(regions, p.Region) }
}

// Everywhere matches all places.
func Everywhere(Place) bool { return true }

// Not matches the places that selector does not match.
func Not(selector Selector) Selector {
	return func(p Place) bool { return !selector(p) }
}

// Rule is a fault in one direction. It does not apply to traffic from a host to itself.
type Rule struct {
	From Selector
	To   Selector
	// Cut drops all datagrams, and blocks streams and dials until the rule is removed.
	Cut bool
	// DatagramLoss is the probability that a datagram is lost.
	DatagramLoss float64
	// ExtraDelay is added to the delay of each transmission sent while the rule is active.
	ExtraDelay time.Duration
}

func (r *Rule) applies(from, to *host) bool {
	return from != to && r.From(from.place) && r.To(to.place)
}

// Apply activates rules and returns a function that removes them.
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

// Partition blocks traffic between a and b in both directions until heal is called.
func (n *Network) Partition(a, b Selector) (heal func()) {
	return n.Apply(Rule{From: a, To: b, Cut: true}, Rule{From: b, To: a, Cut: true})
}

// Isolate partitions the chosen places from all others until heal is called.
func (n *Network) Isolate(chosen Selector) (heal func()) {
	return n.Partition(chosen, Not(chosen))
}

// RemoveRules removes all rules. Crashed hosts stay crashed, and paused hosts stay paused.
func (n *Network) RemoveRules() {
	n.change(func() { n.rules = nil })
}

// Pause suspends a host's traffic until Resume: its writes are not transmitted, and its process receives nothing.
func (n *Network) Pause(ip string) { n.setPaused(ip, true) }

// Resume releases all traffic held since Pause.
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

// wakeReaders wakes blocked calls so that they check the host's state again.
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

// Crash ends the host's process: its sockets fail, its peers see a reset as soon as a reset can be delivered to them, and
// later dials to it are refused. The process's view of the network fails permanently; Restart returns a new one.
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
	// The pause is cleared last, so that data held back by a paused process is never transmitted.
	n.change(func() { crashed.paused = false })
}

// markDown prevents the process from opening sockets and returns its listeners.
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

// Restart starts a new process on a host created by Host, and returns its view of the network. A running host is crashed
// first.
func (n *Network) Restart(ip string) network.Network {
	n.Crash(ip)
	n.mu.Lock()
	defer n.mu.Unlock()
	restarted := n.hosts[ip]
	restarted.process = &process{host: restarted}
	return restarted.process
}

// change modifies the faults and retries delivery on all stalled streams and dials.
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

// isCut reports whether a rule cuts traffic between the hosts; mu is held.
func (n *Network) isCut(from, to *host) bool {
	for _, rule := range n.rules {
		if rule.Cut && rule.applies(from, to) {
			return true
		}
	}
	return false
}

// transitDelay returns the one-way delay, jitter included, of a transmission sent now.
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
		delay += time.Duration(from.randomFloat() * float64(jitter))
	}
	return delay
}

func (n *Network) isPaused(h *host) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return h.paused
}

// stall reports whether a fault blocks the pipe's next segment, and if so registers the pipe for a restart at the next
// change of faults. A held segment was written while its sender was paused and is not transmitted yet.
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
