package stepledger

//go:generate go tool msgp -file records.go -tests=false
//msgp:limit arrays:131072

// Kinds of records in a stream of the step ledger. Their numbers are never reused.
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

// StepSubmitted records a step and its first prompts, as packed tokens. Digest is the SHA-256 of the step's whole content.
// Prompts that do not fit in the record follow in PromptsAdded records.
type StepSubmitted struct {
	Step   uint64 `msg:"s"`
	Digest []byte `msg:"d"`
	// PromptCount is the number of all prompts of the step.
	PromptCount      int      `msg:"pc"`
	Prompts          [][]byte `msg:"p"`
	SamplesPerPrompt int      `msg:"n"`
	MaxTokens        int      `msg:"m"`
}

// PromptsAdded records further prompts of a step, starting at index First. Samples are assigned once the step has all its
// prompts.
type PromptsAdded struct {
	Step    uint64   `msg:"s"`
	Digest  []byte   `msg:"d"`
	First   int      `msg:"f"`
	Prompts [][]byte `msg:"p"`
}

// VersionPublished records that the weight store contains a version of the workload's model.
type VersionPublished struct {
	Version uint64 `msg:"v"`
}

// VersionSpan is the weight version that generated the tokens from From (inclusive) to To (exclusive).
type VersionSpan struct {
	From    int    `msg:"f"`
	To      int    `msg:"t"`
	Version uint64 `msg:"v"`
}

// SampleCompleted records a complete answer. Payload holds its packed tokens.
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

// SampleScored records the reward of an answer.
type SampleScored struct {
	Step    uint64  `msg:"s"`
	Index   int     `msg:"i"`
	Attempt uint32  `msg:"a"`
	Reward  float64 `msg:"r"`
}

// AttemptAt identifies an answer by its sample and attempt.
type AttemptAt struct {
	Index   int    `msg:"i"`
	Attempt uint32 `msg:"a"`
}

// PositionsAssigned assigns consecutive positions, starting at First, to samples.
type PositionsAssigned struct {
	Step    uint64      `msg:"s"`
	First   int         `msg:"f"`
	Samples []AttemptAt `msg:"l"`
}

// SampleReplaced drops an answer that is over the staleness bound. The sample waits for a new attempt and keeps its position
// if it has one.
type SampleReplaced struct {
	Step    uint64 `msg:"s"`
	Index   int    `msg:"i"`
	Attempt uint32 `msg:"a"`
}

// CursorAdvanced records that the trainer has acknowledged every position below Cursor.
type CursorAdvanced struct {
	Step   uint64 `msg:"s"`
	Cursor int    `msg:"c"`
}

// StepRetired drops a step and keeps its digest.
type StepRetired struct {
	Step uint64 `msg:"s"`
}

// SampleImage is the durable state of one sample.
type SampleImage struct {
	// Complete is set if the sample has an answer, which the fields up to Reward describe.
	Complete            bool          `msg:"c"`
	Attempt             uint32        `msg:"a"`
	Tokens              int           `msg:"t"`
	Payload             []byte        `msg:"p"`
	Spans               []VersionSpan `msg:"s"`
	CompletedUnixMillis int64         `msg:"m"`
	Scored              bool          `msg:"sc"`
	Reward              float64       `msg:"r"`
	// Assigned is set if the sample has a position.
	Assigned bool `msg:"as"`
	Position int  `msg:"po"`
}

// StepImage is the durable state of one step.
type StepImage struct {
	Step   uint64 `msg:"s"`
	Digest []byte `msg:"d"`
	// Prompts holds the prompts recorded so far, up to PromptCount.
	Prompts          [][]byte `msg:"p"`
	PromptCount      int      `msg:"pc"`
	SamplesPerPrompt int      `msg:"n"`
	MaxTokens        int      `msg:"m"`
	// Samples is indexed by prompt index × SamplesPerPrompt + number within the prompt.
	Samples []SampleImage `msg:"l"`
	// Positions maps each position to the index of its sample.
	Positions []int `msg:"po"`
	// Ready lists the samples with an answer and without a position, in order of completion.
	Ready []int `msg:"rd"`
	// Cursor is the first position that the trainer has not acknowledged.
	Cursor int `msg:"c"`
	// Completed is the number of samples that have an answer, delivered ones included.
	Completed int `msg:"k"`
}

// RetiredStep is the state that is kept of a retired step.
type RetiredStep struct {
	Step    uint64 `msg:"s"`
	Digest  []byte `msg:"d"`
	Samples int    `msg:"n"`
	// Acknowledged is the cursor at the time of retirement. If it is below Samples, the last positions were handed over but
	// never acknowledged.
	Acknowledged int `msg:"a"`
}

// Image is the whole durable state of a shard as stored in a snapshot.
type Image struct {
	Latest uint64 `msg:"v"`
	// Floor is one above the highest step dropped from Retired. A step below it is refused unless it is still known.
	Floor uint64 `msg:"f"`
	// Steps is ordered by step number.
	Steps []*StepImage `msg:"s"`
	// Retired is ordered by time of retirement and holds up to maxRetired steps.
	Retired []RetiredStep `msg:"r"`
}
