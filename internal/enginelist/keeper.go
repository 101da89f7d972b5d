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
	"github.com/hillfork/hillfork/internal/producer"
)

const (
	// RepairInterval is the time between two comparisons of the list with the engines' own records. Changes within one
	// interval are written together.
	RepairInterval = 100 * time.Millisecond
	// maxAppendRecords limits the records of one append to some 60 KB.
	maxAppendRecords = 1000
	// ConfirmTimeout limits how long a process that is not the primary waits to catch up with the list before it
	// repairs it.
	ConfirmTimeout = 300 * time.Millisecond
)

// errNotRead reports that a partition of the list is not being read.
var errNotRead = errors.New("engine list is not read")

// KeeperConfig configures a keeper.
type KeeperConfig struct {
	Log    keyedlog.Log
	List   *List
	Logger *log.Logger
}

// Keeper keeps the stored list up to date while this process reads the engines' own records. It implements
// ownership.Holder: this process is the primary of the partitions that it holds.
type Keeper struct {
	config KeeperConfig
	// producer appends the entries, so that an append that was given up is not stored behind the next one.
	producer *producer.Producer
	// failing is set if the last append failed.
	failing bool
	written atomic.Int64

	mutex   sync.Mutex
	tenures map[int]*tenure
}

// NewKeeper returns a keeper. Run starts it.
func NewKeeper(config KeeperConfig) *Keeper {
	return &Keeper{config: config, producer: producer.New(config.Log), tenures: make(map[int]*tenure)}
}

// Written returns the number of records written.
func (k *Keeper) Written() int64 {
	return k.written.Load()
}

// Run keeps the list up to date until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(RepairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.repair(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// repair writes pending repairs: at once for partitions that this process is the primary of, and for others what still
// differs once the list was read to its end. A process that is behind would treat entries that others have written
// since as missing, and all readers of the list would read them again.
func (k *Keeper) repair(ctx context.Context) {
	k.write(ctx, k.config.List.repairs(k.isPrimary, k.isPrimary))
	for _, number := range k.config.List.overdue(k.isPrimary) {
		if k.confirm(ctx, number) == nil {
			k.write(ctx, k.config.List.repairs(func(other int) bool { return other == number }, k.isPrimary))
		}
	}
}

// confirm waits until everything that a partition contains now has been read.
func (k *Keeper) confirm(ctx context.Context, number int) error {
	follower := k.config.List.follower(number)
	if follower == nil {
		return errNotRead
	}
	ctx, cancel := context.WithTimeout(ctx, ConfirmTimeout)
	defer cancel()
	return follow.WaitUntilCurrent(ctx, k.config.Log, keyedlog.Partition{Topic: keyedlog.TopicEngineList, Number: number}, follower)
}

// write appends records. A partition that can't be written doesn't delay the others.
func (k *Keeper) write(ctx context.Context, repairs map[int][]keyedlog.Record) {
	for number, records := range repairs {
		partition := keyedlog.Partition{Topic: keyedlog.TopicEngineList, Number: number}
		for len(records) > 0 {
			count := min(maxAppendRecords, len(records))
			if !k.append(ctx, partition, records[:count]) {
				k.config.List.markFailed(records)
				break
			}
			records = records[count:]
		}
	}
}

// append writes records and reports whether it succeeded. Records that were not written are retried later.
func (k *Keeper) append(ctx context.Context, partition keyedlog.Partition, records []keyedlog.Record) bool {
	appended, err := k.producer.Append(ctx, partition, records)
	if err != nil {
		if !k.failing && ctx.Err() == nil {
			errorlog.Warn(k.config.Logger, "engine list not written", err, "partition", partition, "entries", len(records))
		}
		k.failing = true
		return false
	}
	k.failing = false
	k.config.List.markWritten(partition.Number, records, appended.End)
	k.written.Add(int64(len(records)))
	k.config.Logger.Info("engine list written", "partition", partition, "entries", len(records), "in_charge", k.isPrimary(partition.Number))
	return true
}

func (k *Keeper) isPrimary(number int) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.tenures[number] != nil
}

// Gained makes this process the primary of a partition.
func (k *Keeper) Gained(_ context.Context, partition keyedlog.Partition, _ int64) ownership.Work {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	started := &tenure{keeper: k, number: partition.Number}
	k.tenures[partition.Number] = started
	return started
}

// tenure is the period in which this process is the primary of a partition. Two primaries at once do no harm, so there
// is no fence.
type tenure struct {
	keeper *Keeper
	number int
}

// Release ends the tenure.
func (t *tenure) Release(context.Context) {
	t.keeper.mutex.Lock()
	defer t.keeper.mutex.Unlock()
	if t.keeper.tenures[t.number] == t {
		delete(t.keeper.tenures, t.number)
	}
}

// Superseded returns nil: a tenure has no epoch that another process could exceed.
func (t *tenure) Superseded() <-chan struct{} {
	return nil
}
