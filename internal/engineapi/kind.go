package engineapi

// CallKind is what a call to an engine is for.
type CallKind int

// Kinds of calls.
const (
	// CallRequest is a request of a caller.
	CallRequest CallKind = iota
	// CallItem is a run of an item of a job.
	CallItem
	// CallScore requests the score of an item's text.
	CallScore
	// CallOrder is a load order.
	CallOrder
	// CallReport requests the engine's report.
	CallReport
	// CallHealth is a health check.
	CallHealth
	// CallKinds is the number of kinds.
	CallKinds
)

var callKindNames = [CallKinds]string{"request", "item", "score", "order", "report", "health"}

// String returns the name used in logs and metrics.
func (k CallKind) String() string {
	return callKindNames[k]
}
