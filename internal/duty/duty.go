// Package duty lets one machine at a time act for all toward a party that checks nothing and can't be read back. A duty has a partition
// of the store and is held by the partition's owner. Whatever the holder is about to do it announces there first, under the fence of its
// epoch, and does it only within a short window after that. The epoch is the token that goes with each call: it rises with each holder,
// and no two processes have the same one. A successor ends its predecessor's announcements by its higher epoch, and then waits for the
// window and a whole lease before it acts. So the party never hears a lower token after a higher one, nor two machines by turns within a
// lease, whatever pauses, restarts, partitions and lost answers do. A process that was started again on the machine of the last holder
// is the same holder and goes on at once: the one before is gone with all its connections.
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
	// writerName names the line of epochs of holders in a partition.
	writerName = "duty"
	// retryPause is the pause between reads of a partition that failed. The log bounds each read.
	retryPause = 50 * time.Millisecond
	// holderKey is the key of the record that names who announced last. No duty's own key is the same.
	holderKey = "holder"
)

// Duty is what a holder does.
type Duty interface {
	// Name names the duty in logs.
	Name() string
	// Perform does the duty until the context ends.
	Perform(ctx context.Context, tenure *Tenure)
}

// Config configures the duties of a process.
type Config struct {
	Log keyedlog.Log
	// Machine names the machine that the process runs on: a machine that comes in another's place has another name.
	Machine string
	// Lease is the least time between the calls of two holders.
	Lease time.Duration
	// Duties are held by the owners of the partitions from 0 on.
	Duties []Duty
	Logger *log.Logger
}

// Holder performs the duties whose partitions this process owns; it implements ownership.Holder.
type Holder struct {
	config Config
}

// NewHolder returns a holder.
func NewHolder(config Config) *Holder {
	return &Holder{config: config}
}

// Gained starts performing the duty of a partition, if it has one.
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

// Tenure is the time for which this process holds a duty.
type Tenure struct {
	config    Config
	partition keyedlog.Partition
	writer    *fencing.Writer
	cancel    context.CancelFunc
	active    sync.WaitGroup
	// records are those of the partition when the tenure began; allowed is from when on calls may be sent. Both are set before the
	// duty is performed and do not change afterwards.
	records map[string][]byte
	allowed time.Time
}

// run takes the duty over and performs it until the context ends or another holder has a higher epoch.
func (t *Tenure) run(ctx context.Context, duty Duty) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	end, err := t.writer.Open(ctx)
	if err != nil {
		return
	}
	// No earlier holder has announced anything after this moment.
	opened := time.Now()
	if !t.recover(ctx, end) {
		return
	}
	last := t.last()
	t.allowed = opened
	if last.Machine != "" && last.Machine != t.config.Machine {
		t.allowed = opened.Add(fencing.SuccessorDelay(t.config.Lease))
	}
	t.config.Logger.Info("duty taken over", "duty", duty.Name(), "partition", t.partition, "token", t.Token(), "last_machine", last.Machine,
		"last_token", last.Epoch, "wait", time.Until(t.allowed).Round(time.Millisecond))
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

// Apply takes a record of the partition.
func (t *Tenure) Apply(record keyedlog.Record, _ bool) {
	if record.Value == nil {
		delete(t.records, record.Key)
		return
	}
	t.records[record.Key] = record.Value
}

// Advanced does nothing: the records count once all are there.
func (t *Tenure) Advanced(int64) {}

// recover reads the newest record of each key, all that lie below end among them. It returns false if the context ended.
func (t *Tenure) recover(ctx context.Context, end int64) bool {
	for {
		err := follow.NewestCovering(ctx, t.config.Log, t.partition, end, t)
		if err == nil {
			return true
		}
		errorlog.Debug(t.config.Logger, "records of a duty not read", err, "partition", t.partition)
		if !pause.For(ctx, retryPause) {
			return false
		}
	}
}

// last returns who announced last before this tenure; the zero value stands for nobody.
func (t *Tenure) last() announcement {
	var last announcement
	value, found := t.records[holderKey]
	if !found {
		return last
	}
	if _, err := last.UnmarshalMsg(value); err != nil {
		// Whoever it was is taken for another machine.
		errorlog.Warn(t.config.Logger, "record of the last holder does not decode", err, "partition", t.partition)
		return announcement{Machine: "unknown"}
	}
	return last
}

// Token is the number that goes with this holder's calls. It is higher than that of any holder before.
func (t *Tenure) Token() int64 {
	return t.writer.Epoch()
}

// Record returns what earlier holders announced last under a key, nil if nothing.
func (t *Tenure) Record(key string) []byte {
	return t.records[key]
}

// Announce keeps a record under a key for good, so that any successor knows of it, and returns in which window the calls that it announces may
// be sent. It waits until this holder may act. The window is counted from before the write, so that a successor, whose write comes
// later, counts a longer one. An error is the end of the tenure.
func (t *Tenure) Announce(ctx context.Context, key string, value []byte) (window fencing.Window, err error) {
	if wait := time.Until(t.allowed); wait > 0 && !pause.For(ctx, wait) {
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

// Release ends the duty; a call under way is given up.
func (t *Tenure) Release(context.Context) {
	t.cancel()
	t.active.Wait()
}

// Superseded is closed when another holder has a higher epoch.
func (t *Tenure) Superseded() <-chan struct{} {
	return t.writer.Superseded()
}
