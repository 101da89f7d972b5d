package jobs

import (
	"context"
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
	// idleAfter is how long after the last call on a job its results are kept here. Callers read about twice a second.
	idleAfter = 5 * time.Second
	// idleLook is how often that is looked at.
	idleLook = time.Second
	// parkedFor is how long a part of a job's results that was read is kept for the next call, which comes at once as a rule.
	parkedFor = 5 * time.Second
)

// reader follows the results of one job while it is asked for. All processes together read a job as often as there are nodes
// that are asked for it, not as often as there are nodes.
type reader struct {
	entry    job.Entry
	ledger   *job.Ledger
	follower *follow.Follower
	cancel   context.CancelFunc
	// asked is when the last call came, waiting counts the calls that wait for the reader to be in step.
	asked   time.Time
	waiting int
	// complete is closed once all results are here that there will ever be.
	complete chan struct{}
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

// reader returns the reader of a job, starting one if there is none.
func (s *Service) reader(status job.Status) *reader {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := status.Entry.JobID
	if found, ok := s.readers[id]; ok {
		found.asked = time.Now()
		found.waiting++
		return found
	}
	ledger, from := job.NewLedger(s.config.Index, status.Entry.Partition), status.Entry.Next
	if parked, ok := s.parked[id]; ok && parked.entry == status.Entry {
		delete(s.parked, id)
		ledger, from = parked.ledger, max(from, parked.follower.Applied())
	}
	size := 0
	if status.Settled {
		size = settledBytes
	}
	started := &reader{
		entry: status.Entry, ledger: ledger, asked: time.Now(), complete: make(chan struct{}),
		follower: follow.New(follow.Config{
			Log: s.config.Log, Partition: partitionOf(status.Entry), From: from, Wait: readWait, Spacing: readSpacing,
			Bytes: size, Prefix: job.ResultPrefix(id),
			Applier: &jobApplier{id: id, ledger: ledger, wanted: job.IsResult, failed: func(record keyedlog.Record, err error) {
				errorlog.Warn(s.config.Logger, "result skipped", err, "job", id, "key", record.Key)
			}},
			Logger: s.config.Logger,
		}),
	}
	ctx, cancel := context.WithCancel(s.ctx)
	started.cancel, started.waiting = cancel, 1
	s.readers[id] = started
	s.reading.Go(func() { s.read(ctx, started) })
	return started
}

// left takes that a call waits no more. A reader that nobody waits for, and that was given up before it was in step, ends at
// once: its callers ask elsewhere, and what it would still read is taken from them. What it has read is kept for a moment: a job that
// takes longer to read than a call waits is read by several.
func (s *Service) left(r *reader, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r.waiting--
	if err == nil || r.waiting > 0 {
		return
	}
	r.cancel()
	if s.readers[r.entry.JobID] == r {
		delete(s.readers, r.entry.JobID)
		s.park(r)
	}
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
	s.reading.Go(func() { r.follower.Run(followCtx) })
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
