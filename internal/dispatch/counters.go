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

// Metric is one counter with its name and meaning.
type Metric struct {
	Name  string
	Help  string
	Value uint64
}

// Metrics returns the counters as they stand.
func (c *Counters) Metrics() []Metric {
	list := c.list()
	metrics := make([]Metric, len(list))
	for i, counter := range list {
		metrics[i] = Metric{Name: counter.name, Help: counter.help, Value: counter.value.Load()}
	}
	return metrics
}

// namedCounter is a counter with its exported name.
type namedCounter struct {
	value *atomic.Uint64
	name  string
	help  string
}

func (c *Counters) list() []namedCounter {
	return []namedCounter{
		{&c.StatusReads, "status_reads_total", "Reads of engines' status."},
		{&c.WeightOrders, "weight_orders_total", "Orders to engines to load weights."},
		{&c.HintPolls, "hint_polls_total", "Questions to step ledgers whether samples wait."},
		{&c.Pulls, "pulls_total", "Pulls of samples from step ledgers."},
		{&c.Reports, "reports_total", "Reports of progress to step ledgers."},
		{&c.Completions, "completions_total", "Finished samples handed to step ledgers."},
		{&c.RequestsAdmitted, "requests_admitted_total", "Interactive requests taken."},
		{&c.RequestsRefused, "requests_refused_total", "Interactive requests refused before they ran."},
		{&c.AttemptsStarted, "attempts_started_total", "Attempts at samples sent to engines."},
		{&c.AttemptsFailed, "attempts_failed_total", "Attempts at samples that engines did not finish."},
		{&c.AttemptsUseless, "attempts_useless_total", "Attempts stopped since their ledger had no more use for them."},
		{&c.Preemptions, "preemptions_total", "Attempts that gave their slot to other work."},
		{&c.ChunksForeign, "chunks_foreign_total", "Parts of answers dropped as of another request."},
		{&c.ChunksDuplicate, "chunks_duplicate_total", "Parts of answers dropped as repeated."},
		{&c.ChunksReordered, "chunks_reordered_total", "Parts of answers that came out of order."},
		{&c.ChunksOverflow, "chunks_overflow_total", "Parts of answers dropped since too many came out of order."},
		{&c.ChunksWrongVersion, "chunks_wrong_version_total", "Parts of answers from weights that the bundle does not accept."},
		{&c.Quarantines, "quarantines_total", "Times an engine was kept from work for serving unasked weights."},
		{&c.LoadsFailed, "loads_failed_total", "Loads of weights that failed."},
		{&c.LoadsThrottled, "loads_throttled_total", "Loads that the weight store put off."},
		{&c.LoadsUnverified, "loads_unverified_total", "Loads after which the engine did not serve what was ordered."},
		{&c.OwnersSuperseded, "owners_superseded_total", "Engines that another node took over."},
		{&c.EngineRestarts, "engine_restarts_total", "Restarts of engines noticed."},
	}
}
