package replica

import (
	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/fleet"
	"github.com/hillfork/hillfork/internal/healthcheck"
)

// coldLimit returns the limit of the work of a pool's cold engines.
func coldLimit(pool catalog.Pool) fleet.ColdLimit {
	return fleet.ColdLimit{Rate: pool.ColdRate, Duration: pool.ColdDuration, Checked: pool.HealthPath != ""}
}

// checkCold sets up the health checks of engines that may be cold.
func (r *Replica) checkCold() {
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
