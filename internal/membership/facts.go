package membership

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fact is a small register that every node holds a copy of. Of two values the one of the higher version stands, and at
// equal versions the one of the greater bytes.
type Fact struct {
	Key     string
	Version uint64
	Value   []byte
}

// factEntry is a fact with when it was set, as this node's clock tells.
type factEntry struct {
	fact  Fact
	setAt time.Time
	// expiresAt is when the fact is dropped; zero where it stays.
	expiresAt time.Time
}

func (f Fact) supersedes(other Fact) bool {
	if f.Version != other.Version {
		return f.Version > other.Version
	}
	return bytes.Compare(f.Value, other.Value) > 0
}

// digest is the hash by which two nodes compare what they hold of a fact.
func (f Fact) digest() uint64 {
	buffer := make([]byte, 0, len(factKeyPrefix)+len(f.Key)+8+len(f.Value))
	buffer = append(buffer, factKeyPrefix...)
	buffer = append(buffer, f.Key...)
	buffer = binary.BigEndian.AppendUint64(buffer, f.Version)
	buffer = append(buffer, f.Value...)
	return xxhash.Sum64(buffer)
}

// mergeFact takes in a fact that was set age ago, and tells whether it was news.
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
	entered := &factEntry{fact: fact, setAt: now.Add(-age)}
	if class.TimeToLive > 0 {
		entered.expiresAt = entered.setAt.Add(class.TimeToLive)
	}
	p.facts[fact.Key] = entered
	key := factKey(fact.Key)
	p.keys.insert(key)
	p.queue.add(key, true)
	p.factsChanged = true
	if class.Urgent {
		p.hurry(now, key)
	}
	return true
}

// expireFacts drops facts that have outlived their class. Copies that still travel carry their age and are not taken in
// again.
func (p *protocol) expireFacts(now time.Time) {
	for key, held := range p.facts {
		if held.expiresAt.IsZero() || now.Before(held.expiresAt) {
			continue
		}
		delete(p.facts, key)
		p.keys.remove(factKey(key))
		p.factsChanged = true
	}
}

// factsWith returns the facts whose keys have prefix, sorted by key.
func (p *protocol) factsWith(prefix string) []Fact {
	var result []Fact
	for _, key := range p.keys.between(factKeyPrefix, "") {
		if !strings.HasPrefix(key, factKeyPrefix) {
			break
		}
		held := p.facts[strings.TrimPrefix(key, factKeyPrefix)]
		if strings.HasPrefix(held.fact.Key, prefix) {
			result = append(result, held.fact.copy())
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
