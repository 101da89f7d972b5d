package enginelist

import (
	"fmt"
	"hash/fnv"

	"github.com/hillfork/hillfork/internal/keyedlog"
)

//go:generate go tool msgp -tests=false -unexported

//msgp:vartuple entry

// entry is the record of one engine, keyed by its id. Encoded as an array it takes some 45 bytes, a tenth of the
// engine's own record. Fields may be added at its end: versions that don't know a field skip it, and treat a missing
// one as zero.
type entry struct {
	Pool string `msg:"pool"`
	// Address is an address and port in the binary form of netip.
	Address     []byte `msg:"address"`
	Zone        string `msg:"zone"`
	Slots       int    `msg:"slots"`
	Draining    bool   `msg:"draining"`
	Preemptible bool   `msg:"preemptible"`
	// StartedAt and ColdUntil are in milliseconds since 1970, 0 if unknown.
	StartedAt int64 `msg:"startedat"`
	ColdUntil int64 `msg:"colduntil"`
	// Offset is the offset of the engine's own record that the entry was made from.
	Offset int64 `msg:"offset"`
}

// keyOf returns the key of an engine. It begins with a hash, so that keys are distributed evenly whatever the ids are:
// a process may begin to read anywhere.
func keyOf(id string) string {
	return HashKey(id) + id
}

// idOf returns the id of the engine of a key, empty if it is not the key of an engine.
func idOf(key string) string {
	if len(key) <= hashDigits {
		return ""
	}
	return key[hashDigits:]
}

// hashDigits is the number of hexadecimal digits of a hash.
const hashDigits = 4

// HashKey returns the hash of a name, which is its position among the keys of all engines.
func HashKey(name string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	sum := hash.Sum32()
	return fmt.Sprintf("%0*x", hashDigits, uint16(sum^sum>>16))
}

// PartitionOf returns the partition of the list that contains the engines of a pool.
func PartitionOf(pool string, partitions int) keyedlog.Partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(pool))
	return keyedlog.Partition{Topic: keyedlog.TopicEngineList, Number: int(hash.Sum32() % uint32(partitions))}
}
