package stepledger

import (
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
)

// maxHandoverAllowance and handoverAllowanceParts set how much of the age bound is kept back for the way from the
// hand-over check to the trainer: a twentieth of the bound, at most half a second.
const (
	maxHandoverAllowance   = 500 * time.Millisecond
	handoverAllowanceParts = 20
)

// spansCover reports whether spans name a version for every one of the tokens exactly once, in order. An answer without
// tokens names no version and so is never covered.
func spansCover(spans []VersionSpan, tokens int) bool {
	if tokens <= 0 {
		return false
	}
	next := 0
	for _, span := range spans {
		if span.From != next || span.To <= span.From {
			return false
		}
		next = span.To
	}
	return next == tokens
}

// oldestVersion is the lowest version in spans, which must not be empty.
func oldestVersion(spans []VersionSpan) uint64 {
	oldest := spans[0].Version
	for _, span := range spans[1:] {
		oldest = min(oldest, span.Version)
	}
	return oldest
}

// bounds is what a workload's bundle asks of an answer, worked out against a trainer's version.
type bounds struct {
	minVersion uint64
	// maxVersion 0 is no bound.
	maxVersion uint64
	// maxAge 0 is no bound.
	maxAge time.Duration
}

// boundsOf works out the bounds in force when the newest version the trainer has published is latest.
func boundsOf(workload *bundle.Workload, latest uint64) bounds {
	result := bounds{minVersion: workload.MinVersion, maxVersion: workload.MaxVersion}
	if workload.Staleness == nil {
		return result
	}
	if behind := workload.Staleness.MaxVersionsBehind; latest > behind {
		result.minVersion = max(result.minVersion, latest-behind)
	}
	result.maxAge = time.Duration(workload.Staleness.MaxAge)
	return result
}

// unbounded accepts every answer.
var unbounded = bounds{}

// acceptsVersion reports whether tokens of the version may be delivered.
func (b bounds) acceptsVersion(version uint64) bool {
	return version >= b.minVersion && (b.maxVersion == 0 || version <= b.maxVersion)
}

// acceptsSpans reports whether every token's version may be delivered.
func (b bounds) acceptsSpans(spans []VersionSpan) bool {
	for _, span := range spans {
		if !b.acceptsVersion(span.Version) {
			return false
		}
	}
	return true
}

// acceptsAge reports whether an answer completed at a time may still be handed over now.
func (b bounds) acceptsAge(completedUnixMillis int64, now time.Time) bool {
	if b.maxAge <= 0 {
		return true
	}
	allowance := min(b.maxAge/handoverAllowanceParts, maxHandoverAllowance)
	return now.Sub(time.UnixMilli(completedUnixMillis)) <= b.maxAge-allowance
}

// accepts reports whether the answer of a sample may be handed over now.
func (b bounds) accepts(sample *SampleImage, now time.Time) bool {
	return b.acceptsSpans(sample.Spans) && b.acceptsAge(sample.CompletedUnixMillis, now)
}
