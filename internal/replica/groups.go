package replica

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hillfork/hillfork/internal/duty"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
	"github.com/hillfork/hillfork/internal/ownership"
)

// weightsGroup is the name of the group that owns weights, duties and the list of engines.
const weightsGroup = "hillfork-weights"

// joinGroups sets up the groups that assign the partitions of jobs, weights and duties to the replicas.
func (r *Replica) joinGroups(rollers ownership.Holder, reporting []duty.Duty) {
	settings := r.config.Settings
	lifetime := memberLifetime(settings.MinMemberLifetime)
	weightsLifetime := max(lifetime, weightsShare*settings.OrderLease/weightsParts)
	r.joinGroup(job.GroupOf(""), lifetime, settings.ProcessorShare, topicHolders{keyedlog.TopicJobs: r.runners})
	r.metrics.member(r.managers[0].Participates)
	duties := slices.Concat(reporting, r.orderEngines())
	r.duties = len(duties)
	// The owner of weights, duties and the list of engines has little work and hands over slowly, so machines of any
	// size are members.
	r.joinGroup(weightsGroup, weightsLifetime, 0, topicHolders{
		keyedlog.TopicWeights: rollers,
		keyedlog.TopicDuties: duty.NewHolder(duty.Config{
			Log: r.config.Log, Machine: memberName(settings), Lease: settings.OrderLease, Duties: duties, Logger: r.config.Logger,
		}),
		keyedlog.TopicEngineList: r.keeper,
	})
}

// weightsShare/weightsParts is the fraction of the order lease for which the partition of weights waits for its owner.
// Another machine may send an order to an engine only one lease after the last order, so that for most engines the wait
// costs nothing. A process that is back sooner, as after a power loss, continues at once. For an engine whose last
// order is older the wait is lost time, so the fraction is less than 1.
const (
	weightsShare = 2
	weightsParts = 3
)

// joinGroup sets up a group that assigns the partitions of some topics. share is the machine's share of a processor, in
// cores; with 0 the machine is always a member.
func (r *Replica) joinGroup(group string, lifetime time.Duration, share float64, topics topicHolders) {
	r.managers = append(r.managers, r.newManager(group, lifetime, share, topics))
}

// newManager returns the manager of a group.
func (r *Replica) newManager(group string, lifetime time.Duration, share float64, topics topicHolders) *ownership.Manager {
	return ownership.New(ownership.Config{
		Log: r.config.Log, Group: group, Member: memberName(r.config.Settings), Share: share, Topics: slices.Sorted(maps.Keys(topics)),
		Lifetime: lifetime, Holder: trackingHolder{promptingHolder{topics, r.promptReaders()}, r.holdings}, Logger: r.config.Logger,
	})
}

// topicHolders starts the work of partitions by topic.
type topicHolders map[keyedlog.Topic]ownership.Holder

// Gained starts the work of a partition.
func (h topicHolders) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	return h[partition.Topic].Gained(ctx, partition, generation)
}

// promptingHolder makes the readers of the orders, the views of engines and the index of jobs read at once when a
// partition is gained: its owner selects engines by the models that they serve, their pace and the slots held there,
// and assigns them by the requirements of steps.
type promptingHolder struct {
	ownership.Holder
	readers []promptReader
}

// promptReader reads data that an owner acts on.
type promptReader interface {
	Hurry()
}

// promptReaders returns the readers that must read at once when this process gains a partition.
func (r *Replica) promptReaders() []promptReader {
	return append(convert[promptReader](r.weights), r.viewReader, r.indexFollower)
}

// Gained starts the work of a partition.
func (h promptingHolder) Gained(ctx context.Context, partition keyedlog.Partition, generation int64) ownership.Work {
	for _, reader := range h.readers {
		reader.Hurry()
	}
	return h.Holder.Gained(ctx, partition, generation)
}

// memberName returns the name of the machine as a member of a group and as the sender of orders. A process that
// restarts before its predecessor's lifetime has passed regains its partitions; fences distinguish the two. A
// replacement machine with the same name has another address, and is another holder.
func memberName(settings Settings) string {
	return settings.Node + "@" + settings.IP
}

// lifetimeFactor adds a margin to the store's minimum for a few slow joins in a row.
const lifetimeFactor = 1.25

func memberLifetime(minLifetime time.Duration) time.Duration {
	return time.Duration(lifetimeFactor * float64(minLifetime))
}
