package engineview

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/follow"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// readSpacing is the minimum time between two reads, so that each returns the records of several owners.
	readSpacing = 100 * time.Millisecond
	// readWait is how long the store may hold a read open.
	readWait = 2 * time.Second
	// idleCheck is how often a reader checks whether its process still uses the views.
	idleCheck = time.Second
)

// Directory stores the views of other processes.
type Directory interface {
	SetPeerView(process string, engines []fleet.EngineView, recovered bool)
}

// ReaderConfig configures a reader.
type ReaderConfig struct {
	Log keyedlog.Log
	// Machine is the name of the machine that the process runs on, whose own record is skipped.
	Machine   string
	Directory Directory
	// Busy reports whether this process places items or assigns engines. While it does not, nothing is read.
	Busy   func() bool
	Logger *log.Logger
}

// Reader reads the views of other processes while its own process uses them.
type Reader struct {
	config ReaderConfig
	wake   chan struct{}
	// unreadable holds the machines whose last record could not be decoded; each is logged once.
	unreadable map[string]bool
}

// NewReader returns a reader. Run starts it.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{config: config, wake: make(chan struct{}, 1), unreadable: make(map[string]bool)}
}

// Hurry makes the reader start to read at once. It must be called when the process begins to use the views.
func (r *Reader) Hurry() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reads after each Hurry for as long as the process is busy, until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-r.wake:
			r.follow(ctx)
		case <-ctx.Done():
		}
	}
}

// follow reads until the process is not busy any more. It begins with the newest record of each key, because older ones
// have no effect.
func (r *Reader) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower := follow.New(follow.Config{
		Log: r.config.Log, Partition: keyedlog.EngineViews, Applier: r, Wait: readWait, MinReadInterval: readSpacing, Logger: r.config.Logger,
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follower.Run(ctx)
	}()
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			if !r.config.Busy() {
				cancel()
			}
		case <-ctx.Done():
		}
	}
	<-ended
}

// Apply passes the view of a record to the directory.
func (r *Reader) Apply(record keyedlog.Record, recovered bool) {
	if record.Key == r.config.Machine {
		return
	}
	views, err := decode(record.Value)
	if err != nil {
		if !r.unreadable[record.Key] {
			errorlog.Warn(r.config.Logger, "view of engines skipped", err, "machine", record.Key, "offset", record.Offset)
		}
		r.unreadable[record.Key] = true
		return
	}
	delete(r.unreadable, record.Key)
	r.config.Directory.SetPeerView(record.Key, views, recovered)
}

// Advanced does nothing, because records don't depend on each other.
func (r *Reader) Advanced(int64) {}
