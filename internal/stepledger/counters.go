package stepledger

import "sync/atomic"

// Counters counts the work of a Service since its start. All fields are safe for concurrent use.
type Counters struct {
	// Steps counts submissions acknowledged, repeats included, Assigned attempts given out, and Resumed those of them that go on from a partial answer.
	Steps    atomic.Uint64
	Assigned atomic.Uint64
	Resumed  atomic.Uint64
	// Completed counts answers recorded. Duplicates and Stale are answers that came too late or were over the bound.
	Completed  atomic.Uint64
	Duplicates atomic.Uint64
	Stale      atomic.Uint64
	// Failed counts attempts handed back, Silent those given up for want of reports, and Cancelled those that engines were
	// told to stop.
	Failed    atomic.Uint64
	Silent    atomic.Uint64
	Cancelled atomic.Uint64
	// Adopted counts attempts of an earlier owner that were taken over.
	Adopted atomic.Uint64
	// Replaced counts recorded answers that passed the bound before they were handed over.
	Replaced atomic.Uint64
	// Scored counts rewards recorded, and ScoreErrors tries that failed.
	Scored      atomic.Uint64
	ScoreErrors atomic.Uint64
	// HandedOver counts samples in answers to trainers, repeats included.
	HandedOver atomic.Uint64
}

// Metric is one counter as it stands.
type Metric struct {
	Name  string
	Help  string
	Value uint64
}

// Counters counts the work of this service.
func (s *Service) Counters() *Counters {
	return &s.counters
}

// Metrics returns the counters as they stand.
func (c *Counters) Metrics() []Metric {
	return []Metric{
		{"submissions_total", "Submissions of steps acknowledged, repeats included.", c.Steps.Load()},
		{"attempts_assigned_total", "Attempts given to engines.", c.Assigned.Load()},
		{"attempts_resumed_total", "Attempts that go on from a partial answer.", c.Resumed.Load()},
		{"samples_completed_total", "Answers recorded.", c.Completed.Load()},
		{"completions_duplicate_total", "Answers of samples that had one.", c.Duplicates.Load()},
		{"completions_stale_total", "Answers that were over the bound when they came.", c.Stale.Load()},
		{"attempts_failed_total", "Attempts that engines handed back.", c.Failed.Load()},
		{"attempts_silent_total", "Attempts given up for want of reports.", c.Silent.Load()},
		{"attempts_cancelled_total", "Attempts that engines were told to stop.", c.Cancelled.Load()},
		{"attempts_adopted_total", "Attempts taken over from an earlier owner.", c.Adopted.Load()},
		{"samples_replaced_total", "Recorded answers that passed the bound before they were handed over.", c.Replaced.Load()},
		{"samples_scored_total", "Rewards recorded.", c.Scored.Load()},
		{"score_errors_total", "Tries to score that failed.", c.ScoreErrors.Load()},
		{"samples_handed_over_total", "Samples in answers to trainers, repeats included.", c.HandedOver.Load()},
	}
}
