package policy

import "time"

// LatestStart returns the time by which work must begin so that all jobs end the same time after they were accepted:
// work with more events left must begin earlier.
func LatestStart(accepted time.Time, events float64, pace time.Duration) time.Time {
	return accepted.Add(-time.Duration(events * float64(pace)))
}

const (
	// yieldMargin is how much later a run may start than the work that it yields to: it waits for another slot and
	// prefills its prompt again, which takes some tenths of a second.
	yieldMargin = time.Second
	// maxYields is how often one item yields.
	maxYields = 2
	// criticalShare is the part of a step's critical events from which on an item may be on the critical path of its
	// step, that is, be its last one. Estimates are off by a half and more, so it is well below 1.
	criticalShare = 0.75
)

// MayBeCritical reports whether an item may be on the critical path of its step, given the events left of it and the
// critical events of the step.
func MayBeCritical(events, critical float64) bool {
	return events > 0 && events >= criticalShare*critical
}

// Slack returns how long an item may take without delaying its step, 0 if the critical events of the step or the fastest
// pace of its engines are not known. It is the time of criticalShare of the critical events at that pace: an item that
// turns out longer is recognized as critical while it runs, and then moves to a faster engine.
func Slack(critical float64, fastest time.Duration) time.Duration {
	return ConstantPace(fastest).Time(criticalShare * critical)
}

// Yields reports whether a run releases its slot to an item that may be critical, given the latest starts of both as of
// now and how often the run's item has yielded before.
func Yields(running, waiting time.Time, yielded int) bool {
	return yielded < maxYields && running.Sub(waiting) >= yieldMargin
}
