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
	// partMark comes before the number of a part of a value that is too large for one record.
	partMark = "#"
)

// PartitionOf returns the partition that keeps a job. All jobs that train one model share one, so that one owner knows the
// whole load of the model. models names all models that are trained, in order: each has a partition to itself while there are enough, so
// that nobody who reads one model's jobs reads another's. Jobs of other models are spread by model, jobs of none by route. A
// node that knows other models may choose another partition for a job; the job's entry names the one that counts.
func PartitionOf(spec Spec, partitions int, models []string) keyedlog.Partition {
	if place, found := slices.BinarySearch(models, spec.Model); found {
		return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: place % partitions}
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

// positionDigits is how many digits the positions in the keys of results are padded to, so that the store's order of keys is that of
// positions. A job has fewer than 100 million items: a submission of so many would take gigabytes.
const positionDigits = 8

func resultKey(jobID string, position int) string {
	return fmt.Sprintf("%s%0*d", ResultPrefix(jobID), positionDigits, position)
}

// plainResultKey is the key under which an earlier version keeps a result. Both lie side by side while replicas are replaced.
func plainResultKey(jobID string, position int) string {
	return ResultPrefix(jobID) + strconv.Itoa(position)
}

// afterParts sorts after all that follows a position in the keys of its result.
const afterParts = "~"

// ResultsFrom returns a key after which all results of a job from a position on lie, empty for the first position. Results under keys that
// are not padded, which processes of other versions write, lie after it whatever their position.
func ResultsFrom(jobID string, position int) string {
	if position <= 0 {
		return ""
	}
	return resultKey(jobID, position-1) + afterParts
}

func progressKey(jobID string, place int) string {
	return keyProgress + separator + jobID + separator + strconv.Itoa(place)
}

// pieceKey is the key of a later piece of an item's progress; the first one's is progressKey.
func pieceKey(jobID string, place, piece int) string {
	return progressKey(jobID, place) + separator + strconv.Itoa(piece)
}

// partKey is the key of a part of a value that is too large for one record.
func partKey(key string, part int) string {
	return key + partMark + strconv.Itoa(part)
}

func itemKey(jobID string, place int) string {
	return keyItem + separator + jobID + separator + strconv.Itoa(place)
}

func specKey(jobID string) string    { return keySpec + separator + jobID }
func settledKey(jobID string) string { return keySettled + separator + jobID }

// EncodeSpec returns the records of a submission. limit is the most bytes of one record.
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
	for place := range spec.Items {
		value, err := spec.Items[place].MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		records = append(records, split(itemKey(spec.ID, place), value, limit)...)
	}
	return records, nil
}

// errElsewhere says that a record is not the one that was looked for, or not whole.
var errElsewhere = errors.New("record is not where it was looked for")

// DecodeHeader returns a submission without its items from its first record.
func DecodeHeader(record keyedlog.Record, jobID string) (*Spec, error) {
	value, err := wholeValue(record, specKey(jobID))
	if err != nil {
		return nil, err
	}
	spec := new(Spec)
	_, err = spec.UnmarshalMsg(value)
	return spec, err
}

// DecodeItem returns the item at a place of a submission from its record.
func DecodeItem(record keyedlog.Record, jobID string, place int) (*Item, error) {
	value, err := wholeValue(record, itemKey(jobID, place))
	if err != nil {
		return nil, err
	}
	item := new(Item)
	_, err = item.UnmarshalMsg(value)
	return item, err
}

// wholeValue returns the value of a record of a key that holds a value without parts.
func wholeValue(record keyedlog.Record, key string) ([]byte, error) {
	if record.Key != key {
		return nil, errElsewhere
	}
	parts, value, err := splitHead(record.Value)
	if err == nil && parts > 0 {
		err = errElsewhere
	}
	return value, err
}

// EncodeSettledMarker returns the record of a job's partition after which its owner lists nothing more of it.
func EncodeSettledMarker(jobID string) keyedlog.Record {
	return keyedlog.Record{Key: settledKey(jobID), Value: []byte{1}}
}

// IsResult tells whether a key is one of a result of a job, or of a part of one.
func IsResult(key, jobID string) bool {
	return strings.HasPrefix(key, ResultPrefix(jobID))
}

// ResultPrefix is what the keys of a job's results begin with, and no others.
func ResultPrefix(jobID string) string { return keyResult + separator + jobID + separator }

// SubmissionPrefixes is what the keys of a job's submission begin with. Those of a job with a longer id may begin so too: IsSubmission
// tells them apart.
func SubmissionPrefixes(jobID string) []string {
	return []string{specKey(jobID), keyItem + separator + jobID + separator}
}

// IsSubmission tells whether a key is that of a job's submission, or of a part of it.
func IsSubmission(key, jobID string) bool {
	own := specKey(jobID)
	return key == own || strings.HasPrefix(key, own+partMark) || strings.HasPrefix(key, keyItem+separator+jobID+separator)
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

// EncodeProgress returns the records that keep how far an item has come. A text from its beginning takes the place of any
// before it; a later piece is the piece-th of its line, counted from 1.
func EncodeProgress(jobID string, place, piece int, progress Progress, limit int) ([]keyedlog.Record, error) {
	key := progressKey(jobID, place)
	if progress.From > 0 {
		key = pieceKey(jobID, place, piece)
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

// recordOverhead is what a record needs besides key and value.
const recordOverhead = 16

// split lays a value over records: parts first, then the record that completes it, which begins with the number of parts.
func split(key string, value []byte, limit int) []keyedlog.Record {
	room := limit - len(key) - 2*recordOverhead
	var records []keyedlog.Record
	for len(value) > room {
		records = append(records, keyedlog.Record{Key: partKey(key, len(records)), Value: value[:room]})
		value = value[room:]
	}
	last := binary.AppendUvarint(nil, uint64(len(records)))
	return append(records, keyedlog.Record{Key: key, Value: append(last, value...)})
}

// SplitAppends splits records into as many calls as they need, of which none is over a limit in bytes unless one record is.
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

// Size is what records take in an append.
func Size(records []keyedlog.Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value) + recordOverhead
	}
	return size
}

// parsedKey is a key taken apart.
type parsedKey struct {
	kind  string
	jobID string
	// rest is the position of a result, or the place of an item and the number of its piece.
	rest string
	// part is the number of a part of a value, -1 for the record that completes it; whole is the key without it.
	part  int
	whole string
}

var errKey = errors.New("key of no record of a job")

func parseKey(key string) (parsedKey, error) {
	parsed := parsedKey{part: -1, whole: key}
	if whole, number, found := strings.Cut(key, partMark); found {
		part, err := strconv.Atoi(number)
		if err != nil || part < 0 {
			return parsedKey{}, errKey
		}
		parsed.part, parsed.whole = part, whole
	}
	fields := strings.SplitN(parsed.whole, separator, 3)
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

// splitHead reads the number of parts that a completing record names, and what follows.
func splitHead(value []byte) (int, []byte, error) {
	parts, read := binary.Uvarint(value)
	if read <= 0 || parts > maxParts {
		return 0, nil, fmt.Errorf("record names %d parts", parts)
	}
	return int(parts), value[read:], nil
}

// maxParts bounds the parts of one value.
const maxParts = 4096
