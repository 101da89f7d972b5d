package bundle

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
)

// testKey derives a key pair from a name, so that tests are deterministic.
func testKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func testPublic(name string) ed25519.PublicKey {
	return testKey(name).Public().(ed25519.PublicKey)
}

func testTrusted(partners ...string) TrustedKeys {
	keys := TrustedKeys{}
	for _, partner := range partners {
		keys[partner] = []ed25519.PublicKey{testPublic(partner)}
	}
	return keys
}

// testBundle returns a valid bundle; the key of each partner is derived from its name.
func testBundle(version uint64, share float64, partners ...string) *Bundle {
	b := &Bundle{Version: version, Base: version - 1}
	for _, partner := range partners {
		b.Partners = append(b.Partners, Partner{Name: partner, Keys: []string{FormatPublicKey(testPublic(partner))}})
	}
	b.Pools = []Pool{{Name: "desk-app", ServingFloor: 0.5}}
	b.Workloads = []Workload{{
		Name: "desk", Partner: partners[0], Kind: Interactive, Pools: []string{"desk-app"}, Share: share, Model: "drafter",
		Limits: Limits{MaxPromptTokens: 100, MaxTokens: 100, Timeout: Duration(90 * time.Second)},
	}}
	return b
}

func digestOf(b *Bundle) string {
	return Digest(Canonical(b))
}

func signOff(b *Bundle, partner, key string) SignOff {
	digest := digestOf(b)
	return SignOff{Digest: digest, Version: b.Version, Base: b.Base, Partner: partner,
		Signature: Sign(testKey(key), digest, b.Version, b.Base)}
}

func mustRecord(kind uint8, body recordBody) []byte {
	payload, err := encodeRecord(kind, body)
	if err != nil {
		panic(err)
	}
	return payload
}

func proposalRecord(b *Bundle) []byte {
	return mustRecord(kindProposal, &Proposal{Canonical: Canonical(b)})
}

func signOffRecord(b *Bundle, partner, key string) []byte {
	record := signOff(b, partner, key)
	return mustRecord(kindSignOff, &record)
}

// acceptRecords returns the records that put a bundle in force.
func acceptRecords(b *Bundle, partners ...string) [][]byte {
	records := [][]byte{proposalRecord(b)}
	for _, partner := range partners {
		records = append(records, signOffRecord(b, partner, partner))
	}
	return records
}

// apply folds records from offset next on and returns the offset after them.
func apply(fold *Fold, next int64, records ...[]byte) int64 {
	for _, record := range records {
		fold.Apply(next, record)
		next++
	}
	return next
}

var errLost = errors.New("response was lost")

// memoryLog is an in-memory log with configurable failures.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]platform.Entry
	changed chan struct{}
	down    bool
	// appendFault returns whether the nth append, counted from 1, takes effect, and the error that it returns.
	appendFault func(n int) (takesEffect bool, err error)
	// effectDelay, if set, is the delay after which an append takes effect although appendFault returned false for it.
	effectDelay time.Duration
	appends     int
	reads       int
	// readDelay, if set, returns the delay of the response of a read.
	readDelay func() time.Duration
	// readGate, if set, blocks each read that does not wait until a value is received from it.
	readGate chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: map[string][]platform.Entry{}, changed: make(chan struct{})}
}

func (l *memoryLog) Append(_ context.Context, stream string, payloads [][]byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	takesEffect, err := true, error(nil)
	if l.appendFault != nil {
		takesEffect, err = l.appendFault(l.appends)
	}
	if l.down {
		return 0, platform.ErrNotSent
	}
	first := int64(len(l.streams[stream]))
	switch {
	case takesEffect:
		l.write(stream, payloads)
	case l.effectDelay > 0:
		time.AfterFunc(l.effectDelay, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.write(stream, payloads)
		})
	}
	return first, err
}

// write appends payloads to a stream and wakes waiting reads. The caller must hold mu.
func (l *memoryLog) write(stream string, payloads [][]byte) {
	for _, payload := range payloads {
		offset := int64(len(l.streams[stream]))
		l.streams[stream] = append(l.streams[stream], platform.Entry{Offset: offset, Payload: payload})
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryLog) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	if l.readGate != nil && options.Wait == 0 {
		<-l.readGate
	}
	waitOver := options.Wait == 0
	var expired <-chan time.Time
	if !waitOver {
		timer := time.NewTimer(options.Wait)
		defer timer.Stop()
		expired = timer.C
	}
	l.count()
	for {
		result, changed, err := l.readNow(stream, offset, options)
		if err != nil || waitOver || len(result.Entries) > 0 {
			if l.readDelay != nil {
				time.Sleep(l.readDelay())
			}
			return result, err
		}
		select {
		case <-changed:
		case <-expired:
			waitOver = true
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
}

func (l *memoryLog) count() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
}

func (l *memoryLog) readNow(stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.ReadResult{}, nil, platform.ErrNotSent
	}
	entries := l.streams[stream]
	tail := int64(len(entries))
	last := min(offset+int64(options.MaxEntries), tail)
	result := platform.ReadResult{Tail: tail}
	if offset < last {
		result.Entries = append(result.Entries, entries[offset:last]...)
	}
	return result, l.changed, nil
}

func (l *memoryLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memoryLog) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// follow runs a follower until the end of the test.
func follow(t *testing.T, log platform.Log, trusted TrustedKeys) *Follower {
	ctx, cancel := context.WithCancel(t.Context())
	follower := NewFollower(FollowerConfig{Log: log, Trusted: trusted})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return follower
}

// emptyReadLog reports a tail of the bundle stream but returns none of its entries, and never waits.
type emptyReadLog struct {
	*memoryLog
}

func (l *emptyReadLog) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	if stream != Stream {
		return l.memoryLog.Read(ctx, stream, offset, options)
	}
	l.count()
	return platform.ReadResult{Tail: 5}, nil
}
