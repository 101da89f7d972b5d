package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/broadcast"
	"github.com/hillfork/hillfork/internal/enginelist"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/weightroll"
)

const (
	// lingerPeriod is the maximum time for which a process goes on reading what only owners need after it has released
	// all partitions: partitions move back and forth while machines come and go, and starting over requires all records
	// of engines. The time is also limited to how long the process held something: of hundreds of processes that start
	// together, many hold a partition for a moment.
	lingerPeriod = 2 * time.Second
)

// holdings tracks the partitions that this process holds. It is safe for concurrent use.
type holdings struct {
	mutex sync.Mutex
	held  map[keyedlog.Partition]int
	// gainedAt is when each partition held was gained.
	gainedAt map[keyedlog.Partition]time.Time
	changed  broadcast.Signal
	// onGained is called for each partition that was not held before, without the mutex held; nil for no call. It must be
	// set before the first partition is gained.
	onGained func(partition keyedlog.Partition)
}

func newHoldings() *holdings {
	return &holdings{
		held: make(map[keyedlog.Partition]int), gainedAt: make(map[keyedlog.Partition]time.Time), changed: broadcast.New(),
	}
}

// add adds count, 1 or -1, to the number of times that a partition is held.
func (h *holdings) add(partition keyedlog.Partition, count int) {
	h.mutex.Lock()
	gained := h.held[partition] == 0
	if gained {
		h.gainedAt[partition] = time.Now()
	}
	h.held[partition] += count
	if h.held[partition] == 0 {
		delete(h.held, partition)
		delete(h.gainedAt, partition)
	}
	h.changed.Notify()
	h.mutex.Unlock()
	if gained && h.onGained != nil {
		h.onGained(partition)
	}
}

// since returns when a partition was gained, false if it is not held.
func (h *holdings) since(partition keyedlog.Partition) (time.Time, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, held := h.gainedAt[partition]
	return at, held
}

// any reports whether a partition is held that satisfies a condition.
func (h *holdings) any(condition func(partition keyedlog.Partition) bool) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for partition := range h.held {
		if condition(partition) {
			return true
		}
	}
	return false
}

// Changed returns a channel that is closed at the next change.
func (h *holdings) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed.Changed()
}

// trackingHolder records the partitions of a holder in holdings.
type trackingHolder struct {
	ownership.Holder
	holdings *holdings
}

// Gained starts the work of a partition.
func (h trackingHolder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	h.holdings.add(partition, 1)
	return &trackedWork{Work: h.Holder.Gained(ctx, partition, generation), holdings: h.holdings, partition: partition}
}

type trackedWork struct {
	ownership.Work
	holdings  *holdings
	partition keyedlog.Partition
}

// Release ends the work.
func (w *trackedWork) Release(ctx context.Context) {
	w.Work.Release(ctx)
	w.holdings.add(w.partition, -1)
}

// actsOnEngines reports whether this process holds a partition whose owner acts on engines: it selects engines, sends
// orders to them or keeps their list. The number of such processes does not grow with the fleet, unlike that of all
// processes.
func (r *Replica) actsOnEngines() bool {
	current := r.catalog.Current()
	if current == nil {
		return false
	}
	listed := current.ListedPools()
	return r.holdings.any(func(partition keyedlog.Partition) bool {
		if _, holdsJobs := keyedlog.HomeSetOf(partition.Topic); holdsJobs {
			return true
		}
		if partition.Topic == keyedlog.TopicDuties {
			return partition.Number < r.duties
		}
		for _, pool := range current.Pools {
			if len(pool.Models) > 0 && partition == weightroll.PartitionOf(pool.Name, len(r.weights)) ||
				listed[pool.Name] && partition == enginelist.PartitionOf(pool.Name, r.listPartitions()) {
				return true
			}
		}
		return false
	})
}

func (r *Replica) listPartitions() int {
	return r.config.Log.Partitions(keyedlog.TopicEngineList)
}

// runWhenWanted calls run while it is wanted, and for up to lingerPeriod longer, until the context ends. wanted depends
// on the catalog and on the partitions held.
func (r *Replica) runWhenWanted(ctx context.Context, wanted func() bool, run func(ctx context.Context)) {
	for ctx.Err() == nil {
		changed, moved := r.catalog.Changed(), r.holdings.Changed()
		if wanted() {
			r.runUntilUnwanted(ctx, wanted, run)
			continue
		}
		select {
		case <-changed:
		case <-moved:
		case <-ctx.Done():
		}
	}
}

// runUntilUnwanted calls run until it is no longer wanted and the linger time has passed, or the context ends.
func (r *Replica) runUntilUnwanted(ctx context.Context, wanted func() bool, run func(ctx context.Context)) {
	runCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { run(runCtx) })
	defer running.Wait()
	defer cancel()
	began := time.Now()
	var unwanted time.Time
	for ctx.Err() == nil {
		changed, moved := r.catalog.Changed(), r.holdings.Changed()
		var lingerEnd <-chan time.Time
		switch {
		case wanted():
			unwanted = time.Time{}
		case unwanted.IsZero():
			unwanted = time.Now()
		}
		if !unwanted.IsZero() {
			end := unwanted.Add(min(lingerPeriod, unwanted.Sub(began)))
			if !time.Now().Before(end) {
				return
			}
			lingerEnd = time.After(time.Until(end))
		}
		select {
		case <-changed:
		case <-moved:
		case <-lingerEnd:
		case <-ctx.Done():
		}
	}
}

// readEngines reads the engines' own records while this process acts on engines, until the context ends.
func (r *Replica) readEngines(ctx context.Context) {
	r.runWhenWanted(ctx, r.actsOnEngines, func(ctx context.Context) {
		applier := &engineApplier{decoder: r.config.Decoder, directory: r.directory, list: r.list, logger: r.config.Logger}
		follower := r.follow(keyedlog.Partition{Topic: keyedlog.TopicEngines}, applier)
		applier.returned, applier.confirmed = follower.ReconnectedAt, follower.Confirmed
		applier.observe = r.metrics.departureNews("record")
		follower.Run(ctx)
		applier.stop()
		r.list.ForgetOwnRecords()
	})
}

// followWeights follows the announcements for each pool of models whose engines this process acts on or sends requests
// to, until the context ends.
func (r *Replica) followWeights(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for number, follower := range r.weights {
		running.Go(func() {
			r.runWhenWanted(ctx, func() bool { return r.needsOrders(number) }, follower.Run)
		})
	}
	<-ctx.Done()
}

// needsOrders reports whether this process has to know the orders in a partition.
func (r *Replica) needsOrders(number int) bool {
	current := r.catalog.Current()
	if current == nil {
		return false
	}
	requested := current.RequestedPools()
	for _, pool := range current.Pools {
		if len(pool.Models) > 0 && weightroll.PartitionOf(pool.Name, len(r.weights)).Number == number && (requested[pool.Name] || r.actsOnEngines()) {
			return true
		}
	}
	return false
}

// followList follows the list of engines until the context ends.
func (r *Replica) followList(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	followed := make(map[keyedlog.Partition]bool)
	for {
		changed := r.catalog.Changed()
		if current := r.catalog.Current(); current != nil {
			listed := current.ListedPools()
			r.list.SetPools(listed, current.RequestedPools())
			for pool := range listed {
				partition := enginelist.PartitionOf(pool, r.listPartitions())
				if !followed[partition] {
					followed[partition] = true
					running.Go(func() { r.followListPartition(ctx, partition) })
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// followListPartition follows a partition of the list of engines, beginning with all or some of its entries.
func (r *Replica) followListPartition(ctx context.Context, partition keyedlog.Partition) {
	for ctx.Err() == nil {
		whole := r.needsWholeList(partition)
		r.runUntilUnwanted(ctx, func() bool { return r.needsWholeList(partition) == whole }, func(ctx context.Context) {
			reader := enginelist.NewReader(r.list, partition.Number, whole, r.config.Logger)
			reader.Observe = r.metrics.departureNews("list")
			defer reader.Close()
			config := r.followConfig(partition, reader)
			if !whole {
				config.SampleAfterKey = enginelist.HashKey(memberName(r.config.Settings))
			}
			follower := follow.New(config)
			reader.Attach(follower)
			follower.Run(ctx)
		})
	}
}

// needsWholeList reports whether this process has to know all entries of a partition of the list: it acts on engines
// and keeps the entries up to date, or the partition contains several pools, of which a part of the entries may lack
// the smaller one, or work is bound to regions, of which a part of the entries may lack the smaller one too.
func (r *Replica) needsWholeList(partition keyedlog.Partition) bool {
	current := r.catalog.Current()
	if current.BindsRegions() {
		return true
	}
	pools := 0
	for pool := range current.RequestedPools() {
		if enginelist.PartitionOf(pool, r.listPartitions()) == partition {
			pools++
		}
	}
	return pools > 1 || r.actsOnEngines()
}
