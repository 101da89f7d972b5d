package check

// Unanswered lists the requests that ended without an outcome although their node could be reached, and no place was cut
// off from another, while they were under way, and the run had not ended.
func (o *Observations) Unanswered() []Request {
	var found []Request
	for _, request := range o.Requests {
		endedWithRun := !o.EndedAt.IsZero() && !request.EndedAt.Before(o.EndedAt)
		if request.Outcome != OutcomeBroken || endedWithRun {
			continue
		}
		if o.cutOff(request.Node, request.SentAt, request.EndedAt) || o.lostContact(request) {
			continue
		}
		found = append(found, request)
	}
	return found
}
