package requestledger

//go:generate go tool msgp -file record.go -tests=false -unexported

// A decoder allocates the length that an array declares before it reads the elements, so every array is limited: most
// by MaxRecordedTokens, others by their fields' tags.
//msgp:limit arrays:131072

import (
	"github.com/hillfork/hillfork/internal/peerapi"
)

// Kinds of record. The numbers are part of the stream's format and must never change their meaning.
const (
	kindStart  uint8 = 1
	kindFinish uint8 = 2
	kindCancel uint8 = 3
)

// startRecord is appended before the request is dispatched to an engine.
type startRecord struct {
	Workload  string `msg:"w"`
	RequestID string `msg:"r"`
	Ask       uint64 `msg:"k"`
	Digest    []byte `msg:"d"`
	// AtUnixMillis is the time on the owner's clock; it is used only for retention.
	AtUnixMillis int64 `msg:"at"`
}

// finishRecord ends a started request, or closes an ask whose Start may not have been recorded.
type finishRecord struct {
	Workload         string          `msg:"w"`
	RequestID        string          `msg:"r"`
	Ask              uint64          `msg:"k"`
	Outcome          peerapi.Outcome `msg:"o"`
	Reason           string          `msg:"re"`
	RetryAfterMillis int64           `msg:"ra"`
	Tokens           []uint32        `msg:"t"`
	Spans            []peerapi.Span  `msg:"s"`
	AtUnixMillis     int64           `msg:"at"`
	// StartEpoch is the epoch of the Start if another owner wrote it; 0 means the epoch of this record.
	StartEpoch uint64 `msg:"se"`
}

// cancelRecord closes an ask that was never started.
type cancelRecord struct {
	Workload     string `msg:"w"`
	RequestID    string `msg:"r"`
	Ask          uint64 `msg:"k"`
	AtUnixMillis int64  `msg:"at"`
}

// entrySnapshot is the snapshot of one request.
type entrySnapshot struct {
	Workload         string          `msg:"w"`
	RequestID        string          `msg:"r"`
	Running          bool            `msg:"run"`
	Ask              uint64          `msg:"k"`
	Epoch            uint64          `msg:"e"`
	Digest           []byte          `msg:"d"`
	Outcome          peerapi.Outcome `msg:"o"`
	Reason           string          `msg:"re"`
	RetryAfterMillis int64           `msg:"ra"`
	Tokens           []uint32        `msg:"t"`
	Spans            []peerapi.Span  `msg:"s"`
	AnswerDropped    bool            `msg:"x"`
	OwnerLost        bool            `msg:"l"`
	Closed           []uint64        `msg:"c,limit=64"`
	EndedUnixMillis  int64           `msg:"at"`
}

// stateSnapshot holds the running requests in the order of their starts, followed by the ended ones in the order of
// their ends.
type stateSnapshot struct {
	Epoch       uint64          `msg:"e"`
	ClockMillis int64           `msg:"c"`
	Entries     []entrySnapshot `msg:"n,limit=16384"`
}
