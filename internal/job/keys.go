package job

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

// Prefixes of keys. The second part of a key is always the job's id.
const (
	keySpec     = "s"
	keyEnd      = "e"
	keyResult   = "r"
	keyProgress = "p"
	separator   = "/"
	// partMark comes before the number of a part of a value that is too large for one record.
	partMark = "#"
)

// PartitionOf returns the partition that keeps a job. All jobs that train one model share one, so that one owner knows the
// whole load of the model; others are spread by route.
func PartitionOf(spec Spec, partitions int) keyedlog.Partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(spec.Host + separator + spec.Model))
	if spec.Model == "" {
		_, _ = hash.Write([]byte(spec.Route))
	}
	return keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: int(hash.Sum32() % uint32(partitions))}
}

func resultKey(jobID string, position int) string {
	return keyResult + separator + jobID + separator + strconv.Itoa(position)
}

func progressKey(jobID, itemID string) string {
	return keyProgress + separator + jobID + separator + itemID
}

func specKey(jobID string) string { return keySpec + separator + jobID }
func endKey(jobID string) string  { return keyEnd + separator + jobID }

// EncodeSpec returns the records of a submission. limit is the most bytes of one record.
func EncodeSpec(spec Spec, limit int) ([]keyedlog.Record, error) {
	value, err := spec.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return split(specKey(spec.ID), value, limit), nil
}

// EncodeEnd returns the record that ends a job.
func EncodeEnd(jobID string) keyedlog.Record {
	return keyedlog.Record{Key: endKey(jobID), Value: []byte{1}}
}

// EncodeResult returns the records that list a result at a position.
func EncodeResult(jobID string, position int, result Result, limit int) ([]keyedlog.Record, error) {
	value, err := result.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return split(resultKey(jobID, position), value, limit), nil
}

// EncodeProgress returns the records that keep how far an item has come.
func EncodeProgress(jobID string, progress Progress, limit int) ([]keyedlog.Record, error) {
	value, err := progress.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	return split(progressKey(jobID, progress.ItemID), value, limit), nil
}

// recordOverhead is what a record needs besides key and value.
const recordOverhead = 16

// split lays a value over records: parts first, then the record that completes it, which begins with the number of parts.
func split(key string, value []byte, limit int) []keyedlog.Record {
	room := limit - len(key) - 2*recordOverhead
	var records []keyedlog.Record
	for len(value) > room {
		part := key + partMark + strconv.Itoa(len(records))
		records = append(records, keyedlog.Record{Key: part, Value: value[:room]})
		value = value[room:]
	}
	last := binary.AppendUvarint(nil, uint64(len(records)))
	return append(records, keyedlog.Record{Key: key, Value: append(last, value...)})
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
	// rest is the position of a result, or the item of a progress.
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
	case keySpec, keyEnd:
		if parsed.rest != "" {
			return parsedKey{}, errKey
		}
	case keyResult, keyProgress:
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
