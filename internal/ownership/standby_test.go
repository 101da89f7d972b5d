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
	// fleetPartitions is the number of partitions of the group in these tests.
	fleetPartitions = 16
	// settleTime is longer than machines need to settle which of them are members.
	settleTime = 12 * time.Second
	// detectionDelay is how much longer a partition may wait for a machine that stands by than for a member.
	detectionDelay = 1500 * time.Millisecond
)

// start starts a machine with a share of a processor. Its calls carry its name.
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

// countParticipants returns how many machines are members.
func countParticipants(members []*member) int {
	count := 0
	for _, joined := range members {
		if joined.manager.Participates() {
			count++
		}
	}
	return count
}

// silence makes the store leave calls unanswered from machines whose names have the given prefix.
func silence(store *memorylog.Store, name string) {
	store.SetRule(func(call memorylog.Call) memorylog.Fault {
		if strings.HasPrefix(call.Caller, name) {
			return memorylog.Silent
		}
		return memorylog.None
	})
}

// TestEqualMachinesAllParticipate checks that no machine stands by if all are of one size or none states its share,
// even with more machines than partitions.
func TestEqualMachinesAllParticipate(t *testing.T) {
	for _, share := range []float64{0, small, large} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
			machines := startAll(store, "m", fleetPartitions+4, share)
			synctest.Wait()
			is.Equal(countParticipants(machines), len(machines))
			time.Sleep(settleTime)
			is.Equal(countParticipants(machines), len(machines))
			is.Equal(totalHeld(machines...), fleetPartitions)
			stopAll(machines)
		})
	}
}

// TestLargeMachinesHoldAllPartitions starts small machines before large ones, with at least as many of each as there
// are partitions: the group assigns nothing to a new member then. The small machines must hand over without a partition
// being unowned for longer than after a planned stop.
func TestLargeMachinesHoldAllPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settleTime)
		is.Equal(totalHeld(smalls...), fleetPartitions)
		larges := startAll(store, "large", fleetPartitions, large)
		all := append(append([]*member{}, smalls...), larges...)
		gap := longestGap(all, settleTime)
		is.True(gap <= lifetime/2)
		is.Equal(totalHeld(larges...), fleetPartitions)
		is.Equal(countParticipants(larges), len(larges))
		is.Equal(countParticipants(smalls), 0)

		// The large machines are restarted one after the other: the remaining ones take over, and no small machine
		// joins.
		for i, machine := range larges {
			machine.stop()
			time.Sleep(lifetime)
			is.Equal(countParticipants(smalls), 0)
			is.Equal(totalHeld(larges...), fleetPartitions)
			larges[i] = start(store, fmt.Sprint("large", i), large)
			time.Sleep(lifetime)
		}
		is.Equal(countParticipants(smalls), 0)
		stopAll(smalls, larges)
	})
}

// longestGap returns the longest time for which some partition had no owner within a duration.
func longestGap(members []*member, duration time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	var gap, longest time.Duration
	for range duration / step {
		time.Sleep(step)
		synctest.Wait()
		gap += step
		if totalHeld(members...) >= fleetPartitions {
			gap = 0
		}
		longest = max(longest, gap)
	}
	return longest
}

// TestSmallMachinesTakeOverWhenAllLargeOnesAreGone cuts all members off from the store at once, and checks how long the
// partitions stay without an owner. Once the members are back they must regain the partitions.
func TestSmallMachinesTakeOverWhenAllLargeOnesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settleTime)
		is.Equal(countParticipants(smalls), 0)
		silence(store, "large")
		time.Sleep(lifetime + detectionDelay)
		is.Equal(totalHeld(smalls...), fleetPartitions)
		store.Heal()
		time.Sleep(settleTime)
		is.Equal(totalHeld(larges...), fleetPartitions)
		is.Equal(countParticipants(smalls), 0)
		stopAll(smalls, larges)
	})
}

// TestLargeMachinesRegainPartitionsWithinSettleTime cuts all large machines off from the store and reconnects them,
// many times. Members read the group at random moments; in no run may they need longer than the settle time that the
// other tests allow.
func TestLargeMachinesRegainPartitionsWithinSettleTime(t *testing.T) {
	const runs = 40
	for range runs {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
			larges := startAll(store, "large", fleetPartitions, large)
			smalls := startAll(store, "small", 20, small)
			defer stopAll(smalls, larges)
			time.Sleep(settleTime)
			silence(store, "large")
			time.Sleep(lifetime + detectionDelay)
			store.Heal()
			time.Sleep(settleTime)
			synctest.Wait()
			is.Equal(totalHeld(larges...), fleetPartitions)
			is.Equal(countParticipants(smalls), 0)
		})
	}
}

// TestMediumMachinesJoinTooFewLargeOnes leaves three of many large machines. Each partition would get less processor
// capacity on these than a medium machine provides, and more than a small one does, so that only the medium machines
// may join.
func TestMediumMachinesJoinTooFewLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		middles := startAll(store, "middle", 4, 0.48)
		smalls := startAll(store, "small", 4, small)
		time.Sleep(settleTime)
		is.Equal(countParticipants(middles)+countParticipants(smalls), 0)
		stopAll(larges[3:])
		time.Sleep(2 * settleTime)
		is.Equal(countParticipants(middles), len(middles))
		is.Equal(countParticipants(smalls), 0)
		is.Equal(totalHeld(middles...)+totalHeld(larges[:3]...), fleetPartitions)
		stopAll(larges[:3], middles, smalls)
	})
}

// TestStoreOutageMakesNoStandbyJoin checks that machines that stand by join neither while the store is down nor once it
// is back, and that they still join if it came back without the members.
func TestStoreOutageMakesNoStandbyJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settleTime)
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		// The outage is shorter than a lifetime, so that the members are still listed when the store is back.
		time.Sleep(lifetime / 2)
		store.Heal()
		time.Sleep(settleTime)
		is.Equal(countParticipants(smalls), 0)
		is.Equal(totalHeld(larges...), fleetPartitions)

		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(5 * lifetime)
		is.Equal(countParticipants(smalls), 0)
		silence(store, "large")
		time.Sleep(detectionDelay)
		is.Equal(totalHeld(smalls...), fleetPartitions)
		store.Heal()
		stopAll(larges, smalls)
	})
}

// TestMachinesStartedDuringStoreOutageJoinOnceItEnds starts machines of one size while the store is down. They must own
// all partitions once four joins have passed since its return: one to become members, and three in which partitions
// move from the first machine to the others.
func TestMachinesStartedDuringStoreOutageJoinOnceItEnds(t *testing.T) {
	for _, share := range []float64{0, small} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
			store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
			machines := startAll(store, "m", 3, share)
			time.Sleep(5*lifetime + time.Millisecond)
			store.Heal()
			time.Sleep(lifetime / 2)
			is.Equal(totalHeld(machines...), fleetPartitions)
			is.Equal(countParticipants(machines), len(machines))
			stopAll(machines)
		})
	}
}

// TestThrottlingStoreMakesNoStandbyJoin makes the store reject all calls of the standby machines as too many for
// several lifetimes while the members stay listed, as with a store that stops its clock while it throttles. Machines
// that stand by must not join before they have read the members.
func TestThrottlingStoreMakesNoStandbyJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		larges := startAll(store, "large", fleetPartitions, large)
		smalls := startAll(store, "small", 20, small)
		time.Sleep(settleTime)
		// The members' joins succeed, so that they stay listed.
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if strings.HasPrefix(call.Caller, "small") {
				return memorylog.Throttled
			}
			return memorylog.None
		})
		time.Sleep(6 * lifetime)
		is.Equal(countParticipants(smalls), 0)
		store.Heal()
		time.Sleep(settleTime)
		is.Equal(countParticipants(smalls), 0)
		is.Equal(totalHeld(larges...), fleetPartitions)
		stopAll(larges, smalls)
	})
}

// TestRestartedOwnerRegainsPartitionsAtOnce restarts a small machine that holds all partitions before its lifetime has
// passed, without a leave, while the larger machines are away.
func TestRestartedOwnerRegainsPartitionsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: fleetPartitions})
		first := start(store, "machine", small)
		time.Sleep(lifetime)
		silence(store, "machine")
		first.stop()
		store.Heal()
		again := start(store, "machine", small)
		synctest.Wait()
		is.Equal(again.holds(), fleetPartitions)
		again.stop()
	})
}
