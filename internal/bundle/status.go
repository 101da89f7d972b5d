package bundle

import "sort"

// String names the state.
func (s State) String() string {
	switch s {
	case StateProposed:
		return "proposed"
	case StateInForce:
		return "in force"
	case StateSuperseded:
		return "superseded"
	case StateConflicted:
		return "conflicted"
	default:
		return "unknown"
	}
}

// Status tells how a proposal stands.
type Status struct {
	Digest  string
	Version uint64
	Base    uint64
	State   State
	// SignedBy and Missing list partners in order of name. Missing is empty once the proposal has ended.
	SignedBy []string
	Missing  []string
	// Reason says why a conflicted proposal ended.
	Reason string
}

// status is that of a bundle in force.
func (a *Accepted) status() Status {
	status := Status{Digest: a.Digest, Version: a.Bundle.Version, Base: a.Bundle.Base, State: StateInForce}
	for _, signature := range a.Signatures {
		status.SignedBy = append(status.SignedBy, signature.Partner)
	}
	sort.Strings(status.SignedBy)
	return status
}

// EventKind says what a record did.
type EventKind uint8

// Effects of records.
const (
	// EventProposed opened a proposal.
	EventProposed EventKind = iota + 1
	// EventSigned added a signature.
	EventSigned
	// EventAccepted put a proposal in force.
	EventAccepted
	// EventConflicted ended a proposal that was not accepted.
	EventConflicted
	// EventSkipped left everything as it was.
	EventSkipped
)

// Event is one effect of a record.
type Event struct {
	Kind   EventKind
	Offset int64
	// Status is the proposal after the event; empty for EventSkipped.
	Status Status
	// Reason says why a record was skipped.
	Reason string
}
