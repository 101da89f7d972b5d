package accounting

import (
	"context"

	"github.com/hillfork/hillfork/internal/platform"
)

// entryOverhead is about what a log entry or call costs beside its payload, in bytes.
const entryOverhead = 16

// Log counts the traffic with the platform's log.
type Log struct {
	Next     platform.Log
	Counters *Counters
}

// Append counts the payloads and the answer.
func (l Log) Append(ctx context.Context, stream string, payloads [][]byte) (int64, error) {
	mechanism := MechanismOfStream(stream)
	l.Counters.Sent(mechanism, len(stream)+payloadBytes(payloads))
	offset, err := l.Next.Append(ctx, stream, payloads)
	l.Counters.Received(mechanism, entryOverhead)
	return offset, err
}

// Read counts the question and the entries.
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
