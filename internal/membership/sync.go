package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// syncRangeKeys is how many keys are compared by one exchange of fingerprints.
	syncRangeKeys = 128
	// syncAttempts is how many members are asked in turn for one range.
	syncAttempts = 4
	// syncTimeoutProbes is how many probe intervals a reply may take.
	syncTimeoutProbes = 1
	// syncHurry divides the interval to the next comparison after one that found differences.
	syncHurry = 4
)

// syncState is a comparison of all records with those of other members. At first the digests of everything are compared,
// so that between equals one short exchange is enough; where they differ, the digests of one range after the other; and
// where these differ, the fingerprints of the range, and only records that differ are sent. Different ranges may be
// compared with different members.
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
	// detailed says that the range is known to differ, and that its fingerprints are to be compared.
	detailed bool
	// asked are the fingerprints that the request carried.
	asked []fingerprinted
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

// syncSoon brings the next comparison forward, to find urgent news that has missed this node.
func (p *protocol) syncSoon(now time.Time) {
	soon := now.Add(p.config.Timing.ProbeInterval + p.randomDuration(p.config.Timing.ProbeInterval))
	if p.sync.nextAt.After(soon) {
		p.sync.nextAt = soon
	}
}

// requestRange asks some member for the present range, if the budget allows.
func (p *protocol) requestRange(now time.Time) {
	if !p.budget.allowsSync() {
		return
	}
	// Peers of any zone: those of a zone that started together know as little as this node does.
	peer, found := p.pickAnywhere([]string{p.sync.peer})
	if !found {
		peer, found = p.pickAnywhere(nil)
	}
	if !found {
		p.endSync(now)
		return
	}
	state := &p.sync
	state.peer = peer
	state.sequence = p.nextSequence()
	state.waiting = true
	state.timeoutAt = now.Add(syncTimeoutProbes * p.config.Timing.ProbeInterval)
	state.attempts++
	state.asked = nil
	keys := p.keys.between(state.cursor, state.end)
	if state.detailed {
		state.asked = p.fingerprints(keys, state.sequence)
	}
	p.sendTo(now, state.peer, &header{
		Kind:         packetSyncRequest,
		Sequence:     state.sequence,
		Cursor:       state.cursor,
		End:          state.end,
		Digest:       p.rangeDigest(keys),
		Detailed:     state.detailed,
		Fingerprints: encodeFingerprints(state.asked),
	})
}

// rangeDigest combines the digests of the records of keys, whatever their order. The dead are left out, since nodes
// forget them at different times.
func (p *protocol) rangeDigest(keys []string) uint64 {
	var combined uint64
	for _, key := range keys {
		node, isMember := strings.CutPrefix(key, memberKeyPrefix)
		if !isMember || p.members[node].record.Condition != conditionDead {
			combined ^= p.keyDigest(key)
		}
	}
	return combined
}

// keyDigest returns the digest of the record of a key.
func (p *protocol) keyDigest(key string) uint64 {
	if node, isMember := strings.CutPrefix(key, memberKeyPrefix); isMember {
		return p.members[node].record.digest()
	}
	return p.facts[strings.TrimPrefix(key, factKeyPrefix)].fact.digest()
}

// receiveSyncRequest says that the range is the same, or answers with the records that differ as far as they fit.
func (p *protocol) receiveSyncRequest(now time.Time, from netip.AddrPort, request *header) {
	if !p.budget.allowsSync() {
		p.config.Observer.dropped(DropOverBudget)
		return
	}
	reply := &header{Kind: packetSyncReply, Sequence: request.Sequence, Cursor: request.Cursor, Next: request.End}
	keys := p.keys.between(request.Cursor, request.End)
	var records [][]byte
	switch {
	case p.rangeDigest(keys) == request.Digest:
		reply.Equal = true
	case request.Detailed:
		own := p.fingerprints(keys, request.Sequence)
		reply.Missing = missingFrom(own, request.Fingerprints)
		records = p.pageRecords(now, request, reply, own)
	}
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

// pageRecords returns the records that the requester has no fingerprint of, as far as they fit into one datagram, and sets
// reply.Next where not all do.
func (p *protocol) pageRecords(now time.Time, request, reply *header, own []fingerprinted) [][]byte {
	theirs := decodeFingerprints(request.Fingerprints)
	room := maxPacketBytes - p.replyOverhead(request)
	var records [][]byte
	last := request.Cursor
	for _, mine := range own {
		if slices.Contains(theirs, mine.print) {
			last = mine.key
			continue
		}
		record := p.encodeKey(now, mine.key, true)
		if len(record) > room {
			reply.Next = last
			break
		}
		room -= len(record)
		records = append(records, record)
		last = mine.key
	}
	return records
}

// receiveSyncReply goes on to the next range. The records of the reply have been merged already; what the other side lacks
// is sent back.
func (p *protocol) receiveSyncReply(now time.Time, reply *header) {
	state := &p.sync
	if !state.active || !state.waiting || reply.Sequence != state.sequence {
		return
	}
	state.waiting = false
	state.attempts = 0
	switch {
	case reply.Equal:
		p.nextRange(state.end)
	case state.detailed:
		p.pushMissing(now, reply.Missing)
		p.restOfRange(reply.Next)
	default:
		state.differed = true
		p.narrowRange()
	}
	if !state.active {
		p.endSync(now)
		return
	}
	p.requestRange(now)
}

// nextRange goes on with the range after end; the comparison is over where end has no bound.
func (p *protocol) nextRange(end string) {
	p.sync.detailed = false
	if end == "" {
		p.sync.active = false
		return
	}
	p.sync.cursor = end
	p.sync.end = p.rangeEnd(end)
}

// restOfRange goes on with what a page has left of a range that differs.
func (p *protocol) restOfRange(next string) {
	if next == p.sync.end || next <= p.sync.cursor {
		p.nextRange(p.sync.end)
		return
	}
	p.sync.cursor = next
}

// narrowRange looks closer at a range that differs.
func (p *protocol) narrowRange() {
	state := &p.sync
	if len(p.keys.between(state.cursor, state.end)) > syncRangeKeys {
		state.end = p.rangeEnd(state.cursor)
		return
	}
	state.detailed = true
}

// rangeEnd returns the last key of the range that begins after cursor; empty when it reaches the end.
func (p *protocol) rangeEnd(cursor string) string {
	keys := p.keys.between(cursor, "")
	if len(keys) <= syncRangeKeys {
		return ""
	}
	return keys[syncRangeKeys-1]
}

// pushMissing sends the records that the other side lacks, but those that its reply has superseded.
func (p *protocol) pushMissing(now time.Time, missing []byte) {
	var records [][]byte
	size := 0
	for position, asked := range p.sync.asked {
		if !bitSet(missing, position) || !p.stillHolds(asked) {
			continue
		}
		record := p.encodeKey(now, asked.key, true)
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
	if len(records) == 0 || !p.budget.allowsSync() || p.members[p.sync.peer] == nil {
		return
	}
	p.sendTo(now, p.sync.peer, &header{Kind: packetSyncPush}, records...)
}

// stillHolds tells whether the record of a key is there and the same as when its fingerprint was taken.
func (p *protocol) stillHolds(asked fingerprinted) bool {
	return p.keys.contains(asked.key) && p.keyDigest(asked.key) == asked.digest
}
