package weightroll

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// PartitionOf returns the partition whose owner orders the engines of a pool.
func PartitionOf(pool string, partitions int) keyedlog.Partition {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(pool))
	return keyedlog.Partition{Topic: keyedlog.TopicWeights, Number: int(hash.Sum32() % uint32(partitions))}
}

// defaultLoadTime is the assumed duration of a load before one was measured.
const defaultLoadTime = time.Second

// OrderTable is the state built from the announcements in the store: what every engine was last ordered to load, and when
// this process read that. It is safe for concurrent use.
type OrderTable struct {
	directory *fleet.Directory

	mutex   sync.Mutex
	orders  map[string]receivedOrder
	skipped int
	// epochStart maps owners to a time by which they had acquired their epoch, derived from their records.
	epochStart map[ownerEpoch]time.Time
	// loadLimits maps pools to the number of their engines that may load concurrently.
	loadLimits map[string]int
	// typicalLoad is the smoothed time from the announcement of an order to the announcement that its engine serves, 0
	// before one was measured.
	typicalLoad time.Duration
}

// receivedOrder is an announcement with the time at which it was read.
type receivedOrder struct {
	Announcement
	receivedAt time.Time
	// announcedBefore is a time by which the order had been announced, receivedAt or an earlier one; lastOrder sets it.
	announcedBefore time.Time
}

// ownerEpoch identifies the owner that ordered the engines of a pool under an epoch.
type ownerEpoch struct {
	pool  string
	epoch int64
}

// maxOwnerEpochs limits the entries of OrderTable.epochStart.
const maxOwnerEpochs = 16

// NewOrderTable returns an empty table that updates a directory with the versions that engines load and serve.
func NewOrderTable(directory *fleet.Directory) *OrderTable {
	return &OrderTable{directory: directory, orders: make(map[string]receivedOrder), epochStart: make(map[ownerEpoch]time.Time), loadLimits: make(map[string]int)}
}

// Apply applies a record. An error means that the record was skipped.
func (t *OrderTable) Apply(record keyedlog.Record) error {
	if record.Key == keyedlog.OwnerKey {
		return nil
	}
	now := time.Now()
	if record.Value == nil {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		delete(t.orders, record.Key)
		return nil
	}
	if strings.HasPrefix(record.Key, assignmentKeyPrefix) {
		return t.applyAssignment(record.Value)
	}
	var order Announcement
	if _, err := order.UnmarshalMsg(record.Value); err != nil {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.skipped++
		return err
	}
	t.mutex.Lock()
	t.observeEpochStart(order, now)
	received := receivedOrder{Announcement: order, receivedAt: now}
	if order.Serving {
		// An announcement that the engine serves the version is not a new order.
		last, known := t.orders[order.EngineID]
		if known {
			received.receivedAt = last.receivedAt
		}
		t.observeServing(last, known, order, now)
	}
	t.orders[order.EngineID] = received
	if order.Together > 0 {
		t.loadLimits[order.Pool] = order.Together
	}
	until := t.announcedBefore(received).Add(t.expectedLoadTime())
	t.mutex.Unlock()
	if order.Serving {
		t.directory.SetServedVersion(order.EngineID, order.Model, order.Version)
	} else {
		t.directory.SetLoading(order.EngineID, order.Model, until)
	}
	return nil
}

// applyAssignment applies the record of a pool's assignment to the directory.
func (t *OrderTable) applyAssignment(value []byte) error {
	var record AssignmentRecord
	if _, err := record.UnmarshalMsg(value); err != nil {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.skipped++
		return err
	}
	t.directory.SetAssignedModels(record.Pool, record.assignment())
	return nil
}

// loadingSlackFactor is the multiple of the typical load time after which an engine is offered work again without an
// announcement that it serves.
const loadingSlackFactor = 1.3

// expectedLoadTime returns how long an engine is assumed to load after an announcement. The caller must hold the mutex.
func (t *OrderTable) expectedLoadTime() time.Duration {
	if t.typicalLoad == 0 {
		return defaultLoadTime
	}
	return time.Duration(loadingSlackFactor * float64(t.typicalLoad))
}

// observeServing updates the typical load time when an engine serves what it was ordered to load. last is the engine's
// last announcement, if known is set. The caller must hold the mutex.
func (t *OrderTable) observeServing(last receivedOrder, known bool, serving Announcement, now time.Time) {
	if known && (last.Serving || last.Version != serving.Version || last.Model != serving.Model) {
		return
	}
	elapsed := loadDuration(last, known, serving, now)
	switch {
	case elapsed <= 0:
	case t.typicalLoad == 0:
		t.typicalLoad = elapsed
	default:
		t.typicalLoad = smoothed(t.typicalLoad, min(elapsed, overdueFactor*t.typicalLoad))
	}
}

// loadDuration returns how long a load took, 0 if that is not known. It is based on the clock of the owner that ordered
// the load. A process that lags behind reads the order and the announcement that the engine serves together, or only
// the latter: a hundred loads that seem to take no time would make it assign work to engines that are loading.
func loadDuration(last receivedOrder, known bool, serving Announcement, now time.Time) time.Duration {
	switch {
	case serving.Ordered > 0:
		return serving.Written - serving.Ordered
	case serving.Written == 0 && known:
		// The owner does not record times.
		return now.Sub(last.receivedAt)
	default:
		return 0
	}
}

// observeEpochStart derives from a record when its owner's epoch began. A record is read after it was written, so the
// epoch had begun by the time of reading minus the time on the owner's clock. A clock that was stopped during a
// suspension only makes the result later. The caller must hold the mutex.
func (t *OrderTable) observeEpochStart(order Announcement, now time.Time) {
	if order.Written <= 0 {
		return
	}
	owner := ownerEpoch{order.Pool, order.Epoch}
	epochStart := now.Add(-order.Written)
	if known, ok := t.epochStart[owner]; ok && !epochStart.Before(known) {
		return
	}
	t.epochStart[owner] = epochStart
	if len(t.epochStart) > maxOwnerEpochs {
		delete(t.epochStart, slices.MinFunc(slices.Collect(maps.Keys(t.epochStart)), func(a, b ownerEpoch) int { return cmp.Compare(a.epoch, b.epoch) }))
	}
}

// announcedBefore returns a time by which an order had been announced. A process that has only just read an order
// derives its minimum age from the newest record of the same owner, and knows that the order is older than the epoch of
// the next owner. The caller must hold the mutex.
func (t *OrderTable) announcedBefore(order receivedOrder) time.Time {
	earliest := order.receivedAt
	for owner, epochStart := range t.epochStart {
		switch {
		case owner.pool != order.Pool || owner.epoch < order.Epoch:
			continue
		case owner.epoch == order.Epoch && order.Ordered <= 0:
			continue
		case owner.epoch == order.Epoch:
			epochStart = epochStart.Add(order.Ordered)
		}
		if epochStart.Before(earliest) {
			earliest = epochStart
		}
	}
	return earliest
}

// lastOrder returns the newest announcement for an engine.
func (t *OrderTable) lastOrder(engineID string) (receivedOrder, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	order, ok := t.orders[engineID]
	order.announcedBefore = t.announcedBefore(order)
	return order, ok
}

// loadLimit returns the number of a pool's engines that may load concurrently according to its newest announcement, 0
// if none has it.
func (t *OrderTable) loadLimit(pool string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.loadLimits[pool]
}

// departed returns the engines of announcements that are no longer in the directory and whose last order was read
// before the given time.
func (t *OrderTable) departed(partition keyedlog.Partition, partitions int, before time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id, order := range t.orders {
		_, exists := t.directory.Engine(id)
		if !exists && order.receivedAt.Before(before) && PartitionOf(order.Pool, partitions) == partition {
			ids = append(ids, id)
		}
	}
	return ids
}
