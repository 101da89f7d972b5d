package enginelist

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
)

const (
	// keepInterval is how often the list is compared with what was read: changes that come together are written together.
	keepInterval = 100 * time.Millisecond
	// appendMost bounds the records of one append, some 60 KB.
	appendMost = 1000
)

// KeeperConfig configures a keeper.
type KeeperConfig struct {
	Log    keyedlog.Log
	List   *List
	Logger *log.Logger
}

// Keeper writes the list as it should be while this process reads the engines' own records. It implements ownership.Holder: it is first in
// charge of the partitions that it holds.
type Keeper struct {
	config KeeperConfig
	// failing says that the last append failed.
	failing bool
	written atomic.Int64

	mutex    sync.Mutex
	inCharge map[int]*tenure
}

// NewKeeper returns a keeper; Run starts it.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{config: config, inCharge: make(map[int]*tenure)}
}

// Written returns how many records were written.
func (k *Keeper) Written() int64 {
	return k.written.Load()
}

// Run keeps the list until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.mend(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// mend writes what is due. A partition that can't be written holds up none of the others.
func (k *Keeper) mend(ctx context.Context) {
	for number, records := range k.config.List.mends(k.isInCharge) {
		partition := keyedlog.Partition{Topic: keyedlog.TopicEngineList, Number: number}
		for len(records) > 0 {
			count := min(appendMost, len(records))
			if !k.append(ctx, partition, records[:count]) {
				k.config.List.notWritten(records)
				break
			}
			records = records[count:]
		}
	}
}

// append writes records and tells whether they were. What was not is due again later.
func (k *Keeper) append(ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record) bool {
	_, err := k.config.Log.Append(ctx, partition, records, nil)
	if err != nil {
		if !k.failing && ctx.Err() == nil {
			errorlog.Warn(k.config.Logger, "engine list not written", err, "partition", partition, "entries", len(records))
		}
		k.failing = true
		return false
	}
	k.failing = false
	k.written.Add(int64(len(records)))
	k.config.Logger.Info("engine list written", "partition", partition, "entries", len(records), "in_charge", k.isInCharge(partition.Number))
	return true
}

func (k *Keeper) isInCharge(number int) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.inCharge[number] != nil
}

// Gained puts this process first in charge of a partition.
func (k *Keeper) Gained(_ context.Context, partition keyedlog.Partition, _ int64) ownership.Work {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	started := &tenure{keeper: k, number: partition.Number}
	k.inCharge[partition.Number] = started
	return started
}

// tenure is the time for which this process is first in charge of a partition. Two at once do no harm, so that there is no fence.
type tenure struct {
	keeper *Keeper
	number int
}

// Release ends it.
func (t *tenure) Release(context.Context) {
	t.keeper.mutex.Lock()
	defer t.keeper.mutex.Unlock()
	if t.keeper.inCharge[t.number] == t {
		delete(t.keeper.inCharge, t.number)
	}
}

// Superseded returns nil: there is no epoch that another one could have.
func (t *tenure) Superseded() <-chan struct{} {
	return nil
}
