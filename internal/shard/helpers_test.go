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
	"github.com/hillfork/hillfork/internal/standin/logservice"
)

var errLost = errors.New("contact lost")

// fault is the fault of one append.
type fault int

const (
	faultNone fault = iota
	// faultNotSent is known to have no effect. faultLostBefore has no effect, faultLostAfter takes effect, and
	// faultDelayed takes effect after appendDelay; the caller of these three gets an error that leaves the effect
	// unknown.
	faultNotSent
	faultLostBefore
	faultLostAfter
	faultDelayed
)

const appendDelay = 200 * time.Millisecond

// roundTrip is the duration of a call to the log in virtual time.
const roundTrip = time.Millisecond

// fakeLog is the stand-in log service with injected append faults.
type fakeLog struct {
	*logservice.Service
	mu      sync.Mutex
	fault   func(stream string) fault
	streams map[string][][]byte
	// readFromStart reports that the first entry of the test stream was read.
	readFromStart bool
}

func newFakeLog() *fakeLog {
	log := &fakeLog{streams: make(map[string][][]byte)}
	log.Service = logservice.New(logservice.Config{Observer: log.observe})
	return log
}

// observe stores every entry that takes effect.
func (l *fakeLog) observe(stream string, _ int64, payload []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[stream] = append(l.streams[stream], payload)
}

// setFault sets the function that returns the fault of each append; calls are serialized. nil disables faults.
func (l *fakeLog) setFault(fault func(stream string) fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// setFaults sets the faults of the next appends to the main stream, in order.
func (l *fakeLog) setFaults(faults ...fault) {
	l.setFault(func(stream string) fault {
		if stream != testStream || len(faults) == 0 {
			return faultNone
		}
		next := faults[0]
		faults = faults[1:]
		return next
	})
}

func (l *fakeLog) nextFault(stream string) fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == nil {
		return faultNone
	}
	return l.fault(stream)
}

func (l *fakeLog) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	kind := l.nextFault(stream)
	switch kind {
	case faultNotSent:
		return 0, platform.ErrNotSent
	case faultLostBefore:
		return 0, errLost
	case faultDelayed:
		time.AfterFunc(appendDelay, func() { _, _ = l.Service.Append(context.Background(), stream, payloads) })
		return 0, errLost
	}
	first, err := l.Service.Append(ctx, stream, payloads)
	if kind == faultLostAfter {
		return 0, errLost
	}
	return first, err
}

func (l *fakeLog) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	result, err := l.Service.Read(ctx, stream, offset, options)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readFromStart = l.readFromStart || (stream == testStream && offset == 0 && len(result.Entries) > 0)
	return result, err
}

// contents returns the payloads of a stream.
func (l *fakeLog) contents(stream string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.streams[stream])
}

const testStream = "stream"

// journal is a State that holds the bodies of all records.
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

// bodies returns the record bodies that an owner has folded.
func bodies(o Owner) []string {
	var copied []string
	o.View(func(state State) { copied = slices.Clone(state.(*journal).bodies) })
	return copied
}

// foldAll folds a complete stream as a reader without ownership does.
func foldAll(payloads [][]byte) ([]string, Fold) {
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

// testConfig returns the configuration of a node that uses the given log.
func testConfig(log platform.Log, node string) Config {
	return Config{
		Log:      log,
		Identity: Identity{Node: node, Incarnation: 1, PeerAddress: node + ":1"},
		Placer:   newFakePlacer(node),
		NewState: newJournal,
	}
}

func proposal(body string) Proposal { return Proposal{Kind: 1, Body: []byte(body)} }
