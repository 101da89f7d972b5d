package membership

import "time"

const (
	// answerShare divides the budget to give the part that answers may use. A node that many ask at once would otherwise
	// spend everything on answers and spread no news, for want of which the others would go on asking it.
	answerShare = 4
	// newsShare divides the budget to give the part that news may use. When much changes at once,
	// comparing records spreads it at less cost than sending each change many times.
	newsShare = 3
	// reserveShare divides the burst to give what optional datagrams leave for probes.
	reserveShare = 4
)

// budget bounds the bytes sent. Probes are always sent; everything else waits for tokens of its own share and of the whole.
type budget struct {
	total   bucket
	answers bucket
	news    bucket
}

func newBudget(perSecond, burst int, now time.Time) budget {
	return budget{
		total:   newBucket(float64(perSecond), float64(burst), now),
		answers: newBucket(float64(perSecond)/answerShare, float64(burst)/answerShare, now),
		news:    newBucket(float64(perSecond)/newsShare, float64(burst)/newsShare, now),
	}
}

// refill adds what has been earned up to now.
func (b *budget) refill(now time.Time) {
	b.total.refill(now)
	b.answers.refill(now)
	b.news.refill(now)
}

// spend accounts for a datagram of kind, of which newsBytes are news.
func (b *budget) spend(kind packetKind, bytes, newsBytes int) {
	b.total.tokens -= float64(bytes)
	switch kind {
	case packetUrgent:
	case packetGossip:
		b.news.tokens -= float64(bytes)
	case packetAck, packetIntroduction:
		b.answers.tokens -= float64(bytes - newsBytes)
		b.news.tokens -= float64(newsBytes)
	default:
		b.news.tokens -= float64(newsBytes)
	}
}

// allowsNews tells whether a datagram for news alone may be sent.
func (b *budget) allowsNews() bool { return b.allowsOptional() && b.news.tokens > 0 }

// allowsSync tells whether a full datagram of a comparison may be sent. Comparisons may use half of what news and urgent
// news leave, since they find what these have missed.
func (b *budget) allowsSync() bool {
	return b.total.tokens-b.total.burst/(2*reserveShare) >= maxPacketBytes+overheadBytes
}

// allowsOptional tells whether a full datagram may be sent that is neither a probe, its answer, nor a comparison.
func (b *budget) allowsOptional() bool {
	return b.total.tokens-b.total.burst/reserveShare >= maxPacketBytes+overheadBytes
}

// allowsPiggyback tells whether news may be added to a datagram that is sent anyway.
func (b *budget) allowsPiggyback() bool {
	return b.news.tokens > 0 && b.total.tokens >= maxPacketBytes+overheadBytes
}

// allowsAnswer tells whether an answer may be sent.
func (b *budget) allowsAnswer() bool { return b.answers.tokens > 0 }

// bucket is a token bucket that may be overdrawn.
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
	earned := now.Sub(b.updated).Seconds() * b.perSecond
	b.updated = now
	b.tokens = min(b.burst, b.tokens+max(0, earned))
}
