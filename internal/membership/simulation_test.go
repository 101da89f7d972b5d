package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation drives the state machines of a large cluster one event at a time, without sockets or goroutines, so that
// the order of events is the same in every run. (The runtime of the race detector occasionally fails with hundreds of
// nodes in a synctest bubble.)
type simulation struct {
	now       time.Time
	nodes     []*protocol
	byAddress map[netip.AddrPort]*protocol
	// inFlight is in the order of arrival, since the latency is the same for all datagrams.
	inFlight []inFlightDatagram
	sent     int
	// dropDatagram reports whether the next datagram is lost; nil loses none.
	dropDatagram func() bool
}

type inFlightDatagram struct {
	due      time.Time
	from     netip.AddrPort
	outgoing outgoing
}

func newSimulation(t *testing.T, size, zones int, classes []FactClass) *simulation {
	s := &simulation{
		now:       time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
		byAddress: make(map[netip.AddrPort]*protocol),
	}
	for number := range size {
		config, err := Config{
			Self: Member{
				Node:          nodeName(number),
				Incarnation:   1,
				GossipAddress: nodeAddress(number),
				PeerAddress:   nodeAddress(number),
				Zone:          fmt.Sprintf("zone-%d", number%zones),
				Region:        "region",
			},
			Network:     newFakeNetwork(),
			Seeds:       func(context.Context) []string { return nil },
			Seed:        uint64(number) + 1,
			FactClasses: classes,
		}.withDefaults()
		is.New(t).NoErr(err)
		started := newProtocol(config, s.now)
		s.nodes = append(s.nodes, started)
		s.byAddress[netip.MustParseAddrPort(nodeAddress(number))] = started
	}
	return s
}

// introduceAll makes all nodes known to each other from the start.
func (s *simulation) introduceAll() {
	s.introduce(func(int, int) bool { return true })
}

// introduce inserts other into the members of node for all pairs of node numbers for which knows returns true.
func (s *simulation) introduce(knows func(node, other int) bool) {
	for number, node := range s.nodes {
		for otherNumber, other := range s.nodes {
			if other != node && knows(number, otherNumber) {
				node.insertWithoutGossip(s.now, other.selfEntry().record)
			}
		}
		node.queue.remove(memberKey(node.config.Self.Node))
	}
}

// run advances the simulated time by span.
func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for {
		next := s.nextEvent()
		if next.After(end) {
			s.now = end
			return
		}
		s.now = next
		s.deliver()
		for _, node := range s.nodes {
			if !node.nextWake().After(s.now) {
				node.tick(s.now)
				s.collect(node)
			}
		}
	}
}

func (s *simulation) nextEvent() time.Time {
	next := s.nodes[0].nextWake()
	for _, node := range s.nodes {
		if wake := node.nextWake(); wake.Before(next) {
			next = wake
		}
	}
	if len(s.inFlight) > 0 && s.inFlight[0].due.Before(next) {
		next = s.inFlight[0].due
	}
	return next
}

func (s *simulation) deliver() {
	for len(s.inFlight) > 0 && !s.inFlight[0].due.After(s.now) {
		arrived := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		if target := s.byAddress[arrived.outgoing.address]; target != nil {
			target.receive(s.now, arrived.from, arrived.outgoing.payload)
			s.collect(target)
		}
	}
}

func (s *simulation) collect(node *protocol) {
	from := netip.MustParseAddrPort(node.config.Self.GossipAddress)
	for _, sent := range node.outbox {
		s.sent += len(sent.payload)
		if s.dropDatagram != nil && s.dropDatagram() {
			continue
		}
		s.inFlight = append(s.inFlight, inFlightDatagram{due: s.now.Add(fakeNetworkLatency), from: from, outgoing: sent})
	}
	node.outbox = nil
}

// count returns the number of nodes for which predicate is true.
func (s *simulation) count(predicate func(node *protocol) bool) int {
	total := 0
	for _, node := range s.nodes {
		if predicate(node) {
			total++
		}
	}
	return total
}

// seesAllAlive reports whether a node sees all nodes as alive.
func (s *simulation) seesAllAlive(node *protocol) bool {
	alive := 0
	for _, entry := range node.members {
		if entry.record.state() == StateAlive {
			alive++
		}
	}
	return alive == len(s.nodes)
}

func TestUrgentFactReaches410NodesWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	const size = 410
	s := newSimulation(t, size, 6, urgentClasses)
	s.introduceAll()
	s.run(time.Second)
	s.nodes[17].mergeFact(s.now, Fact{Key: "bundle", Version: 7}, 0)
	begin := s.now
	reached := 0
	for reached < size {
		is.True(s.now.Sub(begin) < 2*time.Second)
		s.run(50 * time.Millisecond)
		reached = s.count(func(node *protocol) bool { return node.facts["bundle"] != nil })
		t.Logf("after %v: %d nodes", s.now.Sub(begin), reached)
	}
}

// TestManyNodesJoinThroughFewSeeds starts many nodes at once that only know the same three seeds. If answering them
// used up the whole byte budget of the seeds, no node would ever learn of any other.
func TestManyNodesJoinThroughFewSeeds(t *testing.T) {
	is := is.New(t)
	const size = 200
	s := newSimulation(t, size, 6, nil)
	for _, node := range s.nodes {
		for number := range 3 {
			node.seeds = append(node.seeds, netip.MustParseAddrPort(nodeAddress(number)))
		}
	}
	begin := s.now
	for s.count(s.seesAllAlive) < size {
		is.True(s.now.Sub(begin) < time.Minute)
		s.run(time.Second)
	}
	t.Logf("%d nodes joined in %v", size, s.now.Sub(begin))
}

func TestBytesPerNodeDoNotGrowWithTheCluster(t *testing.T) {
	is := is.New(t)
	const window = 30 * time.Second
	for _, size := range []int{10, 50, 200, 410} {
		s := newSimulation(t, size, 6, nil)
		s.introduceAll()
		s.run(10 * time.Second)
		before := s.sent
		s.run(window)
		perNode := float64(s.sent-before) / float64(size) / window.Seconds()
		t.Logf("%d nodes: %.0f bytes a second each", size, perNode)
		is.True(perNode > 0)
		is.True(perNode < 150)
		is.Equal(s.count(s.seesAllAlive), size)
	}
}

// TestZoneLearnsMissingMembersFromOtherZones has all nodes of one zone lack the same members, as after they started
// together. If they compared their records only among themselves, they would not detect the missing members.
func TestZoneLearnsMissingMembersFromOtherZones(t *testing.T) {
	const size, zones, uninformedZone = 60, 6, 5
	s := newSimulation(t, size, zones, nil)
	s.introduce(func(node, other int) bool { return node%zones != uninformedZone || other%zones != 0 })
	s.run(30 * time.Second)
	is.New(t).Equal(s.count(s.seesAllAlive), size)
}

// TestLostAcksOfSuspectDeclareNoNodeDead loses a tenth of all datagrams. Occasionally a node does not receive a
// refutation and pings the suspect itself: one lost ack must not be enough to declare the suspect dead.
func TestLostAcksOfSuspectDeclareNoNodeDead(t *testing.T) {
	is := is.New(t)
	const size, zones, seeds = 30, 3, 40
	for seed := range uint64(seeds) {
		s := newSimulation(t, size, zones, nil)
		s.introduceAll()
		random := rand.New(rand.NewPCG(seed, seed))
		s.dropDatagram = func() bool { return random.IntN(10) == 0 }
		for range 240 {
			s.run(500 * time.Millisecond)
			is.Equal(s.count(seesDeadMember), 0)
		}
	}
}

func seesDeadMember(node *protocol) bool {
	for _, entry := range node.members {
		if entry.record.Condition == conditionDead {
			return true
		}
	}
	return false
}

// TestUrgentUpdatesReachAllNodesInTime simulates the planned leaving of a node and its exit in 60 small clusters with
// different random seeds. All nodes must learn of both within the time limits, whatever the random choices are.
func TestUrgentUpdatesReachAllNodesInTime(t *testing.T) {
	is := is.New(t)
	const (
		size, zones   = 50, 3
		leavingWithin = 2 * time.Second
		endWithin     = 3 * time.Second
	)
	for cluster := uint64(200); cluster < 260; cluster++ {
		s := newSimulation(t, size, zones, nil)
		for number, node := range s.nodes {
			node.random = rand.New(rand.NewPCG(cluster, uint64(number)))
		}
		s.introduceAll()
		s.run(time.Second)
		leaver := s.nodes[9]
		knows := func(state State) int {
			return s.count(func(node *protocol) bool {
				held := node.members[leaver.config.Self.Node]
				return held.record.state() == state
			})
		}
		leaver.leave(s.now)
		s.collect(leaver)
		s.run(leavingWithin)
		is.Equal(knows(StateLeaving), size)

		leaver.announceExit(s.now)
		s.collect(leaver)
		s.stop(leaver)
		s.run(endWithin)
		is.Equal(knows(StateDead), size-1)
	}
}

// stop removes a node from the simulation.
func (s *simulation) stop(node *protocol) {
	delete(s.byAddress, netip.MustParseAddrPort(node.config.Self.GossipAddress))
	s.nodes = slices.DeleteFunc(s.nodes, func(other *protocol) bool { return other == node })
}
