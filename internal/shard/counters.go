package shard

import "sync/atomic"

// Counters counts the work of all shards of a Manager.
type Counters struct {
	// Opens counts shards claimed; OpenMicros is the time their opening took in all, in microseconds.
	Opens      atomic.Uint64
	OpenMicros atomic.Uint64
	// OpenEntries and OpenBytes count what opening shards read from the log, snapshots included.
	OpenEntries atomic.Uint64
	OpenBytes   atomic.Uint64
	// ClaimsLost counts claims that another process won, and Superseded owned shards that another process took.
	ClaimsLost atomic.Uint64
	Superseded atomic.Uint64
	Released   atomic.Uint64
	// Appends counts calls of the log, Records the records in them, AppendBytes their payload.
	Appends     atomic.Uint64
	Records     atomic.Uint64
	AppendBytes atomic.Uint64
	// AppendRetries counts appends that were sent again since their fate was not known.
	AppendRetries atomic.Uint64
	// Reads counts reads of main streams of owned shards and ReadBytes the payload they returned.
	Reads     atomic.Uint64
	ReadBytes atomic.Uint64
	// Void, Gaps and Garbage count entries without effect that owners folded.
	Void    atomic.Uint64
	Gaps    atomic.Uint64
	Garbage atomic.Uint64
	// Snapshots and SnapshotBytes count what was written, SnapshotFailures and SnapshotsSkipped what failed to be
	// written or was found unusable.
	Snapshots        atomic.Uint64
	SnapshotBytes    atomic.Uint64
	SnapshotFailures atomic.Uint64
	SnapshotsSkipped atomic.Uint64
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
		{&c.Opens, "opens_total", "Shards claimed."},
		{&c.OpenMicros, "open_microseconds_total", "Time spent on opening shards."},
		{&c.OpenEntries, "open_entries_total", "Log entries read to open shards."},
		{&c.OpenBytes, "open_bytes_total", "Log bytes read to open shards."},
		{&c.ClaimsLost, "claims_lost_total", "Claims that another process won."},
		{&c.Superseded, "superseded_total", "Owned shards that another process claimed."},
		{&c.Released, "released_total", "Shards released."},
		{&c.Appends, "appends_total", "Append calls to the log."},
		{&c.Records, "records_total", "Records sent to the log, repeats included."},
		{&c.AppendBytes, "append_bytes_total", "Payload bytes sent to the log, repeats included."},
		{&c.AppendRetries, "append_retries_total", "Appends sent again since their fate was unknown."},
		{&c.Reads, "reads_total", "Reads of the streams of owned shards."},
		{&c.ReadBytes, "read_bytes_total", "Payload bytes that those reads returned."},
		{&c.Void, "void_entries_total", "Entries without effect: superseded or repeated."},
		{&c.Gaps, "gap_entries_total", "Records whose predecessor was missing."},
		{&c.Garbage, "garbage_entries_total", "Entries of no known format."},
		{&c.Snapshots, "snapshots_total", "Snapshots written."},
		{&c.SnapshotBytes, "snapshot_bytes_total", "Bytes of snapshots written."},
		{&c.SnapshotFailures, "snapshot_failures_total", "Snapshots that could not be written."},
		{&c.SnapshotsSkipped, "snapshots_skipped_total", "Snapshots found unusable."},
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
