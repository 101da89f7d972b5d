package ownership

import (
	"context"
	"time"

	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/keyedlog"
)

const (
	// requestLifetime is how long a member that requests partitions stays listed after its last join. It joins again
	// after each read of the group.
	requestLifetime = 4 * time.Second
	// requestingSuffix, appended to a group's name, is the name of the group of members that hold no partition and
	// request some.
	requestingSuffix = "-asking"
)

// partitionRequester keeps a member that holds no partition in the group of members that request partitions.
type partitionRequester struct {
	manager    *Manager
	active     bool
	generation int64
}

func (r *partitionRequester) update(ctx context.Context, wanted bool) {
	if !wanted {
		r.withdraw()
		return
	}
	config := &r.manager.config
	if !r.active {
		r.active = true
		config.Logger.Info("asking for partitions", "group", config.Group, "share", config.Share)
	}
	membership, err := config.Log.Join(ctx, keyedlog.JoinRequest{
		Group: config.Group + requestingSuffix, Member: r.manager.member, Topics: config.Topics, Lifetime: max(requestLifetime, config.Lifetime),
		Generation: r.generation,
	})
	if err != nil {
		errorlog.Debug(config.Logger, "partitions could not be requested", err, "group", config.Group)
		return
	}
	r.generation = membership.Generation
}

func (r *partitionRequester) withdraw() {
	if !r.active {
		return
	}
	r.active = false
	config := &r.manager.config
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := config.Log.Leave(ctx, config.Group+requestingSuffix, r.manager.member); err != nil {
		errorlog.Debug(config.Logger, "request for partitions could not be withdrawn", err, "group", config.Group)
	}
}
