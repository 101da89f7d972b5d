package scale

import (
	"context"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
)

func (r *run) rollBundle(ctx context.Context) error {
	if _, err := r.cluster.RollBundle(ctx, "2.yaml", nil); err != nil {
		return err
	}
	waited := r.until("bundle in force everywhere", func() bool {
		for _, running := range r.cluster.RunningNodes() {
			if running.View().BundleVersion < 2 {
				return false
			}
		}
		return true
	})
	r.result.BundleSeconds = notReached
	if waited != notReached {
		r.result.BundleSeconds = time.Since(r.bundleAcceptedAt()).Seconds()
	}
	return nil
}

// bundleAcceptedAt is when the log accepted the newest bundle.
func (r *run) bundleAcceptedAt() time.Time {
	var at time.Time
	r.recorder.Record(func(o *check.Observations) { at = o.Bundles[len(o.Bundles)-1].At })
	return at
}

// publishWeights makes version 2 of the first workload's model, which the first pool serves.
func (r *run) publishWeights(ctx context.Context) error {
	workload, model, pool := workloadName(0), modelName(0), poolName(0)
	engines := len(r.cluster.EngineNames(pool))
	if err := r.cluster.PublishVersion(ctx, workload, model, 2); err != nil {
		return err
	}
	began := time.Now()
	r.result.WeightKnownSeconds = r.until("weight version known everywhere", func() bool {
		for _, running := range r.cluster.RunningNodes() {
			if running.KnownWeightVersion(workload) < 2 {
				return false
			}
		}
		return true
	})
	r.until("weight version on all engines", func() bool { return r.cluster.ServingEngines(pool, model, 2) == engines })
	r.result.WeightServedSeconds = time.Since(began).Seconds()
	if r.cluster.ServingEngines(pool, model, 2) < engines {
		r.result.WeightServedSeconds = notReached
	}
	return nil
}

func (r *run) leaveEngine(context.Context) error {
	engine := r.cluster.EngineNames(poolName(1))[0]
	r.cluster.LeaveEngine(engine)
	r.result.LeavingSeconds = r.until("leaving engine known everywhere", func() bool {
		for _, running := range r.cluster.RunningNodes() {
			if !running.KnowsLeaving(engine) {
				return false
			}
		}
		return true
	})
	return nil
}

func (r *run) killNode(context.Context) error {
	time.Sleep(settleTime)
	victim := r.someNode()
	lost, err := r.kill(func(name, _ string) bool { return name == victim })
	r.result.NodeDeathSeconds, r.result.NodeRecoverySeconds = lost.known, lost.recovered
	return err
}

func (r *run) killZone(context.Context) error {
	lost, err := r.kill(func(_, zone string) bool { return zone == zoneName(regions-1, zonesPerRegion-1) })
	r.result.ZoneDeathSeconds, r.result.ZoneRecoverySeconds = lost.known, lost.recovered
	r.result.ZoneEnginesMoved = lost.moved
	return err
}

// someNode names a node that owns engines, the first by name beside the platform's zone.
func (r *run) someNode() string {
	var names []string
	for name, running := range r.cluster.RunningNodes() {
		if len(running.View().OwnedEngines) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[len(names)/2]
}

// loss is what the death of nodes brought.
type loss struct {
	known, recovered float64
	moved            int
}

// kill crashes nodes and measures until all others know and every engine has an owner again; then the nodes start anew.
func (r *run) kill(chosen func(name, zone string) bool) (loss, error) {
	before := r.ownedEngines()
	count, err := r.cluster.CrashNodes(chosen)
	if err != nil {
		return loss{}, err
	}
	began := time.Now()
	result := loss{recovered: r.until("engines owned again", r.enginesOwned)}
	result.known = r.until("death known everywhere", r.allHoldDead(count))
	if result.known != notReached {
		result.known = time.Since(began).Seconds()
	}
	for engine, epoch := range r.ownedEngines() {
		if epoch > before[engine] {
			result.moved++
		}
	}
	if err := r.cluster.StartNodes(); err != nil {
		return result, err
	}
	r.until("replacements known everywhere", r.allKnow(r.nodes))
	time.Sleep(settleTime)
	return result, nil
}

func (r *run) cutRegion(context.Context) error {
	var others []string
	for region := range regions - 1 {
		others = append(others, regionName(region))
	}
	heal, err := r.cluster.Cut(others, []string{regionName(regions - 1)})
	if err != nil {
		return err
	}
	time.Sleep(partitionTime)
	heal()
	r.result.RegionMeetSeconds = r.until("regions know each other again", r.allKnow(r.nodes))
	return nil
}
