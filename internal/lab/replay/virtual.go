package replay

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/lab/bubble"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// RunSimulated replays a trace over an in-memory network with the trace's delays. It must be called in a bubble of
// testing/synctest; the run then takes virtual time only.
func RunSimulated(ctx context.Context, recorded *trace.Trace, options Options) (*Report, error) {
	report, err := Run(ctx, recorded, cluster.NewSimulated(&recorded.Topology), options)
	time.Sleep(linger)
	return report, err
}

// linger is how long the network goes on after a run: connections end when the last segment has arrived.
const linger = time.Minute

// RunVirtual does the same outside of tests.
func RunVirtual(recorded *trace.Trace, options Options) (*Report, error) {
	var report *Report
	var runError error
	err := bubble.Run(func() {
		report, runError = RunSimulated(context.Background(), recorded, options)
	})
	if err != nil {
		return nil, err
	}
	return report, runError
}
