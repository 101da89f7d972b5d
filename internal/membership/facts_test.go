package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startIntroduced runs count nodes that know each other from the start, so that tests need not wait for a large
// cluster to join.
func (c *cluster) startIntroduced(count int) {
	now := time.Now()
	c.startAll(count)
	for _, running := range c.nodes {
		running.Membership.mutex.Lock()
		for _, other := range c.nodes {
			if other != running {
				running.protocol.insertWithoutGossip(now, other.protocol.selfEntry().record)
			}
		}
		running.protocol.queue.remove(memberKey(running.config.Self.Node))
		running.notifyChanges()
		running.Membership.mutex.Unlock()
	}
}

var urgentClasses = []FactClass{
	{Prefix: "bundle", Urgent: true},
	{Prefix: "leaving/", Urgent: true, TimeToLive: time.Minute},
}

// TestFactsExpireOnAllNodesAndDoNotReturn checks that a fact also expires on a node that learned it late, and that
// copies of an expired fact are not merged again.
func TestFactsExpireOnAllNodesAndDoNotReturn(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.adjustConfig = func(config *Config) { config.FactClasses = urgentClasses }
		c.startAll(12)
		c.waitFor(30*time.Second, c.allAlive)
		c.nodes[nodeName(1)].SetFact("leaving/engine-1", 1, nil)
		count := func() int {
			total := 0
			for _, running := range c.nodes {
				total += len(running.Facts("leaving/"))
			}
			return total
		}
		c.waitFor(2*time.Second, func() bool { return count() == 12 })
		time.Sleep(30 * time.Second)
		is.Equal(count(), 12)
		late := c.start(12) // learns the fact and its age by comparing records
		c.waitFor(10*time.Second, func() bool { return len(late.Facts("leaving/")) == 1 })
		c.waitFor(35*time.Second, func() bool { return count() == 0 })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(count(), 0)
		}
	})
}

func TestHigherVersionOfAFactWins(t *testing.T) {
	run(t, 1, func(is *is.I, c *cluster) {
		only := c.start(0)
		changed := only.FactsChanged()
		only.SetFact("key", 2, []byte("b"))
		<-changed
		steps := []struct {
			version uint64
			value   string
			want    string
		}{
			{version: 1, value: "z", want: "b"},
			{version: 2, value: "a", want: "b"},
			{version: 2, value: "c", want: "c"},
			{version: 3, value: "a", want: "a"},
			{version: 4, value: string(make([]byte, MaxFactBytes+1)), want: "a"},
		}
		for _, step := range steps {
			only.SetFact("key", step.version, []byte(step.value))
			fact, _ := only.Fact("key")
			is.Equal(string(fact.Value), step.want)
		}
		only.SetFact("kez", 1, nil)
		is.Equal(len(only.Facts("ke")), 2)
		is.Equal(len(only.Facts("key")), 1)
	})
}

func TestManyFactsSpreadWithinByteBudget(t *testing.T) {
	run(t, 2, func(is *is.I, c *cluster) {
		c.startAll(20)
		c.waitFor(30*time.Second, c.allAlive)
		time.Sleep(time.Minute)
		const facts, seconds = 400, 60
		before := make(map[string]int)
		for name, running := range c.nodes {
			before[name] = running.bytesSent()
		}
		for number := range facts {
			setter := c.nodes[nodeName(number%20)]
			setter.SetFact(fmt.Sprintf("leaving/engine-%d", number), 1, []byte("value"))
		}
		arrived := func() bool {
			return c.allNodes(func(running *node) bool { return len(running.Facts("leaving/")) == facts })
		}
		t.Logf("400 facts set at once arrived in %v", c.waitFor(seconds*time.Second, arrived))
		time.Sleep(seconds * time.Second)
		for name, running := range c.nodes {
			is.True(running.bytesSent()-before[name] < DefaultBurstBytes+DefaultBytesPerSecond*(2*seconds+1))
		}
	})
}
