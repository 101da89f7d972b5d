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
	// longPollTimeout is how long the store may hold a read of results open. minReadInterval is the minimum time between two
	// reads that returned records.
	longPollTimeout = time.Second
	minReadInterval = 20 * time.Millisecond
	// settledReadBytes is the approximate size of one read for a settled job: everything after its last result belongs to
	// other jobs. A job of several megabytes takes a few reads, and the last one returns some 30 ms too much on a link of 60
	// Mbit/s. For a job that is not settled, everything after its results has to be read.
	settledReadBytes = 512 << 10
	// runningReadBytes is the approximate size of one read for a job that is not settled. Submissions of other jobs have up to a
	// megabyte, which takes 0.15 s on a link of 60 Mbit/s. With this size, a result that is listed after a submission is delayed by
	// one read of 64 KB instead.
	runningReadBytes = 64 << 10
	// idleTimeout is how long after the last call on a job its results are kept in this process if its callers return to
	// this process. Callers read about twice a second.
	idleTimeout = 2 * time.Second
	// returnWindow is the maximum time between two calls on a job from which this process concludes that its callers return
	// to it: two of their poll intervals. Where each call reaches another process, nothing is read between calls.
	returnWindow = time.Second
	// idleCheckInterval is the interval between checks for idle readers.
	idleCheckInterval = time.Second
	// freshWindow is how long after its acceptance a job is read starting at its submission, which takes one call. After
	// that, records of other jobs take many times the size of its results, while reading the newest record of each of its
	// keys takes two or three calls.
	freshWindow = time.Second
	// maxViewAge is how long ago the store may have reported that there are no further records for an answer without results.
	// A result that a caller has read must be there for all callers a second later.
	maxViewAge = time.Second
	// parkedTimeout is how long partially read results are kept for the next call, which usually follows at once.
	parkedTimeout = 5 * time.Second
)

// reader follows the results of one job from a position on while callers request them. Only a process that receives calls on
// a job reads it, and it reads it once for all its callers.
type reader struct {
	entry job.Entry
	// base is the position of the first result that is read.
	base     int
	ledger   *job.Ledger
	follower *follow.Follower
	// tail is nil if the reader does not begin with the tail of the partition.
	tail *resultTail
	// readLog counts the records and bytes that the follower has read.
	readLog *countingLog
	cancel  context.CancelFunc
	// lastCall is the time of the last call. waiting counts the calls that wait until the reader has caught up.
	lastCall time.Time
	waiting  int
	// sticky reports that callers return to this process, so that the reader is kept between their calls.
	sticky bool
	// logMissingOnce limits the log line about missing results to one.
	logMissingOnce sync.Once
	// complete is closed once the reader has all results that the job will ever have.
	complete chan struct{}
	// stopped is closed once the follower has stopped. predecessor is the stopped channel of the parked reader that this one
	// resumes, nil if there is none.
	stopped     chan struct{}
	predecessor chan struct{}
}

// jobApplier applies those records of one job whose keys match.
type jobApplier struct {
	id      string
	ledger  *job.Ledger
	matches func(key, jobID string) bool
	onError func(record keyedlog.Record, err error)
	// onMatch, if not nil, is called with each key that matches.
	onMatch func(key string)
}

func (a *jobApplier) Apply(record keyedlog.Record, _ bool) {
	if !a.matches(record.Key, a.id) || record.Value == nil {
		return
	}
	if a.onMatch != nil {
		a.onMatch(record.Key)
	}
	if err := a.ledger.Apply(record); err != nil && a.onError != nil {
		a.onError(record, err)
	}
}

func (a *jobApplier) Advanced(int64) {}

func partitionOf(entry job.Entry) keyedlog.Partition {
	return entry.StorePartition()
}

// reader returns the reader of a job that covers its results from a position on, and starts one if there is none.
func (s *Service) reader(status job.Status, from int) *reader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := status.Entry.JobID
	if found, ok := s.readers[id]; ok && found.base <= from {
		found.lastCall = time.Now()
		found.waiting++
		return found
	}
	// A reader that starts after the position is stopped once its last caller has left.
	if found, ok := s.readers[id]; ok && found.waiting == 0 {
		found.cancel()
	}
	// A parked reader that caught up in the end was stopped, so its results may be out of date.
	started, ok := s.parked[id]
	if ok && started.entry == status.Entry && started.base <= from && !started.follower.CaughtUp() {
		started = started.resumed()
	} else {
		started = s.newReader(status, from)
	}
	delete(s.parked, id)
	ctx, cancel := context.WithCancel(s.ctx)
	started.cancel, started.waiting = cancel, 1
	_, started.sticky = s.recentJobs[id]
	s.readers[id] = started
	s.reading.Go(func() { s.run(ctx, started) })
	return started
}

// newReader returns a reader of the results from a position on that has not read anything yet.
func (s *Service) newReader(status job.Status, from int) *reader {
	id, ledger := status.Entry.JobID, job.NewLedger(s.config.Index, partitionOf(status.Entry))
	ledger.StartAt(id, from)
	size, readLog := runningReadBytes, &countingLog{Log: s.config.Log, stats: &s.stats}
	if status.Settled {
		size = settledReadBytes
	}
	tail := s.newTail(status, from, ledger)
	return &reader{
		entry: status.Entry, base: from, ledger: ledger, tail: tail, readLog: readLog, lastCall: time.Now(),
		complete: make(chan struct{}), stopped: make(chan struct{}),
		follower: follow.New(follow.Config{
			Log: readLog, Partition: partitionOf(status.Entry), From: startOffset(status, from), Wait: longPollTimeout, MinReadInterval: minReadInterval,
			MaxReadBytes: size, Prefix: job.ResultPrefix(id), AfterKey: job.ResultsAfterKey(id, from),
			Tail: tail.config(), Block: job.LastItem,
			Applier: &jobApplier{id: id, ledger: ledger, matches: job.IsResultKey, onMatch: tail.observe, onError: func(record keyedlog.Record, err error) {
				errorlog.Warn(s.config.Logger, "result skipped", err, "job", id, "key", record.Key)
			}},
			Logger: s.config.Logger,
		}),
	}
}

// resumed returns a reader that continues where a parked one stopped.
func (r *reader) resumed() *reader {
	return &reader{
		entry: r.entry, base: r.base, ledger: r.ledger, tail: r.tail, readLog: r.readLog, follower: r.follower, predecessor: r.stopped, lastCall: time.Now(),
		complete: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// startOffset returns the offset at which reading a job's results from a position on starts: 0, which reads the newest
// record of each key, unless few records follow the job's submission.
func startOffset(status job.Status, from int) int64 {
	if from > 0 || status.Settled || time.Since(status.AcceptedAt) > freshWindow {
		return 0
	}
	return status.Entry.Next
}

// release records that a call no longer waits for the reader; err is the call's error. A reader without waiting calls is
// stopped at once unless its callers return to this process: it would keep reading everything that is appended to the
// partition, for callers that send their next call to another process. What a reader has read is kept for a short time if it
// was abandoned before it caught up, so that a job that takes longer to read than one call waits can be read over several
// calls.
func (s *Service) release(r *reader, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.waiting--
	id := r.entry.JobID
	current := s.readers[id] == r
	if r.waiting > 0 || current && err == nil && r.sticky {
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
	s.markRecent(id)
}

// markRecent records for returnWindow that a call on a job was received. The mutex must be held.
func (s *Service) markRecent(id string) {
	if known, ok := s.recentJobs[id]; ok {
		known.Reset(returnWindow)
		return
	}
	s.recentJobs[id] = time.AfterFunc(returnWindow, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.recentJobs, id)
	})
}

// park keeps a stopped reader for parkedTimeout. The mutex must be held.
func (s *Service) park(r *reader) {
	id := r.entry.JobID
	s.parked[id] = r
	time.AfterFunc(parkedTimeout, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.parked[id] == r {
			delete(s.parked, id)
		}
	})
}

// run follows a job until it has all its results, and keeps them until the reader is idle.
func (s *Service) run(ctx context.Context, r *reader) {
	defer r.cancel()
	s.reading.Go(func() { s.followUntilSettled(ctx, r) })
	ticker := time.NewTicker(idleCheckInterval)
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
	if r.waiting > 0 || time.Since(r.lastCall) < idleTimeout {
		return false
	}
	if s.readers[r.entry.JobID] == r {
		delete(s.readers, r.entry.JobID)
	}
	return true
}

// followUntilSettled follows a job's partition until no more results of the job can be listed.
func (s *Service) followUntilSettled(ctx context.Context, r *reader) {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.reading.Go(func() {
		defer close(r.stopped)
		if r.predecessor != nil {
			<-r.predecessor
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

// waitReady waits until the reader can answer a call from a position on: until it has read everything that was listed when
// it was started, or has results of more than limit bytes.
func (r *reader) waitReady(ctx context.Context, from, limit int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	caughtUp := make(chan error, 1)
	go func() { caughtUp <- r.waitCaughtUp(ctx) }()
	for {
		readable, changed := r.ledger.Readable(r.entry.JobID, from, limit)
		if readable.Full {
			return nil
		}
		select {
		case err := <-caughtUp:
			return err
		case <-changed:
		}
	}
}

// waitCurrent waits until a reader that has no result at a position for a call has read what the partition held when the call
// arrived, or has such a result. A reader that runs for an earlier call may be behind the partition, and an answer without
// results would deny what other nodes have given out.
func (s *Service) waitCurrent(ctx context.Context, r *reader, from int, arrivedAt time.Time) error {
	if arrivedAt.Sub(r.follower.Confirmed()) < maxViewAge || r.isComplete() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	current := make(chan error, 1)
	go func() { current <- follow.WaitUntilCurrent(ctx, s.config.Log, partitionOf(r.entry), r.follower) }()
	for {
		listed, changed := r.ledger.Listed(r.entry.JobID)
		if listed > from {
			return nil
		}
		select {
		case err := <-current:
			return err
		case <-r.complete:
			return nil
		case <-changed:
		}
	}
}

// isComplete reports whether the reader has all results that the job will ever have.
func (r *reader) isComplete() bool {
	select {
	case <-r.complete:
		return true
	default:
		return false
	}
}

// waitResult waits until a result at or after a position is listed or no more can be, for at most maxWait or until the
// context ends.
func (r *reader) waitResult(ctx context.Context, from int, maxWait time.Duration) {
	if maxWait <= 0 {
		return
	}
	timer := time.NewTimer(maxWait)
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

// waitCaughtUp waits until everything that was listed when the reader was started has been read, or the context ends.
func (r *reader) waitCaughtUp(ctx context.Context) error {
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
	if r.isComplete() {
		return nil
	}
	return err
}
