package enginelist

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
)

const (
	// keepInterval is how often the list is compared with what was read: changes that come together are written together.
	keepInterval = 100 * time.Millisecond
	// appendMost bounds the records of one append, some 60 KB.
	appendMost = 1000
	// confirmTimeout bounds how long a process that is not in charge waits to be in step with the list before it mends it.
	confirmTimeout = 300 * time.Millisecond
)

// errNotRead says that a partition of the list is not being read.
var errNotRead = errors.New("engine list is not read")

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

// mend writes what is due: at once what this process is first in charge of, and for others what differs still once the list was read to its
// end. A process that is behind takes for missing what others have written since, and all readers of the list would read it again.
func (k *Keeper) mend(ctx context.Context) {
	k.write(ctx, k.config.List.mends(k.isInCharge, k.isInCharge))
	for _, number := range k.config.List.overdue(k.isInCharge) {
		if k.confirm(ctx, number) == nil {
			k.write(ctx, k.config.List.mends(func(other int) bool { return other == number }, k.isInCharge))
		}
	}
}

// confirm waits until all that a partition holds now was read.
func (k *Keeper) confirm(ctx context.Context, number int) error {
	follower := k.config.List.follower(number)
	if follower == nil {
		return errNotRead
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return follow.WaitUntilCurrent(ctx, k.config.Log, keyedlog.Partition{Topic: keyedlog.TopicEngineList, Number: number}, follower)
}

// write appends records. A partition that can't be written holds up none of the others.
func (k *Keeper) write(ctx context.Context, mends map[int][]keyedlog.Record) {
	for number, records := range mends {
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
	appended, err := k.config.Log.Append(ctx, partition, records, nil)
	if err != nil {
		if !k.failing && ctx.Err() == nil {
			errorlog.Warn(k.config.Logger, "engine list not written", err, "partition", partition, "entries", len(records))
		}
		k.failing = true
		return false
	}
	k.failing = false
	k.config.List.written(partition.Number, records, appended.End)
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
