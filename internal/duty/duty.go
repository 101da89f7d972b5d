// Package duty lets one machine at a time act on behalf of all toward an external service that checks no fences and
// can't be read back. A duty has a partition of the store and is held by the partition's owner. The holder announces
// each action in the partition first, under the fence of its epoch, and performs it only within a short window after
// that. The epoch is the token that is sent with each call: it rises with each holder, and no two processes have the
// same one. A successor's higher epoch stops the announcements of its predecessor; the successor then waits for the
// window and a whole lease before it acts. So the service never receives a lower token after a higher one, nor calls of
// two machines alternately within a lease, whatever pauses, restarts, network partitions and lost answers happen. A
// process that was restarted on the machine of the last holder is the same holder and continues at once: its
// predecessor is gone with all its connections.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fencing"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
	"github.com/hillfork/hillfork/internal/pause"
)

const (
	// writerName is the name under which the epochs of holders are counted in a partition.
	writerName = "duty"
	// retryInterval is the time between reads of a partition after a failure. The log limits the time of each read.
	retryInterval = 50 * time.Millisecond
	// holderKey is the key of the record that identifies the holder of the last announcement. No duty uses this key for
	// its own records.
	holderKey = "holder"
)

// Duty is a task that its holder performs.
type Duty interface {
	// Name is the name of the duty in logs.
	Name() string
	// Perform performs the duty until the context ends.
	Perform(ctx context.Context, tenure *Tenure)
}

// Config configures the duties of a process.
type Config struct {
	Log keyedlog.Log
	// Machine is the name of the machine that the process runs on. A replacement machine has another name.
	Machine string
	// Lease is the minimum time between the calls of two holders.
	Lease time.Duration
	// Duties are held by the owners of the partitions from 0 on, in this order.
	Duties []Duty
	Logger *log.Logger
}

// Holder performs the duties whose partitions this process owns. It implements ownership.Holder.
type Holder struct {
	config Config
}

func NewHolder(config Config) *Holder {
	return &Holder{config: config}
}

// Gained starts the duty of a partition, if it has one.
func (h *Holder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	runCtx, cancel := context.WithCancel(ctx)
	t := &Tenure{
		config: h.config, partition: partition, cancel: cancel, records: make(map[string][]byte),
		writer: fencing.New(fencing.Config{
			Log: h.config.Log, Partition: partition, Name: writerName, Generation: generation, Logger: h.config.Logger,
		}),
	}
	if partition.Number < len(h.config.Duties) {
		t.active.Go(func() { t.run(runCtx, h.config.Duties[partition.Number]) })
	}
	return t
}

// Tenure is the period in which this process holds a duty.
type Tenure struct {
	config    Config
	partition keyedlog.Partition
	writer    *fencing.Writer
	cancel    context.CancelFunc
	active    sync.WaitGroup
	// records holds the records of the partition as of the start of the tenure; allowedFrom is the time from which
	// calls may be sent. Both are set before the duty is performed and do not change afterwards.
	records     map[string][]byte
	allowedFrom time.Time
}

// run takes the duty over and performs it until the context ends or another holder has a higher epoch.
func (t *Tenure) run(ctx context.Context, duty Duty) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end, err := t.writer.Open(ctx)
	if err != nil {
		return
	}
	// No earlier holder has announced anything after this time.
	opened := time.Now()
	if !t.recover(ctx, end) {
		return
	}
	last := t.lastAnnouncement()
	t.allowedFrom = opened
	if last.Machine != "" && last.Machine != t.config.Machine {
		t.allowedFrom = opened.Add(fencing.SuccessorDelay(t.config.Lease))
	}
	t.config.Logger.Info("duty taken over", "duty", duty.Name(), "partition", t.partition, "token", t.Token(), "last_machine", last.Machine,
		"last_token", last.Epoch, "wait", time.Until(t.allowedFrom).Round(time.Millisecond))
	t.active.Go(func() {
		select {
		case <-t.writer.Superseded():
			cancel()
		case <-ctx.Done():
		}
	})
	duty.Perform(ctx, t)
	t.config.Logger.Info("duty ended", "duty", duty.Name(), "partition", t.partition, "token", t.Token())
}

// Apply applies a record of the partition.
func (t *Tenure) Apply(record keyedlog.Record, _ bool) {
	if record.Value == nil {
		delete(t.records, record.Key)
		return
	}
	t.records[record.Key] = record.Value
}

// Advanced does nothing: the records are used only once all have been read.
func (t *Tenure) Advanced(int64) {}

// recover reads the newest record of each key, including all that lie below end. It returns false if the context ended.
func (t *Tenure) recover(ctx context.Context, end int64) bool {
	for {
		err := follow.NewestCovering(ctx, t.config.Log, t.partition, end, t)
		if err == nil {
			return true
		}
		errorlog.Debug(t.config.Logger, "records of a duty could not be read", err, "partition", t.partition)
		if !pause.For(ctx, retryInterval) {
			return false
		}
	}
}

// lastAnnouncement returns the last announcement before this tenure, the zero value if there was none.
func (t *Tenure) lastAnnouncement() announcement {
	var last announcement
	value, found := t.records[holderKey]
	if !found {
		return last
	}
	if _, err := last.UnmarshalMsg(value); err != nil {
		// The last holder is then treated as another machine.
		errorlog.Warn(t.config.Logger, "record of the last holder does not decode", err, "partition", t.partition)
		return announcement{Machine: "unknown"}
	}
	return last
}

// Token returns the number that is sent with this holder's calls. It is higher than that of any earlier holder.
func (t *Tenure) Token() int64 {
	return t.writer.Epoch()
}

// Record returns the last value that earlier holders announced under a key, nil if there is none.
func (t *Tenure) Record(key string) []byte {
	return t.records[key]
}

// Announce stores a record under a key permanently, so that every successor reads it, and returns the window in which
// the announced calls may be sent. It waits until this holder may act. The window starts before the write, so that a
// successor, whose write comes later, waits until after its end. An error ends the tenure.
func (t *Tenure) Announce(ctx context.Context, key string, value []byte) (window fencing.Window, err error) {
	if wait := time.Until(t.allowedFrom); wait > 0 && !pause.For(ctx, wait) {
		return fencing.Window{}, ctx.Err()
	}
	holder, err := (&announcement{Machine: t.config.Machine, Epoch: t.Token()}).MarshalMsg(nil)
	if err != nil {
		return fencing.Window{}, err
	}
	for {
		window = fencing.BeginWindow()
		_, err := t.writer.Append(ctx, []keyedlog.Record{{Key: holderKey, Value: holder}, {Key: key, Value: value}})
		if err != nil {
			return fencing.Window{}, err
		}
		if window.Age() < fencing.SendWindow/2 {
			return window, nil
		}
	}
}

// Release ends the duty and cancels a call in progress.
func (t *Tenure) Release(context.Context) {
	t.cancel()
	t.active.Wait()
}

// Superseded returns a channel that is closed once another holder has a higher epoch.
func (t *Tenure) Superseded() <-chan struct{} {
	return t.writer.Superseded()
}
