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

func TestZoneThatWasCutOffMeetsTheOthersAgain(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(30)
		c.await(30*time.Second, c.allAlive)
		cut := c.addressesOfZone(2)
		c.fabric.block(func(from, to string) bool { return cut[from] != cut[to] })
		inside, outside := c.nodes[nodeName(2)], c.nodes[nodeName(0)]
		parted := func() bool {
			return alive(inside) == 10 && alive(outside) == 20
		}
		t.Logf("parted in %v", c.await(time.Minute, parted))
		time.Sleep(5 * time.Minute)
		c.nodes[nodeName(0)].SetFact("bundle", 2, []byte("two"))
		c.nodes[nodeName(2)].SetFact("bundle", 1, []byte("one"))
		c.fabric.block(func(string, string) bool { return false })
		t.Logf("met again in %v", c.await(time.Minute, c.allAlive))
		agreed := func() bool {
			return c.everybody(func(running *node) bool {
				fact, _ := running.Fact("bundle")
				return fact.Version == 2 && string(fact.Value) == "two"
			})
		}
		c.await(30*time.Second, agreed)
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

func TestOneWayLossBetweenTwoNodesKillsNeither(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.startAll(12)
		c.await(30*time.Second, c.allAlive)
		c.fabric.block(func(from, to string) bool { return from == nodeAddress(3) && to == nodeAddress(5) })
		for range 1200 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			is.True(c.everybody(func(running *node) bool {
				return running.stateOf(nodeName(3)) != StateDead && running.stateOf(nodeName(5)) != StateDead
			}))
		}
	})
}

func TestRandomLossKillsNobody(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(30)
		c.await(30*time.Second, c.allAlive)
		random := rand.New(rand.NewPCG(1, 1))
		c.fabric.block(func(string, string) bool { return random.IntN(10) == 0 })
		for range 240 {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
			is.True(c.everybody(func(running *node) bool { return running.countOf(StateDead) == 0 }))
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
		c.await(30*time.Second, c.allAlive)
		c.crash(nodeName(5))
		c.startAs("replacement", 5, 1)
		replaced := func() bool {
			return c.everybody(func(running *node) bool {
				return running.stateOf(nodeName(5)) == StateDead || running.Self().Node == "replacement"
			})
		}
		t.Logf("replaced in %v", c.await(30*time.Second, func() bool { return replaced() && c.allAlive() }))
		for range 100 {
			time.Sleep(500 * time.Millisecond)
			synctest.Wait()
			is.True(replaced()) // what answers at its address is not taken for the old node
		}
	})
}

func TestRestartedProcessIsTakenForTheLaterOne(t *testing.T) {
	for _, incarnation := range []uint64{2, 0} { // 0: its clock is behind that of the earlier process
		run(t, 2, func(is *is.I, c *cluster) {
			c.startAll(12)
			c.await(30*time.Second, c.allAlive)
			c.crash(nodeName(5))
			c.startAs(nodeName(5), 5, incarnation)
			c.await(30*time.Second, func() bool {
				self := c.nodes[nodeName(5)].Self()
				return self.Incarnation != 1 && c.allAlive() && c.everybody(func(running *node) bool {
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

func TestProcessWithALaterOneElsewhereEnds(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.startAll(6)
		c.await(30*time.Second, c.allAlive)
		earlier := c.nodes[nodeName(5)]
		c.startAs(nodeName(5), 7, 9)
		<-earlier.done
		is.True(errors.Is(earlier.err, ErrSuperseded))
		c.await(30*time.Second, func() bool {
			return c.allAlive() && c.nodes[nodeName(0)].incarnationOf(nodeName(5)) == 9
		})
	})
}

func TestRandomBytesAreDroppedAndCounted(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		c.startAll(3)
		c.await(30*time.Second, c.allAlive)
		stranger, err := c.fabric.ListenPacket("10.9.9.9:1")
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
			_, _ = stranger.WriteTo(garbage, target)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		hit := c.nodes[nodeName(0)]
		hit.count(func() { is.Equal(hit.dropped[DropMalformed], count) })
		is.True(c.allAlive())
	})
}

func TestFloodOfPingsCostsNoMoreThanTheBudget(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		c.startAll(6)
		c.await(30*time.Second, c.allAlive)
		time.Sleep(time.Minute)
		hit := c.nodes[nodeName(0)]
		stranger, err := c.fabric.ListenPacket("10.9.9.9:1")
		is.NoErr(err)
		target, err := net.ResolveUDPAddr("udp", nodeAddress(0))
		is.NoErr(err)
		before := hit.bytesSent()
		const seconds = 60
		for sequence := range seconds * 100 {
			ping := newEncoder(&header{Kind: packetPing, Sequence: uint32(sequence), From: "stranger"})
			_, _ = stranger.WriteTo(ping.finish(""), target)
			time.Sleep(10 * time.Millisecond)
		}
		sent := hit.bytesSent() - before
		is.True(sent > 0)
		is.True(sent < DefaultBurstBytes+DefaultBytesPerSecond*seconds)
		hit.count(func() { is.True(hit.dropped[DropOverBudget] > 0) })
	})
}

func TestLeaveAloneDoesNotWait(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		is.NoErr(c.start(0).Leave(context.Background()))
		is.Equal(c.nodes[nodeName(0)].Self().State, StateLeaving)
	})
}
