package membership

import (
	"net/netip"
	"time"
)

// receive handles a datagram.
func (p *protocol) receive(now time.Time, from netip.AddrPort, datagram []byte) {
	p.detectPause(now)
	p.budget.refill(now)
	p.config.Observer.received(len(datagram))
	received, err := decode(p.config.Cluster, datagram)
	if err != nil {
		p.config.Observer.dropped(DropMalformed)
		return
	}
	head := &received.header
	if head.From == p.config.Self.Node && head.Incarnation == p.selfEntry().record.Incarnation {
		return
	}
	isolated := p.currentPeers().count() == 0
	p.mergeRecords(now, received)
	p.mergeSender(now, from, head)
	switch head.Kind {
	case packetPing:
		p.receivePing(now, from, head)
	case packetAck:
		p.receiveAck(now, head)
	case packetPingRequest:
		p.receivePingRequest(now, from, head)
	case packetSyncRequest:
		p.receiveSyncRequest(now, from, head)
	case packetSyncReply:
		p.receiveSyncReply(now, head)
	case packetGossip, packetUrgent, packetIntroduction, packetSyncPush:
	}
	if isolated && p.currentPeers().count() > 0 {
		p.sync = syncState{nextAt: now}
		p.checkSync(now)
	}
}

func (p *protocol) mergeRecords(now time.Time, received *packet) {
	for _, record := range received.members {
		if received.header.Kind == packetSyncReply && p.isNewMember(record) {
			p.insertWithoutGossip(now, record)
			continue
		}
		p.mergeMember(now, record)
	}
	for _, record := range received.states {
		p.mergeState(now, record)
	}
	for _, record := range received.facts {
		fact := Fact{Key: record.Key, Version: record.Version, Value: record.Value}
		p.mergeFact(now, fact, time.Duration(record.AgeSeconds)*time.Second)
	}
}

// isNewMember reports whether a record is of a member that is not known yet and not dead.
func (p *protocol) isNewMember(record memberRecord) bool {
	return p.members[record.Node] == nil && record.Condition != conditionDead
}

// mergeSender records from the header that the sender is alive, and exchanges introductions with a sender that is not
// known.
func (p *protocol) mergeSender(now time.Time, from netip.AddrPort, head *header) {
	entry := p.members[head.From]
	unknown := entry == nil || entry.record.Incarnation < head.Incarnation
	if !unknown {
		p.mergeState(now, stateRecord{
			Node:        head.From,
			Incarnation: head.Incarnation,
			Refutation:  head.Refutation,
			Condition:   conditionAlive,
			Leaving:     entry.record.Leaving,
		})
	}
	// A ping gets no separate introduction: its ack requests the record of an unknown sender, and a newer incarnation
	// of a known sender is learned with a later datagram.
	willAck := head.Kind == packetPing
	if (unknown && !willAck) || (head.Introduce && !willAck) {
		p.introduce(now, from, unknown)
	}
}

// introduce sends this node's own record, and requests the receiver's if requestRecord is set.
func (p *protocol) introduce(now time.Time, to netip.AddrPort, requestRecord bool) {
	if !p.budget.allowsResponse() {
		return
	}
	p.send(now, to, &header{Kind: packetIntroduction, Introduce: requestRecord}, p.encodeMember(p.config.Self.Node, true))
}
