package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// readWait is how long the store may hold a read of results open, readSpacing the least time between two reads that
	// brought some.
	readWait    = time.Second
	readSpacing = 20 * time.Millisecond
	// settledBytes is about how much one read returns of a settled job: what lies behind its last result belongs to others. A job
	// of some megabytes takes a few reads, and the last one brings some 30 ms too much on a link of 60 Mbit/s.
	// All that lies behind one that is not settled has to be read.
	settledBytes = 512 << 10
	// idleAfter is how long after the last call on a job its results are kept here, if its callers come back to this process. Callers read
	// about twice a second.
	idleAfter = 2 * time.Second
	// backWithin is how soon after a call the next one on the same job must come to show that its callers come back to this process: two
	// of their polls. Where each call comes to another process nothing is read between calls.
	backWithin = time.Second
	// idleLook is how often that is looked at.
	idleLook = time.Second
	// freshFor is how long after its acceptance a job is read from its submission on, which takes one call. Later, records of others take
	// many times what its results do; the newest records of these take two calls or three.
	freshFor = time.Second
	// parkedFor is how long a part of a job's results that was read is kept for the next call, which comes at once as a rule.
	parkedFor = 5 * time.Second
)

// reader follows the results of one job from a position on while it is asked for. A job is read once by each process that is asked for it,
// not by all processes.
type reader struct {
	entry job.Entry
	// base is the position of the first result that is read.
	base     int
	ledger   *job.Ledger
	follower *follow.Follower
	// read counts what the follower has read.
	read   *measuredLog
	cancel context.CancelFunc
	// asked is when the last call came, waiting counts the calls that wait for the reader to be in step.
	asked   time.Time
	waiting int
	// returning says that callers come back to this process, so that the reader is kept between their calls.
	returning bool
	// missed has it logged once that results are missing.
	missed sync.Once
	// complete is closed once all results are here that there will ever be.
	complete chan struct{}
	// ended is closed once the follower has ended; before is that of the parked reader that this one goes on for, nil for none.
	ended  chan struct{}
	before chan struct{}
}

// jobApplier takes the records of one job of a kind.
type jobApplier struct {
	id     string
	ledger *job.Ledger
	wanted func(key, jobID string) bool
	failed func(record keyedlog.Record, err error)
}

func (a *jobApplier) Apply(record keyedlog.Record, _ bool) {
	if !a.wanted(record.Key, a.id) || record.Value == nil {
		return
	}
	if err := a.ledger.Apply(record); err != nil && a.failed != nil {
		a.failed(record, err)
	}
}

func (a *jobApplier) Advanced(int64) {}

func partitionOf(entry job.Entry) keyedlog.Partition {
	return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: entry.Partition}
}

// reader returns the reader of a job that has its results from a position on, starting one if there is none.
func (s *Service) reader(status job.Status, from int) *reader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := status.Entry.JobID
	if found, ok := s.readers[id]; ok && found.base <= from {
		found.asked = time.Now()
		found.waiting++
		return found
	}
	// One that begins behind the position ends with its last caller.
	if found, ok := s.readers[id]; ok && found.waiting == 0 {
		found.cancel()
	}
	// A parked reader that was in step after all has stood still since.
	started, ok := s.parked[id]
	if ok && started.entry == status.Entry && started.base <= from && !started.follower.CaughtUp() {
		started = started.resumed()
	} else {
		started = s.newReader(status, from)
	}
	delete(s.parked, id)
	ctx, cancel := context.WithCancel(s.ctx)
	started.cancel, started.waiting = cancel, 1
	_, started.returning = s.recent[id]
	s.readers[id] = started
	s.reading.Go(func() { s.read(ctx, started) })
	return started
}

// newReader returns a reader of the results from a position on that has read nothing yet.
func (s *Service) newReader(status job.Status, from int) *reader {
	id, ledger := status.Entry.JobID, job.NewLedger(s.config.Index, status.Entry.Partition)
	ledger.Begin(id, from)
	size, read := 0, &measuredLog{Log: s.config.Log}
	if status.Settled {
		size = settledBytes
	}
	return &reader{
		entry: status.Entry, base: from, ledger: ledger, read: read, asked: time.Now(),
		complete: make(chan struct{}), ended: make(chan struct{}),
		follower: follow.New(follow.Config{
			Log: read, Partition: partitionOf(status.Entry), From: startOf(status, from), Wait: readWait, MinReadInterval: readSpacing,
			MaxReadBytes: size, Prefix: job.ResultPrefix(id), AfterKey: job.ResultsFrom(id, from),
			Applier: &jobApplier{id: id, ledger: ledger, wanted: job.IsResult, failed: func(record keyedlog.Record, err error) {
				errorlog.Warn(s.config.Logger, "result skipped", err, "job", id, "key", record.Key)
			}},
			Logger: s.config.Logger,
		}),
	}
}

// resumed returns a reader that goes on where a parked one was.
func (r *reader) resumed() *reader {
	return &reader{
		entry: r.entry, base: r.base, ledger: r.ledger, read: r.read, follower: r.follower, before: r.ended, asked: time.Now(),
		complete: make(chan struct{}), ended: make(chan struct{}),
	}
}

// startOf returns where the reading of a job from a position on begins: with the newest records, 0, unless there is little behind its
// submission.
func startOf(status job.Status, from int) int64 {
	if from > 0 || status.Settled || time.Since(status.AcceptedAt) > freshFor {
		return 0
	}
	return status.Entry.Next
}

// left records that a call no longer waits for the reader; err is that of the call. A reader that nobody waits for ends at once, unless its
// callers come back to this process: it would go on reading all that is appended to the partition, for callers that ask elsewhere. What a
// reader has read that was given up before it was in step is kept for a moment, for the next call on a job that takes longer to read than
// one call waits.
func (s *Service) left(r *reader, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.waiting--
	id := r.entry.JobID
	current := s.readers[id] == r
	if r.waiting > 0 || current && err == nil && r.returning {
		return
	}
	r.cancel()
	if !current {
		return
	}
	delete(s.readers, id)
	if err != nil {
		s.park(r)
		return
	}
	s.expectBack(id)
}

// expectBack remembers for backWithin that a job was asked for. The mutex must be held.
func (s *Service) expectBack(id string) {
	if known, ok := s.recent[id]; ok {
		known.Reset(backWithin)
		return
	}
	s.recent[id] = time.AfterFunc(backWithin, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.recent, id)
	})
}

// park keeps what a reader has read. The mutex must be held.
func (s *Service) park(r *reader) {
	id := r.entry.JobID
	s.parked[id] = r
	time.AfterFunc(parkedFor, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.parked[id] == r {
			delete(s.parked, id)
		}
	})
}

// read follows a job until all its results are here, and keeps them until nobody has asked for long.
func (s *Service) read(ctx context.Context, r *reader) {
	defer r.cancel()
	s.reading.Go(func() { s.untilSettled(ctx, r) })
	ticker := time.NewTicker(idleLook)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if s.dropIdle(r) {
			return
		}
	}
}

func (s *Service) dropIdle(r *reader) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.waiting > 0 || time.Since(r.asked) < idleAfter {
		return false
	}
	if s.readers[r.entry.JobID] == r {
		delete(s.readers, r.entry.JobID)
	}
	return true
}

// untilSettled follows a job's partition until nothing more is listed of it.
func (s *Service) untilSettled(ctx context.Context, r *reader) {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.reading.Go(func() {
		defer close(r.ended)
		if r.before != nil {
			<-r.before
		}
		r.follower.Run(followCtx)
	})
	for {
		changed := s.config.Index.Changed()
		if status, known := s.config.Index.Job(r.entry.JobID); known && status.Settled {
			if r.follower.WaitUntil(ctx, status.SettledEnd) == nil {
				close(r.complete)
			}
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// ready waits until the reader can answer a call from a position on: it has read all that was listed when it was started, or results of
// more than limit bytes.
func (r *reader) ready(ctx context.Context, from, limit int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepped := make(chan error, 1)
	go func() { stepped <- r.inStep(ctx) }()
	for {
		fills, changed := r.ledger.Fills(r.entry.JobID, from, limit)
		if fills {
			return nil
		}
		select {
		case err := <-stepped:
			return err
		case <-changed:
		}
	}
}

// awaitResult waits until a result from a position on is listed or no more can be, for at most a time or until the context ends.
func (r *reader) awaitResult(ctx context.Context, from int, most time.Duration) {
	if most <= 0 {
		return
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		listed, changed := r.ledger.Listed(r.entry.JobID)
		if listed > from || listed >= r.entry.Items {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// inStep waits until everything has been read that was listed when the reader was started, or the context ends.
func (r *reader) inStep(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.complete:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := r.follower.WaitFor(ctx, 0)
	select {
	case <-r.complete:
		return nil
	default:
		return err
	}
}
