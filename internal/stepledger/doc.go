// Package stepledger owns the samples of training workloads: what has been submitted, which answers are committed, and
// which of them the trainer holds. Each workload has ShardsPerWorkload streams in the log; a step belongs to one of them.
//
// What must last is a pure fold (State) over the records of a stream. What may be lost with its owner, namely the
// attempts that run on engines and the history that predicts lengths, lives in a session: it is created when the shard is
// opened and dropped when the shard's Owner is done.
//
// Invariants of the fold, whatever the records:
//   - a position of a step belongs to one sample for ever; only the attempt that fills it may be replaced;
//   - a sample holds at most one answer, and an answer at a position below the cursor is never replaced;
//   - the cursor, the newest version and the set of retired steps only grow.
//
// Lock order: session.mutex, then the shard's own lock (inside Owner.View). Neither is held across I/O or a channel wait.
package stepledger
