package stepledger

import (
	"time"

	"github.com/hillfork/hillfork/internal/bundle"
)

// maxHandoverAllowance and handoverAllowanceParts determine the part of the max age that is reserved for the time from the
// hand-over check to the arrival at the trainer: a twentieth of the max age, but no more than half a second.
const (
	maxHandoverAllowance   = 500 * time.Millisecond
	handoverAllowanceParts = 20
)

// spansCover reports whether spans cover every token exactly once and in order. It returns false for an answer without
// tokens, which has no version.
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

// oldestVersion returns the lowest version of spans, which must not be empty.
func oldestVersion(spans []VersionSpan) uint64 {
	oldest := spans[0].Version
	for _, span := range spans[1:] {
		oldest = min(oldest, span.Version)
	}
	return oldest
}

// bounds limits the versions and the age of answers that may be delivered, for a workload and a version of its trainer.
type bounds struct {
	minVersion uint64
	// maxVersion 0 means no limit.
	maxVersion uint64
	// maxAge 0 means no limit.
	maxAge time.Duration
}

// boundsOf returns the bounds of a workload if latest is the newest version that the trainer has published.
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

// acceptsVersion reports whether tokens of a version may be delivered.
func (b bounds) acceptsVersion(version uint64) bool {
	return version >= b.minVersion && (b.maxVersion == 0 || version <= b.maxVersion)
}

// acceptsSpans reports whether the versions of all tokens may be delivered.
func (b bounds) acceptsSpans(spans []VersionSpan) bool {
	for _, span := range spans {
		if !b.acceptsVersion(span.Version) {
			return false
		}
	}
	return true
}

// acceptsAge reports whether an answer of the given completion time may still be handed over now.
func (b bounds) acceptsAge(completedUnixMillis int64, now time.Time) bool {
	if b.maxAge <= 0 {
		return true
	}
	allowance := min(b.maxAge/handoverAllowanceParts, maxHandoverAllowance)
	return now.Sub(time.UnixMilli(completedUnixMillis)) <= b.maxAge-allowance
}

// accepts reports whether the answer to a sample may be handed over now.
func (b bounds) accepts(sample *SampleImage, now time.Time) bool {
	return b.acceptsSpans(sample.Spans) && b.acceptsAge(sample.CompletedUnixMillis, now)
}
