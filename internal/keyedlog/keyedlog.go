// Package keyedlog is the interface through which a node meets the store that keeps what must last: topics of numbered
// partitions, each a log of records with a key, of which the newest record of each key is kept for good. It holds types
// and errors only; an adapter fills the interface.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic names a group of partitions.
type Topic string

// Topics of the product. An adapter maps them to the names of its store.
const (
	// TopicOperator holds the operator's records: the configuration and the named weight versions. One partition.
	TopicOperator Topic = "operator"
	// TopicEngines holds one record for each engine that is up, written by the engine itself. One partition.
	TopicEngines Topic = "engines"
	// TopicJobIndex holds a short record of each batch job: that it was accepted, where its records lie, that it ended and
	// that nothing more is listed of it. One partition, which every process follows.
	TopicJobIndex Topic = "jobindex"
	// TopicJobs holds the items of batch jobs and their results. A process reads what it owns or is asked for.
	TopicJobs Topic = "jobs"
	// TopicWeights holds what engines were ordered to load.
	TopicWeights Topic = "weights"
	// TopicDuties holds what the holders of duties have announced: a partition a duty.
	TopicDuties Topic = "duties"
	// TopicUsage holds what each process has counted of tenants' requests.
	TopicUsage Topic = "usage"
	// TopicCrashes holds which engines ended under which requests. One partition, which every process follows.
	TopicCrashes Topic = "crashes"
	// TopicEngineViews holds what owners of jobs know of engines, a record a machine. One partition.
	TopicEngineViews Topic = "engineviews"
	// TopicEngineList holds a short entry of each engine to which requests are sent, for processes that don't read the engines' own records.
	// The engines of a pool lie in one partition.
	TopicEngineList Topic = "enginelist"
)

// Errors of a log. Any other error of a call with an effect leaves open whether the effect took place or will.
var (
	// ErrNotDone says that the call had no effect and will have none.
	ErrNotDone = errors.New("store: call was not done")
	// ErrThrottled says that all callers together make too many calls. It comes with ErrNotDone.
	ErrThrottled = errors.New("store: too many calls")
	// ErrFenced says that a writer of a higher epoch has written to the partition.
	ErrFenced = errors.New("store: writer is fenced")
	// ErrTrimmed says that the records asked for are no longer kept.
	ErrTrimmed = errors.New("store: records are gone")
	// ErrNotHeld says that a partition does not belong to the member.
	ErrNotHeld = errors.New("store: partition is not held")
)

// SequenceError says that a fenced append did not follow the writer's last one.
type SequenceError struct {
	// Wanted is the sequence number that the partition expects next.
	Wanted int64
}

// Error tells the expected number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("store: sequence %d is wanted", e.Wanted)
}

// Record is one record of a partition.
type Record struct {
	// Offset counts the records of the partition from 0; it is ignored on append.
	Offset int64
	Key    string
	// Value is nil when the key is dropped.
	Value []byte
}

// Fence makes an append conditional: it takes effect only if no writer of a higher epoch has written, and in sequence.
type Fence struct {
	// Writer names the line of epochs within the partition.
	Writer   string
	Epoch    int64
	Sequence int64
}

// Appended is the answer to an append.
type Appended struct {
	// Offset is that of the first record appended.
	Offset int64
	// End is the partition's end after the append.
	End int64
}

// Span says what to read of a partition.
type Span struct {
	// From is the offset of the first record.
	From int64
	// Wait is how long the store may hold the read open for a first record.
	Wait time.Duration
	// Bytes is about how much to return at most, 0 for as much as the store gives. One record is returned if there is one.
	Bytes int
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// End is the offset that the next record will get.
	End int64
}

// Page is a part of the newest records of each key, in order of keys.
type Page struct {
	Records []Record
	// More says that further keys follow the last one.
	More bool
	// End is the partition's end when the page was made.
	End int64
}

// OwnerKey is the key of the record by which an owner of a partition makes its epoch its own. Its value means nothing to readers.
const OwnerKey = "owner/epoch"

// JobIndex is the only partition of the index of jobs.
var JobIndex = Partition{Topic: TopicJobIndex}

// Crashes is the only partition of the engines that ended under requests.
var Crashes = Partition{Topic: TopicCrashes}

// EngineViews is the only partition of what owners of jobs know of engines.
var EngineViews = Partition{Topic: TopicEngineViews}

// Partition names one partition of a topic.
type Partition struct {
	Topic  Topic
	Number int
}

// String returns the partition as topic/number.
func (p Partition) String() string {
	return fmt.Sprintf("%s/%d", p.Topic, p.Number)
}

// JoinRequest asks to join a group, or to remain in it.
type JoinRequest struct {
	Group  string
	Member string
	Topics []Topic
	// Lifetime is how long the member may be silent before its partitions pass on.
	Lifetime time.Duration
	// Generation is the last one heard, 0 at first.
	Generation int64
}

// Membership is what the group deals to a member.
type Membership struct {
	// Generation rises with every change of the group.
	Generation int64
	Partitions []Partition
}

// Owner tells who holds a partition.
type Owner struct {
	Partition Partition
	Member    string
}

// Log is the store. Calls last until the store answers or the context ends; package storetimeout bounds them.
type Log interface {
	// Partitions returns how many partitions a topic has.
	Partitions(topic Topic) int
	// Append adds records to a partition, all or none. A nil fence appends without condition. No records with a fence
	// only set the epoch; their sequence number is not looked at if the epoch is set already.
	Append(ctx context.Context, partition Partition, records []Record, fence *Fence) (Appended, error)
	// Read returns records from an offset on.
	Read(ctx context.Context, partition Partition, span Span) (Batch, error)
	// Newest returns the newest records of keys after a key.
	Newest(ctx context.Context, partition Partition, afterKey string) (Page, error)
	// Join joins a group or remains in it.
	Join(ctx context.Context, request JoinRequest) (Membership, error)
	// Owners lists who holds the partitions of a group, to members and others alike. A partition that nobody holds is left out.
	Owners(ctx context.Context, group string) ([]Owner, error)
	// Leave leaves a group at once.
	Leave(ctx context.Context, group, member string) error
}
