// Package job defines batch jobs and how they are stored: their records in the store, and the fold of these records into the
// jobs of a partition. The fold does not depend on the order of records of different keys, so that its result is the same
// whether all records are read in the order of the log or only the newest of each key. The package makes no network calls.
package job

//go:generate go tool msgp -tests=false -unexported

import "time"

// Spec is a submission. Its stored form does not include the items.
type Spec struct {
	ID string `msg:"id"`
	// Route is the name of the route that the job was submitted on; Host is its host.
	Route string `msg:"route"`
	Host  string `msg:"host"`
	// Model is the model that is trained; empty for a job without a trainer.
	Model string `msg:"model"`
	Step  int64  `msg:"step"`
	// MinVersion is the oldest weight version that may produce events.
	MinVersion int64 `msg:"min"`
	// Desired is the number of complete groups that the trainer waits for.
	Desired int `msg:"want"`
	// SubmittedAt is the wall-clock time of submission in milliseconds since 1970, at the node that accepted it.
	SubmittedAt int64 `msg:"at"`
	// Tenant is the tenant that owns the job, which never changes; empty if the job was submitted without a key.
	Tenant string `msg:"tenant"`
	// ItemIDs lists the ids of the items in order. Each item is a record of its own, so that one can be read without the
	// others.
	ItemIDs []string `msg:"ids"`
	Items   []Item   `msg:"-"`
}

// Item is one request of a job.
type Item struct {
	ID     string            `msg:"id"`
	Path   string            `msg:"path"`
	Header map[string]string `msg:"head"`
	Body   []byte            `msg:"body"`
	// Tokens is the size of the prompt plus the maximum output.
	Tokens int    `msg:"tokens"`
	Group  string `msg:"group"`
	// LengthHint is the estimated output in tokens, 0 if none was given.
	LengthHint int     `msg:"hint"`
	Scorer     *Scorer `msg:"scorer"`
}

// work returns the estimated output in tokens: the hint, or the prompt plus the maximum output if there is no hint.
func (i *Item) work() int {
	if i.LengthHint > 0 {
		return i.LengthHint
	}
	return i.Tokens
}

// Scorer is the request that scores an item's text.
type Scorer struct {
	ID   string `msg:"id"`
	Host string `msg:"host"`
	Path string `msg:"path"`
	Body []byte `msg:"body"`
}

// Entry is the record of a job in the index, which does not contain the items. A job exists from its first entry on; its
// items are stored in the partition that the entry names.
type Entry struct {
	JobID string `msg:"id"`
	// Host and Path are those of one of the items and determine the route of the job.
	Host string `msg:"host"`
	Path string `msg:"path"`
	// Model is the model that is trained; empty for a job without a trainer.
	Model string `msg:"model"`
	// SubmittedAt is the wall-clock time of submission in milliseconds since 1970, at the node that accepted it.
	SubmittedAt int64 `msg:"at"`
	// Partition is the number of the partition that stores the job's records: the submission at offsets from Offset to before
	// Next, all others from Next on. StorePartition returns the partition; it must be used instead of this field, because the
	// numbers of partitions of home sets are stored with an offset.
	Partition int   `msg:"part"`
	Offset    int64 `msg:"from"`
	Next      int64 `msg:"next"`
	// Bytes is the size of the submission's records.
	Bytes int `msg:"bytes"`
	// Items is the number of items, Work their estimated output in tokens.
	Items int   `msg:"items"`
	Work  int64 `msg:"work"`
	// Tenant is the tenant that owns the job; empty if it was submitted without a key.
	Tenant string `msg:"tenant"`
	// Homes is the keyedlog.HomeSet that the job is bound to, empty if it is bound to no region. It never changes.
	Homes string `msg:"homes"`
	// Desired is the number of complete groups that the trainer waits for. It is 0 and omitted for a job without a trainer, and
	// 0 in entries that builds before this field wrote.
	Desired int `msg:"want,omitempty"`
}

// HasTrainer reports whether the trainer of the job waits for complete groups.
func (e *Entry) HasTrainer() bool { return e.Model != "" && e.Desired > 0 }

// Settled is the index record which states that no more results of a job are listed: all are listed, or the job has ended.
type Settled struct {
	// End is the offset in the job's partition below which all its results lie.
	End int64 `msg:"end"`
	// ItemTime and LongestTime are Items and Longest of SlotTime in milliseconds.
	ItemTime    int64 `msg:"took"`
	LongestTime int64 `msg:"longest"`
}

// SlotTime is the time that a job's items held engine slots. The zero value means that it is unknown: no owner ran the job from
// start to end.
type SlotTime struct {
	// Items is the sum over all items.
	Items time.Duration
	// Longest is the maximum over the items of complete groups.
	Longest time.Duration
}

// Result is the final result of an item.
type Result struct {
	ItemID string `msg:"item"`
	// Dead reports that the item was abandoned.
	Dead bool `msg:"dead"`
	// Text is the data of all events, separated by line feeds.
	Text string `msg:"text"`
	// Versions are the weight versions that produced events of the text, in order of their first event.
	Versions []int64 `msg:"versions"`
	Score    string  `msg:"score"`
	// CompletesStep reports that the groups that the trainer waits for are complete once this result is listed. An owner
	// sets it on one result of a job at most, and on none if they were complete when it took over. The field is omitted where it
	// is false; builds before this field neither write nor read it.
	CompletesStep bool `msg:"completes,omitempty"`
}

// Progress is the partial output of an item that is not listed yet, from which the next owner resumes. It is a hint that any
// process that has run the item may write: everything stored is a correct prefix of the item's output.
type Progress struct {
	ItemID   string   `msg:"item"`
	Events   []string `msg:"events"`
	Versions []int64  `msg:"versions"`
	// Failures counts the engine's answers that reported a failed attempt.
	Failures int `msg:"failures"`
	// Whole reports that Events is complete; Score is the scorer's answer, empty if the text was not scored yet.
	Whole bool   `msg:"whole"`
	Score string `msg:"score"`
	// Line identifies one continuous text and is unique to the run that produces it: output of another run of the same item
	// never continues the line. From is the number of events of the line before Events, 0 if Events start at the beginning
	// of the text. All other fields apply to the whole text up to the last event.
	Line uint64 `msg:"line"`
	From int    `msg:"from"`
}
