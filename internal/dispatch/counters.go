package dispatch

import "sync/atomic"

// Counters counts what the dispatchers of a node did, since its start.
type Counters struct {
	// Control messages, by direction of their use.
	StatusReads  atomic.Uint64
	WeightOrders atomic.Uint64
	HintPolls    atomic.Uint64
	Pulls        atomic.Uint64
	Reports      atomic.Uint64
	Completions  atomic.Uint64

	// Work.
	RequestsAdmitted atomic.Uint64
	RequestsRefused  atomic.Uint64
	AttemptsStarted  atomic.Uint64
	AttemptsFailed   atomic.Uint64
	AttemptsUseless  atomic.Uint64
	Preemptions      atomic.Uint64

	// Trouble.
	ChunksForeign      atomic.Uint64
	ChunksDuplicate    atomic.Uint64
	ChunksReordered    atomic.Uint64
	ChunksOverflow     atomic.Uint64
	ChunksWrongVersion atomic.Uint64
	Quarantines        atomic.Uint64
	LoadsFailed        atomic.Uint64
	LoadsThrottled     atomic.Uint64
	LoadsUnverified    atomic.Uint64
	OwnersSuperseded   atomic.Uint64
	EngineRestarts     atomic.Uint64
}

// countDrops adds what an assembler dropped or reordered.
func (c *Counters) countDrops(drops drops) {
	c.ChunksForeign.Add(uint64(drops.foreign))
	c.ChunksDuplicate.Add(uint64(drops.duplicate))
	c.ChunksReordered.Add(uint64(drops.reordered))
	c.ChunksOverflow.Add(uint64(drops.overflow))
}
