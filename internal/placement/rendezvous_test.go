package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hillfork/hillfork/internal/membership"
)

// drawMembers draws at least minCount members with distinct names in a few zones.
func drawMembers(t *rapid.T, minCount int) []Member {
	count := rapid.IntRange(minCount, 40).Draw(t, "count")
	members := make([]Member, count)
	for number := range members {
		members[number] = Member{
			Node:   fmt.Sprintf("node-%d", number),
			Zone:   fmt.Sprintf("zone-%d", rapid.IntRange(0, 3).Draw(t, "zone")),
			Region: fmt.Sprintf("region-%d", rapid.IntRange(0, 1).Draw(t, "region")),
		}
	}
	return members
}

func drawPreference(t *rapid.T) Preference {
	return Preference{
		Zone:   rapid.SampledFrom([]string{"", "zone-0", "zone-1", "zone-9"}).Draw(t, "preferred zone"),
		Region: rapid.SampledFrom([]string{"", "region-0", "region-9"}).Draw(t, "preferred region"),
	}
}

func TestOnlyKeysOfALostMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, 2)
		preference := drawPreference(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		rest := append(append([]Member{}, members[lost+1:]...), members[:lost]...) // order must not matter either
		for number := range 50 {
			key := fmt.Sprintf("key-%d", number)
			before, _ := Choose(members, key, preference)
			after, _ := Choose(rest, key, preference)
			if before != members[lost] && before != after {
				t.Fatalf("%s moved from %v to %v although %v was lost", key, before, after, members[lost])
			}
		}
	})
}

func TestPreferenceIsHonoredWherePossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, 1)
		preference := drawPreference(t)
		inZone, inRegion := 0, 0
		for _, member := range members {
			regionFits := preference.Region == "" || member.Region == preference.Region
			if regionFits && member.Zone == preference.Zone {
				inZone++
			}
			if member.Region == preference.Region {
				inRegion++
			}
		}
		owner, _ := Choose(members, "key", preference)
		if inZone > 0 && owner.Zone != preference.Zone {
			t.Fatalf("%v is not in the zone of %v", owner, preference)
		}
		if inRegion > 0 && owner.Region != preference.Region {
			t.Fatalf("%v is not in the region of %v", owner, preference)
		}
	})
}

func TestKeysSpreadEvenly(t *testing.T) {
	is := is.New(t)
	const nodes, keys = 20, 20_000
	counts := make(map[string]int)
	members := newIndex(manyMembers(nodes))
	for number := range keys {
		owner, _ := members.choose(fmt.Sprintf("shard/%d", number), Preference{})
		counts[owner.Node]++
	}
	is.Equal(len(counts), nodes)
	for _, count := range counts {
		// Ten standard deviations of a binomial distribution around the mean of 1000.
		is.True(count > 700 && count < 1300)
	}
}

func manyMembers(count int) []Member {
	members := make([]Member, count)
	for number := range members {
		members[number] = Member{Node: fmt.Sprintf("node-%d", number), Zone: fmt.Sprintf("zone-%d", number%6)}
	}
	return members
}

// fakeSource is a Source whose members tests set.
type fakeSource struct {
	members []membership.Member
	changed chan struct{}
}

func (s *fakeSource) Members() []membership.Member { return s.members }
func (s *fakeSource) Changed() <-chan struct{}     { return s.changed }

func (s *fakeSource) set(members ...membership.Member) {
	s.members = members
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func TestOnlyAliveAndSuspectMembersOwn(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{}
	source.set()
	placer := NewRendezvous(Member{Node: "self"}, source)
	_, found := placer.Owner("key", Preference{})
	is.True(!found)
	states := map[membership.State]bool{
		membership.StateAlive:   true,
		membership.StateSuspect: true,
		membership.StateLeaving: false,
		membership.StateDead:    false,
	}
	for state, owns := range states {
		source.set(membership.Member{Node: "a", PeerAddress: "10.0.0.1:1", State: state})
		owner, found := placer.Owner("key", Preference{})
		is.Equal(found, owns)
		is.Equal(owner.PeerAddress == "10.0.0.1:1", owns)
	}
	is.Equal(placer.Self().Node, "self")
}

func BenchmarkOwner410(b *testing.B) {
	source := &fakeSource{}
	members := make([]membership.Member, 410)
	for number := range members {
		members[number] = membership.Member{Node: fmt.Sprintf("node-%d", number), State: membership.StateAlive}
	}
	source.set(members...)
	placer := NewRendezvous(Member{}, source)
	for b.Loop() {
		placer.Owner("steps/drafter/0", Preference{})
	}
}
