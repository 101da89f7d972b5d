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
	// lingerFor is how long a process goes on at most reading what only owners need after it holds nothing: partitions move back and forth
	// while machines come and go, and to begin anew costs all records of engines. It is no longer than it held something: of hundreds of
	// processes that start together many hold a partition for a moment.
	lingerFor = 2 * time.Second
)

// holdings notes the partitions that this process holds. It is safe for concurrent use.
type holdings struct {
	mutex   sync.Mutex
	held    map[keyedlog.Partition]int
	changed broadcast.Signal
}

func newHoldings() *holdings {
	return &holdings{held: make(map[keyedlog.Partition]int), changed: broadcast.New()}
}

// add counts a partition as held, or not any more.
func (h *holdings) add(partition keyedlog.Partition, count int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.held[partition] += count
	if h.held[partition] == 0 {
		delete(h.held, partition)
	}
	h.changed.Notify()
}

// any tells whether a partition is held for which a condition holds.
func (h *holdings) any(met func(partition keyedlog.Partition) bool) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for partition := range h.held {
		if met(partition) {
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

// noted has the partitions of a holder noted.
type noted struct {
	ownership.Holder
	holdings *holdings
}

// Gained starts the work of a partition.
func (n noted) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	n.holdings.add(partition, 1)
	return &notedWork{Work: n.Holder.Gained(ctx, partition, generation), holdings: n.holdings, partition: partition}
}

type notedWork struct {
	ownership.Work
	holdings  *holdings
	partition keyedlog.Partition
}

// Release ends the work.
func (w *notedWork) Release(ctx context.Context) {
	w.Work.Release(ctx)
	w.holdings.add(w.partition, -1)
}

// acts tells whether this process holds a partition whose owner acts on engines: it chooses among them, orders them or keeps their list.
// Their number does not grow with the fleet, unlike that of the processes.
func (r *Replica) acts() bool {
	current := r.catalog.Current()
	if current == nil {
		return false
	}
	requested := current.RequestedPools()
	return r.holdings.any(func(partition keyedlog.Partition) bool {
		switch partition.Topic {
		case keyedlog.TopicJobs:
			return true
		case keyedlog.TopicDuties:
			return partition.Number < r.duties
		}
		for _, pool := range current.Pools {
			if len(pool.Models) > 0 && partition == weightroll.PartitionOf(pool.Name, len(r.weights)) ||
				requested[pool.Name] && partition == enginelist.PartitionOf(pool.Name, r.listPartitions()) {
				return true
			}
		}
		return false
	})
}

func (r *Replica) listPartitions() int {
	return r.config.Log.Partitions(keyedlog.TopicEngineList)
}

// whenever runs something while it is wanted, and for lingerFor longer, until the context ends. What is wanted depends on the catalog and
// on the partitions held.
func (r *Replica) whenever(ctx context.Context, wanted func() bool, run func(ctx context.Context)) {
	for ctx.Err() == nil {
		changed, moved := r.catalog.Changed(), r.holdings.Changed()
		if wanted() {
			r.during(ctx, wanted, run)
			continue
		}
		select {
		case <-changed:
		case <-moved:
		case <-ctx.Done():
		}
	}
}

// during runs something until it is not wanted any more and has lingered, or the context ends.
func (r *Replica) during(ctx context.Context, wanted func() bool, run func(ctx context.Context)) {
	runCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { run(runCtx) })
	defer running.Wait()
	defer cancel()
	began := time.Now()
	var unwanted time.Time
	for ctx.Err() == nil {
		changed, moved := r.catalog.Changed(), r.holdings.Changed()
		var over <-chan time.Time
		switch {
		case wanted():
			unwanted = time.Time{}
		case unwanted.IsZero():
			unwanted = time.Now()
		}
		if !unwanted.IsZero() {
			end := unwanted.Add(min(lingerFor, unwanted.Sub(began)))
			if !time.Now().Before(end) {
				return
			}
			over = time.After(time.Until(end))
		}
		select {
		case <-changed:
		case <-moved:
		case <-over:
		case <-ctx.Done():
		}
	}
}

// readEngines reads the engines' own records while this process acts on engines, until the context ends.
func (r *Replica) readEngines(ctx context.Context) {
	r.whenever(ctx, r.acts, func(ctx context.Context) {
		applier := &engineApplier{decoder: r.config.Decoder, directory: r.directory, list: r.list, logger: r.config.Logger}
		follower := r.follow(keyedlog.Partition{Topic: keyedlog.TopicEngines}, applier)
		applier.returned = follower.ReconnectedAt
		follower.Run(ctx)
		applier.end()
		r.list.OwnUnread()
	})
}

// followWeights follows the announcements for each pool of models whose engines this process acts on or sends requests to, until the
// context ends.
func (r *Replica) followWeights(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for number, follower := range r.weights {
		running.Go(func() {
			r.whenever(ctx, func() bool { return r.needsOrders(number) }, follower.Run)
		})
	}
	<-ctx.Done()
}

// needsOrders tells whether this process has to know of the orders in a partition.
func (r *Replica) needsOrders(number int) bool {
	current := r.catalog.Current()
	if current == nil {
		return false
	}
	requested := current.RequestedPools()
	for _, pool := range current.Pools {
		if len(pool.Models) > 0 && weightroll.PartitionOf(pool.Name, len(r.weights)).Number == number && (requested[pool.Name] || r.acts()) {
			return true
		}
	}
	return false
}

// followList follows the list of engines for the pools that requests are sent to, until the context ends.
func (r *Replica) followList(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	followed := make(map[keyedlog.Partition]bool)
	for {
		changed := r.catalog.Changed()
		if current := r.catalog.Current(); current != nil {
			requested := current.RequestedPools()
			r.list.SetPools(requested)
			for pool := range requested {
				partition := enginelist.PartitionOf(pool, r.listPartitions())
				if !followed[partition] {
					followed[partition] = true
					running.Go(func() { r.followListed(ctx, partition) })
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

// followListed follows a partition of the list of engines, from all or some of its entries on.
func (r *Replica) followListed(ctx context.Context, partition keyedlog.Partition) {
	for ctx.Err() == nil {
		whole := r.needsWhole(partition)
		r.during(ctx, func() bool { return r.needsWhole(partition) == whole }, func(ctx context.Context) {
			reader := enginelist.NewReader(r.list, partition.Number, whole, r.config.Logger)
			defer reader.Close()
			config := r.followConfig(partition, reader)
			if !whole {
				config.SampleAfterKey = enginelist.HashKey(holderName(r.config.Settings))
			}
			follower := follow.New(config)
			reader.Attach(follower)
			follower.Run(ctx)
		})
	}
}

// needsWhole tells whether this process has to know all entries of a partition of the list: it acts on engines and sees to it that they are
// right, or several pools lie there, of which some entries may leave out the smaller one.
func (r *Replica) needsWhole(partition keyedlog.Partition) bool {
	pools := 0
	for pool := range r.catalog.Current().RequestedPools() {
		if enginelist.PartitionOf(pool, r.listPartitions()) == partition {
			pools++
		}
	}
	return pools > 1 || r.acts()
}
