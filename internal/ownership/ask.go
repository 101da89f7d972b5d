package ownership

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// askLifetime is how long a member that asks for partitions is listed after its last join; it joins with each read of the group.
	askLifetime = 4 * time.Second
	// askingSuffix, after a group's name, names the group of its members that hold no partition and ask for some.
	askingSuffix = "-asking"
)

// asker keeps a member that holds no partition in the group of those that ask for some.
type asker struct {
	manager    *Manager
	active     bool
	generation int64
}

func (a *asker) update(ctx context.Context, wanted bool) {
	if !wanted {
		a.end()
		return
	}
	config := &a.manager.config
	if !a.active {
		a.active = true
		config.Logger.Info("asking for partitions", "group", config.Group, "share", config.Share)
	}
	membership, err := config.Log.Join(ctx, keyedlog.JoinRequest{
		Group: config.Group + askingSuffix, Member: a.manager.member, Topics: config.Topics, Lifetime: max(askLifetime, config.Lifetime),
		Generation: a.generation,
	})
	if err != nil {
		errorlog.Debug(config.Logger, "not asked for partitions", err, "group", config.Group)
		return
	}
	a.generation = membership.Generation
}

func (a *asker) end() {
	if !a.active {
		return
	}
	a.active = false
	config := &a.manager.config
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := config.Log.Leave(ctx, config.Group+askingSuffix, a.manager.member); err != nil {
		errorlog.Debug(config.Logger, "still among those that ask", err, "group", config.Group)
	}
}
