package shard

import (
	"sync/atomic"

	"github.com/hillfork/hillfork/internal/metric"
)

// Counters counts the operations of all shards of a Manager.
type Counters struct {
	// Opens counts the shards claimed; OpenMicros is the total time spent opening them, in microseconds.
	Opens      atomic.Uint64
	OpenMicros atomic.Uint64
	// OpenEntries and OpenBytes count what was read from the log to open shards, including snapshots.
	OpenEntries atomic.Uint64
	OpenBytes   atomic.Uint64
	// ClaimsLost counts claims that another process won, and Superseded counts owned shards that another process
	// claimed.
	ClaimsLost atomic.Uint64
	Superseded atomic.Uint64
	Released   atomic.Uint64
	// Appends counts append calls to the log, Records the records in them, and AppendBytes their payload bytes.
	Appends     atomic.Uint64
	Records     atomic.Uint64
	AppendBytes atomic.Uint64
	// AppendRetries counts appends that were retried because it was unknown whether they took effect.
	AppendRetries atomic.Uint64
	// Reads counts reads of the main streams of owned shards, and ReadBytes the payload bytes returned.
	Reads     atomic.Uint64
	ReadBytes atomic.Uint64
	// Void, Gaps and Garbage count folded entries that had no effect.
	Void    atomic.Uint64
	Gaps    atomic.Uint64
	Garbage atomic.Uint64
	// Snapshots and SnapshotBytes count written snapshots, SnapshotFailures those that could not be written, and
	// SnapshotsSkipped those that were unusable when read.
	Snapshots        atomic.Uint64
	SnapshotBytes    atomic.Uint64
	SnapshotFailures atomic.Uint64
	SnapshotsSkipped atomic.Uint64
}

// Metrics returns the current values of the counters.
func (c *Counters) Metrics() []metric.Metric { return metric.Read(c.list()) }

func (c *Counters) list() []metric.Counter {
	return []metric.Counter{
		{Value: &c.Opens, Name: "opens_total", Help: "Shards claimed."},
		{Value: &c.OpenMicros, Name: "open_microseconds_total", Help: "Time spent on opening shards."},
		{Value: &c.OpenEntries, Name: "open_entries_total", Help: "Log entries read to open shards."},
		{Value: &c.OpenBytes, Name: "open_bytes_total", Help: "Log bytes read to open shards."},
		{Value: &c.ClaimsLost, Name: "claims_lost_total", Help: "Claims that another process won."},
		{Value: &c.Superseded, Name: "superseded_total", Help: "Owned shards that another process claimed."},
		{Value: &c.Released, Name: "released_total", Help: "Shards released."},
		{Value: &c.Appends, Name: "appends_total", Help: "Append calls to the log."},
		{Value: &c.Records, Name: "records_total", Help: "Records sent to the log, repeats included."},
		{Value: &c.AppendBytes, Name: "append_bytes_total", Help: "Payload bytes sent to the log, repeats included."},
		{Value: &c.AppendRetries, Name: "append_retries_total", Help: "Appends sent again since their fate was unknown."},
		{Value: &c.Reads, Name: "reads_total", Help: "Reads of the streams of owned shards."},
		{Value: &c.ReadBytes, Name: "read_bytes_total", Help: "Payload bytes that those reads returned."},
		{Value: &c.Void, Name: "void_entries_total", Help: "Entries without effect: superseded or repeated."},
		{Value: &c.Gaps, Name: "gap_entries_total", Help: "Records whose predecessor was missing."},
		{Value: &c.Garbage, Name: "garbage_entries_total", Help: "Entries of no known format."},
		{Value: &c.Snapshots, Name: "snapshots_total", Help: "Snapshots written."},
		{Value: &c.SnapshotBytes, Name: "snapshot_bytes_total", Help: "Bytes of snapshots written."},
		{Value: &c.SnapshotFailures, Name: "snapshot_failures_total", Help: "Snapshots that could not be written."},
		{Value: &c.SnapshotsSkipped, Name: "snapshots_skipped_total", Help: "Snapshots found unusable."},
	}
}

// observe counts a verdict on an entry of an owned shard.
func (c *Counters) observe(verdict Verdict) {
	switch verdict {
	case VerdictSuperseded, VerdictRepeat:
		c.Void.Add(1)
	case VerdictGap:
		c.Gaps.Add(1)
	case VerdictGarbage:
		c.Garbage.Add(1)
	}
}
