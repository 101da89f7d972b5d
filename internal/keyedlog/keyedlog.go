// Package keyedlog defines the interface of the durable store. The store consists of topics with numbered partitions. Each
// partition is a log of records with keys, of which the newest record of each key is kept permanently. The package contains
// only types and errors; an adapter implements the interface.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Topic is the name of a group of partitions.
type Topic string

// Topics of this software. An adapter maps them to the names of its store.
const (
	// TopicOperator holds the operator's records: the configuration and the named weight versions. It has one partition.
	TopicOperator Topic = "operator"
	// TopicEngines holds one record for each running engine, written by the engine itself. It has one partition.
	TopicEngines Topic = "engines"
	// TopicJobIndex holds short records of each batch job: that it was accepted, where its records are, that it ended and that no
	// further results are listed. It has one partition, which every process follows.
	TopicJobIndex Topic = "jobindex"
	// TopicJobs holds the items of batch jobs and their results. A process reads the partitions that it owns, and those of jobs it
	// gets requests for.
	TopicJobs Topic = "jobs"
	// TopicWeights holds the weight versions that engines were ordered to load.
	TopicWeights Topic = "weights"
	// TopicDuties holds the announcements of duty holders, with one partition per duty.
	TopicDuties Topic = "duties"
	// TopicUsage holds each process's counts of tenants' requests.
	TopicUsage Topic = "usage"
	// TopicCrashes records which engines ended while they ran which requests. It has one partition, which every process follows.
	TopicCrashes Topic = "crashes"
	// TopicEngineViews holds what owners of jobs know about engines, with one record per machine. It has one partition.
	TopicEngineViews Topic = "engineviews"
	// TopicEngineList holds a short entry for each engine to which requests are sent, for processes that don't read the engines'
	// own records. The entries of all engines of a pool are in one partition.
	TopicEngineList Topic = "enginelist"
)

// Errors of a log. After any other error of a call with an effect, it is unknown whether the effect took place or still will.
var (
	// ErrNotDone means that the call had no effect and will have none.
	ErrNotDone = errors.New("store: call was not done")
	// ErrThrottled means that all callers together make too many calls. It is always wrapped together with ErrNotDone.
	ErrThrottled = errors.New("store: too many calls")
	// ErrFenced means that a writer with a higher epoch has written to the partition.
	ErrFenced = errors.New("store: writer is fenced")
	// ErrTrimmed means that the requested records are no longer kept.
	ErrTrimmed = errors.New("store: records are gone")
	// ErrNotHeld means that a partition is not assigned to the member.
	ErrNotHeld = errors.New("store: partition is not held")
)

// SequenceError means that a fenced append did not have the sequence number that follows the writer's last append.
type SequenceError struct {
	// Expected is the sequence number that the partition expects next.
	Expected int64
}

// Error returns a message with the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("store: append is out of sequence, expected %d", e.Expected)
}

// Record is one record of a partition.
type Record struct {
	// Offset is the record's position in the partition, counted from 0; it is ignored on append.
	Offset int64
	Key    string
	// Value is nil if the record deletes the key.
	Value []byte
}

// Fence makes an append conditional: it takes effect only if no writer with a higher epoch has written, and if its sequence
// number is the next one.
type Fence struct {
	// Writer names the sequence of epochs within the partition.
	Writer   string
	Epoch    int64
	Sequence int64
}

// Appended is the result of an append.
type Appended struct {
	// Offset is the offset of the first appended record.
	Offset int64
	// End is the partition's end after the append.
	End int64
}

// Span defines which records of a partition to read.
type Span struct {
	// From is the offset of the first record.
	From int64
	// Wait is how long the store may hold the read open for a first record.
	Wait time.Duration
	// MaxBytes is the approximate maximum size of the result, 0 for the store's own limit. At least one record is returned if there
	// is one.
	MaxBytes int
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// End is the offset that the next record will get.
	End int64
}

// Page is a page of the newest records of each key, ordered by key.
type Page struct {
	Records []Record
	// More reports whether further keys follow the last one.
	More bool
	// End is the partition's end when the page was made.
	End int64
}

// OwnerKey is the key of the record that an owner of a partition writes to set its epoch. Readers ignore its value.
const OwnerKey = "owner/epoch"

// AfterAllKeys sorts after every key. A page that begins after it contains no records, only the partition's end.
const AfterAllKeys = "~"

// JobIndex is the only partition of the job index.
var JobIndex = Partition{Topic: TopicJobIndex}

// Crashes is the only partition of the records about engines that ended while they ran requests.
var Crashes = Partition{Topic: TopicCrashes}

// EngineViews is the only partition of what owners of jobs know about engines.
var EngineViews = Partition{Topic: TopicEngineViews}

// Partition identifies one partition of a topic.
type Partition struct {
	Topic  Topic
	Number int
}

// String returns the partition as topic/number.
func (p Partition) String() string {
	return fmt.Sprintf("%s/%d", p.Topic, p.Number)
}

// JoinRequest is a request to join a group, or to remain in it.
type JoinRequest struct {
	Group  string
	Member string
	Topics []Topic
	// Lifetime is the time without a request after which the member's partitions are assigned to others.
	Lifetime time.Duration
	// Generation is the group's last generation that the member knows, 0 at first.
	Generation int64
}

// Membership is the group's assignment of partitions to a member.
type Membership struct {
	// Generation increases with every change of the group.
	Generation int64
	Partitions []Partition
}

// Owner is the member that holds a partition.
type Owner struct {
	Partition Partition
	Member    string
}

// Log is the interface of the store. Calls block until the store answers or the context ends; package storetimeout limits their
// duration.
type Log interface {
	// Partitions returns how many partitions a topic has.
	Partitions(topic Topic) int
	// Append adds all records to a partition or none. A nil fence appends unconditionally. An append without records, but with a
	// fence, only sets the epoch; its sequence number is ignored if the epoch is set already.
	Append(ctx context.Context, partition Partition, records []Record, fence *Fence) (Appended, error)
	// Read returns the records of a span.
	Read(ctx context.Context, partition Partition, span Span) (Batch, error)
	// Newest returns a page of the newest records of the keys after afterKey.
	Newest(ctx context.Context, partition Partition, afterKey string) (Page, error)
	// Join joins a group or remains in it.
	Join(ctx context.Context, request JoinRequest) (Membership, error)
	// Owners returns the holders of a group's partitions, also to callers that are no members. Partitions without a holder are
	// left out.
	Owners(ctx context.Context, group string) ([]Owner, error)
	// Leave leaves a group at once.
	Leave(ctx context.Context, group, member string) error
}
