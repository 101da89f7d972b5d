package check

import (
	"slices"
	"time"
)

// Unanswered lists the requests that ended without an outcome although their node could be reached, and no place was cut
// off from another, while they were under way, and the run had not ended.
func (o *Observations) Unanswered() []Request {
	var found []Request
	for _, request := range o.Requests {
		endedWithRun := !o.EndedAt.IsZero() && !request.EndedAt.Before(o.EndedAt)
		if endedWithRun {
			continue
		}
		if request.Outcome == OutcomeUnsent && !o.anyDown(request.SentAt, request.EndedAt) {
			found = append(found, request)
			continue
		}
		if request.Outcome != OutcomeBroken {
			continue
		}
		if o.cutOff(request.Node, request.SentAt, request.EndedAt) || o.lostContact(request) {
			continue
		}
		found = append(found, request)
	}
	return found
}

// anyDown tells whether some node was unreachable or stopping for a while.
func (o *Observations) anyDown(from, to time.Time) bool {
	for node := range o.Unreachable {
		if o.cutOff(node, from, to) {
			return true
		}
	}
	return slices.ContainsFunc(o.Stops, func(stop Stop) bool {
		return !stop.IsEngine && Interval{From: stop.At, To: stop.EndedAt}.overlaps(from, to)
	})
}
