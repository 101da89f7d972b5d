package job

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Prefixes of keys. The second part of a key is always the job's id.
const (
	keySpec     = "s"
	keyItem     = "i"
	keyEnd      = "e"
	keyResult   = "r"
	keyProgress = "p"
	keySettled  = "x"
	separator   = "/"
	// partSeparator precedes the number of a part of a value that is too large for one record.
	partSeparator = "#"
)

// PartitionOf returns the partition that stores a job. All jobs that train one model share a partition, so that one owner
// knows the whole load of the model. models lists all trained models in order; each of them has a partition to itself while
// there are enough, so that readers of one model's jobs do not read those of another. Jobs of other models are distributed
// by model, jobs without a model by route. A node with a different list of models may choose another partition for a job;
// the one named by the job's entry applies.
func PartitionOf(spec Spec, partitions int, models []string) keyedlog.Partition {
	if index, found := slices.BinarySearch(models, spec.Model); found {
		return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: index % partitions}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(spec.Host + separator))
	if spec.Model == "" {
		_, _ = hash.Write([]byte(spec.Route))
	} else {
		_, _ = hash.Write([]byte(spec.Model))
	}
	return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: int(hash.Sum32() % uint32(partitions))}
}

// Names of the groups that own the partitions of jobs.
const (
	jobsGroup       = "hillfork-jobs"
	homeGroupPrefix = "hillfork-homes-"
	// homeGroupSuffix makes the names differ from those of the groups that are derived from a group's name.
	homeGroupSuffix = ".jobs"
)

// GroupOf returns the name of the group that assigns the partitions of jobs of a home set to the processes of its regions.
func GroupOf(homes keyedlog.HomeSet) string {
	if homes == "" {
		return jobsGroup
	}
	return homeGroupPrefix + string(homes) + homeGroupSuffix
}

// positionDigits is the number of digits to which the positions in the keys of results are padded, so that the store's key
// order is the order of positions. A job has fewer than 100 million items: a submission of that many would take gigabytes.
const positionDigits = 8

func resultKey(jobID string, position int) string {
	return fmt.Sprintf("%s%0*d", ResultPrefix(jobID), positionDigits, position)
}

// unpaddedResultKey is the key that an earlier version uses for a result. Both kinds of keys coexist during a rolling
// upgrade.
func unpaddedResultKey(jobID string, position int) string {
	return ResultPrefix(jobID) + strconv.Itoa(position)
}

// afterParts sorts after everything that follows the position in the keys of a result and its parts.
const afterParts = "~"

// ResultsAfterKey returns a key that sorts before the keys of all results of a job from a position on; it is empty for the
// first position. Unpadded keys, which processes of other versions write, sort after it whatever their position.
func ResultsAfterKey(jobID string, position int) string {
	if position <= 0 {
		return ""
	}
	return resultKey(jobID, position-1) + afterParts
}

func progressKey(jobID string, index int) string {
	return keyProgress + separator + jobID + separator + strconv.Itoa(index)
}

// pieceKey is the key of a later piece of an item's progress; the key of the first piece is progressKey.
func pieceKey(jobID string, index, piece int) string {
	return progressKey(jobID, index) + separator + strconv.Itoa(piece)
}

// partKey is the key of a part of a value that is too large for one record.
func partKey(key string, part int) string {
	return key + partSeparator + strconv.Itoa(part)
}

func itemKey(jobID string, index int) string {
	return keyItem + separator + jobID + separator + strconv.Itoa(index)
}

func specKey(jobID string) string    { return keySpec + separator + jobID }
func settledKey(jobID string) string { return keySettled + separator + jobID }

// EncodeSpec returns the records of a submission. limit is the maximum size of one record in bytes.
func EncodeSpec(spec Spec, limit int) ([]keyedlog.Record, error) {
	spec.ItemIDs = make([]string, len(spec.Items))
	for i := range spec.Items {
		spec.ItemIDs[i] = spec.Items[i].ID
	}
	value, err := spec.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	records := split(specKey(spec.ID), value, limit)
	for index := range spec.Items {
		value, err := spec.Items[index].MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		records = append(records, split(itemKey(spec.ID, index), value, limit)...)
	}
	return records, nil
}

// LastItem returns the distance in offsets from the first record of a submission to the record of its last item, and the key of that
// record, provided that each item has one record and no other records lie in between. This does not hold for submissions with parts, and
// need not hold for those appended in several calls. It holds if and only if the record at that distance has that key, since each item
// has at least one record and the items of one attempt to submit are in order. LastItem returns false for a record that does not begin a
// submission.
func LastItem(record keyedlog.Record) (distance int64, key string, ok bool) {
	jobID, isHeader := strings.CutPrefix(record.Key, keySpec+separator)
	if !isHeader || record.Value == nil {
		return 0, "", false
	}
	header, err := DecodeHeader(record, jobID)
	if err != nil || len(header.ItemIDs) == 0 {
		return 0, "", false
	}
	return int64(len(header.ItemIDs)), itemKey(jobID, len(header.ItemIDs)-1), true
}

// errOtherRecord reports that a record is not the expected one, or is split into parts.
var errOtherRecord = errors.New("record is not the expected one or is split into parts")

// DecodeHeader decodes a submission without its items from its first record.
func DecodeHeader(record keyedlog.Record, jobID string) (*Spec, error) {
	value, err := unsplitValue(record, specKey(jobID))
	if err != nil {
		return nil, err
	}
	spec := new(Spec)
	_, err = spec.UnmarshalMsg(value)
	return spec, err
}

// DecodeItem decodes the item at an index of a submission from its record.
func DecodeItem(record keyedlog.Record, jobID string, index int) (*Item, error) {
	value, err := unsplitValue(record, itemKey(jobID, index))
	if err != nil {
		return nil, err
	}
	item := new(Item)
	_, err = item.UnmarshalMsg(value)
	return item, err
}

// unsplitValue returns the value of the record with a key. It fails if the record has another key or its value is split into
// parts.
func unsplitValue(record keyedlog.Record, key string) ([]byte, error) {
	if record.Key != key {
		return nil, errOtherRecord
	}
	parts, value, err := decodePartCount(record.Value)
	if err == nil && parts > 0 {
		err = errOtherRecord
	}
	return value, err
}

// EncodeSettledMarker returns the record in a job's partition after which its owner lists no more results of it.
func EncodeSettledMarker(jobID string) keyedlog.Record {
	return keyedlog.Record{Key: settledKey(jobID), Value: []byte{1}}
}

// IsResultKey reports whether a key is that of a result of a job, or of a part of one.
func IsResultKey(key, jobID string) bool {
	return strings.HasPrefix(key, ResultPrefix(jobID))
}

// ListedPosition returns the position of the result of a job that a record with this key completes. It returns false for other
// keys, including those of the parts of a result.
func ListedPosition(key, jobID string) (int, bool) {
	if !IsResultKey(key, jobID) {
		return 0, false
	}
	position, err := strconv.Atoi(key[len(ResultPrefix(jobID)):])
	return position, err == nil && position >= 0
}

// ResultPrefix returns the prefix of the keys of a job's results, which no other keys have.
func ResultPrefix(jobID string) string { return keyResult + separator + jobID + separator }

// SubmissionPrefixes returns the prefixes of the keys of a job's submission. The submission of a job with a longer id may
// have keys with these prefixes too; IsSubmissionKey distinguishes them.
func SubmissionPrefixes(jobID string) []string {
	return []string{specKey(jobID), keyItem + separator + jobID + separator}
}

// IsSubmissionKey reports whether a key is that of a job's submission, or of a part of it.
func IsSubmissionKey(key, jobID string) bool {
	own := specKey(jobID)
	return key == own || strings.HasPrefix(key, own+partSeparator) || strings.HasPrefix(key, keyItem+separator+jobID+separator)
}

// EncodeResult returns the records that list a result at a position.
func EncodeResult(jobID string, position int, result Result, limit int) ([]keyedlog.Record, error) {
	value, err := result.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	if value, err = compress(value); err != nil {
		return nil, err
	}
	return split(resultKey(jobID, position), value, limit), nil
}

// EncodeProgress returns the records that store the progress of an item. Progress that starts at the beginning of the text
// replaces any progress stored before; a later piece has the number piece in its line, counted from 1.
func EncodeProgress(jobID string, index, piece int, progress Progress, limit int) ([]keyedlog.Record, error) {
	key := progressKey(jobID, index)
	if progress.From > 0 {
		key = pieceKey(jobID, index, piece)
	}
	value, err := progress.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	if value, err = compress(value); err != nil {
		return nil, err
	}
	return split(key, value, limit), nil
}

// recordOverhead is the size of a record in an append beyond its key and value, in bytes.
const recordOverhead = 16

// split divides a value into records: first the parts, then the record that completes the value, which begins with the
// number of parts.
func split(key string, value []byte, limit int) []keyedlog.Record {
	maxPartBytes := limit - len(key) - 2*recordOverhead
	var records []keyedlog.Record
	for len(value) > maxPartBytes {
		records = append(records, keyedlog.Record{Key: partKey(key, len(records)), Value: value[:maxPartBytes]})
		value = value[maxPartBytes:]
	}
	completing := binary.AppendUvarint(nil, uint64(len(records)))
	return append(records, keyedlog.Record{Key: key, Value: append(completing, value...)})
}

// SplitAppends groups records into appends, none of which exceeds a limit in bytes unless a single record does.
func SplitAppends(records []keyedlog.Record, limit int) [][]keyedlog.Record {
	var calls [][]keyedlog.Record
	for len(records) > 0 {
		count := 1
		size := Size(records[:1])
		for count < len(records) {
			size += Size(records[count : count+1])
			if size > limit {
				break
			}
			count++
		}
		calls = append(calls, records[:count])
		records = records[count:]
	}
	return calls
}

// Size returns the size of records in an append, in bytes.
func Size(records []keyedlog.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value) + recordOverhead
	}
	return size
}

// parsedKey is a decoded key.
type parsedKey struct {
	kind  string
	jobID string
	// rest is the position of a result, or the index of an item and the number of its piece.
	rest string
	// part is the number of a part of a value, -1 for the record that completes it; baseKey is the key without the part
	// number.
	part    int
	baseKey string
}

var errKey = errors.New("key is not that of a job record")

func parseKey(key string) (parsedKey, error) {
	parsed := parsedKey{part: -1, baseKey: key}
	if baseKey, number, found := strings.Cut(key, partSeparator); found {
		part, err := strconv.Atoi(number)
		if err != nil || part < 0 {
			return parsedKey{}, errKey
		}
		parsed.part, parsed.baseKey = part, baseKey
	}
	fields := strings.SplitN(parsed.baseKey, separator, 3)
	if len(fields) < 2 || fields[1] == "" {
		return parsedKey{}, errKey
	}
	parsed.kind, parsed.jobID = fields[0], fields[1]
	if len(fields) == 3 {
		parsed.rest = fields[2]
	}
	switch parsed.kind {
	case keySpec, keySettled:
		if parsed.rest != "" {
			return parsedKey{}, errKey
		}
	case keyResult, keyProgress, keyItem:
		if parsed.rest == "" {
			return parsedKey{}, errKey
		}
	default:
		return parsedKey{}, errKey
	}
	return parsed, nil
}

// decodePartCount decodes the number of parts at the start of a completing record, and returns it with the rest of the
// value.
func decodePartCount(value []byte) (int, []byte, error) {
	parts, read := binary.Uvarint(value)
	if read <= 0 || parts > maxParts {
		return 0, nil, fmt.Errorf("invalid number of parts: %d", parts)
	}
	return int(parts), value[read:], nil
}

// maxParts is the maximum number of parts of one value.
const maxParts = 4096
