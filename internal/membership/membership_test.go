package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hillfork/hillfork/internal/network"
)

// run calls body with a cluster in virtual time.
func run(t *testing.T, zones int, body func(is *is.I, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, zones)
		defer c.stopAll()
		body(is.New(t), c)
	})
}

func TestFiftyNodesJoinAndDetectCrash(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(50)
		t.Logf("50 nodes joined in %v", c.waitFor(30*time.Second, c.allAlive))
		c.crash(nodeName(7))
		crashSeen := func() bool {
			return c.allNodes(func(running *node) bool { return running.stateOf(nodeName(7)) == StateDead })
		}
		t.Logf("all nodes detected the crash in %v", c.waitFor(30*time.Second, crashSeen))
		is.True(c.allAlive()) // no other node was declared dead
	})
}

func TestPlannedLeaveReachesAllNodesWithinTwoSeconds(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(50)
		c.waitFor(30*time.Second, c.allAlive)
		leaver := c.nodes[nodeName(9)]
		begin := time.Now()
		is.NoErr(leaver.Leave(context.Background()))
		seen := func(state State) func() bool {
			return func() bool {
				return c.allNodes(func(running *node) bool { return running.stateOf(nodeName(9)) == state })
			}
		}
		c.waitFor(2*time.Second, seen(StateLeaving))
		t.Logf("all nodes learned of the leaving in %v", time.Since(begin))
		time.Sleep(30 * time.Second)
		is.True(seen(StateLeaving)()) // the leaver still answers, so it is not suspected
		leaver.stop()
		delete(c.nodes, nodeName(9))
		c.waitFor(3*time.Second, seen(StateDead)) // the exit announcement is faster than any suspicion
	})
}

// TestPausedNodeRejoinsWithoutDeclaringMembersDead checks that a resumed process does not take deadlines that passed
// during its pause for failures of other members.
func TestPausedNodeRejoinsWithoutDeclaringMembersDead(t *testing.T) {
	run(t, 3, func(is *is.I, c *cluster) {
		c.startAll(30)
		c.waitFor(30*time.Second, c.allAlive)
		paused := c.nodes[nodeName(4)]
		socket := paused.connection.(*socket)
		socket.pause()
		declaredDead := func() bool { return c.nodes[nodeName(0)].stateOf(nodeName(4)) == StateDead }
		c.waitFor(time.Minute, declaredDead)
		time.Sleep(time.Minute)
		socket.resume()
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			for _, member := range paused.Members() {
				is.True(member.State != StateDead) // missed deadlines prove nothing about other members
			}
		}
		is.True(c.allAlive())
	})
}

func TestFrequentRestartsUseFewBytesAndConverge(t *testing.T) {
	run(t, 6, func(is *is.I, c *cluster) {
		const size, restarts = 100, 15
		c.startIntroduced(size)
		time.Sleep(10 * time.Second)
		before := c.bytesSent()
		sentByEnded := 0 // bytes sent by crashed processes, which bytesSent no longer counts
		for number := range restarts {
			sentByEnded += c.nodes[nodeName(20+number)].bytesSent()
			c.crash(nodeName(20 + number))
			c.startAs(nodeName(20+number), 20+number, 2)
			time.Sleep(2 * time.Second)
		}
		perNode := float64(c.bytesSent()+sentByEnded-before) / size / (restarts * 2)
		t.Logf("a restart every 2 s among %d nodes: %.0f bytes a second each", size, perNode)
		is.True(perNode < DefaultBytesPerSecond/2)
		c.waitFor(30*time.Second, c.allAlive)
	})
}

func TestNodesJoinOverSystemSockets(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	start := func(name string, seeds ...string) *Membership {
		membership, err := New(Config{
			Self:          Member{Node: name, Incarnation: 1},
			Network:       network.System{},
			ListenAddress: "127.0.0.1:0",
			Seeds:         func(context.Context) []string { return seeds },
		})
		is.NoErr(err)
		go func() { ended <- membership.Run(ctx) }()
		return membership
	}
	first := start("first")
	second := start("second", first.Self().GossipAddress)
	for _, membership := range []*Membership{first, second} {
		changed := membership.Changed()
		for len(membership.Members()) < 2 {
			<-changed
			changed = membership.Changed()
		}
	}
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, invalidate := range map[string]func(config *Config){
		"no network":          func(config *Config) { config.Network = nil },
		"no name":             func(config *Config) { config.Self.Node = "" },
		"peer address":        func(config *Config) { config.Self.PeerAddress = "host:1" },
		"gossip address":      func(config *Config) { config.Self.GossipAddress = "host:1" },
		"unspecified address": func(config *Config) { config.Self.GossipAddress = "0.0.0.0:7000" },
	} {
		t.Run(name, func(t *testing.T) {
			config := Config{Self: Member{Node: "node"}, Network: newFakeNetwork(), ListenAddress: "10.0.0.1:7000"}
			invalidate(&config)
			_, err := New(config)
			is.New(t).True(err != nil)
		})
	}
}
