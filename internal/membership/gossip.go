package membership

import (
	"net/netip"
	"strings"
	"time"
)

// gossip sends news to a few members as long as there is any and the budget allows.
func (p *protocol) gossip(now time.Time) {
	if p.queue.empty() {
		return
	}
	for _, node := range p.pickPeers(p.config.Timing.FanOut) {
		if p.queue.empty() || !p.budget.allowsNews() {
			return
		}
		p.sendTo(now, node, &header{Kind: packetGossip})
	}
}

// gossipUrgently sends urgent news to a few members, and again soon as long as there is any.
func (p *protocol) gossipUrgently(now time.Time) {
	p.urgentAt = time.Time{}
	for _, node := range p.pickUrgentPeers() {
		if p.urgent.empty() || !p.budget.allowsOptional() {
			break
		}
		p.sendTo(now, node, &header{Kind: packetUrgent})
	}
	if !p.urgent.empty() {
		p.urgentAt = now.Add(urgentDelay)
	}
}

// sendTo sends a datagram to a known member, with what it ought to hear first and then with news.
func (p *protocol) sendTo(now time.Time, node string, head *header, records ...[]byte) {
	held := p.members[node]
	address, err := decodeAddress(held.record.GossipAddress)
	if err != nil {
		return
	}
	if held.record.Condition != conditionAlive {
		// A member under suspicion is told, so that it can refute.
		records = append(records, p.encodeMember(node, false))
	}
	p.send(now, address, head, records...)
}

// send composes a datagram: the header, the records given as far as they fit, and news as far as the budget allows.
func (p *protocol) send(now time.Time, address netip.AddrPort, head *header, records ...[]byte) {
	self := &p.selfEntry().record
	head.From = self.Node
	head.Incarnation = self.Incarnation
	head.Refutation = self.Refutation
	datagram := newEncoder(head)
	for _, record := range records {
		datagram.add(record)
	}
	bare := len(datagram.buffer)
	encode := func(key string, full bool) []byte { return p.encodeKey(now, key, full) }
	switch {
	case head.Kind == packetUrgent:
		p.urgent.fill(urgentLimit, encode, datagram.add)
	case p.budget.allowsPiggyback():
		p.queue.fill(p.retransmitLimit(), encode, datagram.add)
	}
	payload := datagram.finish(p.config.Cluster)
	p.budget.spend(head.Kind, len(payload)+overheadBytes, len(payload)-bare)
	p.outbox = append(p.outbox, outgoing{address: address, payload: payload})
}

// encodeKey returns the record of a member or fact; nil where there is none any more.
func (p *protocol) encodeKey(now time.Time, key string, full bool) []byte {
	if node, isMember := strings.CutPrefix(key, memberKeyPrefix); isMember {
		return p.encodeMember(node, full)
	}
	held := p.facts[strings.TrimPrefix(key, factKeyPrefix)]
	if held == nil {
		return nil
	}
	return encodeRecord(recordFact, held.record(now))
}

func (p *protocol) encodeMember(node string, full bool) []byte {
	held := p.members[node]
	if held == nil {
		return nil
	}
	if full {
		return encodeRecord(recordMember, &held.record)
	}
	short := held.record.short()
	if short.Condition == conditionSuspect && len(held.suspicion.suspecters) > 0 {
		// Whichever of those known; the others have been or will be sent by others.
		short.Suspecter = held.suspicion.suspecters[p.random.IntN(len(held.suspicion.suspecters))]
	}
	return encodeRecord(recordState, &short)
}
