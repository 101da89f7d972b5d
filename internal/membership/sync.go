package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// syncRangeKeys is the maximum number of keys that one exchange of fingerprints compares.
	syncRangeKeys = 128
	// maxSyncAttempts is the maximum number of members that are tried in turn for one range.
	maxSyncAttempts = 4
	// syncTimeoutProbes is the timeout of a request, in probe intervals.
	syncTimeoutProbes = 1
	// syncDifferedDivisor divides the interval to the next comparison after one that found differences.
	syncDifferedDivisor = 4
)

// syncState is the state of a comparison of all records with those of other members. It first compares the digest of
// all records, so that one short exchange is enough if they are equal; if they differ, the digests of one range after
// the other; and for a range that differs, its fingerprints, so that only records that differ are sent. Different
// ranges may be compared with different members.
type syncState struct {
	// nextAt is when the next comparison starts.
	nextAt time.Time
	// differed reports whether some range of the current comparison was not equal.
	differed bool
	active   bool
	// cursor and end are the bounds of the current range.
	cursor string
	end    string
	// peer and sequence are those of the pending request, which times out at timeoutAt.
	peer      string
	sequence  uint32
	waiting   bool
	timeoutAt time.Time
	attempts  int
	// detailed reports whether the range is known to differ, so that its fingerprints are compared.
	detailed bool
	// requested are the fingerprints that the request carried.
	requested []keyFingerprint
}

// checkSync starts a comparison when it is time, and sends the next request of one whose request has timed out.
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
	if state.attempts >= maxSyncAttempts {
		p.endSync(now)
		return
	}
	p.requestRange(now)
}

// endSync schedules the next comparison: earlier after one that found differences, since there may be more.
func (p *protocol) endSync(now time.Time) {
	interval := p.config.Timing.SyncInterval
	if p.sync.differed {
		interval /= syncDifferedDivisor
	}
	p.sync = syncState{nextAt: now.Add(interval/2 + p.randomDuration(interval))}
}

// scheduleSyncSoon brings the next comparison forward, to find urgent updates that this node did not receive.
func (p *protocol) scheduleSyncSoon(now time.Time) {
	soon := now.Add(p.config.Timing.ProbeInterval + p.randomDuration(p.config.Timing.ProbeInterval))
	if p.sync.nextAt.After(soon) {
		p.sync.nextAt = soon
	}
}

// requestRange sends the request for the current range to some member if the budget allows it.
func (p *protocol) requestRange(now time.Time) {
	if !p.budget.allowsSync() {
		return
	}
	// Uses peers of any zone, since peers of the same zone that started together lack the same records as this node.
	peer, found := p.pickAnyZone([]string{p.sync.peer})
	if !found {
		peer, found = p.pickAnyZone(nil)
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
	state.requested = nil
	keys := p.keys.between(state.cursor, state.end)
	if state.detailed {
		state.requested = p.fingerprints(keys, state.sequence)
	}
	p.sendTo(now, state.peer, &header{
		Kind:         packetSyncRequest,
		Sequence:     state.sequence,
		Cursor:       state.cursor,
		End:          state.end,
		Digest:       p.rangeDigest(keys),
		Detailed:     state.detailed,
		Fingerprints: encodeFingerprints(state.requested),
	})
}

// rangeDigest combines the digests of the records of keys, independent of their order. Dead members are left out,
// since nodes remove them at different times.
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

// receiveSyncRequest replies that the range is equal, or with the records that differ as far as they fit.
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
		fingerprints := p.fingerprints(keys, request.Sequence)
		reply.Missing = missingBitmap(fingerprints, request.Fingerprints)
		records = p.pageRecords(now, request, reply, fingerprints)
	}
	p.respond(now, from, request.From, reply, records...)
}

// replyOverhead returns the maximum number of bytes that a reply needs besides its page: its header, whose Next may
// be any key, and a state record of the receiver.
func (p *protocol) replyOverhead(request *header) int {
	const (
		fixedBytes  = 64
		stateBytes  = 48
		memberNames = 3
	)
	names := memberNames*maxNodeBytes + stateBytes
	return prefixBytes + fixedBytes + names + len(request.Cursor) + len(factKeyPrefix) + maxFactKeyBytes
}

// pageRecords returns the records whose fingerprints the requester lacks, as far as they fit into one datagram, and
// sets reply.Next if not all of them fit.
func (p *protocol) pageRecords(now time.Time, request, reply *header, fingerprints []keyFingerprint) [][]byte {
	remote := decodeFingerprints(request.Fingerprints)
	freeBytes := maxPacketBytes - p.replyOverhead(request)
	var records [][]byte
	last := request.Cursor
	for _, local := range fingerprints {
		if slices.Contains(remote, local.fingerprint) {
			last = local.key
			continue
		}
		record := p.encodeKey(now, local.key, true)
		if len(record) > freeBytes {
			reply.Next = last
			break
		}
		freeBytes -= len(record)
		records = append(records, record)
		last = local.key
	}
	return records
}

// receiveSyncReply continues with the next range. The records of the reply have already been merged; records that the
// other member lacks are sent to it.
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
		p.continueRange(reply.Next)
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

// nextRange continues with the range after end; the comparison is complete if end is empty.
func (p *protocol) nextRange(end string) {
	p.sync.detailed = false
	if end == "" {
		p.sync.active = false
		return
	}
	p.sync.cursor = end
	p.sync.end = p.rangeEnd(end)
}

// continueRange continues with the part of a differing range that the last reply did not cover.
func (p *protocol) continueRange(next string) {
	if next == p.sync.end || next <= p.sync.cursor {
		p.nextRange(p.sync.end)
		return
	}
	p.sync.cursor = next
}

// narrowRange narrows down a range that differs, to at most syncRangeKeys keys or to its fingerprints.
func (p *protocol) narrowRange() {
	state := &p.sync
	if len(p.keys.between(state.cursor, state.end)) > syncRangeKeys {
		state.end = p.rangeEnd(state.cursor)
		return
	}
	state.detailed = true
}

// rangeEnd returns the last key of the range that begins after cursor, or "" if the range reaches the end of all
// keys.
func (p *protocol) rangeEnd(cursor string) string {
	keys := p.keys.between(cursor, "")
	if len(keys) <= syncRangeKeys {
		return ""
	}
	return keys[syncRangeKeys-1]
}

// pushMissing sends the records that the other member lacks, except those that its reply has superseded.
func (p *protocol) pushMissing(now time.Time, missing []byte) {
	var records [][]byte
	size := 0
	for position, requested := range p.sync.requested {
		if !bitSet(missing, position) || !p.isUnchanged(requested) {
			continue
		}
		record := p.encodeKey(now, requested.key, true)
		if size+len(record) > maxPacketBytes/2 {
			p.pushRecords(now, records)
			records, size = nil, 0
		}
		records = append(records, record)
		size += len(record)
	}
	p.pushRecords(now, records)
}

func (p *protocol) pushRecords(now time.Time, records [][]byte) {
	if len(records) == 0 || !p.budget.allowsSync() || p.members[p.sync.peer] == nil {
		return
	}
	p.sendTo(now, p.sync.peer, &header{Kind: packetSyncPush}, records...)
}

// isUnchanged reports whether the record of a key still exists and is the same as when its fingerprint was computed.
func (p *protocol) isUnchanged(requested keyFingerprint) bool {
	return p.keys.contains(requested.key) && p.keyDigest(requested.key) == requested.digest
}
