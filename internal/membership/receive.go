package membership

import (
	"net/netip"
	"time"
)

// receive takes in a datagram.
func (p *protocol) receive(now time.Time, from netip.AddrPort, datagram []byte) {
	p.noticePause(now)
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
	alone := p.currentPeers().count() == 0
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
	if alone && p.currentPeers().count() > 0 {
		p.sync = syncState{nextAt: now}
		p.checkSync(now)
	}
}

func (p *protocol) mergeRecords(now time.Time, received *packet) {
	for _, record := range received.members {
		if received.header.Kind == packetSyncReply && p.newcomer(record) {
			p.insertQuietly(now, record)
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

// newcomer tells whether a record is of a living member that is not known yet.
func (p *protocol) newcomer(record memberRecord) bool {
	return p.members[record.Node] == nil && record.Condition != conditionDead
}

// mergeSender learns from the header that its sender is alive, and gets acquainted with one that is not known.
func (p *protocol) mergeSender(now time.Time, from netip.AddrPort, head *header) {
	held := p.members[head.From]
	unknown := held == nil || held.record.Incarnation < head.Incarnation
	if !unknown {
		p.mergeState(now, stateRecord{
			Node:        head.From,
			Incarnation: head.Incarnation,
			Refutation:  head.Refutation,
			Condition:   conditionAlive,
			Leaving:     held.record.Leaving,
		})
	}
	// Acks are not followed by an introduction of their own: the next ping to or from the sender brings it about.
	answersAnyway := head.Kind == packetPing
	if (unknown && !answersAnyway) || (head.Introduce && !answersAnyway) {
		p.introduce(now, from, unknown)
	}
}

// introduce sends this node's own record, and asks for the other's where that is needed.
func (p *protocol) introduce(now time.Time, to netip.AddrPort, ask bool) {
	if !p.budget.allowsAnswer() {
		return
	}
	p.send(now, to, &header{Kind: packetIntroduction, Introduce: ask}, p.encodeMember(p.config.Self.Node, true))
}
