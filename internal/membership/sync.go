package membership

import (
	"net/netip"
	"strings"
	"time"
)

const (
	// syncRangeKeys is how many keys are compared by one digest.
	syncRangeKeys = 64
	// syncAttempts is how many members are asked in turn for one range.
	syncAttempts = 4
	// syncTimeoutProbes is how many probe intervals a reply may take.
	syncTimeoutProbes = 1
	// syncHurry divides the interval to the next comparison after one that found differences.
	syncHurry = 8
)

// syncState is a comparison of all records with those of other members, range by range. The first range is everything, so
// that between equals one short exchange is enough. Different ranges may be compared with different members.
type syncState struct {
	// nextAt is when the next comparison begins.
	nextAt time.Time
	// differed says that some range of the present comparison was not the same.
	differed bool
	active   bool
	// cursor and end bound the present range.
	cursor string
	end    string
	// peer and sequence are of the request that waits for its reply until timeoutAt.
	peer      string
	sequence  uint32
	waiting   bool
	timeoutAt time.Time
	attempts  int
}

// checkSync begins a comparison when it is due, and goes on with one that is stuck.
func (p *protocol) checkSync(now time.Time) {
	state := &p.sync
	if !state.active {
		if now.Before(state.nextAt) || p.currentPeers().count() == 0 {
			return
		}
		p.sync = syncState{active: true}
	}
	if state.waiting && now.Before(state.timeoutAt) {
		return
	}
	if state.attempts >= syncAttempts {
		p.endSync(now)
		return
	}
	p.requestRange(now)
}

// endSync plans the next comparison: soon after one that found differences, since there may be more.
func (p *protocol) endSync(now time.Time) {
	interval := p.config.Timing.SyncInterval
	if p.sync.differed {
		interval /= syncHurry
	}
	p.sync = syncState{nextAt: now.Add(interval/2 + p.randomDuration(interval))}
}

// requestRange asks some member for the present range, if the budget allows.
func (p *protocol) requestRange(now time.Time) {
	if !p.budget.allowsOptional() {
		return
	}
	peers := p.pickPeers(2, p.sync.peer)
	if len(peers) == 0 {
		peers = p.pickPeers(1)
	}
	if len(peers) == 0 {
		p.endSync(now)
		return
	}
	state := &p.sync
	state.peer = peers[len(peers)-1]
	state.sequence = p.nextSequence()
	state.waiting = true
	state.timeoutAt = now.Add(syncTimeoutProbes * p.config.Timing.ProbeInterval)
	state.attempts++
	p.sendTo(now, state.peer, &header{
		Kind:     packetSyncRequest,
		Sequence: state.sequence,
		Cursor:   state.cursor,
		End:      state.end,
		Digest:   p.rangeDigest(state.cursor, state.end),
	})
}

// rangeDigest combines the digests of all records in a range, whatever their order.
func (p *protocol) rangeDigest(after, end string) uint64 {
	var combined uint64
	for _, key := range p.keys.between(after, end) {
		if node, isMember := strings.CutPrefix(key, memberKeyPrefix); isMember {
			combined ^= p.members[node].record.digest()
		} else {
			combined ^= p.facts[strings.TrimPrefix(key, factKeyPrefix)].fact.digest()
		}
	}
	return combined
}

// receiveSyncRequest answers with the records of the range as far as they fit, or says that they are the same.
func (p *protocol) receiveSyncRequest(now time.Time, from netip.AddrPort, request *header) {
	if !p.budget.allowsOptional() {
		p.config.Observer.dropped(DropOverBudget)
		return
	}
	reply := &header{Kind: packetSyncReply, Sequence: request.Sequence, Cursor: request.Cursor, Next: request.End}
	if p.rangeDigest(request.Cursor, request.End) == request.Digest {
		reply.Equal = true
		p.answer(now, from, request.From, reply)
		return
	}
	records := p.pageRecords(now, request, reply)
	p.answer(now, from, request.From, reply, records...)
}

// replyOverhead is the most bytes that a reply may need besides its page: its header, whose Next may become any key, and
// a word on the receiver itself.
func (p *protocol) replyOverhead(request *header) int {
	const (
		fixedBytes  = 64
		stateBytes  = 48
		memberNames = 3
	)
	names := memberNames*maxNodeBytes + stateBytes
	return prefixBytes + fixedBytes + names + len(request.Cursor) + len(factKeyPrefix) + maxFactKeyBytes
}

// pageRecords returns the records of the range that fit into one datagram, and sets reply.Next where not all do.
func (p *protocol) pageRecords(now time.Time, request, reply *header) [][]byte {
	room := maxPacketBytes - p.replyOverhead(request)
	var records [][]byte
	last := request.Cursor
	for _, key := range p.keys.between(request.Cursor, request.End) {
		record := p.encodeKey(now, key, true)
		if len(record) > room {
			reply.Next = last
			break
		}
		room -= len(record)
		records = append(records, record)
		last = key
	}
	return records
}

// receiveSyncReply goes on to the next range. The records of the reply have been merged already; what this node knows
// better is sent back.
func (p *protocol) receiveSyncReply(now time.Time, reply *packet) {
	state := &p.sync
	if !state.active || !state.waiting || reply.header.Sequence != state.sequence {
		return
	}
	cursor := state.cursor
	state.waiting = false
	state.attempts = 0
	if !reply.header.Equal {
		state.differed = true
		p.pushBetter(now, cursor, reply)
	}
	next := reply.header.Next
	if next == "" || next <= cursor {
		p.endSync(now)
		return
	}
	state.cursor = next
	state.end = p.rangeEnd(next)
	p.requestRange(now)
}

// rangeEnd returns the last key of the range that begins after cursor; empty when it reaches the end.
func (p *protocol) rangeEnd(cursor string) string {
	keys := p.keys.between(cursor, "")
	if len(keys) <= syncRangeKeys {
		return ""
	}
	return keys[syncRangeKeys-1]
}

// pushBetter sends the records of the reply's range that the other side lacks or holds in an older version.
func (p *protocol) pushBetter(now time.Time, cursor string, reply *packet) {
	theirs := recordsByKey(reply)
	var records [][]byte
	size := 0
	for _, key := range p.keys.between(cursor, reply.header.Next) {
		if !p.knowsBetter(key, theirs) {
			continue
		}
		record := p.encodeKey(now, key, true)
		if size+len(record) > maxPacketBytes/2 {
			p.push(now, records)
			records, size = nil, 0
		}
		records = append(records, record)
		size += len(record)
	}
	p.push(now, records)
}

func (p *protocol) push(now time.Time, records [][]byte) {
	if len(records) == 0 || !p.budget.allowsOptional() || p.members[p.sync.peer] == nil {
		return
	}
	p.sendTo(now, p.sync.peer, &header{Kind: packetSyncPush}, records...)
}

// theirRecords are what a reply told, by key.
type theirRecords struct {
	members map[string]stateRecord
	facts   map[string]Fact
}

func recordsByKey(reply *packet) theirRecords {
	theirs := theirRecords{members: make(map[string]stateRecord), facts: make(map[string]Fact)}
	for _, record := range reply.members {
		theirs.members[memberKey(record.Node)] = record.short()
	}
	for _, record := range reply.facts {
		theirs.facts[factKey(record.Key)] = Fact{Key: record.Key, Version: record.Version, Value: record.Value}
	}
	return theirs
}

// knowsBetter tells whether this node's record of key is newer than theirs. The dead are only told to who holds them
// otherwise.
func (p *protocol) knowsBetter(key string, theirs theirRecords) bool {
	if node, isMember := strings.CutPrefix(key, memberKeyPrefix); isMember {
		mine := p.members[node].record.short()
		their, told := theirs.members[key]
		if !told {
			return mine.Condition != conditionDead
		}
		return mine.supersedes(their)
	}
	mine := p.facts[strings.TrimPrefix(key, factKeyPrefix)].fact
	their, told := theirs.facts[key]
	return !told || mine.supersedes(their)
}
