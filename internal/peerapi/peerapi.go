// Package peerapi holds the methods and messages of the peer protocol between the roles of different nodes.
package peerapi

//go:generate go tool msgp -file peerapi.go -tests=false

// A decoder allocates what an array or map claims to hold before it reads it, so a message of a few bytes could take all
// memory without a bound.
//msgp:limit arrays:262144 maps:4096

// Methods of the step ledger.
const (
	// MethodSubmitStep records a step. SubmitStep → SubmitStepResult.
	MethodSubmitStep = "steps.submit"
	// MethodFetchSamples hands out samples. FetchSamples → FetchSamplesResult.
	MethodFetchSamples = "steps.fetch"
	// MethodPublishVersion records a weight version. PublishVersion → PublishVersionResult.
	MethodPublishVersion = "steps.publish"
	// MethodPullWork gives samples to an engine dispatcher. PullWork → PullWorkResult.
	MethodPullWork = "steps.pull"
	// MethodReportWork reports on running samples. ReportWork → ReportWorkResult.
	MethodReportWork = "steps.report"
	// MethodCompleteSample records a whole sample. CompleteSample → CompleteSampleResult.
	MethodCompleteSample = "steps.complete"
	// MethodListSteps tells the state of the steps of a shard. ListSteps → ListStepsResult.
	MethodListSteps = "steps.list"
)

// Methods of the engine dispatcher and the request ledger.
const (
	// MethodExecute runs a request on an engine: Execute → stream of ExecuteEvent.
	MethodExecute = "engines.execute"
	// MethodExecuteOnce runs an unsafe request at most once: Execute → stream of ExecuteEvent.
	MethodExecuteOnce = "requests.execute_once"
	// MethodResolve settles the outcome of an unsafe request: Resolve → ResolveResult. A request that was
	// never started is cancelled by it and so proven not run.
	MethodResolve = "requests.resolve"
	// MethodFinishRequest hands the answer of a run in to the owner that took the shard over while it went on.
	// FinishRequest → FinishRequestResult.
	MethodFinishRequest = "requests.finish"
	// MethodListEngines tells the engines that a node dispatches for. ListEngines → ListEnginesResult.
	MethodListEngines = "engines.list"
	// MethodListShards tells the shards that a node owns. ListShards → ListShardsResult.
	MethodListShards = "shards.list"
	// MethodNodeStatus tells what a node says of itself. NodeStatus → NodeStatusResult.
	MethodNodeStatus = "node.status"
	// MethodGetBundle fetches the bundle in force from a peer. GetBundle → BundleProof.
	MethodGetBundle = "bundle.get"
	// MethodDrain asks a node to stop as planned. Drain → DrainResult.
	MethodDrain = "node.drain"
)

// Span says that tokens From (inclusive) to To (exclusive) came from Version.
type Span struct {
	From    int    `msg:"f"`
	To      int    `msg:"t"`
	Version uint64 `msg:"v"`
}

// SubmitStep is a training step's prompts; each is answered SamplesPerPrompt times.
type SubmitStep struct {
	Workload         string     `msg:"w"`
	Step             uint64     `msg:"s"`
	Prompts          [][]uint32 `msg:"p"`
	SamplesPerPrompt int        `msg:"n"`
	MaxTokens        int        `msg:"m"`
}

// SubmitStepResult tells how many samples the step has.
type SubmitStepResult struct {
	Samples int `msg:"n"`
}

// FetchSamples asks for the samples of a step from Cursor on; every position below it has arrived.
type FetchSamples struct {
	Workload       string `msg:"w"`
	Step           uint64 `msg:"s"`
	Cursor         int    `msg:"c"`
	TrainerVersion uint64 `msg:"v"`
	MaxSamples     int    `msg:"m"`
	WaitMillis     int64  `msg:"wt"`
}

// DeliveredSample is one sample at its position.
type DeliveredSample struct {
	Index       int      `msg:"i"`
	Position    int      `msg:"p"`
	PromptIndex int      `msg:"pi"`
	Attempt     uint32   `msg:"a"`
	Tokens      []uint32 `msg:"t"`
	Spans       []Span   `msg:"s"`
	Reward      float64  `msg:"r"`
	Scored      bool     `msg:"sc"`
	// CompletedUnixMillis is when the last token was produced.
	CompletedUnixMillis int64 `msg:"c"`
}

// FetchSamplesResult hands samples over, positions contiguous from the cursor asked for.
type FetchSamplesResult struct {
	Samples       []DeliveredSample `msg:"s"`
	NextCursor    int               `msg:"n"`
	StepComplete  bool              `msg:"d"`
	BundleVersion uint64            `msg:"b"`
}

// PublishVersion says that the weight store holds Version of the workload's model.
type PublishVersion struct {
	Workload string `msg:"w"`
	Version  uint64 `msg:"v"`
}

// PublishVersionResult acknowledges a version.
type PublishVersionResult struct {
	Latest uint64 `msg:"l"`
}

// PullWork is an engine dispatcher's offer of free slots to one step shard.
type PullWork struct {
	Workload string `msg:"w"`
	Shard    int    `msg:"sh"`
	Engine   string `msg:"e"`
	// Node is the dispatcher's peer address.
	Node string `msg:"n"`
	// ServedVersion is the version that the engine last said it produced or serves.
	ServedVersion uint64 `msg:"v"`
	// FreeSlots is how many samples the engine can take; 0 asks only whether there is work.
	FreeSlots int `msg:"f"`
	// WaitMillis holds the answer until there is work or a newer version.
	WaitMillis int64 `msg:"wt"`
	// KnownLatest is the newest version that the dispatcher knows.
	KnownLatest uint64 `msg:"k"`
}

// Assignment is one attempt at one sample.
type Assignment struct {
	Workload  string   `msg:"w"`
	Step      uint64   `msg:"s"`
	Index     int      `msg:"i"`
	Attempt   uint32   `msg:"a"`
	Model     string   `msg:"m"`
	Prompt    []uint32 `msg:"p"`
	MaxTokens int      `msg:"mt"`
	Seed      uint64   `msg:"sd"`
	// Resume and ResumeSpans are the tokens of an earlier attempt to go on from.
	Resume      []uint32 `msg:"r"`
	ResumeSpans []Span   `msg:"rs"`
	// PredictedTokens is the expected length of the whole answer.
	PredictedTokens int `msg:"pt"`
	// MinVersion is the oldest version whose tokens can still be delivered in bound.
	MinVersion uint64 `msg:"mv"`
}

// PullWorkResult gives work and says how much more there is.
type PullWorkResult struct {
	Assignments []Assignment `msg:"a"`
	// Latest is the newest version published for the workload.
	Latest uint64 `msg:"l"`
	// Backlog is how many samples still wait, and Oldest the first step that they belong to; 0 where none waits.
	Backlog int    `msg:"b"`
	Oldest  uint64 `msg:"o"`
}

// Progress tells how far an attempt is.
type Progress struct {
	Step    uint64 `msg:"s"`
	Index   int    `msg:"i"`
	Attempt uint32 `msg:"a"`
	Tokens  int    `msg:"t"`
	// Failed says that the attempt ended without a whole answer; Partial and Spans hold what it had.
	Failed  bool     `msg:"f"`
	Partial []uint32 `msg:"p"`
	Spans   []Span   `msg:"sp"`
}

// ReportWork renews an engine's attempts at one shard; attempts not renewed in time are given to another engine.
type ReportWork struct {
	Workload string     `msg:"w"`
	Shard    int        `msg:"sh"`
	Engine   string     `msg:"e"`
	Attempts []Progress `msg:"a"`
}

// AttemptRef names an attempt.
type AttemptRef struct {
	Step    uint64 `msg:"s"`
	Index   int    `msg:"i"`
	Attempt uint32 `msg:"a"`
}

// ReportWorkResult tells which of the attempts are of no more use.
type ReportWorkResult struct {
	Cancel []AttemptRef `msg:"c"`
	Latest uint64       `msg:"l"`
}

// CompleteSample hands in a whole answer.
type CompleteSample struct {
	Workload            string   `msg:"w"`
	Step                uint64   `msg:"s"`
	Index               int      `msg:"i"`
	Attempt             uint32   `msg:"a"`
	Engine              string   `msg:"e"`
	EngineIncarnation   uint64   `msg:"ei"`
	Tokens              []uint32 `msg:"t"`
	Spans               []Span   `msg:"sp"`
	CompletedUnixMillis int64    `msg:"c"`
}

// CompleteOutcome says what became of a completion.
type CompleteOutcome uint8

// Outcomes of a completion.
const (
	CompleteRecorded CompleteOutcome = iota + 1
	// CompleteDuplicate says that the sample had a valid answer already.
	CompleteDuplicate
	// CompleteStale says that the answer could not be delivered in bound any more; the sample will run again.
	CompleteStale
	// CompleteUnknownSample says that there is no such sample (any more).
	CompleteUnknownSample
)

// CompleteSampleResult is durable when it is sent.
type CompleteSampleResult struct {
	Outcome CompleteOutcome `msg:"o"`
}

// ListSteps asks for the steps of a workload's shard.
type ListSteps struct {
	Workload string `msg:"w"`
	Shard    int    `msg:"sh"`
}

// StepInfo counts the samples of a step.
type StepInfo struct {
	Workload  string `msg:"w"`
	Step      uint64 `msg:"s"`
	Samples   int    `msg:"n"`
	Completed int    `msg:"c"`
	Delivered int    `msg:"d"`
	Running   int    `msg:"r"`
}

// ListStepsResult lists steps.
type ListStepsResult struct {
	Steps []StepInfo `msg:"s"`
}

// Execute asks for one interactive request to be run.
type Execute struct {
	Workload  string   `msg:"w"`
	RequestID string   `msg:"r"`
	Attempt   uint32   `msg:"a"`
	Engine    string   `msg:"e"`
	Prompt    []uint32 `msg:"p"`
	Resume    []uint32 `msg:"rs"`
	MaxTokens int      `msg:"m"`
	Seed      uint64   `msg:"s"`
	// TimeoutMillis is what is left of the caller's deadline.
	TimeoutMillis int64 `msg:"t"`
	// QueueMillis bounds the wait for a slot of the engine; 0 leaves that to TimeoutMillis. A run may outlast the caller's
	// patience, so that its answer can be asked for again, but work that nobody waits for must not begin.
	QueueMillis int64 `msg:"q"`
	// Ask names one ask of a caller for an unsafe request, drawn at random by the gateway. An ask that was answered as not
	// run is never run later, whereas a new ask of the same request may be.
	Ask uint64 `msg:"k"`
}

// Outcome is the closed set of ends of a request; 0 while it goes on.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeNone Outcome = iota
	OutcomeCompleted
	// OutcomeNotRun says that it is proven that no engine ran any of the request.
	OutcomeNotRun
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown
	OutcomeCancelled
)

// ExecuteEvent is a part of an answer, or its end. Of the event with OutcomeCompleted, Index plus the number of its
// Tokens is the length of the whole answer, resumed tokens included.
type ExecuteEvent struct {
	RequestID string   `msg:"r"`
	Attempt   uint32   `msg:"a"`
	Index     int      `msg:"i"`
	Tokens    []uint32 `msg:"t"`
	Version   uint64   `msg:"v"`
	// Accepted is set on the first event, when the engine has been given the request.
	Accepted         bool    `msg:"ac"`
	Outcome          Outcome `msg:"o"`
	Reason           string  `msg:"re"`
	RetryAfterMillis int64   `msg:"ra"`
	// Load is the engine's streams running and waiting over its slots, as the dispatcher counts them.
	Load float64 `msg:"ld"`
}

// Resolve asks for the outcome of an unsafe request.
type Resolve struct {
	Workload  string `msg:"w"`
	RequestID string `msg:"r"`
	// Ask is the ask whose contact was lost, as in Execute.
	Ask uint64 `msg:"k"`
	// Digest is the digest of the request's content; a key recorded with another one is a conflict.
	Digest []byte `msg:"d"`
	// WaitMillis bounds the wait for a run that is still going on.
	WaitMillis int64 `msg:"wt"`
}

// ResolveResult is the settled outcome, with the whole answer where it was completed.
type ResolveResult struct {
	Outcome          Outcome  `msg:"o"`
	Reason           string   `msg:"re"`
	RetryAfterMillis int64    `msg:"ra"`
	Tokens           []uint32 `msg:"t"`
	Spans            []Span   `msg:"s"`
}

// FinishRequest is the whole answer of an unsafe request that an earlier owner started in Epoch.
type FinishRequest struct {
	Workload  string   `msg:"w"`
	RequestID string   `msg:"r"`
	Ask       uint64   `msg:"k"`
	Epoch     uint64   `msg:"e"`
	Tokens    []uint32 `msg:"t"`
	Spans     []Span   `msg:"s"`
}

// FinishRequestResult tells whether the answer is recorded as the request's; it is durable then.
type FinishRequestResult struct {
	Recorded bool `msg:"r"`
}

// ListEngines asks for the engines that a node dispatches for.
type ListEngines struct{}

// EngineInfo is the state of one engine.
type EngineInfo struct {
	ID       string            `msg:"i"`
	Pool     string            `msg:"p"`
	Zone     string            `msg:"z"`
	State    string            `msg:"s"`
	Served   map[string]uint64 `msg:"v"`
	InFlight int               `msg:"f"`
	Slots    int               `msg:"n"`
	Epoch    uint64            `msg:"e"`
}

// ListEnginesResult lists engines.
type ListEnginesResult struct {
	Engines []EngineInfo `msg:"e"`
}

// ListShards asks for the shards that a node owns.
type ListShards struct{}

// ShardInfo is one owned shard.
type ShardInfo struct {
	Name   string `msg:"n"`
	Epoch  uint64 `msg:"e"`
	Offset int64  `msg:"o"`
}

// ListShardsResult lists shards.
type ListShardsResult struct {
	Shards []ShardInfo `msg:"s"`
}

// NodeStatus asks a node for its own word.
type NodeStatus struct{}

// NodeStatusResult is what a node says of itself.
type NodeStatusResult struct {
	// BundleVersion is the version in force at the node; 0 before the first.
	BundleVersion uint64 `msg:"b"`
}

// GetBundle asks a peer for the bundle in force.
type GetBundle struct{}

// BundleSignature is one partner's signature.
type BundleSignature struct {
	Partner   string `msg:"p"`
	Signature []byte `msg:"s"`
}

// BundleLink is a bundle that was in force and changed the partners or their keys.
type BundleLink struct {
	Canonical  []byte            `msg:"c"`
	Signatures []BundleSignature `msg:"s"`
}

// BundleProof is a bundle in force with its signatures. Links lead from keys that the reader knows to those that
// signed it, oldest first.
type BundleProof struct {
	Canonical  []byte            `msg:"c"`
	Signatures []BundleSignature `msg:"s"`
	Links      []BundleLink      `msg:"l"`
}

// Drain asks a node to stop as planned.
type Drain struct{}

// DrainResult acknowledges the start of a planned stop.
type DrainResult struct{}
