package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// remoteProbeEvery is how often a probe goes to another zone: one of so many.
	remoteProbeEvery = 4
	// relayLifetime is how many probe intervals a probe on behalf of another is remembered.
	relayLifetime = 2
	// seedsAtOnce is how many seeds are tried at a time while nobody is known.
	seedsAtOnce = 3
	// maxLoneDoublings bounds the growth of the pause between attempts to find anybody.
	maxLoneDoublings = 3
	// referralCount is how many others a newcomer is told of with the first answer.
	referralCount = 4
)

// probe is a ping that waits for its ack.
type probe struct {
	target      string
	incarnation uint64
	refutation  uint32
	// indirectAt is when others are asked; zero once they have been.
	indirectAt time.Time
	failsAt    time.Time
}

// relay is a ping on behalf of another member.
type relay struct {
	target    string
	requester netip.AddrPort
	sequence  uint32
	endsAt    time.Time
}

func (p *protocol) nextSequence() uint32 {
	p.sequence++
	return p.sequence
}

// startProbe pings the next member in turn.
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

// nextTarget chooses mostly members of this node's zone, so that traffic between zones stays constant and small.
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

// isPeer tells whether node is known, not dead, and not this one.
func (p *protocol) isPeer(node string) bool {
	held := p.members[node]
	return held != nil && held.record.Condition != conditionDead && node != p.config.Self.Node
}

// checkProbes asks others where an ack is late, and suspects members that nobody reached.
func (p *protocol) checkProbes(now time.Time) {
	for _, sequence := range slices.Sorted(maps.Keys(p.probes)) {
		waiting := p.probes[sequence]
		if !now.Before(waiting.failsAt) {
			delete(p.probes, sequence)
			p.suspect(now, waiting)
			continue
		}
		if !waiting.indirectAt.IsZero() && !now.Before(waiting.indirectAt) {
			waiting.indirectAt = time.Time{}
			p.probeIndirectly(now, sequence, waiting.target)
		}
	}
	for sequence, helping := range p.relays {
		if !now.Before(helping.endsAt) {
			delete(p.relays, sequence)
		}
	}
}

// probeIndirectly asks others to ping target, one of them wherever it may be, since the way out of this zone may be the
// one that is cut.
func (p *protocol) probeIndirectly(now time.Time, sequence uint32, target string) {
	held := p.members[target]
	if held == nil {
		return
	}
	for _, helper := range p.pickHelpers(target) {
		p.sendTo(now, helper, &header{
			Kind:          packetPingRequest,
			Sequence:      sequence,
			Target:        target,
			TargetAddress: held.record.GossipAddress,
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

// suspect puts a member under suspicion, unless it has said something newer since the probe.
func (p *protocol) suspect(now time.Time, failed *probe) {
	held := p.members[failed.target]
	if held == nil || held.record.Condition == conditionDead {
		return
	}
	if held.record.Incarnation != failed.incarnation || held.record.Refutation != failed.refutation {
		return
	}
	found := held.record.short()
	found.Condition = conditionSuspect
	found.Suspecter = p.config.Self.Node
	p.mergeState(now, found)
}

// receivePing answers a ping. One that was meant for another node at this address is answered too: the ack names who is
// here now.
func (p *protocol) receivePing(now time.Time, from netip.AddrPort, ping *header) {
	if !p.budget.allowsAnswer() {
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
	p.answer(now, from, ping.From, &header{
		Kind:     packetAck,
		Sequence: ping.Sequence,
		Target:   p.config.Self.Node,
	}, records...)
}

// referrals returns the records of some random peers, so that many who join by the same few seeds at once do not depend
// on these for all they have to learn.
func (p *protocol) referrals(newcomer string) [][]byte {
	var records [][]byte
	exclude := []string{newcomer}
	for range referralCount {
		node, found := p.pickAnywhere(exclude)
		if !found {
			break
		}
		exclude = append(exclude, node)
		records = append(records, p.encodeMember(node, true))
	}
	return records
}

// answer sends to the address that a datagram came from, which may differ from the one that its sender is known by.
func (p *protocol) answer(now time.Time, to netip.AddrPort, node string, head *header, records ...[]byte) {
	held := p.members[node]
	head.Introduce = held == nil
	if held != nil && held.record.Condition != conditionAlive {
		records = append(records, p.encodeMember(node, false))
	}
	p.send(now, to, head, records...)
}

// receivePingRequest pings a member on behalf of another.
func (p *protocol) receivePingRequest(now time.Time, from netip.AddrPort, request *header) {
	address, err := decodeAddress(request.TargetAddress)
	if err != nil || !p.budget.allowsAnswer() {
		p.config.Observer.dropped(DropOverBudget)
		return
	}
	sequence := p.nextSequence()
	p.relays[sequence] = &relay{
		target:    request.Target,
		requester: from,
		sequence:  request.Sequence,
		endsAt:    now.Add(relayLifetime * p.config.Timing.ProbeInterval),
	}
	p.send(now, address, &header{Kind: packetPing, Sequence: sequence, Target: request.Target})
}

// receiveAck settles a probe, or passes the ack on to the member that asked for it.
func (p *protocol) receiveAck(now time.Time, ack *header) {
	if helping := p.relays[ack.Sequence]; helping != nil {
		delete(p.relays, ack.Sequence)
		if helping.target == ack.Target {
			p.send(now, helping.requester, &header{Kind: packetAck, Sequence: helping.sequence, Target: ack.Target})
		}
		return
	}
	waiting := p.probes[ack.Sequence]
	if waiting == nil {
		return
	}
	if waiting.target == ack.Target {
		delete(p.probes, ack.Sequence)
		return
	}
	if ack.From == ack.Target {
		delete(p.probes, ack.Sequence)
		p.replaced(now, waiting)
	}
}

// replaced declares a member dead whose address is now another node's.
func (p *protocol) replaced(now time.Time, waiting *probe) {
	held := p.members[waiting.target]
	if held == nil || held.record.Incarnation != waiting.incarnation {
		return
	}
	declared := held.record.short()
	declared.Condition = conditionDead
	p.mergeState(now, declared)
}

// reconnect tries a dead member and a seed that no member is known at, so that parts of the cluster that were cut off
// from each other meet again. While nobody is known it tries more, and more often.
func (p *protocol) reconnect(now time.Time) {
	if now.Before(p.nextReconnect) {
		return
	}
	alone := p.currentPeers().count() == 0
	interval, tries := p.config.Timing.ReconnectInterval, 1
	if alone {
		interval, tries = p.config.Timing.ProbeInterval<<p.loneAttempts, seedsAtOnce
		p.loneAttempts = min(p.loneAttempts+1, maxLoneDoublings)
	} else {
		p.loneAttempts = 0
	}
	p.nextReconnect = now.Add(interval/2 + p.randomDuration(interval))
	inUse := p.addressesInUse()
	for range tries {
		p.pingDead(now, inUse)
		p.pingSeed(now, inUse)
	}
}

// addressesInUse returns the addresses of this node and of the members that are not dead.
func (p *protocol) addressesInUse() map[netip.AddrPort]bool {
	inUse := make(map[netip.AddrPort]bool, len(p.members))
	for _, held := range p.members {
		address, err := decodeAddress(held.record.GossipAddress)
		if err == nil && held.record.Condition != conditionDead {
			inUse[address] = true
		}
	}
	return inUse
}

// pingDead tells a random dead member that it is held dead.
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

// pingSeed tries a random seed that no member is known at.
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
