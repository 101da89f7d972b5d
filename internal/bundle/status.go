package bundle

import "sort"

// String returns the name of the state.
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

// Status is the status of a proposal.
type Status struct {
	Digest  string
	Version uint64
	Base    uint64
	State   State
	// SignedBy and Missing list partners sorted by name. Missing is empty once the proposal has ended.
	SignedBy []string
	Missing  []string
	// Reason is the reason why a conflicted proposal ended.
	Reason string
}

// status returns the status of a bundle in force.
func (a *Accepted) status() Status {
	status := Status{Digest: a.Digest, Version: a.Bundle.Version, Base: a.Bundle.Base, State: StateInForce}
	for _, signature := range a.Signatures {
		status.SignedBy = append(status.SignedBy, signature.Partner)
	}
	sort.Strings(status.SignedBy)
	return status
}

// EventKind is the kind of an effect of a record.
type EventKind uint8

// Kinds of effects.
const (
	// EventProposed means that the record opened a proposal.
	EventProposed EventKind = iota + 1
	// EventSigned means that the record added a signature.
	EventSigned
	// EventAccepted means that the record put a proposal in force.
	EventAccepted
	// EventConflicted means that the record ended a proposal that was not accepted.
	EventConflicted
	// EventSkipped means that the record had no effect.
	EventSkipped
)

// Event is one effect of a record.
type Event struct {
	Kind   EventKind
	Offset int64
	// Status is the status of the proposal after the event; empty for EventSkipped.
	Status Status
	// Reason is the reason why a record was skipped.
	Reason string
}
