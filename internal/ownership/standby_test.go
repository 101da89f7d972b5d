package ownership_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/standin/memorylog"
	"github.com/hillfork/hillfork/internal/storetimeout"
	"github.com/matryer/is"
)

const (
	large = 0.8
	small = 0.144
	// fleetPartitions is how many partitions the group of these tests has.
	fleetPartitions = 16
	// settled is longer than machines take to settle who takes part.
	settled = 12 * time.Second
	// noticed is how much longer than by members that are there a partition may wait for one that stands by.
	noticed = 1500 * time.Millisecond
)

// start starts a machine with a share of a processor; its calls carry its name.
func start(store *memorylog.Store, name string, share float64) *member {
	ctx, cancel := context.WithCancel(context.Background())
	started := &member{holder: newHolder(), cancel: cancel, done: make(chan struct{})}
	started.manager = ownership.New(ownership.Config{
		Log: storetimeout.New(store.For(name)), Group: "g", Member: name, Share: share, Topics: []keyedlog.Topic{keyedlog.TopicJobs},
		Lifetime: lifetime, Holder: started.holder, Logger: log.New(io.Discard),
	})
	go func() {
		defer close(started.done)
		started.manager.Run(ctx)
	}()
	return started
}

func startAll(store *memorylog.Store, name string, count int, share float64) []*member {
	started := make([]*member, count)
	for i := range started {
		started[i] = start(store, fmt.Sprint(name, i), share)
	}
	return started
}

func stopAll(groups ...[]*member) {
	for _, members := range groups {
		for _, joined := range members {
			joined.cancel()
		}
		for _, joined := range members {
			<-joined.done
		}
	}
}

// taking returns how many machines are members.
func taking(members []*member) int {
	count := 0
	for _, joined := range members {
		if joined.manager.TakesPart() {
			count++
		}
	}
	return count
}

// cut makes the store say nothing to machines whose names begin so.
func cut(store *memorylog.Store, name string) {
	store.SetRule(func(call memorylog.Call) memorylog.Fault {
		if strings.HasPrefix(call.Caller, name) {
			return memorylog.Silent
		}
		return memorylog.None
	})
}

// TestMachinesOfOneSizeAllTakePart checks that nobody stands by where no machine is larger than another, or none tells its share, also
// with more machines than partitions.
func TestMachinesOfOneSizeAllTakePart(t *testing.T) {
	for _, share := range []float64{0, small, large} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
			machines := startAll(store, "m", fleetPartitions+4, share)
			synctest.Wait()
			is.Equal(taking(machines), len(machines))
			time.Sleep(settled)
			is.Equal(taking(machines), len(machines))
			is.Equal(owners(machines...), fleetPartitions)
			stopAll(machines)
		})
	}
}

// TestLargeMachinesHoldAll starts small machines before large ones, more of each than there are partitions: the group deals nothing to a
// newcomer then. The small ones hand over without a partition being without an owner for longer than after a planned stop.
func TestLargeMachinesHoldAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settled)
		is.Equal(owners(smalls...), fleetPartitions)
		larges := startAll(store, "large", fleetPartitions, large)
		all := append(append([]*member{}, smalls...), larges...)
		gap := longestGap(all, settled)
		is.True(gap <= lifetime/2)
		is.Equal(owners(larges...), fleetPartitions)
		is.Equal(taking(larges), len(larges))
		is.Equal(taking(smalls), 0)

		// One large machine after the other is restarted: those that are left take over, and no small one is drawn in.
		for i, machine := range larges {
			machine.stop()
			time.Sleep(lifetime)
			is.Equal(taking(smalls), 0)
			is.Equal(owners(larges...), fleetPartitions)
			larges[i] = start(store, fmt.Sprint("large", i), large)
			time.Sleep(lifetime)
		}
		is.Equal(taking(smalls), 0)
		stopAll(smalls, larges)
	})
}

// longestGap returns for how long at most some partition was without an owner, while a time passes.
func longestGap(members []*member, during time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	var gap, longest time.Duration
	for range during / step {
		time.Sleep(step)
		synctest.Wait()
		gap += step
		if owners(members...) >= fleetPartitions {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

// TestSmallMachinesTakeOverWhenAllLargeOnesAreGone cuts all members off from the store at once, and checks how long the partitions stay
// without an owner; then the members are back and have them again.
func TestSmallMachinesTakeOverWhenAllLargeOnesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settled)
		is.Equal(taking(smalls), 0)
		cut(store, "large")
		time.Sleep(lifetime + noticed)
		is.Equal(owners(smalls...), fleetPartitions)
		store.Heal()
		time.Sleep(settled)
		is.Equal(owners(larges...), fleetPartitions)
		is.Equal(taking(smalls), 0)
		stopAll(smalls, larges)
	})
}

// TestLargeMachinesAreBackBeforeMachinesHaveSettled cuts all large machines off from the store and has them back, many times: members look at the
// group at random moments, and none of the plays may take longer than the others are given.
func TestLargeMachinesAreBackBeforeMachinesHaveSettled(t *testing.T) {
	const plays = 40
	for range plays {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
			larges := startAll(store, "large", fleetPartitions, large)
			smalls := startAll(store, "small", 20, small)
			defer stopAll(smalls, larges)
			time.Sleep(settled)
			cut(store, "large")
			time.Sleep(lifetime + noticed)
			store.Heal()
			time.Sleep(settled)
			synctest.Wait()
			is.Equal(owners(larges...), fleetPartitions)
			is.Equal(taking(smalls), 0)
		})
	}
}

// TestTooFewLargeMachinesGetHelp leaves three of many large machines: each partition would get less of a processor there than a machine of
// the middle size gives, and more than a small one gives.
func TestTooFewLargeMachinesGetHelp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		middles := startAll(store, "middle", 4, 0.48)
		smalls := startAll(store, "small", 4, small)
		time.Sleep(settled)
		is.Equal(taking(middles)+taking(smalls), 0)
		stopAll(larges[3:])
		time.Sleep(2 * settled)
		is.Equal(taking(middles), len(middles))
		is.Equal(taking(smalls), 0)
		is.Equal(owners(middles...)+owners(larges[:3]...), fleetPartitions)
		stopAll(larges[:3], middles, smalls)
	})
}

// TestAStoreThatIsAwayDrawsNobodyIn checks that machines that stand by neither join while the store is down nor when it is back, and
// that they still join when it came back without the members.
func TestAStoreThatIsAwayDrawsNobodyIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settled)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		// As long as a lifetime lasts, the members are still there when the store is back.
		time.Sleep(lifetime / 2)
		store.Heal()
		time.Sleep(settled)
		is.Equal(taking(smalls), 0)
		is.Equal(owners(larges...), fleetPartitions)

		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(5 * lifetime)
		is.Equal(taking(smalls), 0)
		cut(store, "large")
		time.Sleep(noticed)
		is.Equal(owners(smalls...), fleetPartitions)
		store.Heal()
		stopAll(larges, smalls)
	})
}

// TestAMachineThatStartsWhileTheStoreIsAwayIsThereWithIt starts machines of one size while the store is down: they own all partitions once
// four joins have passed since its return: one to be there, and three in which partitions pass on from the first to the others.
func TestAMachineThatStartsWhileTheStoreIsAwayIsThereWithIt(t *testing.T) {
	for _, share := range []float64{0, small} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
			store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
			machines := startAll(store, "m", 3, share)
			time.Sleep(5*lifetime + time.Millisecond)
			store.Heal()
			time.Sleep(lifetime / 2)
			is.Equal(owners(machines...), fleetPartitions)
			is.Equal(taking(machines), len(machines))
			stopAll(machines)
		})
	}
}

// TestAStoreThatRefusesForTooManyCallsDrawsNobodyIn has the store refuse all calls as too many for several lifetimes while the members
// stay listed, as a store does that counts no time then: machines that stand by are not to join before they see that.
func TestAStoreThatRefusesForTooManyCallsDrawsNobodyIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settled)
		// The members' joins pass, so that they stay listed.
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if strings.HasPrefix(call.Caller, "small") {
				return memorylog.Throttled
			}
			return memorylog.None
		})
		time.Sleep(6 * lifetime)
		is.Equal(taking(smalls), 0)
		store.Heal()
		time.Sleep(settled)
		is.Equal(taking(smalls), 0)
		is.Equal(owners(larges...), fleetPartitions)
		stopAll(larges, smalls)
	})
}

// TestARestartedOwnerIsBackAtOnce has a small machine that holds all partitions start again before its lifetime has passed, without having
// left, while the larger machines are away.
func TestARestartedOwnerIsBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		first := start(store, "machine", small)
		time.Sleep(lifetime)
		cut(store, "machine")
		first.stop()
		store.Heal()
		again := start(store, "machine", small)
		synctest.Wait()
		is.Equal(again.holds(), fleetPartitions)
		again.stop()
	})
}
