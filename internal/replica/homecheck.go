package replica

import (
	"context"
	"strings"
	"time"

	"github.com/hillfork/hillfork/internal/catalog"
)

const (
	// homeCheckDelay is the time from the start of a configuration to the comparison of its homes with the engines: a process
	// that has just started knows the engines after about a second, and engines may start later than the configuration that
	// names them.
	homeCheckDelay = 5 * time.Second
	// maxHomeProblems is the number of problems that are logged of one configuration.
	maxHomeProblems = 20
)

// checkHomes logs, once for each configuration, which regions of routes and tenants can't be served, until the context ends.
func (r *Replica) checkHomes(ctx context.Context) {
	var checked *catalog.Catalog
	var engineCheck <-chan time.Time
	for ctx.Err() == nil {
		changed := r.catalog.Changed()
		if current := r.catalog.Current(); current != checked {
			checked, engineCheck = current, nil
			if current.BindsRegions() {
				engineCheck = time.After(homeCheckDelay)
				r.logHomeProblems(current, current.HomeProblems(r.config.Settings.regions()))
			}
		}
		select {
		case <-changed:
		case <-engineCheck:
			if !r.directory.Synced() {
				engineCheck = time.After(homeCheckDelay)
				continue
			}
			engineCheck = nil
			r.logHomeProblems(checked, checked.UnservedHomes(r.config.Settings.regions(), r.directory.MayServe))
		case <-ctx.Done():
		}
	}
}

// logHomeProblems logs problems of a configuration's homes.
func (r *Replica) logHomeProblems(current *catalog.Catalog, problems []catalog.HomeProblem) {
	for _, problem := range problems[:min(len(problems), maxHomeProblems)] {
		consequence := "these regions have no effect"
		if problem.Refused {
			consequence = "requests are refused"
		}
		r.config.Logger.Warn("homes cannot be served", "configuration", current.Version, "route", problem.Route, "tenant", problem.Tenant,
			"regions", strings.Join(problem.Regions, ","), "cause", problem.Cause, "consequence", consequence)
	}
	if more := len(problems) - maxHomeProblems; more > 0 {
		r.config.Logger.Warn("more homes cannot be served", "configuration", current.Version, "count", more)
	}
}
