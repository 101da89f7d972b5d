package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Prefixes of the keys under which members and facts are queued, sorted and compared.
const (
	memberKeyPrefix = "m/"
	factKeyPrefix   = "f/"
)

func memberKey(node string) string { return memberKeyPrefix + node }
func factKey(key string) string    { return factKeyPrefix + key }

// memberEntry is the state that this node stores of a member.
type memberEntry struct {
	record memberRecord
	// suspicion is only valid while the member is suspect.
	suspicion suspicion
	// deadSince is when the member was declared dead.
	deadSince time.Time
}

// member returns the entry as callers see it.
func (e *memberEntry) member() Member {
	return Member{
		Node:          e.record.Node,
		Incarnation:   e.record.Incarnation,
		GossipAddress: formatAddress(e.record.GossipAddress),
		PeerAddress:   formatAddress(e.record.PeerAddress),
		Zone:          e.record.Zone,
		Region:        e.record.Region,
		State:         e.record.state(),
	}
}

// state combines the member's condition with its announcements. A leaving member under suspicion stays leaving, so
// that no new work is placed on it.
func (r *memberRecord) state() State {
	switch {
	case r.Condition == conditionDead:
		return StateDead
	case r.Leaving:
		return StateLeaving
	case r.Condition == conditionSuspect:
		return StateSuspect
	default:
		return StateAlive
	}
}

// stateRecord returns the record without the fields that never change within an incarnation.
func (r *memberRecord) stateRecord() stateRecord {
	return stateRecord{
		Node:        r.Node,
		Incarnation: r.Incarnation,
		Refutation:  r.Refutation,
		Condition:   r.Condition,
		Leaving:     r.Leaving,
	}
}

// supersedes reports whether r is newer than other, a record of the same node.
func (r stateRecord) supersedes(other stateRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Refutation != other.Refutation {
		return r.Refutation > other.Refutation
	}
	return r.Condition > other.Condition
}

// Bytes added to the input of a digest for flags that are not part of the version.
const (
	digestLeaving = 1
	digestDead    = 2
)

// digest returns the hash by which two nodes compare their records of a member. Suspicions are left out, since they
// are temporary.
func (r *memberRecord) digest() uint64 {
	buffer := make([]byte, 0, 96)
	buffer = append(buffer, memberKeyPrefix...)
	buffer = append(buffer, r.Node...)
	buffer = binary.BigEndian.AppendUint64(buffer, r.Incarnation)
	buffer = binary.BigEndian.AppendUint32(buffer, r.Refutation)
	if r.Leaving {
		buffer = append(buffer, digestLeaving)
	}
	if r.Condition == conditionDead {
		buffer = append(buffer, digestDead)
	}
	return xxhash.Sum64(buffer)
}

// keyIndex is the sorted list of all keys.
type keyIndex struct {
	keys []string
}

func (k *keyIndex) insert(key string) {
	position, found := slices.BinarySearch(k.keys, key)
	if !found {
		k.keys = slices.Insert(k.keys, position, key)
	}
}

func (k *keyIndex) remove(key string) {
	position, found := slices.BinarySearch(k.keys, key)
	if found {
		k.keys = slices.Delete(k.keys, position, position+1)
	}
}

func (k *keyIndex) contains(key string) bool {
	_, found := slices.BinarySearch(k.keys, key)
	return found
}

// between returns the keys greater than after and not greater than end; an empty end means no bound. The result is
// only valid until the index changes.
func (k *keyIndex) between(after, end string) []string {
	first, found := slices.BinarySearch(k.keys, after)
	if found {
		first++
	}
	last := len(k.keys)
	if end != "" {
		last, found = slices.BinarySearch(k.keys, end)
		if found {
			last++
		}
	}
	if last <= first {
		return nil
	}
	return k.keys[first:last]
}
