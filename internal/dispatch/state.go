package dispatch

import "github.com/hillfork/hillfork/internal/shard"

// State is the state of an engine's shard stream. The stream only serves to number its owners, so there is nothing to
// fold.
type State struct{}

// NewState returns the state of an engine's stream, for shard.Config.
func NewState() shard.State { return State{} }

// Apply ignores the record.
func (State) Apply(shard.Record) any { return nil }

// Snapshot is empty.
func (State) Snapshot() ([]byte, error) { return nil, nil }

// Restore has nothing to restore.
func (State) Restore([]byte) error { return nil }
