package policy

import "time"

// LatestStart orders work of jobs that are all due the same time after they were accepted: the one that must begin first is
// the one whose remaining events take longest.
func LatestStart(accepted time.Time, events float64, pace time.Duration) time.Time {
	return accepted.Add(-time.Duration(events * float64(pace)))
}

const (
	// yieldMargin is how much later a run may begin than the work that it yields to: it waits for another place and reads its
	// prompt again, which takes some tenths of a second.
	yieldMargin = time.Second
	// yieldsMost is how often one item yields.
	yieldsMost = 2
	// holdingShare is the part of a step's critical events from which on an item may hold its step, that is, be its last one. Estimates
	// are off by a half and more, so it is well below 1.
	holdingShare = 0.75
)

// MayHold tells whether an item may be the one that its step waits for, by the events left of it and the critical events of the step.
func MayHold(events, critical float64) bool {
	return events > 0 && events >= holdingShare*critical
}

// Slack returns how long an item may take without holding its step, 0 if the critical events of the step or the quickest pace of its
// engines are not known. It is what holdingShare of the critical events take at that pace: an item that turns out longer is found to hold
// its step while it runs, and then moves to a quicker engine.
func Slack(critical float64, quickest time.Duration) time.Duration {
	return Steady(quickest).Time(holdingShare * critical)
}

// Yields tells whether a run gives its place up to an item that may hold its step, by the latest starts of both as of now and how
// often the run's item has yielded before.
func Yields(running, waiting time.Time, yielded int) bool {
	return yielded < yieldsMost && running.Sub(waiting) >= yieldMargin
}
