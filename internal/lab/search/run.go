package search

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/lab/bubble"
	"github.com/hillfork/hillfork/internal/lab/replay"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

// Result is what came of one run.
type Result struct {
	Trace *trace.Trace
	// Broken lists what did not hold; empty when all did.
	Broken []string
}

// Runner runs traces in virtual time, several at once. It must not be used within a test.
type Runner struct {
	// Jobs bounds the runs at once.
	Jobs int
	// Patience is the real time that one run may take.
	Patience time.Duration
	// OnStuck is called once with the trace of a run that takes longer, from a goroutine of its own. Such a run cannot be
	// stopped, so it should end the process.
	OnStuck func(*trace.Trace)
}

// Run runs traces and calls done with each result as it comes, not concurrently. A run that leaves goroutines behind has
// a second result that says so.
func (r *Runner) Run(traces []*trace.Trace, done func(Result)) error {
	watch := newWatchdog(r.Patience, r.OnStuck)
	defer watch.stop()
	var mu sync.Mutex
	report := func(result Result) {
		mu.Lock()
		defer mu.Unlock()
		done(result)
	}
	jobs := make([]func(), len(traces))
	for i, drawn := range traces {
		jobs[i] = func() {
			watch.begin(drawn)
			defer watch.end(drawn)
			report(Result{Trace: drawn, Broken: runOne(drawn)})
		}
	}
	return bubble.RunAtMost(r.Jobs, jobs, func(job int, reason any) {
		report(Result{Trace: traces[job], Broken: []string{fmt.Sprintf("panic: %v", reason)}})
	})
}

// runOne runs a trace within a bubble and returns what did not hold.
func runOne(drawn *trace.Trace) []string {
	report, err := replay.RunSimulated(context.Background(), drawn, replay.Options{})
	if err != nil {
		return []string{fmt.Sprintf("cannot be run: %v", err)}
	}
	return report.Broken
}
