package node

import (
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/dispatch"
	"github.com/hillfork/hillfork/internal/machines"
	"github.com/hillfork/hillfork/internal/membership"
	"github.com/hillfork/hillfork/internal/requestledger"
	"github.com/hillfork/hillfork/internal/shard"
	"github.com/hillfork/hillfork/internal/stepledger"
	"github.com/samber/oops"
)

// leavingFactTTL is how long the fact that a machine is leaving is kept after it was last published.
const leavingFactTTL = time.Hour

// factClasses defines how gossip spreads the facts of each mechanism.
var factClasses = []membership.FactClass{
	{Prefix: bundleFactKey, Urgent: true},
	{Prefix: dispatch.WeightFactKey(""), Urgent: true},
	{Prefix: machines.LeavingFactKey(""), TimeToLive: leavingFactTTL, Urgent: true},
}

// engineOfStream returns the engine whose epochs a stream holds.
func engineOfStream(stream string) (string, bool) {
	return strings.CutPrefix(stream, dispatch.EngineKey(""))
}

// newState returns the empty state of a stream for the role that owns it, or an error if no role does.
func newState(stream string) (shard.State, error) {
	if _, isEngine := engineOfStream(stream); isEngine {
		return dispatch.State{}, nil
	}
	if _, _, isRequests := requestledger.ParseStream(stream); isRequests {
		return requestledger.NewState(), nil
	}
	if _, _, isSteps := stepledger.ParseStream(stream); isSteps {
		return stepledger.NewState(), nil
	}
	return nil, oops.With("stream", stream).Errorf("no role owns the stream")
}

func discardLogger() *log.Logger { return log.New(io.Discard) }

// workloadOfStream returns the workload whose steps or requests a stream holds.
func workloadOfStream(stream string) (string, bool) {
	if workload, _, isSteps := stepledger.ParseStream(stream); isSteps {
		return workload, true
	}
	workload, _, isRequests := requestledger.ParseStream(stream)
	return workload, isRequests
}
