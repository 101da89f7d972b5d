// Package dispatch implements the engine dispatcher. Placement assigns each model engine to one node, whose dispatcher
// is authoritative for the work in flight at the engine: it admits interactive requests, pulls training samples from
// the step ledgers, sends weight orders under a fence, and hands all work back when the engine leaves or another node
// takes it over.
//
// Two dispatchers may own the same engine for a while. This is safe: weight orders carry the epoch of the engine's
// shard, the step ledger numbers attempts, and only the dispatcher that received a request runs it.
//
// Lock order: engineOwner.mutex, then slotTable.mutex or attempt.mutex; no lock is held across I/O or a wait.
package dispatch
