package dispatch

import "github.com/hillfork/hillfork/internal/shard"

// State is the state of an engine's shard stream. It is empty, because the stream serves only to number the engine's
// owners.
type State struct{}

// NewState returns the state of an engine's stream, for shard.Config.
func NewState() shard.State { return State{} }

// Apply ignores the record.
func (State) Apply(shard.Record) any { return nil }

// Snapshot returns an empty snapshot.
func (State) Snapshot() ([]byte, error) { return nil, nil }

// Restore does nothing, because a State has no content.
func (State) Restore([]byte) error { return nil }
