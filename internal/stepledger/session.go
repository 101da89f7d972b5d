package stepledger

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/stepledger/assign"
)

// sampleKey identifies a sample of a shard.
type sampleKey struct {
	step  uint64
	index int
}

// attempt is the running attempt at a sample on an engine.
type attempt struct {
	number     uint32
	engine     string
	reportedAt time.Time
	// tokens is the number of tokens that the engine has reported.
	tokens int
	// oldest is the oldest known weight version of the attempt's tokens.
	oldest uint64
}

// partial is the partial answer of a failed attempt.
type partial struct {
	tokens []uint32
	spans  []VersionSpan
}

// session is the volatile state of an owned shard. Its lifetime is that of its owner.
type session struct {
	service  *Service
	owner    shard.Owner
	workload string
	// ctx is the service's context, which ends when the service closes.
	ctx context.Context
	// work is notified when a sample may have become assignable or a version was published. ready is notified when an answer
	// may have become deliverable, a step was submitted or a version was published.
	work  signal
	ready signal
	// scoreWakeup has a capacity of one. A value in it means that there may be samples to score.
	scoreWakeup chan struct{}

	// mutex guards the following fields. It is acquired before the shard's lock.
	mutex sync.Mutex
	// inherited holds the steps that were incomplete when the shard was opened. Attempts of the previous owner may still be
	// running for them, so their samples are not assigned before graceEnds.
	inherited map[uint64]bool
	graceEnds time.Time
	draining  bool
	// fetchedStep is the newest step that the trainer has fetched, and fetchedVersion the trainer's version at that time.
	fetchedStep    uint64
	fetchedVersion uint64
	// publishedAt is the time at which this process learned of the newest version.
	publishedAt time.Time
	// hadStartable is set if samples could be started at the last maintenance pass.
	hadStartable  bool
	running       map[sampleKey]*attempt
	partials      map[sampleKey]partial
	failures      map[sampleKey]failure
	attemptCounts map[sampleKey]uint32
	// voided is the last attempt at a sample that was abandoned because its tokens are over the staleness bound. A late
	// report does not revive it.
	voided  map[sampleKey]uint32
	scoring map[sampleKey]bool
	history assign.History
}

// failure delays the next attempt at a sample after failed ones.
type failure struct {
	count     int
	notBefore time.Time
}

// openSession returns the session of a shard. It creates the session if this process has become the owner.
func (s *Service) openSession(ctx context.Context, workload string, shardNumber int) (*session, error) {
	if shardNumber < 0 || shardNumber >= ShardsPerWorkload {
		return nil, refuse(peer.CodeInvalid, "no such shard")
	}
	stream := StreamName(workload, shardNumber)
	owner, err := s.config.Opener.Open(ctx, stream)
	if err != nil {
		return nil, openRefusal(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil, refuse(peer.CodeNotReady, "step ledger is closed")
	}
	current := s.sessions[stream]
	if current != nil && current.owner == owner {
		return current, nil
	}
	current = s.newSession(owner, workload)
	s.sessions[stream] = current
	s.background.Go(func() { s.runSession(stream, current) })
	return current, nil
}

// newSession returns the session of a shard that was just opened.
func (s *Service) newSession(owner shard.Owner, workload string) *session {
	current := &session{
		service:       s,
		owner:         owner,
		workload:      workload,
		ctx:           s.ctx,
		scoreWakeup:   make(chan struct{}, 1),
		inherited:     make(map[uint64]bool),
		graceEnds:     time.Now().Add(adoptionGrace),
		running:       make(map[sampleKey]*attempt),
		partials:      make(map[sampleKey]partial),
		failures:      make(map[sampleKey]failure),
		attemptCounts: make(map[sampleKey]uint32),
		voided:        make(map[sampleKey]uint32),
		scoring:       make(map[sampleKey]bool),
	}
	current.view(current.initFromState)
	return current
}

// initFromState initializes the inherited steps and the history of answer lengths from the durable state.
func (c *session) initFromState(state *State) {
	for _, step := range state.image.Steps {
		if step.Completed < len(step.Samples) {
			c.inherited[step.Step] = true
		}
		for i := range step.Samples {
			if tokens := step.Samples[i].Tokens; tokens > 0 {
				c.history.Add(tokens)
			}
		}
	}
}

// runSession runs the background work of a session until its owner is done or the service closes, then removes the session.
func (s *Service) runSession(stream string, current *session) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var scorers sync.WaitGroup
	scorers.Go(func() { current.runScoring(ctx) })
	current.maintain(ctx)
	cancel()
	scorers.Wait()
	s.mutex.Lock()
	if s.sessions[stream] == current {
		delete(s.sessions, stream)
	}
	s.mutex.Unlock()
}

// view calls read with the durable state. read must not block and must not retain anything but immutable slices.
func (c *session) view(read func(*State)) {
	c.owner.View(func(state shard.State) { read(state.(*State)) })
}

// append writes records and returns their outcomes.
func (c *session) append(ctx context.Context, proposals ...shard.Proposal) ([]Outcome, error) {
	results, err := c.owner.Append(ctx, proposals...)
	if err != nil {
		return nil, writeRefusal(err)
	}
	outcomes := make([]Outcome, len(results))
	for i, result := range results {
		outcomes[i] = result.(Outcome)
	}
	return outcomes, nil
}

// confirm proves that this process owned the shard at some time after the start of the call.
func (c *session) confirm(ctx context.Context) error {
	if err := c.owner.Confirm(ctx); err != nil {
		return writeRefusal(err)
	}
	return nil
}

// wait blocks until one of the channels is closed and returns true. It returns false if the timer fires or the caller's
// context ends, and an error if the owner is done or the service closes.
func (c *session) wait(ctx context.Context, timer *time.Timer, changed, bundleChanged <-chan struct{}) (bool, error) {
	select {
	case <-changed:
		return true, nil
	case <-bundleChanged:
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, nil
	case <-c.owner.Done():
		return false, refuse(peer.CodeNotOwner, "shard was released")
	case <-c.ctx.Done():
		return false, refuse(peer.CodeNotReady, "step ledger is closed")
	}
}

// runningByStep counts the running attempts of each step.
func (c *session) runningByStep() map[uint64]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := make(map[uint64]int)
	for key := range c.running {
		counts[key.step]++
	}
	return counts
}

// signal notifies all waiting goroutines of a change. The zero value is ready to use.
type signal struct {
	mutex   sync.Mutex
	channel chan struct{}
}

// changed returns a channel that the next call of notify closes.
func (s *signal) changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.channel == nil {
		s.channel = make(chan struct{})
	}
	return s.channel
}

// notify closes the channels returned by changed since the last call.
func (s *signal) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.channel != nil {
		close(s.channel)
		s.channel = nil
	}
}
