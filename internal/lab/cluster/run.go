package cluster

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/standin/trainer"
)

// Run sets trainers, callers, operators and events going and returns when the trace's duration and settling time have
// passed, or all trainers and callers are done before.
func (c *Cluster) Run(ctx context.Context) error {
	c.started = time.Now()
	c.config.Recorder.Record(func(o *check.Observations) { o.BeganAt = c.started })
	duration := time.Duration(c.topology.Duration)
	settle := time.Duration(c.topology.Settle)
	ctx, cancel := context.WithDeadline(ctx, c.started.Add(duration+settle))
	defer cancel()
	c.startTrainers(ctx)
	callersDone := c.startCallers(ctx)
	c.watchBundles(ctx)
	err := c.runEvents(ctx)
	c.waitForTrainers(ctx, duration)
	select {
	case <-callersDone:
	case <-ctx.Done():
	}
	cancel()
	c.config.Recorder.Record(func(o *check.Observations) { o.EndedAt = time.Now() })
	return errors.Join(err, c.unreached())
}

// waitForTrainers returns when ctx ends, or when the duration has passed and every trainer with a bound on its steps is
// done.
func (c *Cluster) waitForTrainers(ctx context.Context, duration time.Duration) {
	sleepUntil(ctx, c.started.Add(duration))
	for _, process := range c.client.trainers {
		if !process.bounded {
			continue
		}
		select {
		case <-process.done:
		case <-ctx.Done():
		}
	}
}

// TrainerReport is what one workload's trainer measured.
type TrainerReport struct {
	Workload string
	Report   trainer.Report
}

// TrainerReports returns what the trainers have measured so far, in order of name.
func (c *Cluster) TrainerReports() []TrainerReport {
	var reports []TrainerReport
	for name, process := range c.client.trainers {
		reports = append(reports, TrainerReport{Workload: name, Report: process.trainer.Report()})
	}
	slices.SortFunc(reports, func(a, b TrainerReport) int {
		if a.Workload < b.Workload {
			return -1
		}
		return 1
	})
	return reports
}
