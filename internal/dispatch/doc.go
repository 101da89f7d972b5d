// Package dispatch gives each model engine one dispatcher at a time: the node placed for it. The dispatcher holds the truth
// on what is in flight at the engine, admits interactive requests, pulls training samples from the step ledgers, orders
// weights under a fence, and hands everything back when the engine leaves or another node takes over.
//
// Two dispatchers may believe in the same engine for a while. This is safe: weight orders carry the epoch of the engine's
// shard, attempts are numbered by the step ledger, and a request is only ever run by the dispatcher that was asked.
//
// Lock order: engineOwner.mutex, then slotTable.mutex or attempt.mutex; no lock is held across I/O or a wait.
package dispatch
