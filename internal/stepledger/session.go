package stepledger

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/stepledger/assign"
)

// sampleKey names a sample of a shard.
type sampleKey struct {
	step  uint64
	index int
}

// attempt is one run of a sample on an engine.
type attempt struct {
	number uint32
	engine string
	heard  time.Time
	// tokens is how many the engine has reported.
	tokens int
	// oldest is the oldest version of the attempt's tokens, as far as known.
	oldest uint64
}

// partial is what a failed attempt left behind.
type partial struct {
	tokens []uint32
	spans  []VersionSpan
}

// session is the volatile side of one owned shard. It lives as long as its owner.
type session struct {
	service  *Service
	owner    shard.Owner
	workload string
	// ctx ends when the owner is done or the service closes.
	ctx context.Context
	// work is signalled when a sample may have become assignable or a version was published, and ready when an answer may
	// have become deliverable or a step was submitted.
	work  signal
	ready signal
	// unscored has room for one token: there may be samples to score.
	unscored chan struct{}

	// mutex guards what follows. It is taken before the shard's lock.
	mutex sync.Mutex
	// inherited holds the incomplete steps that were there when the shard was opened; until graceEnds their samples may
	// still run for the previous owner and are not assigned anew.
	inherited map[uint64]bool
	graceEnds time.Time
	draining  bool
	// fetching is the newest step that the trainer has asked for, and fetchVersion the trainer's version then.
	fetching     uint64
	fetchVersion uint64
	// publishedAt is when this process learned of the newest version.
	publishedAt time.Time
	// startable tells whether samples could be begun at the last look.
	startable bool
	running   map[sampleKey]*attempt
	partials  map[sampleKey]partial
	failures  map[sampleKey]failure
	numbers   map[sampleKey]uint32
	// voided is the last attempt of a sample that was given up because its tokens are over the bound; a report does not
	// bring it back.
	voided  map[sampleKey]uint32
	scoring map[sampleKey]bool
	history assign.History
}

// failure delays a sample whose attempts fail.
type failure struct {
	count     int
	notBefore time.Time
}

// open returns the session of a shard, creating it where this process has become the owner.
func (s *Service) open(ctx context.Context, workload string, shardNumber int) (*session, error) {
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

// newSession creates the volatile state of a shard just opened.
func (s *Service) newSession(owner shard.Owner, workload string) *session {
	current := &session{
		service:   s,
		owner:     owner,
		workload:  workload,
		ctx:       s.ctx,
		unscored:  make(chan struct{}, 1),
		inherited: make(map[uint64]bool),
		graceEnds: time.Now().Add(adoptionGrace),
		running:   make(map[sampleKey]*attempt),
		partials:  make(map[sampleKey]partial),
		failures:  make(map[sampleKey]failure),
		numbers:   make(map[sampleKey]uint32),
		voided:    make(map[sampleKey]uint32),
		scoring:   make(map[sampleKey]bool),
	}
	current.view(current.inherit)
	return current
}

// inherit takes from the durable state what the volatile state starts with.
func (c *session) inherit(state *State) {
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

// runSession does the background work of a session until its owner is done, then forgets it.
func (s *Service) runSession(stream string, current *session) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	var scorers sync.WaitGroup
	scorers.Go(func() { current.score(ctx) })
	current.maintain(ctx)
	cancel()
	scorers.Wait()
	s.mutex.Lock()
	if s.sessions[stream] == current {
		delete(s.sessions, stream)
	}
	s.mutex.Unlock()
}

// view reads the durable state. read must not block, and keep nothing but immutable slices.
func (c *session) view(read func(*State)) {
	c.owner.View(func(state shard.State) { read(state.(*State)) })
}

// append writes records and returns their outcomes.
func (c *session) append(ctx context.Context, proposals ...shard.Proposal) ([]Outcome, error) {
	answers, err := c.owner.Append(ctx, proposals...)
	if err != nil {
		return nil, writeRefusal(err)
	}
	outcomes := make([]Outcome, len(answers))
	for i, answer := range answers {
		outcomes[i] = answer.(Outcome)
	}
	return outcomes, nil
}

// confirm proves that this process owned the shard at a moment after the call began.
func (c *session) confirm(ctx context.Context) error {
	if err := c.owner.Confirm(ctx); err != nil {
		return writeRefusal(err)
	}
	return nil
}

// wait blocks until one of the channels is closed. False says that the time is up or the caller gone; the error is that
// of an owner that is done.
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

// signal wakes all who wait for a change. The zero value is ready.
type signal struct {
	mutex   sync.Mutex
	channel chan struct{}
}

// changed returns a channel that the next raise closes.
func (s *signal) changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.channel == nil {
		s.channel = make(chan struct{})
	}
	return s.channel
}

// raise wakes all who wait.
func (s *signal) raise() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.channel != nil {
		close(s.channel)
		s.channel = nil
	}
}
