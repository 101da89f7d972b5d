package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// remoteProbeEvery is the number of probes of which one goes to another zone.
	remoteProbeEvery = 4
	// relayLifetimeProbes is how long a ping on behalf of another member is kept, in probe intervals.
	relayLifetimeProbes = 2
	// seedsPerAttempt is the number of seeds and dead members pinged per attempt while no peer is known.
	seedsPerAttempt = 3
	// maxIsolatedDoublings limits how often the interval between attempts is doubled while no peer is known.
	maxIsolatedDoublings = 3
	// referralCount is the number of other members that a new member is informed of with its first ack.
	referralCount = 4
)

// probe is a ping that waits for its ack.
type probe struct {
	target      string
	incarnation uint64
	refutation  uint32
	// indirectAt is when other members are requested to probe; zero once they have been.
	indirectAt time.Time
	failsAt    time.Time
}

// relay is a ping on behalf of another member.
type relay struct {
	target          string
	requester       netip.AddrPort
	requestSequence uint32
	expiresAt       time.Time
}

func (p *protocol) nextSequence() uint32 {
	p.sequence++
	return p.sequence
}

// startProbe pings the next member of the probe order.
func (p *protocol) startProbe(now time.Time) {
	target, found := p.nextTarget()
	if !found {
		return
	}
	record := &p.members[target].record
	sequence := p.nextSequence()
	p.probes[sequence] = &probe{
		target:      target,
		incarnation: record.Incarnation,
		refutation:  record.Refutation,
		indirectAt:  now.Add(p.config.Timing.ProbeTimeout),
		failsAt:     now.Add(p.config.Timing.ProbeInterval),
	}
	p.sendTo(now, target, &header{Kind: packetPing, Sequence: sequence, Target: target})
}

// nextTarget mostly selects members of this node's zone, so that the traffic between zones stays constant and small.
func (p *protocol) nextTarget() (string, bool) {
	p.probeCount++
	current := p.currentPeers()
	first, second := p.nextLocal, p.nextRemote
	if p.probeCount%remoteProbeEvery == 0 || len(current.local) == 0 {
		first, second = second, first
	}
	if node, found := first(current); found {
		return node, true
	}
	return second(current)
}

func (p *protocol) nextLocal(current *peers) (string, bool) {
	return p.localOrder.next(current.local, p.shuffle, p.isPeer)
}

func (p *protocol) nextRemote(current *peers) (string, bool) {
	return p.remoteOrder.next(current.remote, p.shuffle, p.isPeer)
}

func (p *protocol) shuffle(nodes []string) {
	p.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}

// isPeer reports whether node is a known member that is neither dead nor this node.
func (p *protocol) isPeer(node string) bool {
	entry := p.members[node]
	return entry != nil && entry.record.Condition != conditionDead && node != p.config.Self.Node
}

// checkProbes requests indirect probes for late acks, and suspects members whose probes have failed.
func (p *protocol) checkProbes(now time.Time) {
	for _, sequence := range slices.Sorted(maps.Keys(p.probes)) {
		pending := p.probes[sequence]
		if !now.Before(pending.failsAt) {
			delete(p.probes, sequence)
			p.suspect(now, pending)
			continue
		}
		if !pending.indirectAt.IsZero() && !now.Before(pending.indirectAt) {
			pending.indirectAt = time.Time{}
			p.probeIndirectly(now, sequence, pending.target)
		}
	}
	for sequence, relayed := range p.relays {
		if !now.Before(relayed.expiresAt) {
			delete(p.relays, sequence)
		}
	}
}

// probeIndirectly requests other members to ping target. One of them is in another zone if possible, since the
// network link out of this zone may be the one that is down.
func (p *protocol) probeIndirectly(now time.Time, sequence uint32, target string) {
	entry := p.members[target]
	if entry == nil {
		return
	}
	for _, helper := range p.pickHelpers(target) {
		p.sendTo(now, helper, &header{
			Kind:          packetPingRequest,
			Sequence:      sequence,
			Target:        target,
			TargetAddress: entry.record.GossipAddress,
		})
	}
}

func (p *protocol) pickHelpers(target string) []string {
	count := p.config.Timing.IndirectProbes
	remote, found := p.pickFrom(p.currentPeers().remote, []string{target})
	if !found {
		return p.pickPeers(count, target)
	}
	helpers := []string{remote}
	for len(helpers) < count {
		local, found := p.pickFrom(p.currentPeers().local, append([]string{target}, helpers...))
		if !found {
			break
		}
		helpers = append(helpers, local)
	}
	return helpers
}

// suspect marks the target of a failed probe as suspect, unless the target's incarnation or refutation is newer than
// the probe.
func (p *protocol) suspect(now time.Time, failed *probe) {
	entry := p.members[failed.target]
	if entry == nil || entry.record.Condition == conditionDead {
		return
	}
	if entry.record.Incarnation != failed.incarnation || entry.record.Refutation != failed.refutation {
		return
	}
	suspected := entry.record.stateRecord()
	suspected.Condition = conditionSuspect
	suspected.Suspecter = p.config.Self.Node
	p.mergeState(now, suspected)
}

// receivePing answers a ping. A ping that was meant for another node at this address is answered too: the ack
// contains the name of the node that is at the address now.
func (p *protocol) receivePing(now time.Time, from netip.AddrPort, ping *header) {
	if !p.budget.allowsResponse() {
		p.config.Observer.dropped(DropOverBudget)
		return
	}
	var records [][]byte
	if ping.Target != p.config.Self.Node {
		records = append(records, p.encodeMember(p.config.Self.Node, true))
	}
	if ping.Target == "" {
		records = append(records, p.referrals(ping.From)...)
	}
	p.respond(now, from, ping.From, &header{
		Kind:     packetAck,
		Sequence: ping.Sequence,
		Target:   p.config.Self.Node,
	}, records...)
}

// referrals returns the records of some random peers, so that many nodes that join through the same few seeds at once
// do not depend on these seeds alone to learn the members.
func (p *protocol) referrals(newcomer string) [][]byte {
	var records [][]byte
	exclude := []string{newcomer}
	for range referralCount {
		node, found := p.pickAnyZone(exclude)
		if !found {
			break
		}
		exclude = append(exclude, node)
		records = append(records, p.encodeMember(node, true))
	}
	return records
}

// respond sends to the address that a datagram came from, which may differ from its sender's known address.
func (p *protocol) respond(now time.Time, to netip.AddrPort, node string, head *header, records ...[]byte) {
	entry := p.members[node]
	head.Introduce = entry == nil
	if entry != nil && entry.record.Condition != conditionAlive {
		records = append(records, p.encodeMember(node, false))
	}
	p.send(now, to, head, records...)
}

// receivePingRequest pings a member on behalf of another.
func (p *protocol) receivePingRequest(now time.Time, from netip.AddrPort, request *header) {
	address, err := decodeAddress(request.TargetAddress)
	if err != nil || !p.budget.allowsResponse() {
		p.config.Observer.dropped(DropOverBudget)
		return
	}
	sequence := p.nextSequence()
	p.relays[sequence] = &relay{
		target:          request.Target,
		requester:       from,
		requestSequence: request.Sequence,
		expiresAt:       now.Add(relayLifetimeProbes * p.config.Timing.ProbeInterval),
	}
	p.send(now, address, &header{Kind: packetPing, Sequence: sequence, Target: request.Target})
}

// receiveAck completes a probe, or forwards the ack to the member that requested the ping.
func (p *protocol) receiveAck(now time.Time, ack *header) {
	if relayed := p.relays[ack.Sequence]; relayed != nil {
		delete(p.relays, ack.Sequence)
		if relayed.target == ack.Target {
			p.send(now, relayed.requester, &header{Kind: packetAck, Sequence: relayed.requestSequence, Target: ack.Target})
		}
		return
	}
	pending := p.probes[ack.Sequence]
	if pending == nil {
		return
	}
	if pending.target == ack.Target {
		delete(p.probes, ack.Sequence)
		return
	}
	if ack.From == ack.Target {
		delete(p.probes, ack.Sequence)
		p.declareReplaced(now, pending)
	}
}

// declareReplaced declares a member dead whose address is now used by another node.
func (p *protocol) declareReplaced(now time.Time, failed *probe) {
	entry := p.members[failed.target]
	if entry == nil || entry.record.Incarnation != failed.incarnation {
		return
	}
	declared := entry.record.stateRecord()
	declared.Condition = conditionDead
	p.mergeState(now, declared)
}

// reconnect pings a dead member and a seed at which no member is known, so that parts of the cluster that were
// partitioned from each other reconnect. While no peer is known it pings more of them, at shorter intervals.
func (p *protocol) reconnect(now time.Time) {
	if now.Before(p.nextReconnect) {
		return
	}
	isolated := p.currentPeers().count() == 0
	interval, attempts := p.config.Timing.ReconnectInterval, 1
	if isolated {
		interval, attempts = p.config.Timing.ProbeInterval<<p.isolatedAttempts, seedsPerAttempt
		p.isolatedAttempts = min(p.isolatedAttempts+1, maxIsolatedDoublings)
	} else {
		p.isolatedAttempts = 0
	}
	p.nextReconnect = now.Add(interval/2 + p.randomDuration(interval))
	inUse := p.addressesInUse()
	for range attempts {
		p.pingDead(now, inUse)
		p.pingSeed(now, inUse)
	}
}

// addressesInUse returns the addresses of this node and of the members that are not dead.
func (p *protocol) addressesInUse() map[netip.AddrPort]bool {
	inUse := make(map[netip.AddrPort]bool, len(p.members))
	for _, entry := range p.members {
		address, err := decodeAddress(entry.record.GossipAddress)
		if err == nil && entry.record.Condition != conditionDead {
			inUse[address] = true
		}
	}
	return inUse
}

// pingDead pings a random dead member and informs it that it is considered dead.
func (p *protocol) pingDead(now time.Time, inUse map[netip.AddrPort]bool) {
	var dead []string
	for _, key := range p.keys.between(memberKeyPrefix, "") {
		record := &p.members[key[len(memberKeyPrefix):]].record
		address, err := decodeAddress(record.GossipAddress)
		if err == nil && record.Condition == conditionDead && !inUse[address] {
			dead = append(dead, record.Node)
		}
	}
	if len(dead) == 0 {
		return
	}
	target := dead[p.random.IntN(len(dead))]
	p.sendTo(now, target, &header{Kind: packetPing, Sequence: p.nextSequence(), Target: target})
}

// pingSeed pings a random seed at which no member is known.
func (p *protocol) pingSeed(now time.Time, inUse map[netip.AddrPort]bool) {
	var unknown []netip.AddrPort
	for _, seed := range p.seeds {
		if !inUse[seed] {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) == 0 {
		return
	}
	seed := unknown[p.random.IntN(len(unknown))]
	introduction := p.encodeMember(p.config.Self.Node, true)
	p.send(now, seed, &header{Kind: packetPing, Sequence: p.nextSequence()}, introduction)
}
