package membership

import (
	"net/netip"
	"strings"
	"time"
)

// gossip sends queued updates to a few members while there are any and the budget allows it.
func (p *protocol) gossip(now time.Time) {
	if p.queue.empty() {
		return
	}
	for _, node := range p.pickPeers(p.config.Timing.FanOut) {
		if p.queue.empty() || !p.budget.allowsGossip() {
			return
		}
		p.sendTo(now, node, &header{Kind: packetGossip})
	}
}

// gossipUrgent sends urgent updates to a few members, and schedules the next send while there are any left.
func (p *protocol) gossipUrgent(now time.Time) {
	p.urgentAt = time.Time{}
	for _, node := range p.pickUrgentPeers() {
		if p.urgentQueue.empty() || !p.budget.allowsOptional() {
			break
		}
		p.sendTo(now, node, &header{Kind: packetUrgent})
	}
	if !p.urgentQueue.empty() {
		p.urgentAt = now.Add(urgentDelay)
	}
}

// sendTo sends a datagram to a known member: the records given, the member's own state if it is not alive, and queued
// updates.
func (p *protocol) sendTo(now time.Time, node string, head *header, records ...[]byte) {
	entry := p.members[node]
	address, err := decodeAddress(entry.record.GossipAddress)
	if err != nil {
		return
	}
	if entry.record.Condition != conditionAlive {
		// Includes the state of a suspected member in the datagram so that the member can refute it.
		records = append(records, p.encodeMember(node, false))
	}
	p.send(now, address, head, records...)
}

// send builds a datagram: the header, the given records as far as they fit, and queued updates as far as the budget
// allows.
func (p *protocol) send(now time.Time, address netip.AddrPort, head *header, records ...[]byte) {
	self := &p.selfEntry().record
	head.From = self.Node
	head.Incarnation = self.Incarnation
	head.Refutation = self.Refutation
	datagram := newEncoder(head)
	for _, record := range records {
		datagram.add(record)
	}
	bytesWithoutUpdates := len(datagram.buffer)
	encode := func(key string, full bool) []byte { return p.encodeKey(now, key, full) }
	switch {
	case head.Kind == packetUrgent:
		p.urgentQueue.fill(urgentTransmitLimit, encode, datagram.add)
	case p.budget.allowsPiggyback():
		p.queue.fill(p.retransmitLimit(), encode, datagram.add)
	}
	payload := datagram.finish(p.config.Cluster)
	p.budget.spend(head.Kind, len(payload)+overheadBytes, len(payload)-bytesWithoutUpdates)
	p.outbox = append(p.outbox, outgoing{address: address, payload: payload})
}

// encodeKey returns the record of a member or fact, or nil if it no longer exists.
func (p *protocol) encodeKey(now time.Time, key string, full bool) []byte {
	if node, isMember := strings.CutPrefix(key, memberKeyPrefix); isMember {
		return p.encodeMember(node, full)
	}
	entry := p.facts[strings.TrimPrefix(key, factKeyPrefix)]
	if entry == nil {
		return nil
	}
	return encodeRecord(recordFact, entry.record(now))
}

func (p *protocol) encodeMember(node string, full bool) []byte {
	entry := p.members[node]
	if entry == nil {
		return nil
	}
	if full {
		return encodeRecord(recordMember, &entry.record)
	}
	state := entry.record.stateRecord()
	if state.Condition == conditionSuspect && len(entry.suspicion.suspecters) > 0 {
		// Any of the known suspecters will do; other members send the others.
		state.Suspecter = entry.suspicion.suspecters[p.random.IntN(len(entry.suspicion.suspecters))]
	}
	return encodeRecord(recordState, &state)
}
