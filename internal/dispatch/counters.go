package dispatch

import (
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/metric"
)

// Counters counts the activity of a node's dispatchers since the node started.
type Counters struct {
	// Control messages to engines and step ledgers.
	StatusReads  atomic.Uint64
	WeightOrders atomic.Uint64
	HintPolls    atomic.Uint64
	Pulls        atomic.Uint64
	Reports      atomic.Uint64
	Completions  atomic.Uint64

	// Requests and attempts.
	RequestsAdmitted atomic.Uint64
	RequestsRefused  atomic.Uint64
	AttemptsStarted  atomic.Uint64
	AttemptsFailed   atomic.Uint64
	AttemptsUseless  atomic.Uint64
	Preemptions      atomic.Uint64

	// Dropped or reordered chunks, quarantines, failed loads, lost shards and engine restarts.
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

// countDrops adds an assembler's counts of dropped and reordered chunks.
func (c *Counters) countDrops(asm *assembler) {
	drops := asm.tokens.Drops()
	c.ChunksForeign.Add(uint64(asm.foreign))
	c.ChunksDuplicate.Add(uint64(drops.Duplicate))
	c.ChunksReordered.Add(uint64(drops.Reordered))
	c.ChunksOverflow.Add(uint64(drops.Overflow))
}

// Metrics returns the current values of the counters.
func (c *Counters) Metrics() []metric.Metric { return metric.Read(c.list()) }

func (c *Counters) list() []metric.Counter {
	return []metric.Counter{
		{Value: &c.StatusReads, Name: "status_reads_total", Help: "Reads of engines' status."},
		{Value: &c.WeightOrders, Name: "weight_orders_total", Help: "Orders to engines to load weights."},
		{Value: &c.HintPolls, Name: "hint_polls_total", Help: "Questions to step ledgers whether samples wait."},
		{Value: &c.Pulls, Name: "pulls_total", Help: "Pulls of samples from step ledgers."},
		{Value: &c.Reports, Name: "reports_total", Help: "Reports of progress to step ledgers."},
		{Value: &c.Completions, Name: "completions_total", Help: "Finished samples handed to step ledgers."},
		{Value: &c.RequestsAdmitted, Name: "requests_admitted_total", Help: "Interactive requests taken."},
		{Value: &c.RequestsRefused, Name: "requests_refused_total", Help: "Interactive requests refused before they ran."},
		{Value: &c.AttemptsStarted, Name: "attempts_started_total", Help: "Attempts at samples sent to engines."},
		{Value: &c.AttemptsFailed, Name: "attempts_failed_total", Help: "Attempts at samples that engines did not finish."},
		{Value: &c.AttemptsUseless, Name: "attempts_useless_total", Help: "Attempts stopped since their ledger had no more use for them."},
		{Value: &c.Preemptions, Name: "preemptions_total", Help: "Attempts that gave their slot to other work."},
		{Value: &c.ChunksForeign, Name: "chunks_foreign_total", Help: "Parts of answers dropped as of another request."},
		{Value: &c.ChunksDuplicate, Name: "chunks_duplicate_total", Help: "Parts of answers dropped as repeated."},
		{Value: &c.ChunksReordered, Name: "chunks_reordered_total", Help: "Parts of answers that came out of order."},
		{Value: &c.ChunksOverflow, Name: "chunks_overflow_total", Help: "Parts of answers dropped since too many came out of order."},
		{Value: &c.ChunksWrongVersion, Name: "chunks_wrong_version_total", Help: "Parts of answers from weights that the bundle does not accept."},
		{Value: &c.Quarantines, Name: "quarantines_total", Help: "Times an engine was kept from work for serving unasked weights."},
		{Value: &c.LoadsFailed, Name: "loads_failed_total", Help: "Loads of weights that failed."},
		{Value: &c.LoadsThrottled, Name: "loads_throttled_total", Help: "Loads that the weight store put off."},
		{Value: &c.LoadsUnverified, Name: "loads_unverified_total", Help: "Loads after which the engine did not serve what was ordered."},
		{Value: &c.OwnersSuperseded, Name: "owners_superseded_total", Help: "Engines that another node took over."},
		{Value: &c.EngineRestarts, Name: "engine_restarts_total", Help: "Restarts of engines noticed."},
	}
}
