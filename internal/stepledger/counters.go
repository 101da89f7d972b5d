package stepledger

import (
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/metric"
)

// Counters counts the operations of a Service since its start. All fields are safe for concurrent use.
type Counters struct {
	// Steps counts acknowledged submissions including repeated ones, Assigned the attempts assigned to engines, and Resumed
	// those of them that continue a partial answer.
	Steps    atomic.Uint64
	Assigned atomic.Uint64
	Resumed  atomic.Uint64
	// Completed counts recorded answers, Duplicates answers to samples that were complete already, and Stale answers that
	// were over the staleness bound on arrival.
	Completed  atomic.Uint64
	Duplicates atomic.Uint64
	Stale      atomic.Uint64
	// Failed counts attempts that engines returned, Silent attempts that timed out without a report, and Cancelled attempts
	// that engines were requested to stop.
	Failed    atomic.Uint64
	Silent    atomic.Uint64
	Cancelled atomic.Uint64
	// Adopted counts attempts that an earlier owner assigned and this owner continued.
	Adopted atomic.Uint64
	// Replaced counts recorded answers that exceeded the staleness bound before they were handed over.
	Replaced atomic.Uint64
	// Scored counts recorded rewards, and ScoreErrors failed calls to the scorer.
	Scored      atomic.Uint64
	ScoreErrors atomic.Uint64
	// HandedOver counts samples in responses to trainers, including repeated ones.
	HandedOver atomic.Uint64
}

// Counters returns the counters of the service.
func (s *Service) Counters() *Counters {
	return &s.counters
}

// Metrics returns the current values of the counters.
func (c *Counters) Metrics() []metric.Metric {
	return metric.Read([]metric.Counter{
		{Value: &c.Steps, Name: "submissions_total", Help: "Submissions of steps acknowledged, repeats included."},
		{Value: &c.Assigned, Name: "attempts_assigned_total", Help: "Attempts given to engines."},
		{Value: &c.Resumed, Name: "attempts_resumed_total", Help: "Attempts that go on from a partial answer."},
		{Value: &c.Completed, Name: "samples_completed_total", Help: "Answers recorded."},
		{Value: &c.Duplicates, Name: "completions_duplicate_total", Help: "Answers of samples that had one."},
		{Value: &c.Stale, Name: "completions_stale_total", Help: "Answers that were over the bound when they came."},
		{Value: &c.Failed, Name: "attempts_failed_total", Help: "Attempts that engines handed back."},
		{Value: &c.Silent, Name: "attempts_silent_total", Help: "Attempts given up for want of reports."},
		{Value: &c.Cancelled, Name: "attempts_cancelled_total", Help: "Attempts that engines were told to stop."},
		{Value: &c.Adopted, Name: "attempts_adopted_total", Help: "Attempts taken over from an earlier owner."},
		{Value: &c.Replaced, Name: "samples_replaced_total", Help: "Recorded answers that passed the bound before they were handed over."},
		{Value: &c.Scored, Name: "samples_scored_total", Help: "Rewards recorded."},
		{Value: &c.ScoreErrors, Name: "score_errors_total", Help: "Tries to score that failed."},
		{Value: &c.HandedOver, Name: "samples_handed_over_total", Help: "Samples in answers to trainers, repeats included."},
	})
}
