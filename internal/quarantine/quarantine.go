package quarantine

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/engineapi"
	"github.com/hillfork/hillfork/internal/fleet"
)

// probeTimeout bounds the look whether an engine has ended. The dead port of a living machine refuses within one round trip, a few
// milliseconds; a machine that says nothing leaves open what became of its engine.
const probeTimeout = 150 * time.Millisecond

// Prober looks at an engine from outside.
type Prober interface {
	// Ended tells whether the engine's address refuses connections, so that no process listens there any more.
	Ended(ctx context.Context, engine fleet.Engine) bool
}

// Config configures a quarantine.
type Config struct {
	Prober Prober
	// Directory tells which engines there are and which of them leave as planned.
	Directory *fleet.Directory
	Logger    *log.Logger
}

// Quarantine watches requests whose engines end. A nil one watches nothing. It is safe for concurrent use.
type Quarantine struct {
	config Config
}

// New returns a quarantine.
func New(config Config) *Quarantine {
	return &Quarantine{config: config}
}

// Broke takes that a call was sent to an engine and the engine's answer broke off or never came, for the given cause. It looks whether
// the engine has ended. An engine that was to leave, or that was removed from the list, ends as planned.
func (q *Quarantine) Broke(ctx context.Context, call engineapi.Call, engine fleet.Engine, cause error) {
	if q == nil {
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ended := q.config.Prober.Ended(probeCtx, engine)
	known, listed := q.config.Directory.Engine(engine.ID)
	q.config.Logger.Info("answer broke off", "request", call.RequestID, "content", ContentOf(call), "engine", engine.ID,
		"pool", engine.Pool, "ended", ended, "leaving", !listed || known.Draining, "cause", cause)
}
