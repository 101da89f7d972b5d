package membership

import "time"

const (
	// responseBudgetDivisor divides the budget to give the part that responses may use. Without this limit a node
	// that receives many requests at once would spend its whole budget on responses and gossip no updates, and the
	// requesters would keep sending requests because they lack these updates.
	responseBudgetDivisor = 4
	// updateBudgetDivisor divides the budget to give the part that updates may use. When much changes at once,
	// comparing records spreads the changes with fewer bytes than sending each of them many times.
	updateBudgetDivisor = 3
	// probeReserveDivisor divides the burst to give the part that optional datagrams leave for probes.
	probeReserveDivisor = 4
)

// budget limits the bytes sent. Probes are always sent; all other datagrams need tokens of their own bucket and of
// the total.
type budget struct {
	total     bucket
	responses bucket
	updates   bucket
}

func newBudget(perSecond, burst int, now time.Time) budget {
	return budget{
		total:     newBucket(float64(perSecond), float64(burst), now),
		responses: newBucket(float64(perSecond)/responseBudgetDivisor, float64(burst)/responseBudgetDivisor, now),
		updates:   newBucket(float64(perSecond)/updateBudgetDivisor, float64(burst)/updateBudgetDivisor, now),
	}
}

// refill adds the tokens for the time that has passed since the last call.
func (b *budget) refill(now time.Time) {
	b.total.refill(now)
	b.responses.refill(now)
	b.updates.refill(now)
}

// spend accounts for a datagram of kind, of which updateBytes are queued updates.
func (b *budget) spend(kind packetKind, bytes, updateBytes int) {
	b.total.tokens -= float64(bytes)
	switch kind {
	case packetUrgent:
	case packetGossip:
		b.updates.tokens -= float64(bytes)
	case packetAck, packetIntroduction:
		b.responses.tokens -= float64(bytes - updateBytes)
		b.updates.tokens -= float64(updateBytes)
	default:
		b.updates.tokens -= float64(updateBytes)
	}
}

// allowsGossip reports whether a datagram that only carries updates may be sent.
func (b *budget) allowsGossip() bool { return b.allowsOptional() && b.updates.tokens > 0 }

// allowsSync reports whether a full datagram of a comparison may be sent. Comparisons may use half of the reserve
// that updates and urgent updates leave, since comparisons find records that these did not deliver.
func (b *budget) allowsSync() bool {
	return b.total.tokens-b.total.burst/(2*probeReserveDivisor) >= maxPacketBytes+overheadBytes
}

// allowsOptional reports whether a full datagram may be sent that is neither a probe, its response, nor part of a
// comparison.
func (b *budget) allowsOptional() bool {
	return b.total.tokens-b.total.burst/probeReserveDivisor >= maxPacketBytes+overheadBytes
}

// allowsPiggyback reports whether updates may be added to a datagram that is sent anyway.
func (b *budget) allowsPiggyback() bool {
	return b.updates.tokens > 0 && b.total.tokens >= maxPacketBytes+overheadBytes
}

// allowsResponse reports whether a response may be sent.
func (b *budget) allowsResponse() bool { return b.responses.tokens > 0 }

// bucket is a token bucket whose balance may become negative.
type bucket struct {
	perSecond float64
	burst     float64
	tokens    float64
	updated   time.Time
}

func newBucket(perSecond, burst float64, now time.Time) bucket {
	return bucket{perSecond: perSecond, burst: burst, tokens: burst, updated: now}
}

func (b *bucket) refill(now time.Time) {
	added := now.Sub(b.updated).Seconds() * b.perSecond
	b.updated = now
	b.tokens = min(b.burst, b.tokens+max(0, added))
}
