package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// addressesOfZone returns the addresses of the nodes of a zone.
func (c *cluster) addressesOfZone(zone int) map[string]bool {
	addresses := make(map[string]bool)
	for number := range len(c.nodes) {
		if number%c.zones == zone {
			addresses[nodeAddress(number)] = true
		}
	}
	return addresses
}

func TestPartitionedZoneRejoinsCluster(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(30)
		c.waitFor(30*time.Second, c.allAlive)
		isolated := c.addressesOfZone(2)
		c.network.block(func(from, to string) bool { return isolated[from] != isolated[to] })
		inside, outside := c.nodes[nodeName(2)], c.nodes[nodeName(0)]
		separated := func() bool {
			return alive(inside) == 10 && alive(outside) == 20
		}
		t.Logf("partition detected in %v", c.waitFor(time.Minute, separated))
		time.Sleep(5 * time.Minute)
		c.nodes[nodeName(0)].SetFact("bundle", 2, []byte("two"))
		c.nodes[nodeName(2)].SetFact("bundle", 1, []byte("one"))
		c.network.block(func(string, string) bool { return false })
		t.Logf("reconnected in %v", c.waitFor(time.Minute, c.allAlive))
		agreed := func() bool {
			return c.allNodes(func(running *node) bool {
				fact, _ := running.Fact("bundle")
				return fact.Version == 2 && string(fact.Value) == "two"
			})
		}
		c.waitFor(30*time.Second, agreed)
	})
}

func alive(running *node) int {
	count := 0
	for _, member := range running.Members() {
		if member.State == StateAlive {
			count++
		}
	}
	return count
}

func TestOneWayLossBetweenTwoNodesDeclaresNeitherDead(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.startAll(12)
		c.waitFor(30*time.Second, c.allAlive)
		c.network.block(func(from, to string) bool { return from == nodeAddress(3) && to == nodeAddress(5) })
		for range 1200 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			is.True(c.allNodes(func(running *node) bool {
				return running.stateOf(nodeName(3)) != StateDead && running.stateOf(nodeName(5)) != StateDead
			}))
		}
	})
}

func TestRandomLossDeclaresNoNodeDead(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(30)
		c.waitFor(30*time.Second, c.allAlive)
		random := rand.New(rand.NewPCG(1, 1))
		c.network.block(func(string, string) bool { return random.IntN(10) == 0 })
		for range 240 {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
			is.True(c.allNodes(func(running *node) bool { return running.countOf(StateDead) == 0 }))
		}
	})
}

func (n *node) countOf(state State) int {
	count := 0
	for _, member := range n.Members() {
		if member.State == state {
			count++
		}
	}
	return count
}

func TestNodeReplacedAtTheSameAddress(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.startAll(12)
		c.waitFor(30*time.Second, c.allAlive)
		c.crash(nodeName(5))
		c.startAs("replacement", 5, 1)
		replaced := func() bool {
			return c.allNodes(func(running *node) bool {
				return running.stateOf(nodeName(5)) == StateDead || running.Self().Node == "replacement"
			})
		}
		t.Logf("replacement detected in %v", c.waitFor(30*time.Second, func() bool { return replaced() && c.allAlive() }))
		for range 100 {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
			is.True(replaced()) // the new node at its address is not mistaken for the old one
		}
	})
}

func TestRestartedProcessReplacesEarlierIncarnation(t *testing.T) {
	for _, incarnation := range []uint64{2, 0} { // 0: the clock of the new process is behind that of the earlier one
		run(t, 2, func(is *is.I, c *cluster) {
			c.startAll(12)
			c.waitFor(30*time.Second, c.allAlive)
			c.crash(nodeName(5))
			c.startAs(nodeName(5), 5, incarnation)
			c.waitFor(30*time.Second, func() bool {
				self := c.nodes[nodeName(5)].Self()
				return self.Incarnation != 1 && c.allAlive() && c.allNodes(func(running *node) bool {
					return running.incarnationOf(nodeName(5)) == self.Incarnation
				})
			})
		})
	}
}

func (n *node) incarnationOf(other string) uint64 {
	for _, member := range n.Members() {
		if member.Node == other {
			return member.Incarnation
		}
	}
	return 0
}

func TestRunEndsWhenLaterProcessRunsElsewhere(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.startAll(6)
		c.waitFor(30*time.Second, c.allAlive)
		earlier := c.nodes[nodeName(5)]
		c.startAs(nodeName(5), 7, 9)
		<-earlier.done
		is.True(errors.Is(earlier.err, ErrSuperseded))
		c.waitFor(30*time.Second, func() bool {
			return c.allAlive() && c.nodes[nodeName(0)].incarnationOf(nodeName(5)) == 9
		})
	})
}

func TestRandomBytesAreDroppedAndCounted(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		c.startAll(3)
		c.waitFor(30*time.Second, c.allAlive)
		sender, err := c.network.ListenPacket("10.9.9.9:1")
		is.NoErr(err)
		random := rand.New(rand.NewPCG(1, 1))
		target, err := net.ResolveUDPAddr("udp", nodeAddress(0))
		is.NoErr(err)
		const count = 1000
		for range count {
			garbage := make([]byte, random.IntN(maxPacketBytes+100))
			for position := range garbage {
				garbage[position] = byte(random.Uint32())
			}
			_, _ = sender.WriteTo(garbage, target)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		receiver := c.nodes[nodeName(0)]
		receiver.count(func() { is.Equal(receiver.dropped[DropMalformed], count) })
		is.True(c.allAlive())
	})
}

func TestPingFloodStaysWithinByteBudget(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		c.startAll(6)
		c.waitFor(30*time.Second, c.allAlive)
		time.Sleep(time.Minute)
		receiver := c.nodes[nodeName(0)]
		sender, err := c.network.ListenPacket("10.9.9.9:1")
		is.NoErr(err)
		target, err := net.ResolveUDPAddr("udp", nodeAddress(0))
		is.NoErr(err)
		before := receiver.bytesSent()
		const seconds = 60
		for sequence := range seconds * 100 {
			ping := newEncoder(&header{Kind: packetPing, Sequence: uint32(sequence), From: "stranger"})
			_, _ = sender.WriteTo(ping.finish(""), target)
			time.Sleep(10 * time.Millisecond)
		}
		sent := receiver.bytesSent() - before
		is.True(sent > 0)
		is.True(sent < DefaultBurstBytes+DefaultBytesPerSecond*seconds)
		receiver.count(func() { is.True(receiver.dropped[DropOverBudget] > 0) })
	})
}

func TestLeaveWithoutPeersReturnsAtOnce(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		is.NoErr(c.start(0).Leave(context.Background()))
		is.Equal(c.nodes[nodeName(0)].Self().State, StateLeaving)
	})
}
