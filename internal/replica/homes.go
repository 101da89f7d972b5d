package replica

import (
	"context"
	"slices"

	"github.com/hillfork/hillfork/internal/catalog"
	"github.com/hillfork/hillfork/internal/job"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

// homeGroups are the groups of home sets that a replica is a member of. Only the goroutine of runHomeGroups uses them.
type homeGroups struct {
	replica *Replica
	running map[keyedlog.HomeSet]*homeGroup
	// configuration is the one whose home sets were computed last. configured holds those of its home sets that include the region
	// of this replica.
	configuration *catalog.Catalog
	configured    []keyedlog.HomeSet
}

// homeGroup is a group whose manager runs until cancel is called; done is closed once it has left the group.
type homeGroup struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// runHomeGroups keeps the replica in the groups of home sets until the context ends. These are the sets that include its region
// and that the configuration names or a job in the index is bound to. Without such sets it makes no calls.
func (r *Replica) runHomeGroups(ctx context.Context) {
	groups := homeGroups{replica: r, running: make(map[keyedlog.HomeSet]*homeGroup)}
	for ctx.Err() == nil {
		configured := r.catalog.Changed()
		indexed, changed := r.index.HomeSets()
		groups.update(ctx, indexed)
		select {
		case <-configured:
		case <-changed:
		case <-ctx.Done():
		}
	}
	for _, group := range groups.running {
		<-group.done
	}
}

// update joins the groups of home sets that have come into use, and leaves those of sets that are not used any more. It waits
// until these are left: a process must not be in a group twice.
func (g *homeGroups) update(ctx context.Context, indexed []keyedlog.HomeSet) {
	wanted := g.wanted(indexed)
	for homes, group := range g.running {
		if !slices.Contains(wanted, homes) {
			group.cancel()
			<-group.done
			delete(g.running, homes)
		}
	}
	for _, homes := range wanted {
		if _, ok := g.running[homes]; !ok {
			g.running[homes] = g.start(ctx, homes)
		}
	}
}

// wanted returns the home sets in use that include the region of this replica.
func (g *homeGroups) wanted(indexed []keyedlog.HomeSet) []keyedlog.HomeSet {
	settings := g.replica.config.Settings
	elsewhere := func(homes keyedlog.HomeSet) bool { return !homes.Includes(settings.ownRegion()) }
	if current := g.replica.catalog.Current(); current != g.configuration {
		g.configuration, g.configured = current, slices.DeleteFunc(current.HomeSets(settings.regions()), elsewhere)
	}
	return slices.Concat(g.configured, slices.DeleteFunc(indexed, elsewhere))
}

// start runs the manager of a home set's group.
func (g *homeGroups) start(ctx context.Context, homes keyedlog.HomeSet) *homeGroup {
	settings := g.replica.config.Settings
	manager := g.replica.newManager(job.GroupOf(homes), memberLifetime(settings.MinMemberLifetime), settings.ProcessorShare,
		topicHolders{homes.Topic(): g.replica.runners})
	ctx, cancel := context.WithCancel(ctx)
	started := &homeGroup{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		defer cancel()
		manager.Run(ctx)
	}()
	return started
}
