package replica

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
)

// The groups of replicas in the store.
const (
	jobsGroup    = "hillfork-jobs"
	weightsGroup = "hillfork-weights"
)

// joinGroups has the partitions of jobs, weights and duties dealt among the replicas.
func (r *Replica) joinGroups(runners, rollers ownership.Holder, reporting []duty.Duty) {
	settings := r.config.Settings
	lifetime := memberLifetime(settings.MinMemberLifetime)
	leased := max(lifetime, weightsShare*settings.OrderLease/weightsParts)
	r.own(jobsGroup, lifetime, settings.ProcessorShare, holders{keyedlog.TopicJobs: runners})
	r.metrics.member(r.managers[0].TakesPart)
	duties := slices.Concat(reporting, r.orderEngines())
	r.duties = len(duties)
	// The owner of weights, duties and the list of engines does little, and hands over slowly: machines of any size take part.
	r.own(weightsGroup, leased, 0, holders{
		keyedlog.TopicWeights: rollers,
		keyedlog.TopicDuties: duty.NewHolder(duty.Config{
			Log: r.config.Log, Machine: holderName(settings), Lease: settings.OrderLease, Duties: duties, Logger: r.config.Logger,
		}),
		keyedlog.TopicEngineList: r.keeper,
	})
}

// weightsShare of weightsParts is the part of the order lease for which the partition of weights waits for its owner. Another
// machine may order an engine only a lease after its last order, so that for most engines nothing is lost by waiting; a process that
// is back before, as after a loss of power, goes on at once. Engines whose last order is older than that lose it, so it is not the
// whole lease.
const (
	weightsShare = 2
	weightsParts = 3
)

// own has the partitions of some topics dealt by a group. share is what this machine has of a processor, in cores; with 0 it takes part in
// any case.
func (r *Replica) own(group string, lifetime time.Duration, share float64, topics holders) {
	r.managers = append(r.managers, ownership.New(ownership.Config{
		Log: r.config.Log, Group: group, Member: holderName(r.config.Settings), Share: share, Topics: slices.Sorted(maps.Keys(topics)),
		Lifetime: lifetime, Holder: noted{hurrying{topics, r.hurried()}, r.holdings}, Logger: r.config.Logger,
	}))
}

// holders start the work of partitions by their topics.
type holders map[keyedlog.Topic]ownership.Holder

// Gained starts the work of a partition.
func (h holders) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	return h[partition.Topic].Gained(ctx, partition, generation)
}

// hurrying has the orders, the views of engines and the index of jobs read at once when a partition is gained: its owner chooses engines by what
// they serve, their pace and the places held there, and deals them by what steps ask.
type hurrying struct {
	ownership.Holder
	readers []hurried
}

// hurried reads something that an owner acts on.
type hurried interface {
	Hurry()
}

// hurried returns what is to be read at once by a process that gains a partition.
func (r *Replica) hurried() []hurried {
	return append(convert[hurried](r.weights), r.viewReader, r.indexFollower)
}

// Gained starts the work of a partition.
func (h hurrying) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	for _, reader := range h.readers {
		reader.Hurry()
	}
	return h.Holder.Gained(ctx, partition, generation)
}

// holderName names the machine as a member of the group and as a giver of orders. A process that is started again before its
// predecessor's lifetime has passed finds its partitions as they were; fences tell the two apart. A machine that comes in another's
// place under its name has another address, and is another holder.
func holderName(settings Settings) string {
	return settings.Node + "@" + settings.IP
}

// lifetimeFactor leaves room above the store's least for a few slow joins in a row.
const lifetimeFactor = 1.25

func memberLifetime(least time.Duration) time.Duration {
	return time.Duration(lifetimeFactor * float64(least))
}
