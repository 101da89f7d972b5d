package shard

import "time"

// Settings bounds what an owner does. Zero fields take their defaults.
type Settings struct {
	// MaxBatchEntries and MaxBatchBytes bound one append; the proposals of one Append call are never split over two.
	MaxBatchEntries int
	MaxBatchBytes   int
	// MaxEntryBytes bounds the body of one record.
	MaxEntryBytes int
	// MaxQueued bounds the Append calls that wait for the log.
	MaxQueued int
	// AppendTimeout bounds the first try of an append; each further try gets twice the time, up to MaxAttemptTimeout.
	AppendTimeout     time.Duration
	MaxAttemptTimeout time.Duration
	// ReadEntries bounds the entries of one read.
	ReadEntries int
	// FollowAfter is how long an owner must have appended nothing before it polls the tail of its stream, and the least
	// time between two polls. FollowWait is how long the log may hold a poll open.
	FollowAfter time.Duration
	FollowWait  time.Duration
	// SnapshotEvery entries, or SnapshotBytes of them, a snapshot is due. It then waits until the entries since the last
	// one are half its size, so that snapshots cost at most three times the bytes of the records, unless the state grows
	// by more than the records put into it.
	SnapshotEvery int
	SnapshotBytes int64
	// SnapshotChunkBytes bounds the piece of a snapshot in one entry.
	SnapshotChunkBytes int
	// SnapshotRetry is the least time between a snapshot that failed and the next.
	SnapshotRetry time.Duration
	// OpenTimeout bounds the opening of a shard.
	OpenTimeout time.Duration
	// HandoverWait is how long a shard is left to an owner known to be alive although it is placed here.
	HandoverWait time.Duration
	// RefusalTTL is how long a refusal for such an owner is answered without reading the stream again.
	RefusalTTL time.Duration
	// SettleTime is how long an owned shard must be placed elsewhere before it is handed over.
	SettleTime time.Duration
	// DrainTimeout bounds the hand-over hook of one shard, and ReleaseTimeout its release.
	DrainTimeout   time.Duration
	ReleaseTimeout time.Duration
}

// DefaultSettings are the settings for a log in the same region.
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

// withDefaults fills the fields that were left at zero.
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

// fill sets a field that is zero.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
