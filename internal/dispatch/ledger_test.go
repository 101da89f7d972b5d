package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/placement"
	"github.com/hillfork/hillfork/internal/standin/engine"
)

// fakeLedger is a step ledger with the samples of all step shards. Failed samples wait again and resume where the
// attempt ended.
type fakeLedger struct {
	mutex   sync.Mutex
	changed *notifier
	// failure, if set, is returned by every call.
	failure error
	// completeFailure, if set, is returned by every completion.
	completeFailure error
	// pullDelay delays the responses to pulls with free slots.
	pullDelay time.Duration
	// ignoreVersions assigns samples to engines regardless of the version that they serve.
	ignoreVersions bool
	latest         uint64
	waiting        map[string][]peerapi.Assignment
	running        map[runningKey]peerapi.Assignment
	completed      []*peerapi.CompleteSample
	failures       []peerapi.Progress
	cancel         []peerapi.AttemptRef
	calls          map[string]int
}

// runningKey identifies an attempt at a sample of the only step.
type runningKey struct {
	workload string
	index    int
	attempt  uint32
}

func newFakeLedger() *fakeLedger {
	return &fakeLedger{
		changed: newNotifier(), waiting: map[string][]peerapi.Assignment{},
		running: map[runningKey]peerapi.Assignment{}, calls: map[string]int{},
	}
}

// promptForLength returns a prompt for which a stand-in engine generates an answer of the given number of tokens.
func promptForLength(length, salt int) []uint32 {
	return []uint32{uint32(length), engine.LengthMarker, uint32(salt)}
}

// add adds waiting samples of one step.
func (f *fakeLedger) add(workload string, count, length int, minVersion uint64) {
	f.mutex.Lock()
	for i := range count {
		f.waiting[StepShardKey(workload, 0)] = append(f.waiting[StepShardKey(workload, 0)], peerapi.Assignment{
			Workload: workload, Index: i, Attempt: 1, Model: "m", Prompt: promptForLength(length, i),
			MaxTokens: 100000, MinVersion: minVersion,
		})
	}
	f.mutex.Unlock()
	f.changed.notify()
}

func (f *fakeLedger) set(change func()) {
	f.mutex.Lock()
	change()
	f.mutex.Unlock()
	f.changed.notify()
}

func (f *fakeLedger) CallOwner(ctx context.Context, key string, _ placement.Preference, method string, request, response peer.Message, _ bool) error {
	f.mutex.Lock()
	f.calls[method]++
	failure, delay := f.failure, f.pullDelay
	f.mutex.Unlock()
	if failure != nil {
		return failure
	}
	if pull, ok := request.(*peerapi.PullWork); ok && pull.FreeSlots > 0 {
		time.Sleep(delay)
	}
	switch request := request.(type) {
	case *peerapi.PullWork:
		return f.pull(ctx, key, request, response.(*peerapi.PullWorkResult))
	case *peerapi.ReportWork:
		f.report(key, request, response.(*peerapi.ReportWorkResult))
	case *peerapi.CompleteSample:
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.completeFailure != nil {
			return f.completeFailure
		}
		f.completed = append(f.completed, request)
		delete(f.running, runningKey{request.Workload, request.Index, request.Attempt})
	}
	return nil
}

func (f *fakeLedger) pull(ctx context.Context, key string, request *peerapi.PullWork, result *peerapi.PullWorkResult) error {
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		changed := f.changed.changed()
		f.mutex.Lock()
		var remaining []peerapi.Assignment
		for _, assignment := range f.waiting[key] {
			if len(result.Assignments) < request.FreeSlots && (f.ignoreVersions || request.ServedVersion >= assignment.MinVersion) {
				result.Assignments = append(result.Assignments, assignment)
				f.running[runningKey{assignment.Workload, assignment.Index, assignment.Attempt}] = assignment
				continue
			}
			remaining = append(remaining, assignment)
		}
		f.waiting[key] = remaining
		result.Backlog, result.Latest = len(remaining), f.latest
		f.mutex.Unlock()
		if len(result.Assignments) > 0 || request.FreeSlots == 0 && result.Backlog > 0 || result.Latest > request.KnownLatest {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-changed:
		}
	}
}

func (f *fakeLedger) report(key string, request *peerapi.ReportWork, result *peerapi.ReportWorkResult) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	result.Latest = f.latest
	result.Cancel = f.cancel
	for _, progress := range request.Attempts {
		reference := runningKey{request.Workload, progress.Index, progress.Attempt}
		assignment, known := f.running[reference]
		if !progress.Failed || !known {
			continue
		}
		f.failures = append(f.failures, progress)
		delete(f.running, reference)
		assignment.Attempt++
		if len(progress.Partial) > len(assignment.Resume) { // like the step ledger, keeps the longest partial answer
			assignment.Resume, assignment.ResumeSpans = progress.Partial, progress.Spans
		}
		f.waiting[key] = append(f.waiting[key], assignment)
		defer f.changed.notify()
	}
}

func (f *fakeLedger) callsOf(method string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls[method]
}

// snapshot returns the completions and failures so far.
func (f *fakeLedger) snapshot() (completed []*peerapi.CompleteSample, failures []peerapi.Progress) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append(completed, f.completed...), append(failures, f.failures...)
}
