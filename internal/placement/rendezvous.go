package placement

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/membership"
)

// Source provides the current members. *membership.Membership is a Source.
type Source interface {
	Members() []membership.Member
	Changed() <-chan struct{}
}

// Rendezvous is a Placer by highest-random-weight hashing. Members that are leaving or dead own nothing. Suspect
// members keep their keys: most suspicions are refuted, and moving a shard away and back costs two claims and two
// replays, while a call to a member that has really failed returns an error and is retried until the suspicion is
// resolved seconds later.
//
// It is safe for concurrent use.
type Rendezvous struct {
	self   Member
	source Source

	mutex   sync.Mutex
	changed <-chan struct{}
	index   *index
}

// NewRendezvous returns a Placer for the node self over the members of source.
func NewRendezvous(self Member, source Source) *Rendezvous {
	return &Rendezvous{self: self, source: source}
}

// Owner returns the member placed for key; false when no member is alive.
func (r *Rendezvous) Owner(key string, preference Preference) (Member, bool) {
	return r.current().choose(key, preference)
}

// Self returns the member of this node.
func (r *Rendezvous) Self() Member { return r.self }

// Changed returns a channel that is closed when the members change.
func (r *Rendezvous) Changed() <-chan struct{} { return r.source.Changed() }

// current returns the index of the current members, rebuilt only after a change.
func (r *Rendezvous) current() *index {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.index != nil && !broadcast.Closed(r.changed) {
		return r.index
	}
	// The channel is read before the members, so that a change in between causes one more rebuild, never a stale index.
	r.changed = r.source.Changed()
	r.index = newIndex(placeable(r.source.Members()))
	return r.index
}

// placeable returns the members that may own keys.
func placeable(members []membership.Member) []Member {
	result := make([]Member, 0, len(members))
	for _, member := range members {
		if member.State != membership.StateAlive && member.State != membership.StateSuspect {
			continue
		}
		result = append(result, Member{
			Node:        member.Node,
			PeerAddress: member.PeerAddress,
			Zone:        member.Zone,
			Region:      member.Region,
		})
	}
	return result
}

// Choose returns the member of members placed for key: the one with the highest weight in the preferred zone, in the
// preferred region if that zone has no members, or among all members if the region has none either. It is a pure
// function and does not depend on the order of members. It returns false when there are no members.
func Choose(members []Member, key string, preference Preference) (Member, bool) {
	return newIndex(members).choose(key, preference)
}

// candidate is a member with the hash of its name.
type candidate struct {
	member Member
	hash   uint64
}

// location is a zone of a region, a zone of any region if region is empty, or a whole region if zone is empty.
type location struct {
	zone   string
	region string
}

// index groups members by location. It is immutable once built.
type index struct {
	all        []candidate
	byLocation map[location][]candidate
}

func newIndex(members []Member) *index {
	result := &index{
		all:        make([]candidate, 0, len(members)),
		byLocation: make(map[location][]candidate),
	}
	for _, member := range members {
		entry := candidate{member: member, hash: xxhash.Sum64String(member.Node)}
		result.all = append(result.all, entry)
		for _, loc := range locationsOf(member) {
			result.byLocation[loc] = append(result.byLocation[loc], entry)
		}
	}
	return result
}

// locationsOf returns the locations that match a member.
func locationsOf(member Member) []location {
	locations := make([]location, 0, 3)
	if member.Zone != "" {
		locations = append(locations, location{zone: member.Zone})
	}
	if member.Region != "" {
		locations = append(locations, location{region: member.Region})
	}
	if member.Zone != "" && member.Region != "" {
		locations = append(locations, location{zone: member.Zone, region: member.Region})
	}
	return locations
}

func (i *index) choose(key string, preference Preference) (Member, bool) {
	return highestWeight(i.preferred(preference), key)
}

// preferred returns the members at the preferred location, or at the next larger one that has any.
func (i *index) preferred(preference Preference) []candidate {
	if preference.Zone != "" {
		near := i.byLocation[location{zone: preference.Zone, region: preference.Region}]
		if len(near) > 0 {
			return near
		}
	}
	if preference.Region != "" {
		near := i.byLocation[location{region: preference.Region}]
		if len(near) > 0 {
			return near
		}
	}
	return i.all
}

// highestWeight returns the candidate with the highest weight for key; among equal weights the first by name.
func highestWeight(candidates []candidate, key string) (Member, bool) {
	if len(candidates) == 0 {
		return Member{}, false
	}
	keyHash := xxhash.Sum64String(key)
	best := 0
	bestWeight := weight(candidates[0].hash, keyHash)
	for position := 1; position < len(candidates); position++ {
		candidateWeight := weight(candidates[position].hash, keyHash)
		heavier := candidateWeight > bestWeight
		if candidateWeight == bestWeight {
			heavier = candidates[position].member.Node < candidates[best].member.Node
		}
		if heavier {
			best = position
			bestWeight = candidateWeight
		}
	}
	return candidates[best].member, true
}

// Multipliers of the 64-bit finalizer of splitmix64, which spreads every input bit over the whole result.
const (
	mixMultiplierFirst  = 0xbf58476d1ce4e5b9
	mixMultiplierSecond = 0x94d049bb133111eb
)

// weight combines the hashes of a node and of a key.
func weight(nodeHash, keyHash uint64) uint64 {
	mixed := nodeHash ^ keyHash
	mixed = (mixed ^ (mixed >> 30)) * mixMultiplierFirst
	mixed = (mixed ^ (mixed >> 27)) * mixMultiplierSecond
	return mixed ^ (mixed >> 31)
}
