package membership

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fact is a small versioned value of which every node stores a copy. Of two values the one with the higher version
// wins, and at equal versions the one with the greater bytes.
type Fact struct {
	Key     string
	Version uint64
	Value   []byte
}

// factEntry is a stored fact and the time at which it was set, by this node's clock.
type factEntry struct {
	fact  Fact
	setAt time.Time
	// expiresAt is when the fact is dropped; zero if it does not expire.
	expiresAt time.Time
}

func (f Fact) supersedes(other Fact) bool {
	if f.Version != other.Version {
		return f.Version > other.Version
	}
	return bytes.Compare(f.Value, other.Value) > 0
}

// digest returns the hash by which two nodes compare their copies of a fact.
func (f Fact) digest() uint64 {
	buffer := make([]byte, 0, len(factKeyPrefix)+len(f.Key)+8+len(f.Value))
	buffer = append(buffer, factKeyPrefix...)
	buffer = append(buffer, f.Key...)
	buffer = binary.BigEndian.AppendUint64(buffer, f.Version)
	buffer = append(buffer, f.Value...)
	return xxhash.Sum64(buffer)
}

// mergeFact merges a fact that was set age ago and reports whether it was new.
func (p *protocol) mergeFact(now time.Time, fact Fact, age time.Duration) bool {
	class := p.config.factClass(fact.Key)
	if class.TimeToLive > 0 && age >= class.TimeToLive {
		return false
	}
	known := p.facts[fact.Key]
	if known != nil && !fact.supersedes(known.fact) {
		return false
	}
	if known == nil && len(p.facts) >= p.config.MaxFacts {
		p.config.Observer.dropped(DropTooManyFacts)
		return false
	}
	added := &factEntry{fact: fact, setAt: now.Add(-age)}
	if class.TimeToLive > 0 {
		added.expiresAt = added.setAt.Add(class.TimeToLive)
	}
	p.facts[fact.Key] = added
	key := factKey(fact.Key)
	p.keys.insert(key)
	p.queue.add(key, true)
	p.factsChanged = true
	if class.Urgent {
		p.queueUrgent(now, key)
	}
	return true
}

// expireFacts drops facts that are older than the TimeToLive of their class. Copies that are still in transit carry
// their age and are not merged again.
func (p *protocol) expireFacts(now time.Time) {
	for key, entry := range p.facts {
		if entry.expiresAt.IsZero() || now.Before(entry.expiresAt) {
			continue
		}
		delete(p.facts, key)
		p.keys.remove(factKey(key))
		p.factsChanged = true
	}
}

// factsWithPrefix returns the facts whose keys have prefix, sorted by key.
func (p *protocol) factsWithPrefix(prefix string) []Fact {
	var result []Fact
	for _, key := range p.keys.between(factKeyPrefix, "") {
		if !strings.HasPrefix(key, factKeyPrefix) {
			break
		}
		entry := p.facts[strings.TrimPrefix(key, factKeyPrefix)]
		if strings.HasPrefix(entry.fact.Key, prefix) {
			result = append(result, entry.fact.copy())
		}
	}
	return result
}

func (f Fact) copy() Fact {
	f.Value = slices.Clone(f.Value)
	return f
}

func (e *factEntry) record(now time.Time) *factRecord {
	age := max(0, now.Sub(e.setAt))
	return &factRecord{
		Key:        e.fact.Key,
		Version:    e.fact.Version,
		Value:      e.fact.Value,
		AgeSeconds: uint32((age + time.Second - 1) / time.Second),
	}
}
