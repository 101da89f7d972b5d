// Package job is what a batch job is and how it lasts: its records in the store, and the fold of these records into the
// jobs of a partition. The fold does not depend on the order of records of different keys, so that it comes to the same
// whether records are read as they were appended or the newest of each key afterwards. It makes no calls.
package job

//go:generate go tool msgp -tests=false -unexported

import "time"

// Spec is what was submitted, without the items.
type Spec struct {
	ID string `msg:"id"`
	// Route names the route that the job was submitted on; Host is its host.
	Route string `msg:"route"`
	Host  string `msg:"host"`
	// Model is the model that is trained; empty for a job without a trainer.
	Model string `msg:"model"`
	Step  int64  `msg:"step"`
	// MinVersion is the oldest weight version that may produce events.
	MinVersion int64 `msg:"min"`
	// Desired is how many whole groups the trainer waits for.
	Desired int `msg:"want"`
	// SubmittedAt is the time of day of submission in milliseconds since 1970, at the node that accepted it.
	SubmittedAt int64 `msg:"at"`
	// Tenant is whose job it is, for good; empty if it was submitted without a key.
	Tenant string `msg:"tenant"`
	// ItemIDs names the items in order. Each item is a record of its own, so that one can be read without the others.
	ItemIDs []string `msg:"ids"`
	Items   []Item   `msg:"-"`
}

// Item is one request of a job.
type Item struct {
	ID     string            `msg:"id"`
	Path   string            `msg:"path"`
	Header map[string]string `msg:"head"`
	Body   []byte            `msg:"body"`
	// Tokens is the size of the prompt and the most output together.
	Tokens int    `msg:"tokens"`
	Group  string `msg:"group"`
	// LengthHint is the estimated output in tokens, 0 if none was given.
	LengthHint int     `msg:"hint"`
	Scorer     *Scorer `msg:"scorer"`
}

// work is the estimated output in tokens: the hint, or prompt and most output together where there is none.
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

// Entry is the short record of a job in the index. A job exists from its first entry on; its items lie in the partition of
// jobs that the entry names.
type Entry struct {
	JobID string `msg:"id"`
	// Host and Path are those of an item, by which its route is found.
	Host string `msg:"host"`
	Path string `msg:"path"`
	// Model is the model that is trained; empty for a job without a trainer.
	Model string `msg:"model"`
	// SubmittedAt is the time of day of submission in milliseconds since 1970, at the node that accepted it.
	SubmittedAt int64 `msg:"at"`
	// Partition keeps the job's records: the submission from Offset to before Next, all others from Next on.
	Partition int   `msg:"part"`
	Offset    int64 `msg:"from"`
	Next      int64 `msg:"next"`
	// Bytes is the size of the submission's records.
	Bytes int `msg:"bytes"`
	// Items counts the items, Work is their estimated output in tokens.
	Items int   `msg:"items"`
	Work  int64 `msg:"work"`
	// Tenant is whose job it is; empty if it was submitted without a key.
	Tenant string `msg:"tenant"`
}

// Settled says that nothing is listed of a job any more: all is listed, or it has ended.
type Settled struct {
	// End is the offset in the job's partition below which all its results lie.
	End int64 `msg:"end"`
	// ItemTime and LongestTime are those of Took, in milliseconds.
	ItemTime    int64 `msg:"took"`
	LongestTime int64 `msg:"longest"`
}

// SlotTime is what a job took of engines. The zero value says that nobody knows: no owner ran it from its beginning to its end.
type SlotTime struct {
	// Items is how long its items held places, all taken together.
	Items time.Duration
	// Longest is how long the longest item held one, of the groups that became whole.
	Longest time.Duration
}

// Result is what became of an item.
type Result struct {
	ItemID string `msg:"item"`
	// Dead says that the item was given up.
	Dead bool `msg:"dead"`
	// Text is the data of all events, separated by line feeds.
	Text string `msg:"text"`
	// Versions are those that produced an event of the text, in order of their first.
	Versions []int64 `msg:"versions"`
	Score    string  `msg:"score"`
}

// Progress is how far an item has come that is not listed yet, so that its next owner goes on from there. It is a hint that
// anyone who has run the item may write: whatever is kept is a true beginning of the item's output.
type Progress struct {
	ItemID   string   `msg:"item"`
	Events   []string `msg:"events"`
	Versions []int64  `msg:"versions"`
	// Failures counts answers of the engine that the attempt failed.
	Failures int `msg:"failures"`
	// Whole says that the events are all there are; Score is the scorer's word on them, empty if it was not asked yet.
	Whole bool   `msg:"whole"`
	Score string `msg:"score"`
	// Line names one unbroken text, and is alone to whoever makes it: what another run has made of the same item never goes on
	// with it. From counts the events of the line before Events, 0 for the text from its beginning. All other fields hold for
	// the whole text up to the last event.
	Line uint64 `msg:"line"`
	From int    `msg:"from"`
}
