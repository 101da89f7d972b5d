package shard

import (
	"context"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/platform"
)

var errLost = errors.New("contact lost")

// fault is what happens to one append.
type fault int

const (
	faultNone fault = iota
	// faultNotSent provably has no effect, faultLostBefore has none, faultLostAfter has taken effect, faultDelayed
	// takes effect after lateEffect, when the caller has long been told of an error.
	faultNotSent
	faultLostBefore
	faultLostAfter
	faultDelayed
)

const lateEffect = 200 * time.Millisecond

// fakeLog is a log in memory whose answers take roundTrip and whose appends fail as fault says.
type fakeLog struct {
	mu        sync.Mutex
	streams   map[string][][]byte
	changed   chan struct{}
	roundTrip time.Duration
	down      bool
	fault     func(stream string) fault
	// fromStart says that the first entry of the test stream was read.
	fromStart bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: make(map[string][][]byte), changed: make(chan struct{})}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// setFaults makes the next appends to the main stream fail in this order.
func (l *fakeLog) setFaults(faults ...fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = func(stream string) fault {
		if stream != testStream || len(faults) == 0 {
			return faultNone
		}
		next := faults[0]
		faults = faults[1:]
		return next
	}
}

func (l *fakeLog) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	if !sleep(ctx, l.roundTrip/2) {
		return 0, ctx.Err()
	}
	l.mu.Lock()
	kind := faultNone
	if l.fault != nil {
		kind = l.fault(stream)
	}
	if l.down {
		kind = faultLostBefore
	}
	first := int64(len(l.streams[stream]))
	if kind == faultNone || kind == faultLostAfter {
		l.put(stream, payloads)
	}
	l.mu.Unlock()
	switch kind {
	case faultNotSent:
		return 0, platform.ErrNotSent
	case faultDelayed:
		time.AfterFunc(lateEffect, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.put(stream, payloads)
		})
		return 0, errLost
	case faultLostBefore, faultLostAfter:
		return 0, errLost
	}
	if !sleep(ctx, l.roundTrip/2) {
		return 0, ctx.Err()
	}
	return first, nil
}

func (l *fakeLog) put(stream string, payloads [][]byte) {
	for _, payload := range payloads {
		l.streams[stream] = append(l.streams[stream], slices.Clone(payload))
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	if !sleep(ctx, l.roundTrip) {
		return platform.ReadResult{}, ctx.Err()
	}
	deadline := time.After(options.Wait)
	for {
		l.mu.Lock()
		if l.down {
			l.mu.Unlock()
			return platform.ReadResult{}, errLost
		}
		changed := l.changed
		result := l.entries(stream, offset, options.MaxEntries)
		l.mu.Unlock()
		if result.Tail > offset || options.Wait == 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return result, nil
		case <-ctx.Done():
			return platform.ReadResult{}, ctx.Err()
		}
	}
}

func (l *fakeLog) entries(stream string, offset int64, limit int) platform.ReadResult {
	payloads := l.streams[stream]
	result := platform.ReadResult{Tail: int64(len(payloads))}
	for i := offset; i < result.Tail && len(result.Entries) < limit; i++ {
		result.Entries = append(result.Entries, platform.Entry{Offset: i, Payload: payloads[i]})
		l.fromStart = l.fromStart || (stream == testStream && i == 0)
	}
	return result
}

// contents returns the payloads of a stream.
func (l *fakeLog) contents(stream string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.streams[stream])
}

const testStream = "stream"

// journal is a State that keeps the bodies of all records.
type journal struct{ bodies []string }

func (j *journal) Apply(record Record) any {
	j.bodies = append(j.bodies, string(record.Body))
	return len(j.bodies)
}

func (j *journal) Snapshot() ([]byte, error) {
	var encoded []byte
	for _, body := range j.bodies {
		encoded = binary.AppendUvarint(encoded, uint64(len(body)))
		encoded = append(encoded, body...)
	}
	return encoded, nil
}

func (j *journal) Restore(snapshot []byte) error {
	j.bodies = nil
	for len(snapshot) > 0 {
		length, size := binary.Uvarint(snapshot)
		if size <= 0 || uint64(len(snapshot)-size) < length {
			return errors.New("broken snapshot")
		}
		snapshot = snapshot[size:]
		j.bodies = append(j.bodies, string(snapshot[:length]))
		snapshot = snapshot[length:]
	}
	return nil
}

func newJournal(string) (State, error) { return &journal{}, nil }

// bodies returns what an owner has folded.
func bodies(o Owner) []string {
	var copied []string
	o.View(func(state State) { copied = slices.Clone(state.(*journal).bodies) })
	return copied
}

// refold folds a whole stream as a reader that owns nothing would.
func refold(payloads [][]byte) ([]string, Fold) {
	state := &journal{}
	reader := &replica{state: state}
	for _, payload := range payloads {
		reader.apply(payload)
	}
	return state.bodies, reader.fold
}

// fakePlacer places every key on one node.
type fakePlacer struct {
	mu      sync.Mutex
	self    placement.Member
	owner   placement.Member
	changed chan struct{}
}

func newFakePlacer(self string) *fakePlacer {
	member := placement.Member{Node: self, PeerAddress: self + ":1"}
	return &fakePlacer{self: member, owner: member, changed: make(chan struct{})}
}

func (p *fakePlacer) Owner(string, placement.Preference) (placement.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner, p.owner.Node != ""
}

func (p *fakePlacer) Self() placement.Member { return p.self }

func (p *fakePlacer) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *fakePlacer) place(node string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner = placement.Member{Node: node, PeerAddress: node + ":1"}
	close(p.changed)
	p.changed = make(chan struct{})
}

// testConfig is the configuration of a node on a log.
func testConfig(log platform.Log, node string) Config {
	return Config{
		Log:      log,
		Identity: Identity{Node: node, Incarnation: 1, PeerAddress: node + ":1"},
		Placer:   newFakePlacer(node),
		NewState: newJournal,
	}
}

func proposal(body string) Proposal { return Proposal{Kind: 1, Body: []byte(body)} }
