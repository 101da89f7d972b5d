package ownership_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
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
	partitions = 6
	lifetime   = 1200 * time.Millisecond
)

// holder records the partitions that a member works on, and their epochs.
type holder struct {
	mutex  sync.Mutex
	works  map[keyedlog.Partition]*work
	epochs map[keyedlog.Partition][]int64
}

type work struct {
	holder     *holder
	partition  keyedlog.Partition
	superseded chan struct{}
	once       sync.Once
}

func newHolder() *holder {
	return &holder{works: make(map[keyedlog.Partition]*work), epochs: make(map[keyedlog.Partition][]int64)}
}

func (h *holder) Gained(_ context.Context, partition keyedlog.Partition, epoch int64) ownership.Work {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	gained := &work{holder: h, partition: partition, superseded: make(chan struct{})}
	h.works[partition] = gained
	h.epochs[partition] = append(h.epochs[partition], epoch)
	return gained
}

func (w *work) Release(context.Context) {
	w.holder.mutex.Lock()
	defer w.holder.mutex.Unlock()
	delete(w.holder.works, w.partition)
}

func (w *work) Superseded() <-chan struct{} { return w.superseded }

func (w *work) supersede() { w.once.Do(func() { close(w.superseded) }) }

func (h *holder) holds() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.works)
}

func (h *holder) epochsOf(partition keyedlog.Partition) []int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.epochs[partition])
}

type member struct {
	*holder
	manager *ownership.Manager
	cancel  context.CancelFunc
	done    chan struct{}
}

func (m *member) stop() {
	m.cancel()
	<-m.done
}

func join(store *memorylog.Store, name string) *member {
	ctx, cancel := context.WithCancel(context.Background())
	joined := &member{holder: newHolder(), cancel: cancel, done: make(chan struct{})}
	manager := ownership.New(ownership.Config{
		Log: storetimeout.New(store.For(name)), Group: "g", Member: name, Topics: []keyedlog.Topic{keyedlog.TopicJobs}, Lifetime: lifetime,
		Holder: joined.holder, Logger: log.New(io.Discard),
	})
	joined.manager = manager
	go func() {
		defer close(joined.done)
		manager.Run(ctx)
	}()
	return joined
}

func totalHeld(members ...*member) int {
	total := 0
	for _, joined := range members {
		total += joined.holds()
	}
	return total
}

func TestPartitionsAreAssignedAndHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: partitions})
		first := join(store, "first")
		synctest.Wait()
		is.Equal(first.holds(), partitions)
		is.True(first.manager.Holds())

		second := join(store, "second")
		time.Sleep(2 * lifetime)
		is.Equal(totalHeld(first, second), partitions)
		is.Equal(second.holds(), partitions/2)

		// A planned stop hands the partitions over within one join of the other member, without waiting for the
		// lifetime.
		second.stop()
		time.Sleep(lifetime/2 + 10*time.Millisecond)
		is.Equal(first.holds(), partitions)
		is.True(!second.manager.Holds())
		first.stop()
		is.True(!first.manager.Holds())
	})
}

// TestSilentMemberIsReplaced checks that the partitions of a member that no longer reaches the store are reassigned
// within two lifetimes, and that the owners of a partition never share an epoch.
func TestSilentMemberIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: partitions})
		first, second := join(store, "first"), join(store, "second")
		time.Sleep(2 * lifetime)
		store.SetRule(func(call memorylog.Call) memorylog.Fault {
			if call.Caller == "first" {
				return memorylog.Silent
			}
			return memorylog.None
		})
		time.Sleep(2 * lifetime)
		is.Equal(second.holds(), partitions)
		store.Heal()
		time.Sleep(2 * lifetime)
		is.Equal(totalHeld(first, second), partitions)
		for number := range partitions {
			partition := keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: number}
			epochs := second.epochsOf(partition)
			for _, earlier := range first.epochsOf(partition) {
				for _, epoch := range epochs {
					is.True(epoch != earlier)
				}
			}
		}
		first.stop()
		second.stop()
	})
}

// TestStoreOutageMovesNoPartitions checks that members keep their partitions and go on working while the store is down.
func TestStoreOutageMovesNoPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: partitions})
		only := join(store, "only")
		synctest.Wait()
		store.SetRule(func(memorylog.Call) memorylog.Fault { return memorylog.Down })
		time.Sleep(5 * lifetime)
		is.Equal(only.holds(), partitions)
		store.Heal()
		only.stop()
	})
}

// TestSupersededOwnerRestartsOnlyUnderHigherEpoch checks that an owner that learns that another one has written, while
// the partition is still assigned to it, restarts its work only under a newer generation.
func TestSupersededOwnerRestartsOnlyUnderHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memorylog.New(memorylog.Config{Partitions: partitions})
		first := join(store, "first")
		synctest.Wait()
		partition := keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: 0}
		first.mutex.Lock()
		first.works[partition].supersede()
		first.mutex.Unlock()
		time.Sleep(lifetime)
		is.Equal(fmt.Sprint(first.epochsOf(partition)), "[1]")
		store.Redeal()
		time.Sleep(lifetime)
		is.Equal(fmt.Sprint(first.epochsOf(partition)), "[1 2]")
		first.stop()
	})
}
