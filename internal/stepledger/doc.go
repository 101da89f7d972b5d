// Package stepledger keeps track of the samples of training workloads: the submitted steps, the recorded answers, and the
// answers that the trainer has acknowledged. Each workload has ShardsPerWorkload streams in the log, and each step belongs
// to one of them.
//
// The durable state of a shard (State) is a pure fold over the records of its stream. The volatile state (session) may be
// lost with the shard's owner: the attempts that run on engines and the history from which answer lengths are predicted. A
// session is created when the shard is opened and dropped when the shard's Owner is done.
//
// Invariants of the fold for any sequence of records:
//   - a position of a step never moves to another sample, but its answer may be replaced by that of another attempt;
//   - a sample holds at most one answer, and an answer at a position below the cursor is never replaced;
//   - the cursor and the newest version never decrease, and a retired step is never open again.
//
// Lock order: session.mutex, then the shard's own lock (inside Owner.View). Neither is held across I/O or a channel wait.
package stepledger
