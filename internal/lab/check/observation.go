// Package check judges a run from outside: by what callers, trainers, engines and the log saw, never by a node's own
// word on itself. Each of the brief's promises has one checker, a pure function over the observations of the run.
package check

import (
	"sync"
	"time"
)

// Chunk is a run of tokens that an engine produced.
type Chunk struct {
	Engine  string
	Attempt uint32
	// Index is the position of the first token in the answer.
	Index   int
	Count   int
	Version uint64
	At      time.Time
}

// Arrival is the moment at which a request to run an attempt reached an engine, whether it took it or not.
type Arrival struct {
	RequestID string
	Attempt   uint32
	At        time.Time
}

// Start is the moment at which an engine began to run an attempt.
type Start struct {
	Engine  string
	Attempt uint32
	At      time.Time
}

// Span says that tokens From (inclusive) to To (exclusive) are said to come from Version.
type Span struct {
	From    int
	To      int
	Version uint64
}

// Sample is one sample as its trainer received it.
type Sample struct {
	ID       string
	Position int
	Tokens   []uint32
	Spans    []Span
	// Expected is the whole right answer.
	Expected []uint32
	// Age is the time since the last token, as told at hand-over.
	Age time.Duration
}

// Delivery is one answer to a fetch that reached its trainer.
type Delivery struct {
	Workload       string
	Step           uint64
	At             time.Time
	Cursor         int
	NextCursor     int
	StepComplete   bool
	TrainerVersion uint64
	BundleVersion  uint64
	Samples        []Sample
}

// Outcome is the end of a request as its caller saw it.
type Outcome string

// Outcomes of a request. OutcomeBroken is the loss of contact without any outcome.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeBroken    Outcome = "broken"
	// OutcomeUnsent says that no node could be reached, and that the request provably left for none.
	OutcomeUnsent Outcome = "unsent"
)

// Request is one request as its caller saw it.
type Request struct {
	Workload string
	ID       string
	// Content identifies the request to the engines' observers, whatever id it runs under there.
	Content  uint64
	Unsafe   bool
	Node     string
	SentAt   time.Time
	EndedAt  time.Time
	Outcome  Outcome
	Reason   string
	Tokens   []uint32
	Expected []uint32
	// Later is what an unsafe request that was left unknown came to when it was asked for again under its id; empty for
	// others. LaterTokens is the answer then.
	Later       Outcome
	LaterTokens []uint32
	// AnswerIDs are the request ids that the messages of the answer carried.
	AnswerIDs []string
}

// Stop is a planned stop of a node or an engine.
type Stop struct {
	Name     string
	IsEngine bool
	At       time.Time
	// EndedAt is when the process had ended; zero if it had not by the end of the run.
	EndedAt time.Time
}

// BundleAccepted is the acceptance of a bundle, as the log has it.
type BundleAccepted struct {
	Version uint64
	At      time.Time
	// Bounds are the staleness bounds by workload.
	Bounds map[string]Bound
}

// Bound is a workload's staleness bound.
type Bound struct {
	MaxVersionsBehind uint64
	MaxAge            time.Duration
}

// BundleSeen is an operator's look at the bundle in force on one node.
type BundleSeen struct {
	Node string
	// Incarnation tells one process of the node from the next.
	Incarnation int
	Version     uint64
	At          time.Time
}

// SubmittedStep is a step whose submission was acknowledged to the trainer.
type SubmittedStep struct {
	Workload string
	Step     uint64
	Samples  int
}

// Recorder collects the observations of a run. It is safe for concurrent use.
type Recorder struct {
	mu           sync.Mutex
	observations Observations
}

// Observations is all that was seen in a run.
type Observations struct {
	// Starts and Chunks are by the request id that engines saw.
	Starts map[string][]Start
	// Runs holds the same starts by the content of the request.
	Runs   map[uint64][]Start
	Chunks map[string][]Chunk
	// Arrivals is by engine.
	Arrivals   map[string][]Arrival
	Deliveries []Delivery
	Requests   []Request
	Stops      []Stop
	Bundles    []BundleAccepted
	Seen       []BundleSeen
	Submitted  []SubmittedStep
	// Disturbances are the unplanned faults that may cut work off.
	Disturbances []Disturbance
	// Unreachable holds, by node, the intervals in which it was cut off, paused or down.
	Unreachable map[string][]Interval
	// Forgotten holds the intervals in which no process knew any bundle, for all had begun while the log was down.
	Forgotten []Interval
	// BeganAt and EndedAt bound the run.
	BeganAt time.Time
	EndedAt time.Time
}

// Interval is a span of time; a zero To means that it had not ended.
type Interval struct {
	From time.Time
	To   time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{observations: Observations{
		Arrivals:    make(map[string][]Arrival),
		Starts:      make(map[string][]Start),
		Runs:        make(map[uint64][]Start),
		Chunks:      make(map[string][]Chunk),
		Unreachable: make(map[string][]Interval),
	}}
}

// Record changes the observations under the recorder's lock.
func (r *Recorder) Record(change func(*Observations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.observations)
}

// Received records that a request to run an attempt reached an engine.
func (r *Recorder) Received(engine, requestID string, attempt uint32, at time.Time) {
	r.Record(func(o *Observations) {
		o.Arrivals[engine] = append(o.Arrivals[engine], Arrival{RequestID: requestID, Attempt: attempt, At: at})
	})
}

// Started records the start of an attempt on an engine.
func (r *Recorder) Started(engine, requestID string, attempt uint32, content uint64, at time.Time) {
	r.Record(func(o *Observations) {
		start := Start{Engine: engine, Attempt: attempt, At: at}
		o.Starts[requestID] = append(o.Starts[requestID], start)
		o.Runs[content] = append(o.Runs[content], start)
	})
}

// Produced records tokens that an engine produced.
func (r *Recorder) Produced(engine, requestID string, attempt uint32, index, count int, version uint64) {
	r.Record(func(o *Observations) {
		chunk := Chunk{Engine: engine, Attempt: attempt, Index: index, Count: count, Version: version, At: time.Now()}
		o.Chunks[requestID] = append(o.Chunks[requestID], chunk)
	})
}
