// Package platform holds the interfaces through which hillfork meets everything it does not run itself: the log, the
// weight store, the machine list, the model engines and the scorers. Adapters fill them; another wire format costs one
// adapter. No interface assumes more than docs/DESIGN.md, section "What the platform gives", states.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors that adapters return, wrapped. Any other error from a call that has an effect leaves open whether the effect
// took place.
var (
	// ErrNotSent says that the call provably never reached the other side.
	ErrNotSent = errors.New("call was not sent")
	// ErrThrottled says that the weight store refused for its rate limit.
	ErrThrottled = errors.New("throttled")
	// ErrStaleOrder says that an engine refused an order older than one it has already accepted.
	ErrStaleOrder = errors.New("order is superseded")
	// ErrRejected says that an engine refused work before running any of it.
	ErrRejected = errors.New("engine refused the work")
)

// Entry is one payload of a log stream. Offsets of a stream are dense and start at 0.
type Entry struct {
	Offset  int64
	Payload []byte
}

// ReadOptions bounds one read of a log stream.
type ReadOptions struct {
	// MaxEntries bounds the entries returned; 0 returns none and so asks for the tail only.
	MaxEntries int
	// Wait is how long the log may hold the read open when there is no entry yet at the offset; 0 answers at once.
	Wait time.Duration
}

// ReadResult is the answer to one read.
type ReadResult struct {
	Entries []Entry
	// Tail is the offset that the next entry appended to the stream will get, as of this read.
	Tail int64
}

// Log is the platform's append-only log. There is no compare-and-append. An Append that fails with anything but
// ErrNotSent may have taken effect, now or a little later.
type Log interface {
	// Append adds payloads contiguously and in order, and returns the offset of the first.
	Append(ctx context.Context, stream string, payloads [][]byte) (int64, error)
	// Read returns entries from offset on. A stream that does not exist reads as empty.
	Read(ctx context.Context, stream string, offset int64, options ReadOptions) (ReadResult, error)
}

// MachineState is what the machine list says of a machine.
type MachineState string

// States of a machine. A machine that is absent from the list is neither live nor leaving.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineKind tells what runs on a machine.
type MachineKind string

// Kinds of machine.
const (
	MachineNode   MachineKind = "node"
	MachineEngine MachineKind = "engine"
)

// Machine is one line of the machine list.
type Machine struct {
	ID      string
	Kind    MachineKind
	Address string
	Zone    string
	Region  string
	// Pool is the pool an engine was started for; empty for nodes.
	Pool  string
	State MachineState
}

// MachineList is the platform's list of machines. It lags.
type MachineList interface {
	List(ctx context.Context) ([]Machine, error)
}

// WeightVersion names one version of a model's weights that the store holds.
type WeightVersion struct {
	Model   string
	Version uint64
}

// WeightStore tells which weights can be loaded. Engines read the weights themselves; the store limits the rate.
type WeightStore interface {
	// Latest returns the newest version of the model, 0 where there is none.
	Latest(ctx context.Context, model string) (uint64, error)
}

// VersionSpan says that tokens From (inclusive) to To (exclusive) of a sample were produced by Version.
type VersionSpan struct {
	From    int
	To      int
	Version uint64
}

// GenerateRequest asks an engine for one stream of tokens.
type GenerateRequest struct {
	RequestID string
	Attempt   uint32
	Model     string
	Prompt    []uint32
	// Resume holds tokens produced by an earlier attempt; the engine continues after them.
	Resume    []uint32
	MaxTokens int
	Seed      uint64
	// Priority orders the engine's batch: higher first.
	Priority int
}

// Chunk is a run of tokens from one stream. RequestID, Attempt and Index let the receiver drop what is late or doubled.
type Chunk struct {
	RequestID string
	Attempt   uint32
	// Index is the position of the first token, counted from the start of the answer, resumed tokens included.
	Index   int
	Tokens  []uint32
	Version uint64
	// Finished marks the last chunk of a whole answer.
	Finished bool
}

// ChunkStream yields the chunks of one answer. Receive returns io.EOF only after a chunk with Finished set.
type ChunkStream interface {
	Receive() (Chunk, error)
	Close() error
}

// Fence orders the orders to an engine: by Epoch, then by Sequence. An engine refuses any order not above the newest it
// has accepted.
type Fence struct {
	Epoch    uint64
	Sequence uint64
}

// LoadOrder tells an engine to serve Version of Model.
type LoadOrder struct {
	Fence   Fence
	Model   string
	Version uint64
}

// EngineStatus is the engine's lagging word on itself.
type EngineStatus struct {
	ID          string
	Incarnation uint64
	// Served maps a model to the version that new tokens come from.
	Served  map[string]uint64
	Running int
	Waiting int
	// Slots is how many streams run at once.
	Slots   int
	Leaving bool
	Pool    string
	// TokensPerSecond is the recent rate over all streams.
	TokensPerSecond float64
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache. Events come late; a jump of Sequence is a gap.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64
	Evicted  bool
}

// Engine is one model engine.
type Engine interface {
	Generate(ctx context.Context, request GenerateRequest) (ChunkStream, error)
	// Cancel stops a stream; an unknown stream is no error.
	Cancel(ctx context.Context, requestID string, attempt uint32) error
	Load(ctx context.Context, order LoadOrder) error
	// SetPool changes the engine's role to serve another pool.
	SetPool(ctx context.Context, fence Fence, pool string) error
	Status(ctx context.Context) (EngineStatus, error)
	CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]CacheEvent, error)
	// ExportCache returns the KV cache of a running stream and its tokens so far, and stops it.
	ExportCache(ctx context.Context, requestID string, attempt uint32) (CacheExport, error)
	// ImportCache readies the cache of a stream that Generate will then resume.
	ImportCache(ctx context.Context, export CacheExport) error
}

// CacheExport is a stream's KV cache, opaque, with the answer so far.
type CacheExport struct {
	RequestID string
	Tokens    []uint32
	Spans     []VersionSpan
	State     []byte
}

// EngineDialer opens an Engine by address.
type EngineDialer interface {
	Engine(address string) Engine
}

// Score is a scorer's judgement of one sample.
type Score struct {
	SampleID string
	Reward   float64
}

// Scorer scores finished samples. Scoring the same sample again gives the same score.
type Scorer interface {
	Score(ctx context.Context, scorer string, sampleID string, prompt, tokens []uint32) (Score, error)
}
