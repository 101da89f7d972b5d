package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// ticksPerProbe is how many times in a probe interval deadlines are looked at and news is sent on.
	ticksPerProbe = 5
	// urgentDelay is how long urgent news waits for more of it to share a datagram.
	urgentDelay = 20 * time.Millisecond
	// urgentLimit is how often a node sends urgent news on by itself. Four times reaches all but a few in a hundred, and
	// these hear of it with the other news, to which it belongs, too.
	urgentLimit = 4
	// retransmitMultiplier times the decimal logarithm of the cluster size is how often a node sends each piece of news.
	retransmitMultiplier = 3
)

// outgoing is a datagram to be sent.
type outgoing struct {
	address netip.AddrPort
	payload []byte
}

// protocol is the state machine of one member. It does no I/O and reads no clock: what happens comes in by receive, tick
// and the setters with the time at which it happens, and what is to be sent is collected in outbox. It is not safe for
// concurrent use.
type protocol struct {
	config Config
	random *rand.Rand

	members map[string]*entry
	facts   map[string]*factEntry
	keys    keyIndex
	// queue holds all news, urgent the part of it that does not wait for the tick.
	queue  *broadcast
	urgent *broadcast
	budget budget
	outbox []outgoing

	peers      peers
	peersValid bool

	sequence    uint32
	probes      map[uint32]*probe
	relays      map[uint32]*relay
	localOrder  probeOrder
	remoteOrder probeOrder
	probeCount  uint64
	// loneAttempts counts attempts to find anybody, up to maxLoneDoublings.
	loneAttempts int
	sync         syncState

	// seeds are addresses to try when nobody is known and to find parts of the cluster that were cut off.
	seeds []netip.AddrPort

	lastEvent     time.Time
	nextTick      time.Time
	nextProbe     time.Time
	nextReconnect time.Time
	// urgentAt is when urgent news is to be sent; zero where there is none.
	urgentAt time.Time

	// membersChanged and factsChanged are set by changes that users can see, and cleared by the owner of the protocol.
	membersChanged bool
	factsChanged   bool
	// superseded is set when a later process of the same node is alive elsewhere.
	superseded bool
}

// newProtocol returns the state of a process that knows only itself. config has been completed by withDefaults.
func newProtocol(config Config, now time.Time) *protocol {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p := &protocol{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		members: make(map[string]*entry),
		facts:   make(map[string]*factEntry),
		queue:   newBroadcast(),
		urgent:  newBroadcast(),
		budget:  newBudget(config.Timing.BytesPerSecond, config.Timing.BurstBytes, now),
		probes:  make(map[uint32]*probe),
		relays:  make(map[uint32]*relay),
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
	// The first tick comes at a random moment, so that nodes started together do not send together.
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

func (p *protocol) selfEntry() *entry { return p.members[p.config.Self.Node] }

// nextWake is when tick must be called at the latest.
func (p *protocol) nextWake() time.Time {
	if !p.urgentAt.IsZero() && p.urgentAt.Before(p.nextTick) {
		return p.urgentAt
	}
	return p.nextTick
}

// tick does what has become due.
func (p *protocol) tick(now time.Time) {
	p.noticePause(now)
	p.budget.refill(now)
	if !p.urgentAt.IsZero() && !now.Before(p.urgentAt) {
		p.gossipUrgently(now)
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

// noticePause finds out whether this process has stood still, by events that are late. Deadlines that passed meanwhile
// prove nothing about others, and others may hold this node dead.
func (p *protocol) noticePause(now time.Time) {
	gap := now.Sub(p.lastEvent)
	p.lastEvent = now
	if gap < p.config.Timing.ProbeInterval {
		return
	}
	p.config.Logger.Warn("process stood still; rejoining", "gap", gap)
	clear(p.probes)
	clear(p.relays)
	p.postponeSuspicions(gap)
	p.refute(now, p.selfEntry().record.Refutation)
	p.sync = syncState{nextAt: now}
	p.nextProbe = now
}

// retransmitLimit is how often each piece of news is sent.
func (p *protocol) retransmitLimit() int {
	scale := math.Ceil(math.Log10(float64(p.currentPeers().count() + 2)))
	return retransmitMultiplier * int(scale)
}

// insert adds a member that was not known.
func (p *protocol) insert(now time.Time, record memberRecord) {
	held := &entry{}
	p.members[record.Node] = held
	p.keys.insert(memberKey(record.Node))
	p.set(now, record, true)
	if record.Condition == conditionSuspect {
		p.beginSuspicion(now, held, "")
	}
}

// insertQuietly adds a member that was not known and does not spread it: it was found by comparing records, not as news.
func (p *protocol) insertQuietly(now time.Time, record memberRecord) {
	p.insert(now, record)
	p.queue.drop(memberKey(record.Node))
}

// remove forgets a member.
func (p *protocol) remove(node string) {
	delete(p.members, node)
	p.keys.remove(memberKey(node))
	p.peersValid = false
	p.membersChanged = true
}

// set replaces what is known of a member and queues it as news.
func (p *protocol) set(now time.Time, record memberRecord, full bool) {
	held := p.members[record.Node]
	before := held.record
	held.record = record
	if record.Condition == conditionDead && before.Condition != conditionDead {
		held.deadSince = now
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

// mergeMember takes in a full record and tells whether it was news.
func (p *protocol) mergeMember(now time.Time, record memberRecord) bool {
	if record.Node == p.config.Self.Node {
		p.mergeSelf(now, record.short(), addressText(record.GossipAddress))
		return false
	}
	held := p.members[record.Node]
	if held == nil {
		// The dead of others are not taken in, or they would go round for ever.
		if record.Condition == conditionDead {
			return false
		}
		p.insert(now, record)
		return true
	}
	learnedLeaving := p.noteLeaving(now, held, record.short())
	if !record.short().supersedes(held.record.short()) {
		return learnedLeaving
	}
	record.Leaving = record.Leaving || (held.record.Leaving && held.record.Incarnation == record.Incarnation)
	p.set(now, record, !sameIdentity(&held.record, &record))
	if record.Condition == conditionSuspect {
		p.beginSuspicion(now, held, "")
	}
	if record.Leaving {
		p.hurry(now, memberKey(record.Node))
	}
	return true
}

// sameIdentity tells whether records differ at most in what a stateRecord carries, incarnations aside.
func sameIdentity(before, after *memberRecord) bool {
	return before.Incarnation == after.Incarnation &&
		slices.Equal(before.GossipAddress, after.GossipAddress) &&
		slices.Equal(before.PeerAddress, after.PeerAddress) &&
		before.Zone == after.Zone && before.Region == after.Region
}

// mergeState takes in a short record and tells whether it was news. A short record of an incarnation that is not known is
// of no use.
func (p *protocol) mergeState(now time.Time, short stateRecord) bool {
	if short.Node == p.config.Self.Node {
		p.mergeSelf(now, short, "")
		return false
	}
	held := p.members[short.Node]
	if held == nil || short.Incarnation != held.record.Incarnation {
		return false
	}
	learnedLeaving := p.noteLeaving(now, held, short)
	if !short.supersedes(held.record.short()) {
		p.confirmSuspicion(now, held, short)
		return learnedLeaving
	}
	record := held.record
	record.Refutation = short.Refutation
	record.Condition = short.Condition
	p.set(now, record, false)
	if record.Leaving && record.Condition == conditionDead {
		// The end of a planned leaving is urgent however it was heard of.
		p.hurry(now, memberKey(record.Node))
	}
	if short.Condition == conditionSuspect {
		p.beginSuspicion(now, held, short.Suspecter)
	}
	return true
}

// noteLeaving takes in that a member leaves, and tells whether that was news. A process that leaves never takes it back, so
// it holds whatever else is known of the incarnation: its refutation may have been learned without it, from a header.
func (p *protocol) noteLeaving(now time.Time, held *entry, said stateRecord) bool {
	if !said.Leaving || held.record.Leaving || said.Incarnation != held.record.Incarnation {
		return false
	}
	record := held.record
	record.Leaving = true
	p.set(now, record, false)
	p.hurry(now, memberKey(said.Node))
	return true
}

// hurry has the record of key sent soon rather than with the next tick.
func (p *protocol) hurry(now time.Time, key string) {
	p.urgent.add(key, true)
	p.syncSoon(now)
	if p.urgentAt.IsZero() {
		p.urgentAt = now.Add(urgentDelay)
	}
}

// mergeSelf answers what others say of this node. address is empty where it was not told.
func (p *protocol) mergeSelf(now time.Time, said stateRecord, address string) {
	self := p.selfEntry().record
	if !said.supersedes(self.short()) {
		return
	}
	if said.Incarnation == self.Incarnation {
		p.refute(now, said.Refutation)
		return
	}
	elsewhere := address != "" && address != addressText(self.GossipAddress)
	if elsewhere && said.Condition == conditionAlive {
		p.superseded = true
		return
	}
	if address == "" {
		return
	}
	// An earlier process of this node had a clock ahead of ours. It is gone, so its incarnation can be outbid.
	p.selfEntry().record.Incarnation = said.Incarnation + 1
	p.refute(now, said.Refutation)
}

// refute says that this node is alive, in words newer than any of refutation.
func (p *protocol) refute(now time.Time, refutation uint32) {
	record := p.selfEntry().record
	record.Refutation = max(record.Refutation, refutation) + 1
	p.set(now, record, true)
	p.hurry(now, memberKey(record.Node))
}

// leave announces a planned stop.
func (p *protocol) leave(now time.Time) {
	record := p.selfEntry().record
	if record.Leaving {
		return
	}
	record.Leaving = true
	record.Refutation++
	p.set(now, record, true)
	p.hurry(now, memberKey(record.Node))
}

// farewell tells a few members that this process ends now, so that nobody need suspect it first.
func (p *protocol) farewell(now time.Time) {
	record := p.selfEntry().record
	record.Condition = conditionDead
	p.set(now, record, false)
	p.budget.refill(now)
	p.hurry(now, memberKey(record.Node))
	p.gossipUrgently(now)
}

// snapshot returns the members sorted by node.
func (p *protocol) snapshot() []Member {
	result := make([]Member, 0, len(p.members))
	for _, held := range p.members {
		result = append(result, held.member())
	}
	slices.SortFunc(result, func(left, right Member) int {
		if left.Node < right.Node {
			return -1
		}
		return 1
	})
	return result
}
