package replica

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/healthcheck"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// coldLimit returns the limit of the work of a pool's cold engines.
func coldLimit(pool catalog.Pool) fleet.ColdLimit {
	return fleet.ColdLimit{Rate: pool.ColdRate, Duration: pool.ColdDuration, Checked: pool.HealthPath != ""}
}

// setUpHealthChecks sets up the health checks of engines that may be cold.
func (r *Replica) setUpHealthChecks() {
	r.checker = healthcheck.New(healthcheck.Config{
		Client: r.config.Health, Directory: r.directory, Path: r.healthPath, Logger: r.config.Logger,
	})
	r.metrics.cold(r.directory.Cold, r.checker.Sent)
}

// healthPath returns the path of the health responses of a pool's engines, empty if they are not to be checked.
func (r *Replica) healthPath(pool string) string {
	current := r.catalog.Current()
	if current == nil || r.config.Health == nil || current.Pools[pool].ColdRate <= 0 {
		return ""
	}
	return current.Pools[pool].HealthPath
}

// configurationLag is how much later than this process another one may apply a new configuration, during which both may
// count as the sender of an engine.
const configurationLag = 2 * time.Second

// coldSenders determines the cold engines that this process is the only sender of. Each engine has one partition of jobs
// whose owner is its sender: that of the model that it is assigned to, or one chosen by its ID in pools without models. A
// process is the sender while it owns the partition and the store has confirmed that within the lifetime of members. It
// is safe for concurrent use; its mutex is held during calls of the catalog and the holdings only.
type coldSenders struct {
	catalog    *catalog.Holder
	holdings   *holdings
	partitions int
	// confirmed returns the period in which the partitions held are owned by no other process.
	confirmed func() (since, until time.Time)

	mutex sync.Mutex
	// current is the catalog that models was taken from, and changedAt when models last changed.
	current   *catalog.Catalog
	models    []string
	changedAt time.Time
}

// term returns the term in which this process is the only sender of an engine, and false if it is not the sender.
func (s *coldSenders) term(engine fleet.Engine, model string) (fleet.SenderTerm, bool) {
	partition, changedAt, ok := s.partitionOf(engine, model)
	if !ok {
		return fleet.SenderTerm{}, false
	}
	since, held := s.holdings.since(partition)
	if !held {
		return fleet.SenderTerm{}, false
	}
	confirmedSince, until := s.confirmed()
	if confirmedSince.After(since) {
		since = confirmedSince
	}
	if !changedAt.IsZero() && changedAt.Add(configurationLag).After(since) {
		since = changedAt.Add(configurationLag)
	}
	return fleet.SenderTerm{Since: since, Until: until}, true
}

// partitionOf returns the partition whose owner is the sender of an engine, and when the models last changed, on which it
// depends. It returns false if the engine has no sender.
func (s *coldSenders) partitionOf(engine fleet.Engine, model string) (partition keyedlog.Partition, changedAt time.Time, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.catalog.Current(); current != s.current {
		models := modelsOf(current)
		if s.current != nil && !slices.Equal(models, s.models) {
			s.changedAt = time.Now()
		}
		s.current, s.models = current, models
	}
	if s.current == nil {
		return keyedlog.Partition{}, time.Time{}, false
	}
	if model != "" {
		_, trained := slices.BinarySearch(s.models, model)
		return job.PartitionOf(job.Spec{Model: model}, s.partitions, s.models), s.changedAt, trained
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(engine.ID))
	partition = keyedlog.Partition{Topic: keyedlog.TopicJobs, Number: int(hash.Sum32() % uint32(s.partitions))}
	return partition, s.changedAt, len(s.current.Pools[engine.Pool].Models) == 0
}

// sends reports whether the owner of a partition is the sender of an engine.
func (s *coldSenders) sends(owned keyedlog.Partition, engine fleet.Engine, model string) bool {
	partition, _, ok := s.partitionOf(engine, model)
	return ok && partition == owned
}

// limitColdSenders sets up the choice of the only senders of cold engines. It must be called after the groups were set
// up.
func (r *Replica) limitColdSenders() {
	senders := &coldSenders{
		catalog: r.catalog, holdings: r.holdings, partitions: r.config.Log.Partitions(keyedlog.TopicJobs),
		confirmed: r.managers[0].Confirmed,
	}
	senders.attach(r.directory)
}

// attach has a directory use the choice of senders. When this process becomes the sender of engines, their coldness is unconfirmed: the
// previous sender may have learned from health responses that they are cold.
func (s *coldSenders) attach(directory *fleet.Directory) {
	directory.SetColdSenders(s.term)
	s.holdings.onGained = func(partition keyedlog.Partition) {
		directory.SenderChanged(func(engine fleet.Engine, model string) bool { return s.sends(partition, engine, model) })
	}
}
