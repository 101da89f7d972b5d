package engineview

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// tellEvery is the least time between two records: with the way through the store, others know of a place within some 0.4 s, while
	// items hold it for seconds. The owners of sixteen partitions of jobs write at most 64 records a second.
	tellEvery = 250 * time.Millisecond
	// renewEvery is how often what is held is told although nothing changed, well within the time for which it counts.
	renewEvery = 500 * time.Millisecond
	// quietAfter is for how long after its last item a process tells the paces that it measured: until its word on them has passed to
	// those who come after it.
	quietAfter = 30 * time.Second
	// paceMatters is the part by which a pace has to change to be told at once; medians of gaps vary by a few hundredths.
	paceMatters = 0.1
	// leaveTimeout bounds the last record of a process that ends.
	leaveTimeout = time.Second
)

// Source is what a process knows of engines.
type Source interface {
	Tell(held map[string]int) []fleet.Told
}

// Config configures a teller.
type Config struct {
	Log keyedlog.Log
	// Machine names the machine that the process runs on.
	Machine string
	Source  Source
	// Held returns how many places items hold, by engine.
	Held   func() map[string]int
	Logger *log.Logger
}

// Teller tells others what this process knows of engines.
type Teller struct {
	config  Config
	told    []fleet.Told
	at      time.Time
	busy    time.Time
	failing bool
	written atomic.Int64
}

// NewTeller returns a teller; Run tells.
func NewTeller(config Config) *Teller {
	return &Teller{config: config}
}

// Written returns how many records were written.
func (t *Teller) Written() int64 {
	return t.written.Load()
}

// Run tells until the context ends, and then that nothing is held any more.
func (t *Teller) Run(ctx context.Context) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.look(ctx)
		case <-ctx.Done():
			t.leave(ctx)
			return
		}
	}
}

// look tells what there is to tell, if it is other than before or has to be renewed.
func (t *Teller) look(ctx context.Context) {
	now := time.Now()
	held := t.config.Held()
	if len(held) > 0 {
		t.busy = now
	}
	var next []fleet.Told
	if !t.busy.IsZero() && now.Sub(t.busy) < quietAfter {
		next = bounded(t.config.Source.Tell(held))
	}
	if differ(t.told, next) || len(held) > 0 && now.Sub(t.at) >= renewEvery {
		t.tell(ctx, next)
	}
}

func (t *Teller) leave(ctx context.Context) {
	if len(t.told) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	t.tell(ctx, nil)
}

// tell writes a record. One that could not be written is told again at the next look, as it is then.
func (t *Teller) tell(ctx context.Context, next []fleet.Told) {
	value, err := encode(next)
	if err == nil {
		_, err = t.config.Log.Append(ctx, keyedlog.EngineViews, []keyedlog.Record{{Key: t.config.Machine, Value: value}}, nil)
	}
	if err != nil {
		if !t.failing {
			errorlog.Warn(t.config.Logger, "view of engines not told", err, "engines", len(next))
		}
		t.failing = true
		return
	}
	if len(t.told) == 0 || len(next) == 0 {
		t.config.Logger.Info("view of engines told", "engines", len(next), "written", t.written.Load()+1)
	}
	t.failing = false
	t.told, t.at = next, time.Now()
	t.written.Add(1)
}

// differ tells whether what is to be told is other than what was by enough to matter. Both are in order of their engines' ids.
func differ(told, next []fleet.Told) bool {
	if len(told) != len(next) {
		return true
	}
	for i, before := range told {
		after := next[i]
		if before.Engine != after.Engine || before.Held != after.Held {
			return true
		}
		if math.Abs(float64(after.Pace-before.Pace)) > paceMatters*float64(before.Pace) {
			return true
		}
	}
	return false
}
