package stepledger

//go:generate go tool msgp -file records.go -tests=false
//msgp:limit arrays:131072

// Kinds of record in a stream of the step ledger. Numbers are never reused.
const (
	KindStepSubmitted uint8 = iota + 1
	KindVersionPublished
	KindSampleCompleted
	KindSampleScored
	KindPositionsAssigned
	KindSampleReplaced
	KindCursorAdvanced
	KindStepRetired
	KindPromptsAdded
)

// StepSubmitted records a step and the first of its prompts, as packed tokens. Digest is the SHA-256 of the whole content.
// Where the prompts are too large for one record, PromptsAdded records bring the rest.
type StepSubmitted struct {
	Step   uint64 `msg:"s"`
	Digest []byte `msg:"d"`
	// PromptCount is the number of all prompts.
	PromptCount      int      `msg:"pc"`
	Prompts          [][]byte `msg:"p"`
	SamplesPerPrompt int      `msg:"n"`
	MaxTokens        int      `msg:"m"`
}

// PromptsAdded records the prompts of a step from number First on. The step is whole once it has all.
type PromptsAdded struct {
	Step    uint64   `msg:"s"`
	Digest  []byte   `msg:"d"`
	First   int      `msg:"f"`
	Prompts [][]byte `msg:"p"`
}

// VersionPublished records that the weight store holds a version of the workload's model.
type VersionPublished struct {
	Version uint64 `msg:"v"`
}

// VersionSpan says that tokens From (inclusive) to To (exclusive) came from Version.
type VersionSpan struct {
	From    int    `msg:"f"`
	To      int    `msg:"t"`
	Version uint64 `msg:"v"`
}

// SampleCompleted records a whole answer. Payload is its packed tokens.
type SampleCompleted struct {
	Step                uint64        `msg:"s"`
	Index               int           `msg:"i"`
	Attempt             uint32        `msg:"a"`
	Engine              string        `msg:"e"`
	EngineIncarnation   uint64        `msg:"ei"`
	Payload             []byte        `msg:"p"`
	Spans               []VersionSpan `msg:"sp"`
	CompletedUnixMillis int64         `msg:"c"`
}

// SampleScored records the reward of one answer.
type SampleScored struct {
	Step    uint64  `msg:"s"`
	Index   int     `msg:"i"`
	Attempt uint32  `msg:"a"`
	Reward  float64 `msg:"r"`
}

// AttemptAt names one answer.
type AttemptAt struct {
	Index   int    `msg:"i"`
	Attempt uint32 `msg:"a"`
}

// PositionsAssigned gives the positions from First on to samples.
type PositionsAssigned struct {
	Step    uint64      `msg:"s"`
	First   int         `msg:"f"`
	Samples []AttemptAt `msg:"l"`
}

// SampleReplaced drops one answer, which can no longer be delivered in bound. The sample waits for a new attempt and keeps
// its position if it has one.
type SampleReplaced struct {
	Step    uint64 `msg:"s"`
	Index   int    `msg:"i"`
	Attempt uint32 `msg:"a"`
}

// CursorAdvanced records that the trainer holds every position below Cursor.
type CursorAdvanced struct {
	Step   uint64 `msg:"s"`
	Cursor int    `msg:"c"`
}

// StepRetired drops a step; its digest is remembered.
type StepRetired struct {
	Step uint64 `msg:"s"`
}

// SampleImage is the durable state of one sample.
type SampleImage struct {
	// Complete says that the sample holds an answer, which the fields up to Reward describe.
	Complete            bool          `msg:"c"`
	Attempt             uint32        `msg:"a"`
	Tokens              int           `msg:"t"`
	Payload             []byte        `msg:"p"`
	Spans               []VersionSpan `msg:"s"`
	CompletedUnixMillis int64         `msg:"m"`
	Scored              bool          `msg:"sc"`
	Reward              float64       `msg:"r"`
	// Assigned says that Position belongs to this sample.
	Assigned bool `msg:"as"`
	Position int  `msg:"po"`
}

// StepImage is the durable state of one step.
type StepImage struct {
	Step   uint64 `msg:"s"`
	Digest []byte `msg:"d"`
	// Prompts holds the prompts recorded so far, of PromptCount.
	Prompts          [][]byte `msg:"p"`
	PromptCount      int      `msg:"pc"`
	SamplesPerPrompt int      `msg:"n"`
	MaxTokens        int      `msg:"m"`
	// Samples is indexed by prompt index × SamplesPerPrompt + number within the prompt.
	Samples []SampleImage `msg:"l"`
	// Positions maps a position to the sample it belongs to.
	Positions []int `msg:"po"`
	// Ready lists the samples that hold an answer and have no position, in order of completion.
	Ready []int `msg:"rd"`
	// Cursor is the first position that the trainer has not acknowledged.
	Cursor int `msg:"c"`
	// Completed counts the samples that hold or have delivered an answer.
	Completed int `msg:"k"`
}

// RetiredStep is what is remembered of a finished step.
type RetiredStep struct {
	Step    uint64 `msg:"s"`
	Digest  []byte `msg:"d"`
	Samples int    `msg:"n"`
	// Acknowledged is the cursor at the time; below Samples, the last positions were handed over but never acknowledged.
	Acknowledged int `msg:"a"`
}

// Image is the whole durable state of a shard, as a snapshot holds it.
type Image struct {
	Latest uint64 `msg:"v"`
	// Floor is one above the highest step that is no longer remembered; no step below it is taken.
	Floor uint64 `msg:"f"`
	// Steps is ordered by step number.
	Steps []*StepImage `msg:"s"`
	// Retired is ordered by time of retirement and holds at most maxRetired steps.
	Retired []RetiredStep `msg:"r"`
}
