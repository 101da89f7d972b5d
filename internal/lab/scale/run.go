package scale

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/lab/trace"
)

const (
	// settleTime is how long the cluster rests after it has come together, and after each fault, before it is measured.
	settleTime = 30 * time.Second
	// restTime is how long control work at rest is measured.
	restTime = time.Minute
	// pollInterval is the precision of the times measured.
	pollInterval = 100 * time.Millisecond
	// reachLimit bounds each wait; what has not happened by then is reported as not reached.
	reachLimit = 5 * time.Minute
	// partitionTime is how long a region is cut off.
	partitionTime = time.Minute
)

// notReached is the time reported for what did not happen within the limit.
const notReached = -1

// Result is what one size cost. Times are in seconds of virtual time, notReached where the limit passed.
type Result struct {
	Nodes   int `json:"nodes"`
	Engines int `json:"engines"`

	// JoinSeconds is the time from a cold start of all nodes at once until each knows all. ClaimsPerEngine is how many
	// epochs an engine's shard went through until the cluster was at rest; 1 is the least.
	JoinSeconds     float64 `json:"join_seconds"`
	ClaimsPerEngine float64 `json:"claims_per_engine"`

	// At rest, per node: bytes sent and received a second by mechanism, messages a second, processor time in percent of a
	// core and memory. The latter two hold the share of the stand-ins as well, which run in the same process.
	BytesPerSecond    map[string]float64 `json:"bytes_per_second"`
	MessagesPerSecond map[string]float64 `json:"messages_per_second"`
	ProcessorPercent  float64            `json:"processor_percent"`
	HeapMegabytes     float64            `json:"heap_megabytes"`

	// BundleSeconds is the time from the acceptance in the log until a bundle is in force on every node.
	BundleSeconds float64 `json:"bundle_seconds"`
	// WeightKnownSeconds and WeightServedSeconds are the times from the publication of a version until gossip has brought
	// it to every node, and until every engine of the pool serves it.
	WeightKnownSeconds  float64 `json:"weight_known_seconds"`
	WeightServedSeconds float64 `json:"weight_served_seconds"`
	// LeavingSeconds is the time from an engine's first sign of leaving until every node knows.
	LeavingSeconds float64 `json:"leaving_seconds"`

	// One node dies; then a zone; then a region is cut off for a minute and comes back. Death is known where the node is
	// held dead, no longer only suspect.
	NodeDeathSeconds    float64 `json:"node_death_seconds"`
	NodeRecoverySeconds float64 `json:"node_recovery_seconds"`
	ZoneDeathSeconds    float64 `json:"zone_death_seconds"`
	ZoneRecoverySeconds float64 `json:"zone_recovery_seconds"`
	ZoneEnginesMoved    int     `json:"zone_engines_moved"`
	RegionMeetSeconds   float64 `json:"region_meet_seconds"`
}

// TotalBytes is the control work at rest, in bytes a second sent and received.
func (r *Result) TotalBytes() float64 {
	total := 0.0
	for _, bytes := range r.BytesPerSecond {
		total += bytes
	}
	return total
}

// run is one size being measured.
type run struct {
	cluster  *cluster.Cluster
	recorder *check.Recorder
	nodes    int
	engines  int
	result   *Result
	say      func(format string, arguments ...any)
	// interrupted is asked, never waited for: it comes from outside of the bubble.
	interrupted func() error
}

// Measure stands a size up in virtual time and measures it. It must be called in a bubble of testing/synctest. say tells
// of the progress; an error of interrupted ends the run.
func Measure(
	ctx context.Context, nodes int, say func(format string, arguments ...any), interrupted func() error,
) (*Result, error) {
	recorder := check.NewRecorder()
	recorded := &trace.Trace{Name: fmt.Sprintf("scale-%d", nodes), Topology: Topology(nodes, time.Hour), Bundles: bundles()}
	stood, err := cluster.New(ctx, cluster.Config{
		Trace: recorded, Fabric: cluster.NewSimulated(&recorded.Topology), Recorder: recorder,
	})
	if err != nil {
		return nil, err
	}
	defer stood.Close()
	r := &run{
		cluster: stood, recorder: recorder, nodes: nodes, engines: EnginesFor(nodes), say: say, interrupted: interrupted,
		result: &Result{Nodes: nodes, Engines: EnginesFor(nodes)},
	}
	steps := []func(context.Context) error{
		r.join, r.rest, r.rollBundle, r.publishWeights, r.leaveEngine, r.killNode, r.killZone, r.cutRegion,
	}
	for _, step := range steps {
		if err := errors.Join(step(ctx), interrupted()); err != nil {
			return nil, err
		}
	}
	return r.result, nil
}

func bundles() map[string][]byte {
	return map[string][]byte{"1.yaml": bundleDocument(1), "2.yaml": bundleDocument(2)}
}

// until waits for a condition and returns the seconds that it took.
func (r *run) until(what string, condition func() bool) float64 {
	began := time.Now()
	for !condition() {
		if time.Since(began) > reachLimit || r.interrupted() != nil {
			r.say("%d nodes: %s: not reached", r.nodes, what)
			return notReached
		}
		time.Sleep(pollInterval)
	}
	took := time.Since(began).Seconds()
	r.say("%d nodes: %s: %.1f s", r.nodes, what, took)
	return took
}

func (r *run) join(ctx context.Context) error {
	r.result.JoinSeconds = r.until("all know all", r.allKnow(r.nodes))
	if _, err := r.cluster.RollBundle(ctx, "1.yaml", nil); err != nil {
		return err
	}
	r.until("engines owned", r.enginesOwned)
	time.Sleep(settleTime)
	epochs := 0.0
	for _, epoch := range r.ownedEngines() {
		epochs += float64(epoch)
	}
	r.result.ClaimsPerEngine = epochs / float64(r.engines)
	return nil
}

// allKnow tells whether every running node knows a number of alive members.
func (r *run) allKnow(alive int) func() bool {
	return func() bool {
		for _, running := range r.cluster.RunningNodes() {
			if running.View().AliveMembers != alive {
				return false
			}
		}
		return true
	}
}

// allHoldDead tells whether every running node holds a number of members dead.
func (r *run) allHoldDead(dead int) func() bool {
	return func() bool {
		for _, running := range r.cluster.RunningNodes() {
			if running.View().DeadMembers < dead {
				return false
			}
		}
		return true
	}
}

// ownedEngines returns the engines that some running node owns, with the newest epoch of each.
func (r *run) ownedEngines() map[string]uint64 {
	owned := make(map[string]uint64)
	for _, running := range r.cluster.RunningNodes() {
		for engine, epoch := range running.View().OwnedEngines {
			owned[engine] = max(owned[engine], epoch)
		}
	}
	return owned
}

func (r *run) enginesOwned() bool { return len(r.ownedEngines()) >= r.engines }

func (r *run) rest(context.Context) error {
	before, usedBefore := r.cluster.Metrics(), processorTime()
	time.Sleep(restTime)
	after, used := r.cluster.Metrics(), processorTime()-usedBefore
	r.result.BytesPerSecond = perNode(before, after, "hillfork_network_bytes_total/", r.nodes)
	r.result.MessagesPerSecond = perNode(before, after, "hillfork_network_messages_total/", r.nodes)
	r.result.ProcessorPercent = 100 * used.Seconds() / restTime.Seconds() / float64(r.nodes)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.result.HeapMegabytes = float64(memory.HeapInuse+memory.StackInuse) / (1 << 20) / float64(r.nodes)
	r.say("%d nodes: at rest %.0f B/s, %.2f%% of a core, %.1f MB a node", r.nodes, r.result.TotalBytes(),
		r.result.ProcessorPercent, r.result.HeapMegabytes)
	return nil
}

// dataMechanism is the traffic that is no control work.
const dataMechanism = "/data"

// perNode returns the growth of counters a second and node, by direction and mechanism.
func perNode(before, after map[string]float64, prefix string, nodes int) map[string]float64 {
	rates := make(map[string]float64)
	for name, value := range after {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, dataMechanism) {
			rates[strings.TrimPrefix(name, prefix)] = (value - before[name]) / restTime.Seconds() / float64(nodes)
		}
	}
	return rates
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
