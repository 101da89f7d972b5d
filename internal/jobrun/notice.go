package jobrun

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// noticeTimeout limits the request for the report of a leaving engine. The engine's runs are not moved before its first request
	// has ended. If that failed, they are treated as runs of an engine that leaves at an unknown time.
	noticeTimeout = 300 * time.Millisecond
	// maxNoticeAttempts is how often the report of a leaving engine is requested until one arrives.
	maxNoticeAttempts = 2
)

// notice is what is known of the time at which an engine ends, and the state of the requests for its report.
type notice struct {
	engine   fleet.Engine
	attempts int
	pending  bool
	received bool
	endKnown bool
	endsAt   time.Time
}

// awaited reports whether the runs of the engine wait for its report.
func (n *notice) awaited() bool {
	return n.pending && n.attempts == 1
}

// updateNotices requests the reports of leaving engines where necessary, and deletes those of other engines. The
// mutex must be held.
func (m *Mover) updateNotices(ctx context.Context, leaving map[string]fleet.Engine) {
	for id, known := range m.notices {
		if engine, ok := leaving[id]; !ok || engine.Restarted(known.engine) {
			delete(m.notices, id)
		}
	}
	for id, engine := range leaving {
		known := m.notices[id]
		if known == nil {
			known = &notice{engine: engine}
			m.notices[id] = known
		}
		if known.received || known.pending || known.attempts == maxNoticeAttempts {
			continue
		}
		known.pending = true
		known.attempts++
		m.active.Go(func() { m.requestNotice(ctx, known) })
	}
}

// requestNotice requests the report of a leaving engine.
func (m *Mover) requestNotice(ctx context.Context, known *notice) {
	callCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	// The time left is counted from here, since the process may be paused before it handles the report.
	requestedAt := time.Now()
	report, err := m.config.Client.Report(callCtx, known.engine)
	if err != nil && ctx.Err() == nil {
		errorlog.Debug(m.config.Logger, "report of a leaving engine failed", err, "engine", known.engine.ID)
	}
	m.mutex.Lock()
	known.pending = false
	known.received = err == nil
	known.endKnown = err == nil && report.LeavesKnown
	known.endsAt = requestedAt.Add(report.LeavesIn)
	runs := 0
	for _, run := range m.runs {
		if run.slot.Engine.ID == known.engine.ID {
			runs++
		}
	}
	m.mutex.Unlock()
	m.config.Logger.Info("engine with runs leaves", "engine", known.engine.ID, "zone", known.engine.Zone, "runs", runs,
		"reported", err == nil, "leaves_known", report.LeavesKnown, "leaves_in", report.LeavesIn.Round(time.Millisecond))
	m.notify()
}
