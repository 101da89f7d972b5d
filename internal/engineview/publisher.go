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
	"github.com/hillfork/hillfork/internal/producer"
)

const (
	// publishInterval is the minimum time between two records. Including the latency of the store, others learn of a
	// held slot within some 0.4 s, while items hold it for seconds. The owners of 16 partitions of jobs write at most
	// 64 records/s.
	publishInterval = 250 * time.Millisecond
	// renewInterval is how often a view with held slots is published without a change: well within the 1.5 s for which
	// a view is valid.
	renewInterval = 500 * time.Millisecond
	// publishLinger is how long after its last item a process publishes the paces that it measured, so that the next
	// owners of its partitions read them.
	publishLinger = 30 * time.Second
	// minPaceChange is the relative change of a pace that requires a new record: medians of gaps vary by a few percent.
	minPaceChange = 0.1
	// leaveTimeout limits the time for the last record of a process that stops.
	leaveTimeout = time.Second
)

// Source provides a process's own view of engines, given how many slots its items hold at each.
type Source interface {
	LocalView(held map[string]int) []fleet.EngineView
}

// PublisherConfig configures a publisher.
type PublisherConfig struct {
	Log keyedlog.Log
	// Machine is the name of the machine that the process runs on, and the key of its record.
	Machine string
	Source  Source
	// Held returns the number of slots that items hold, by engine.
	Held   func() map[string]int
	Logger *log.Logger
}

// Publisher publishes this process's view of engines. Only Written may be called while Run runs.
type Publisher struct {
	config PublisherConfig
	// producer appends the views, so that an append that was given up is not stored behind the next one.
	producer *producer.Producer
	// published is the view that was written last, at publishedAt.
	published   []fleet.EngineView
	publishedAt time.Time
	// lastHeldAt is when an item last held a slot.
	lastHeldAt time.Time
	// failing is set if the last record could not be written.
	failing bool
	written atomic.Int64
}

// NewPublisher returns a publisher. Run starts it.
func NewPublisher(config PublisherConfig) *Publisher {
	return &Publisher{config: config, producer: producer.New(config.Log)}
}

// Written returns the number of records written.
func (p *Publisher) Written() int64 {
	return p.written.Load()
}

// Run publishes until the context ends, and then publishes that no slots are held any more.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.update(ctx)
		case <-ctx.Done():
			p.leave(ctx)
			return
		}
	}
}

// update publishes the view if it has changed or has to be renewed.
func (p *Publisher) update(ctx context.Context) {
	now := time.Now()
	held := p.config.Held()
	if len(held) > 0 {
		p.lastHeldAt = now
	}
	var next []fleet.EngineView
	if !p.lastHeldAt.IsZero() && now.Sub(p.lastHeldAt) < publishLinger {
		next = mostHeld(p.config.Source.LocalView(held))
	}
	if changed(p.published, next) || len(held) > 0 && now.Sub(p.publishedAt) >= renewInterval {
		p.publish(ctx, next)
	}
}

// leave removes this process's view if one is published.
func (p *Publisher) leave(ctx context.Context) {
	if len(p.published) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	p.publish(ctx, nil)
}

// publish writes a record. After a failure the next update writes the view as it is then.
func (p *Publisher) publish(ctx context.Context, next []fleet.EngineView) {
	value, err := encode(next)
	if err == nil {
		_, err = p.producer.Append(ctx, keyedlog.EngineViews, []keyedlog.Record{{Key: p.config.Machine, Value: value}})
	}
	if err != nil {
		if !p.failing {
			errorlog.Warn(p.config.Logger, "view of engines not told", err, "engines", len(next))
		}
		p.failing = true
		return
	}
	if len(p.published) == 0 || len(next) == 0 {
		p.config.Logger.Info("view of engines told", "engines", len(next), "written", p.written.Load()+1)
	}
	p.failing = false
	p.published, p.publishedAt = next, time.Now()
	p.written.Add(1)
}

// changed reports whether two views differ by enough for a new record. Both are sorted by engine id.
func changed(last, next []fleet.EngineView) bool {
	if len(last) != len(next) {
		return true
	}
	for i, before := range last {
		after := next[i]
		if before.Engine != after.Engine || before.Held != after.Held {
			return true
		}
		if math.Abs(float64(after.Pace-before.Pace)) > minPaceChange*float64(before.Pace) {
			return true
		}
	}
	return false
}
