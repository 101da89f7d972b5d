package accounting

import (
	"context"

	"github.com/hillfork/hillfork/internal/platform"
)

// entryOverhead is the approximate size of a log entry or call beside its payload, in bytes.
const entryOverhead = 16

// Log wraps the platform's log and counts the traffic with it.
type Log struct {
	Next     platform.Log
	Counters *Counters
}

// Append appends to the log, and counts the payloads and the answer.
func (l Log) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	mechanism := MechanismOfStream(stream)
	l.Counters.Sent(mechanism, len(stream)+payloadBytes(payloads))
	offset, err := l.Next.Append(ctx, stream, payloads)
	l.Counters.Received(mechanism, entryOverhead)
	return offset, err
}

// Read reads from the log, and counts the request and the entries.
func (l Log) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	mechanism := MechanismOfStream(stream)
	l.Counters.Sent(mechanism, len(stream)+entryOverhead)
	result, err := l.Next.Read(ctx, stream, offset, options)
	total := entryOverhead
	for _, entry := range result.Entries {
		total += len(entry.Payload) + entryOverhead
	}
	l.Counters.Received(mechanism, total)
	return result, err
}

func payloadBytes(payloads [][]byte) int {
	total := 0
	for _, payload := range payloads {
		total += len(payload) + entryOverhead
	}
	return total
}
