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

// loadUsual is how long a load is taken to last before one was measured.
const loadUsual = time.Second

// Board is the fold of announcements: what every engine was ordered to load, and when this process learnt of it. It is safe
// for concurrent use.
type Board struct {
	directory *fleet.Directory

	mutex   sync.Mutex
	orders  map[string]seenOrder
	skipped int
	// began holds a moment by which each order giver had its epoch, by what its records tell.
	began map[orderGiver]time.Time
	// atOnce maps pools to how many of their engines might load at once.
	atOnce map[string]int
	// usual is the smoothed time from the announcement of an order to that of its engine serving, 0 before one was measured.
	usual time.Duration
}

// seenOrder is an announcement with the moment at which it was read.
type seenOrder struct {
	Announcement
	seenAt time.Time
	// announcedBy is a moment by which the order had been announced, seenAt or an earlier one; last fills it in.
	announcedBy time.Time
}

// orderGiver is who ordered the engines of a pool under an epoch.
type orderGiver struct {
	pool  string
	epoch int64
}

// giversMost is how many order givers are remembered.
const giversMost = 16

// NewBoard returns an empty board that tells a directory what engines load and serve.
func NewBoard(directory *fleet.Directory) *Board {
	return &Board{directory: directory, orders: make(map[string]seenOrder), began: make(map[orderGiver]time.Time), atOnce: make(map[string]int)}
}

// Apply folds a record. An error says that it was skipped.
func (b *Board) Apply(record keyedlog.Record) error {
	if record.Key == keyedlog.OwnerKey {
		return nil
	}
	now := time.Now()
	if record.Value == nil {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		delete(b.orders, record.Key)
		return nil
	}
	if strings.HasPrefix(record.Key, dealingKey) {
		return b.deal(record.Value)
	}
	var order Announcement
	if _, err := order.UnmarshalMsg(record.Value); err != nil {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.skipped++
		return err
	}
	b.mutex.Lock()
	b.noteClock(order, now)
	seen := seenOrder{Announcement: order, seenAt: now}
	if order.Serving {
		// That an engine serves is no new order.
		last, read := b.orders[order.EngineID]
		if read {
			seen.seenAt = last.seenAt
		}
		b.learn(last, read, order, now)
	}
	b.orders[order.EngineID] = seen
	if order.Together > 0 {
		b.atOnce[order.Pool] = order.Together
	}
	until := b.announcedBy(seen).Add(b.loading())
	b.mutex.Unlock()
	if order.Serving {
		b.directory.SetServedVersion(order.EngineID, order.Model, order.Version)
	} else {
		b.directory.SetLoading(order.EngineID, order.Model, until)
	}
	return nil
}

// deal takes which model each engine of a pool is kept up to date for.
func (b *Board) deal(value []byte) error {
	var dealing Dealing
	if _, err := dealing.UnmarshalMsg(value); err != nil {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.skipped++
		return err
	}
	b.directory.SetAssignedModels(dealing.Pool, dealing.assignment())
	return nil
}

// loadingSlack is how many usual times an engine is taken to load before it is offered work again.
const loadingSlack = 1.3

// loading is how long an engine is taken to load after an announcement. The mutex must be held.
func (b *Board) loading() time.Duration {
	if b.usual == 0 {
		return loadUsual
	}
	return time.Duration(loadingSlack * float64(b.usual))
}

// learn takes that an engine serves what it was ordered to load, by its last announcement if one was read. The mutex must be held.
func (b *Board) learn(last seenOrder, read bool, serving Announcement, now time.Time) {
	if read && (last.Serving || last.Version != serving.Version || last.Model != serving.Model) {
		return
	}
	took := loadTook(last, read, serving, now)
	switch {
	case took <= 0:
	case b.usual == 0:
		b.usual = took
	default:
		b.usual = smoothed(b.usual, min(took, overdueLoads*b.usual))
	}
}

// loadTook returns how long a load took, 0 if that is not known. It goes by the giver's clock: a process that is behind reads order and answer
// together, or the answer alone, and a hundred loads that seem to take no time would have it give work to engines that load.
func loadTook(last seenOrder, read bool, serving Announcement, now time.Time) time.Duration {
	switch {
	case serving.Ordered > 0:
		return serving.Written - serving.Ordered
	case serving.Written == 0 && read:
		// The giver tells no times.
		return now.Sub(last.seenAt)
	default:
		return 0
	}
}

// noteClock takes what a record tells of when its owner began. A record is read after it was written, so that the owner had begun by the
// moment of reading less what its clock showed; a clock that stood still during a suspension only makes that later. The mutex must be held.
func (b *Board) noteClock(order Announcement, now time.Time) {
	if order.Written <= 0 {
		return
	}
	giver := orderGiver{order.Pool, order.Epoch}
	began := now.Add(-order.Written)
	if known, ok := b.began[giver]; ok && !began.Before(known) {
		return
	}
	b.began[giver] = began
	if len(b.began) > giversMost {
		delete(b.began, slices.MinFunc(slices.Collect(maps.Keys(b.began)), func(a, b orderGiver) int { return cmp.Compare(a.epoch, b.epoch) }))
	}
}

// announcedBy returns a moment by which an order had been announced. Whoever has read an order just now knows by the newest record of its giver
// how old it is at least, and that it is older than the next giver. The mutex must be held.
func (b *Board) announcedBy(order seenOrder) time.Time {
	by := order.seenAt
	for giver, began := range b.began {
		switch {
		case giver.pool != order.Pool || giver.epoch < order.Epoch:
			continue
		case giver.epoch == order.Epoch && order.Ordered <= 0:
			continue
		case giver.epoch == order.Epoch:
			began = began.Add(order.Ordered)
		}
		if began.Before(by) {
			by = began
		}
	}
	return by
}

// last returns the newest announcement for an engine.
func (b *Board) last(engineID string) (seenOrder, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	order, ok := b.orders[engineID]
	order.announcedBy = b.announcedBy(order)
	return order, ok
}

// together returns how many engines of a pool might load at once by its newest announcement, 0 if none tells.
func (b *Board) together(pool string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.atOnce[pool]
}

// gone returns the engines of announcements that are not in the directory any more and whose last order is older than a
// moment.
func (b *Board) gone(partition keyedlog.Partition, partitions int, before time.Time) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ids []string
	for id, order := range b.orders {
		_, exists := b.directory.Engine(id)
		if !exists && order.seenAt.Before(before) && PartitionOf(order.Pool, partitions) == partition {
			ids = append(ids, id)
		}
	}
	return ids
}
