package shard

import "time"

// Settings are the limits and intervals of owners and of the Manager. Zero fields get their default values.
type Settings struct {
	// MaxBatchEntries and MaxBatchBytes limit one append; the proposals of one Append call are never split over two
	// appends.
	MaxBatchEntries int
	MaxBatchBytes   int
	// MaxEntryBytes limits the body of one record.
	MaxEntryBytes int
	// MaxQueued limits the queued Append calls.
	MaxQueued int
	// AppendTimeout limits the first attempt of an append; each further attempt has twice the timeout of the one
	// before, up to MaxAttemptTimeout.
	AppendTimeout     time.Duration
	MaxAttemptTimeout time.Duration
	// ReadEntries limits the entries of one read.
	ReadEntries int
	// FollowAfter is how long an owner must have appended nothing before it polls the tail of its stream, and the
	// minimum interval between two polls. FollowWait is how long the log may hold a poll open.
	FollowAfter time.Duration
	FollowWait  time.Duration
	// A snapshot is due after SnapshotEvery entries or SnapshotBytes of them. It is delayed until the size of the
	// entries since the last snapshot is half the size of that snapshot, so that snapshots cost at most three times the
	// bytes of the records, unless the state grows by more than the records added to it.
	SnapshotEvery int
	SnapshotBytes int64
	// SnapshotChunkBytes limits the part of a snapshot in one entry.
	SnapshotChunkBytes int
	// SnapshotRetry is the minimum time between a failed snapshot and the next attempt.
	SnapshotRetry time.Duration
	// OpenTimeout limits the opening of a shard.
	OpenTimeout time.Duration
	// HandoverWait is how long the claim of a shard that is placed here is deferred while its owner is known to be
	// alive.
	HandoverWait time.Duration
	// RefusalTTL is how long the refusal because of such an owner is repeated without reading the stream again.
	RefusalTTL time.Duration
	// SettleTime is how long an owned shard must be placed elsewhere before it is handed over.
	SettleTime time.Duration
	// DrainTimeout limits the OnHandover hook of one shard, and ReleaseTimeout its release.
	DrainTimeout   time.Duration
	ReleaseTimeout time.Duration
}

// DefaultSettings returns the settings for a log in the same region.
func DefaultSettings() Settings {
	return Settings{
		MaxBatchEntries:    512,
		MaxBatchBytes:      1 << 20,
		MaxEntryBytes:      1 << 20,
		MaxQueued:          4096,
		AppendTimeout:      5 * time.Second,
		MaxAttemptTimeout:  time.Minute,
		ReadEntries:        512,
		FollowAfter:        2 * time.Second,
		FollowWait:         20 * time.Second,
		SnapshotEvery:      2000,
		SnapshotBytes:      4 << 20,
		SnapshotChunkBytes: 512 << 10,
		SnapshotRetry:      5 * time.Second,
		OpenTimeout:        30 * time.Second,
		HandoverWait:       10 * time.Second,
		RefusalTTL:         250 * time.Millisecond,
		SettleTime:         2 * time.Second,
		DrainTimeout:       5 * time.Second,
		ReleaseTimeout:     5 * time.Second,
	}
}

// withDefaults sets zero fields to their default values.
func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	fill(&s.MaxBatchEntries, defaults.MaxBatchEntries)
	fill(&s.MaxBatchBytes, defaults.MaxBatchBytes)
	fill(&s.MaxEntryBytes, defaults.MaxEntryBytes)
	fill(&s.MaxQueued, defaults.MaxQueued)
	fill(&s.AppendTimeout, defaults.AppendTimeout)
	fill(&s.MaxAttemptTimeout, defaults.MaxAttemptTimeout)
	fill(&s.ReadEntries, defaults.ReadEntries)
	fill(&s.FollowAfter, defaults.FollowAfter)
	fill(&s.FollowWait, defaults.FollowWait)
	fill(&s.SnapshotEvery, defaults.SnapshotEvery)
	fill(&s.SnapshotBytes, defaults.SnapshotBytes)
	fill(&s.SnapshotChunkBytes, defaults.SnapshotChunkBytes)
	fill(&s.SnapshotRetry, defaults.SnapshotRetry)
	fill(&s.OpenTimeout, defaults.OpenTimeout)
	fill(&s.HandoverWait, defaults.HandoverWait)
	fill(&s.RefusalTTL, defaults.RefusalTTL)
	fill(&s.SettleTime, defaults.SettleTime)
	fill(&s.DrainTimeout, defaults.DrainTimeout)
	fill(&s.ReleaseTimeout, defaults.ReleaseTimeout)
	return s
}

// fill sets a field to value if it is zero.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
