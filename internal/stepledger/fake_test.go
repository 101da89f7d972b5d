package stepledger

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/hillfork/hillfork/internal/shard"
)

// memoryLog is an in-memory log of streams that have at most one owner each.
type memoryLog struct {
	mutex   sync.Mutex
	streams map[string]*memoryStream
	// beforeRecord is called before each record is written; if it returns false, the owner crashes at that point.
	beforeRecord func() bool
	// afterRecord is called after each record is written; if it returns false, the owner crashes at that point.
	afterRecord func() bool
	// lostResponses is the number of next writes that take effect although their call fails.
	lostResponses int
}

type memoryStream struct {
	records []shard.Record
	epoch   uint64
	owner   *memoryOwner
}

// memoryOpener opens the streams of a log for one process. Once dead is set, it opens no more.
type memoryOpener struct {
	log    *memoryLog
	dead   bool
	opened map[string]*memoryOwner
}

type memoryOwner struct {
	log    *memoryLog
	stream *memoryStream
	state  shard.State
	epoch  uint64
	done   chan struct{}
	// superseded is set if the stream has another owner. This owner detects it at its next access to the log.
	superseded bool
	// gone is set if done is closed.
	gone bool
	// slow is the delay of each write and each proof of ownership.
	slow time.Duration
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: make(map[string]*memoryStream)}
}

func (l *memoryLog) opener() *memoryOpener {
	return &memoryOpener{log: l, opened: make(map[string]*memoryOwner)}
}

func (o *memoryOpener) Open(_ context.Context, name string) (shard.Owner, error) {
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	if owner := o.opened[name]; owner != nil && !owner.gone {
		return owner, nil
	}
	if o.dead {
		return nil, &peer.Error{Code: peer.CodeNotOwner, Message: "dead"}
	}
	stream := o.log.streams[name]
	if stream == nil {
		stream = &memoryStream{}
		o.log.streams[name] = stream
	}
	if stream.owner != nil {
		stream.owner.superseded = true
	}
	stream.epoch++
	owner := &memoryOwner{log: o.log, stream: stream, state: NewState(), epoch: stream.epoch, done: make(chan struct{})}
	for _, record := range stream.records {
		owner.state.Apply(record)
	}
	stream.owner = owner
	o.opened[name] = owner
	return owner, nil
}

// kill stops all owners of this process. Their views still show the last state.
func (o *memoryOpener) kill() {
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	o.dead = true
	for _, owner := range o.opened {
		owner.stop()
	}
}

func (o *memoryOwner) stop() {
	if !o.gone {
		o.gone = true
		close(o.done)
	}
}

func (o *memoryOwner) Append(_ context.Context, proposals ...shard.Proposal) ([]any, error) {
	time.Sleep(o.slow)
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	var outcomes []any
	for _, proposal := range proposals {
		if !o.checkOwnership() {
			return nil, shard.ErrNotOwner
		}
		if o.log.beforeRecord != nil && !o.log.beforeRecord() {
			o.stop()
			return nil, shard.ErrUncertain
		}
		record := shard.Record{Offset: int64(len(o.stream.records)), Epoch: o.epoch, Kind: proposal.Kind, Body: proposal.Body}
		o.stream.records = append(o.stream.records, record)
		outcomes = append(outcomes, o.state.Apply(record))
		if o.log.lostResponses > 0 {
			o.log.lostResponses--
			return nil, shard.ErrUncertain
		}
		if o.log.afterRecord != nil && !o.log.afterRecord() {
			o.stop()
			return nil, shard.ErrUncertain
		}
	}
	return outcomes, nil
}

func (o *memoryOwner) View(read func(shard.State)) {
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	read(o.state)
}

func (o *memoryOwner) Confirm(context.Context) error {
	time.Sleep(o.slow)
	o.log.mutex.Lock()
	defer o.log.mutex.Unlock()
	if !o.checkOwnership() {
		return shard.ErrNotOwner
	}
	return nil
}

// checkOwnership reports whether this is still the owner of the stream, and stops the owner if it was superseded.
func (o *memoryOwner) checkOwnership() bool {
	if o.superseded {
		o.stop()
	}
	return !o.gone
}

func (o *memoryOwner) Epoch() uint64                 { return o.epoch }
func (o *memoryOwner) Done() <-chan struct{}         { return o.done }
func (o *memoryOwner) Release(context.Context) error { return nil }

// memoryBundles holds the bundle in force. If confirmed is set, Confirm returns it instead of current, as for a node that
// lags behind the log.
type memoryBundles struct {
	mutex     sync.Mutex
	current   *bundle.Accepted
	confirmed *bundle.Accepted
	changed   chan struct{}
	confirms  int
}

func newBundles(workload bundle.Workload) *memoryBundles {
	return &memoryBundles{current: acceptedWith(1, workload), changed: make(chan struct{})}
}

func acceptedWith(version uint64, workload bundle.Workload) *bundle.Accepted {
	return &bundle.Accepted{Bundle: bundle.Bundle{Version: version, Workloads: []bundle.Workload{workload}}}
}

func (b *memoryBundles) Current() *bundle.Accepted {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.current
}

// set puts a bundle in force in the log and, if known is true, on this node too.
func (b *memoryBundles) set(accepted *bundle.Accepted, known bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.confirmed = accepted
	if known {
		b.current = accepted
	}
}

func (b *memoryBundles) Changed() <-chan struct{} { return b.changed }

func (b *memoryBundles) Confirm(context.Context) (*bundle.Accepted, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.confirms++
	if b.confirmed != nil {
		return b.confirmed, nil
	}
	return b.current, nil
}

// lengthScorer returns the length of an answer as its reward. As long as failures is above 0, each call decrements it and
// fails.
type lengthScorer struct{ failures atomic.Int32 }

func (s *lengthScorer) Score(_ context.Context, _, sampleID string, _, tokens []uint32) (platform.Score, error) {
	if s.failures.Add(-1) >= 0 {
		return platform.Score{}, fmt.Errorf("scorer is down")
	}
	return platform.Score{SampleID: sampleID, Reward: float64(len(tokens))}, nil
}

// testWorkload returns a workload with a staleness bound of one version and one minute.
func testWorkload() bundle.Workload {
	return bundle.Workload{
		Name:      "drafter",
		Kind:      bundle.Training,
		Model:     "draft",
		Staleness: &bundle.Staleness{MaxVersionsBehind: 1, MaxAge: bundle.Duration(time.Minute)},
		Limits:    bundle.Limits{MaxPromptTokens: 16, MaxTokens: 64, MaxStepSamples: 32},
	}
}
