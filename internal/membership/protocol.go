package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// ticksPerProbe is the number of ticks per probe interval; each tick checks deadlines and gossips updates.
	ticksPerProbe = 5
	// urgentDelay is how long urgent updates wait so that several can share a datagram.
	urgentDelay = 20 * time.Millisecond
	// urgentTransmitLimit is how many times a node sends an urgent update outside the regular gossip. Sending it 4
	// times reaches all but a few percent of the nodes; these receive it with the regular updates, in which it is
	// included as well.
	urgentTransmitLimit = 4
	// retransmitMultiplier times the decimal logarithm of the cluster size is how many times a node sends each
	// update.
	retransmitMultiplier = 3
)

// outgoing is a datagram to be sent.
type outgoing struct {
	address netip.AddrPort
	payload []byte
}

// protocol is the state machine of one member. It does no I/O and reads no clock: events come in through receive,
// tick and the setters with the time at which they happen, and datagrams to be sent are collected in outbox. It is
// not safe for concurrent use.
type protocol struct {
	config Config
	random *rand.Rand

	members map[string]*memberEntry
	facts   map[string]*factEntry
	keys    keyIndex
	// queue holds all updates; urgentQueue holds those of them that are sent without waiting for the next tick.
	queue       *broadcast
	urgentQueue *broadcast
	budget      budget
	outbox      []outgoing

	peers      peers
	peersValid bool

	sequence    uint32
	probes      map[uint32]*probe
	relays      map[uint32]*relay
	localOrder  probeOrder
	remoteOrder probeOrder
	probeCount  uint64
	// isolatedAttempts counts the attempts to find a peer while none is known, up to maxIsolatedDoublings.
	isolatedAttempts int
	sync             syncState

	// seeds are the addresses to try when no peer is known, and to find parts of the cluster that were partitioned
	// off.
	seeds []netip.AddrPort

	lastEvent     time.Time
	nextTick      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	// urgentAt is when urgent updates are to be sent; zero if there are none.
	urgentAt time.Time

	// membersChanged and factsChanged are set by changes that are visible to callers, and cleared by the owner of the
	// protocol.
	membersChanged bool
	factsChanged   bool
	// superseded is set when a later process of the same node is alive at another address.
	superseded bool
}

// newProtocol returns the state of a process that only knows itself. config must come from withDefaults.
func newProtocol(config Config, now time.Time) *protocol {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p := &protocol{
		config:      config,
		random:      rand.New(rand.NewPCG(seed, seed)),
		members:     make(map[string]*memberEntry),
		facts:       make(map[string]*factEntry),
		queue:       newBroadcast(),
		urgentQueue: newBroadcast(),
		budget:      newBudget(config.Timing.BytesPerSecond, config.Timing.BurstBytes, now),
		probes:      make(map[uint32]*probe),
		relays:      make(map[uint32]*relay),
	}
	self := memberRecord{
		Node:          config.Self.Node,
		Incarnation:   config.Self.Incarnation,
		Condition:     conditionAlive,
		GossipAddress: encodeAddress(config.Self.GossipAddress),
		PeerAddress:   encodeAddress(config.Self.PeerAddress),
		Zone:          config.Self.Zone,
		Region:        config.Self.Region,
	}
	p.insert(now, self)
	p.lastEvent = now
	// The first tick is at a random time, so that nodes started together do not send at the same time.
	p.nextTick = now.Add(p.randomDuration(p.tickInterval()))
	p.nextProbe = now.Add(p.randomDuration(config.Timing.ProbeInterval))
	p.nextReconnect = now
	p.sync.nextAt = now.Add(p.randomDuration(config.Timing.SyncInterval))
	return p
}

func (p *protocol) tickInterval() time.Duration { return p.config.Timing.ProbeInterval / ticksPerProbe }

func (p *protocol) randomDuration(below time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(below)))
}

func (p *protocol) selfEntry() *memberEntry { return p.members[p.config.Self.Node] }

// nextWake returns the latest time at which tick must be called.
func (p *protocol) nextWake() time.Time {
	if !p.urgentAt.IsZero() && p.urgentAt.Before(p.nextTick) {
		return p.urgentAt
	}
	return p.nextTick
}

// tick runs everything whose time has come.
func (p *protocol) tick(now time.Time) {
	p.detectPause(now)
	p.budget.refill(now)
	if !p.urgentAt.IsZero() && !now.Before(p.urgentAt) {
		p.gossipUrgent(now)
	}
	if now.Before(p.nextTick) {
		return
	}
	p.nextTick = now.Add(p.tickInterval())
	p.checkProbes(now)
	p.checkSuspects(now)
	p.expireFacts(now)
	if !now.Before(p.nextProbe) {
		p.nextProbe = now.Add(p.config.Timing.ProbeInterval)
		p.startProbe(now)
	}
	p.reconnect(now)
	p.checkSync(now)
	p.gossip(now)
}

// detectPause detects from late events that this process was paused, and rejoins the cluster. Deadlines that passed
// during the pause prove nothing about other members, and other members may consider this node dead.
func (p *protocol) detectPause(now time.Time) {
	gap := now.Sub(p.lastEvent)
	p.lastEvent = now
	if gap < p.config.Timing.ProbeInterval {
		return
	}
	p.config.Logger.Warn("process was paused; rejoining the cluster", "gap", gap)
	clear(p.probes)
	clear(p.relays)
	p.postponeSuspicions(gap)
	p.refute(now, p.selfEntry().record.Refutation)
	p.sync = syncState{nextAt: now}
	p.nextProbe = now
}

// retransmitLimit returns how many times each update is sent.
func (p *protocol) retransmitLimit() int {
	scale := math.Ceil(math.Log10(float64(p.currentPeers().count() + 2)))
	return retransmitMultiplier * int(scale)
}

// insert adds a member that was not known.
func (p *protocol) insert(now time.Time, record memberRecord) {
	entry := &memberEntry{}
	p.members[record.Node] = entry
	p.keys.insert(memberKey(record.Node))
	p.setRecord(now, record, true)
	if record.Condition == conditionSuspect {
		p.startSuspicion(now, entry, "")
	}
}

// insertWithoutGossip adds a member that was not known and does not gossip it, since it was found by comparing
// records and is not a new update.
func (p *protocol) insertWithoutGossip(now time.Time, record memberRecord) {
	p.insert(now, record)
	p.queue.remove(memberKey(record.Node))
}

// remove deletes a member.
func (p *protocol) remove(node string) {
	delete(p.members, node)
	p.keys.remove(memberKey(node))
	p.peersValid = false
	p.membersChanged = true
}

// setRecord replaces the record of a member and queues it as an update.
func (p *protocol) setRecord(now time.Time, record memberRecord, full bool) {
	entry := p.members[record.Node]
	before := entry.record
	entry.record = record
	if record.Condition == conditionDead && before.Condition != conditionDead {
		entry.deadSince = now
	}
	if full || before.state() != record.state() {
		p.membersChanged = true
		p.peersValid = false
		p.logChange(&before, &record)
	}
	p.queue.add(memberKey(record.Node), full)
}

func (p *protocol) logChange(before, after *memberRecord) {
	level := p.config.Logger.Debug
	if after.Condition == conditionDead || before.Condition == conditionDead {
		level = p.config.Logger.Info
	}
	level("member changed", "member", after.Node, "before", before.state(), "after", after.state())
}

// mergeMember merges a full record and reports whether it was new.
func (p *protocol) mergeMember(now time.Time, record memberRecord) bool {
	if record.Node == p.config.Self.Node {
		p.mergeSelf(now, record.stateRecord(), formatAddress(record.GossipAddress))
		return false
	}
	entry := p.members[record.Node]
	if entry == nil {
		// Unknown members that are already dead are not added; otherwise nodes would pass their records on forever.
		if record.Condition == conditionDead {
			return false
		}
		p.insert(now, record)
		return true
	}
	learnedLeaving := p.mergeLeaving(now, entry, record.stateRecord())
	if !record.stateRecord().supersedes(entry.record.stateRecord()) {
		return learnedLeaving
	}
	record.Leaving = record.Leaving || (entry.record.Leaving && entry.record.Incarnation == record.Incarnation)
	p.setRecord(now, record, !sameIdentity(&entry.record, &record))
	if record.Condition == conditionSuspect {
		p.startSuspicion(now, entry, "")
	}
	if record.Leaving {
		p.queueUrgent(now, memberKey(record.Node))
	}
	return true
}

// sameIdentity reports whether the records have the same incarnation and differ only in fields that a stateRecord
// carries.
func sameIdentity(before, after *memberRecord) bool {
	return before.Incarnation == after.Incarnation &&
		slices.Equal(before.GossipAddress, after.GossipAddress) &&
		slices.Equal(before.PeerAddress, after.PeerAddress) &&
		before.Zone == after.Zone && before.Region == after.Region
}

// mergeState merges a state record and reports whether it was new. A state record of an unknown incarnation is
// ignored.
func (p *protocol) mergeState(now time.Time, reported stateRecord) bool {
	if reported.Node == p.config.Self.Node {
		p.mergeSelf(now, reported, "")
		return false
	}
	entry := p.members[reported.Node]
	if entry == nil || reported.Incarnation != entry.record.Incarnation {
		return false
	}
	learnedLeaving := p.mergeLeaving(now, entry, reported)
	if !reported.supersedes(entry.record.stateRecord()) {
		p.confirmSuspicion(now, entry, reported)
		return learnedLeaving
	}
	record := entry.record
	record.Refutation = reported.Refutation
	record.Condition = reported.Condition
	p.setRecord(now, record, false)
	if record.Leaving && record.Condition == conditionDead {
		// The exit of a leaving member is urgent whichever way it was learned.
		p.queueUrgent(now, memberKey(record.Node))
	}
	if reported.Condition == conditionSuspect {
		p.startSuspicion(now, entry, reported.Suspecter)
	}
	return true
}

// mergeLeaving records that a member leaves and reports whether that was new. A process never revokes its leaving, so
// the flag applies whatever else is known of the incarnation: the refutation that came with it may already have been
// learned from a header, which does not carry the flag.
func (p *protocol) mergeLeaving(now time.Time, entry *memberEntry, reported stateRecord) bool {
	if !reported.Leaving || entry.record.Leaving || reported.Incarnation != entry.record.Incarnation {
		return false
	}
	record := entry.record
	record.Leaving = true
	p.setRecord(now, record, false)
	p.queueUrgent(now, memberKey(reported.Node))
	return true
}

// queueUrgent queues the record of key to be sent after urgentDelay rather than with the next tick.
func (p *protocol) queueUrgent(now time.Time, key string) {
	p.urgentQueue.add(key, true)
	p.scheduleSyncSoon(now)
	if p.urgentAt.IsZero() {
		p.urgentAt = now.Add(urgentDelay)
	}
}

// mergeSelf handles a record of this node that another member sent. address is empty if the record does not contain
// one.
func (p *protocol) mergeSelf(now time.Time, reported stateRecord, address string) {
	self := p.selfEntry().record
	if !reported.supersedes(self.stateRecord()) {
		return
	}
	if reported.Incarnation == self.Incarnation {
		p.refute(now, reported.Refutation)
		return
	}
	otherAddress := address != "" && address != formatAddress(self.GossipAddress)
	if otherAddress && reported.Condition == conditionAlive {
		p.superseded = true
		return
	}
	if address == "" {
		return
	}
	// An earlier process of this node had a clock ahead of this process's. It has ended, so this process takes a
	// higher incarnation.
	p.selfEntry().record.Incarnation = reported.Incarnation + 1
	p.refute(now, reported.Refutation)
}

// refute announces that this node is alive, with a refutation number above the given one.
func (p *protocol) refute(now time.Time, refutation uint32) {
	record := p.selfEntry().record
	record.Refutation = max(record.Refutation, refutation) + 1
	p.setRecord(now, record, true)
	p.queueUrgent(now, memberKey(record.Node))
}

// leave announces a planned stop.
func (p *protocol) leave(now time.Time) {
	record := p.selfEntry().record
	if record.Leaving {
		return
	}
	record.Leaving = true
	record.Refutation++
	p.setRecord(now, record, true)
	p.queueUrgent(now, memberKey(record.Node))
}

// announceExit informs a few members that this process ends now, so that no member has to suspect it first.
func (p *protocol) announceExit(now time.Time) {
	record := p.selfEntry().record
	record.Condition = conditionDead
	p.setRecord(now, record, false)
	p.budget.refill(now)
	p.queueUrgent(now, memberKey(record.Node))
	p.gossipUrgent(now)
}

// snapshot returns the members sorted by node.
func (p *protocol) snapshot() []Member {
	result := make([]Member, 0, len(p.members))
	for _, entry := range p.members {
		result = append(result, entry.member())
	}
	slices.SortFunc(result, func(left, right Member) int {
		if left.Node < right.Node {
			return -1
		}
		return 1
	})
	return result
}
